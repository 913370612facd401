// Package entry runs one daemon of headcourse on an entry VM: it joins the
// decisions of core/ with clients, backend servers and the platform's store.
//
// All daemons are alike. Each follows the tables of the configuration and of
// the servers, serves clients by them, and takes part in the choice of the one
// that forms groups. Data flows one way:
//
//	store → followers → view → clients' requests
//	                       ↘ group control (leader only) → orders to servers
//
// A daemon keeps nothing: after a restart everything is read again.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/retry"
	"headcourse/core/rowstore"
	"headcourse/core/settings"
	"headcourse/io/exposition"
	"headcourse/io/gateway"
	"headcourse/io/logline"
	"headcourse/io/relay"
	"headcourse/platform"
)

// Figures of a daemon.
const (
	// waitPart is the part of the bound for new configurations that one call to
	// the store waits for one; copyPart is the greatest age of a copy that
	// another daemon is given, as a part of the same. A daemon whose relay is cut
	// off from the store notices within copyPart and half of it again, and asks
	// another: well within the bound.
	waitPart = 0.3
	copyPart = 0.45
	// serverWait is the same for servers, whose view may be older.
	serverWait = 4 * time.Second
	// serverSettle lets changes of servers come together: groups form by many
	// small steps, and each call is priced.
	serverSettle = 40 * time.Millisecond
	// revokeMargin is kept away from the bound of withdrawn keys: a store that
	// drops its history may tell nothing for a second before.
	revokeMargin = 1200 * time.Millisecond
)

// Daemon is one running daemon. Use Start.
type Daemon struct {
	settings settings.Settings
	log      *zap.Logger
	registry metrics.Registry
	start    string
	store    rowstore.Store
	workers  *platform.Workers
	gateway  *gateway.Server
	ready    *readiness
	budgets  retry.Budgets
	// clock dates the store's answers; fresh is how young the configuration is.
	clock rowstore.Freshness
	fresh rowstore.Freshness
	// chain reads tables from other daemons or the store; hub is this daemon's
	// own copy of them, which relays gives to others.
	chain  *rowstore.Chain
	hub    rowstore.Hub
	relays *relay.Server
	// exposed serves the metrics; nil where they are not served.
	exposed *exposition.Server
	roster  roster

	mutex sync.Mutex
	view  atomic.Pointer[gateway.View]
	// serversRead tells that the servers' table was read once.
	serversRead atomic.Bool
	// outage is the last time that the servers' table could not be followed.
	outage  atomic.Pointer[fleet.Outage]
	stalls  chan fleet.Server
	told    toldStalls
	changed chan struct{}

	stop  context.CancelFunc
	tasks conc.WaitGroup
}

// part returns a part of a time.
func part(whole time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(whole))
}

// Start starts a daemon. Settings have been checked.
func Start(known settings.Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: known,
		log:      log,
		registry: metrics.NewRegistry(),
		start:    uuid.NewString(),
		workers:  platform.NewWorkers(),
		stalls:   make(chan fleet.Server, stallQueue),
		changed:  make(chan struct{}, 1),
	}
	store := platform.NewStore(known.Store)
	store.Called = func(call string, took time.Duration) {
		metrics.GetOrRegisterCounter("store_calls."+call, d.registry).Inc(1)
		d.observe("store_call_ms."+call, took)
	}
	d.store = store
	limits := map[string]time.Duration{
		platform.ConfigTable: part(known.ApplyWithin, copyPart),
	}
	d.chain = rowstore.NewChain(store, &d.clock, limits)
	d.hub.ContactLimit = limits[platform.ConfigTable]
	d.view.Store(&gateway.View{})
	d.outage.Store(&fleet.Outage{})
	d.setBudgets(fewestDaemons)
	served, err := gateway.Listen(gateway.Options{
		Address:  known.Clients,
		Source:   d,
		Dialect:  platform.Dialect{},
		Budgets:  &d.budgets,
		Registry: d.registry,
		Log:      log,
	})
	if err != nil {
		return nil, err
	}
	d.gateway = served
	d.ready, err = listenReady(known.Readiness, d.isReady)
	if err != nil {
		return nil, errors.Wrap(err, "start daemon")
	}
	d.relays, err = relay.Listen(known.Relay, &d.hub)
	if err != nil {
		return nil, errors.Wrap(err, "start daemon")
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.tasks.Go(func() { d.configFollower().Run(ctx) })
	d.tasks.Go(func() { d.serverFollower().Run(ctx) })
	d.tasks.Go(func() { d.stallFollower().Run(ctx) })
	d.tasks.Go(func() { d.tellStalls(ctx) })
	d.tasks.Go(func() { d.listFollower().Run(ctx) })
	d.tasks.Go(func() { d.listSelf(ctx) })
	elector := d.newElector()
	d.tasks.Go(func() { d.leaseFollower(elector).Run(ctx) })
	d.tasks.Go(func() { elector.Run(ctx, d.lead) })
	d.tasks.Go(func() { d.logFigures(ctx) })
	d.serveMetrics()
	log.Info("daemon: started", zap.String("name", known.Name), zap.String("zone", known.Zone), zap.String("start", d.start))
	return d, nil
}

// ClientsAddress returns the IP:port for clients, ReadinessAddress that for the
// balancer.
func (d *Daemon) ClientsAddress() string {
	return d.gateway.Address()
}

// ReadinessAddress returns the IP:port that the balancer asks.
func (d *Daemon) ReadinessAddress() string {
	return d.ready.address
}

// View returns what the daemon knows now.
func (d *Daemon) View() gateway.View {
	return *d.view.Load()
}

// Age returns how old the view of the configuration may be.
func (d *Daemon) Age() time.Duration {
	age, _ := d.fresh.Age()
	return age
}

// KeysFresh tells whether the view is young enough to accept keys by: a key
// that was withdrawn must be dead within the bound, also where the daemon was
// frozen or cut off.
func (d *Daemon) KeysFresh() bool {
	age, isKnown := d.fresh.Age()
	return isKnown && age < d.settings.RevokeWithin-revokeMargin
}

// isReady tells whether clients should be sent here.
func (d *Daemon) isReady() bool {
	return d.view.Load().Config != nil && d.serversRead.Load() && d.KeysFresh()
}

// change replaces the view by what edit makes of it.
func (d *Daemon) change(edit func(view *gateway.View)) {
	d.mutex.Lock()
	next := *d.view.Load()
	edit(&next)
	d.view.Store(&next)
	d.mutex.Unlock()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// noteTrouble notes a failed call of the store.
func (d *Daemon) noteTrouble(table string) func(error) {
	return func(err error) {
		metrics.GetOrRegisterCounter("store_failed."+table, d.registry).Inc(1)
		d.log.Warn("store: call failed", zap.String("table", table), logline.Err(err))
	}
}

// noteRestored notes that the store answers again.
func (d *Daemon) noteRestored(table string) func(time.Duration) {
	return func(away time.Duration) {
		d.log.Info("store: answers again", zap.String("table", table), zap.Int64("away_ms", away.Milliseconds()))
	}
}

// noteOutage notes that a table that is always followed cannot be.
func (d *Daemon) noteOutage(table string) func(error) {
	return func(err error) {
		if known := d.outage.Load(); known.Began.IsZero() || !known.Ended.IsZero() {
			d.outage.Store(&fleet.Outage{
				Began: time.Now(),
			})
		}
		d.noteTrouble(table)(err)
	}
}

// noteReturn notes that such a table can be followed again. It is called before
// what was read is taken.
func (d *Daemon) noteReturn(table string) func(time.Duration) {
	return func(away time.Duration) {
		now := time.Now()
		d.outage.Store(&fleet.Outage{
			Began: now.Add(-away),
			Ended: now,
		})
		d.noteRestored(table)(away)
	}
}

// Reload takes new settings that can change while the daemon runs.
func (d *Daemon) Reload(known settings.Settings) {
	d.log.Info("daemon: settings read again", zap.String("name", known.Name))
	if known.Clients != d.settings.Clients || known.Store != d.settings.Store {
		d.log.Warn("daemon: changed addresses hold after the next start")
	}
}

// Times of stopping.
const (
	// noticeTime is how long a stopping daemon still takes requests: the
	// balancer asks once a second and believes the second refusal.
	noticeTime = 2600 * time.Millisecond
	// stopMargin is kept away from the end of the time to stop.
	stopMargin = 700 * time.Millisecond
)

// Stop ends the daemon: it tells the balancer, takes requests until the
// balancer has noticed, and lets those under way end.
func (d *Daemon) Stop() error {
	began := time.Now()
	d.log.Info("daemon: stopping", zap.Int64("requests_open", d.gateway.Open()))
	d.ready.leave()
	d.gateway.Leave()
	time.Sleep(min(noticeTime, d.settings.StopTime/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(d.settings.StopTime-stopMargin))
	defer cancel()
	err := d.gateway.Close(ctx)
	d.stop()
	d.tasks.Wait()
	d.ready.close()
	d.relays.Close()
	d.log.Info("daemon: stopped", zap.Int64("took_ms", time.Since(began).Milliseconds()), logline.Err(err))
	return err
}

// Kill ends the daemon at once, as a crash would: connections are closed, and
// nothing is given up.
func (d *Daemon) Kill() {
	d.gateway.Kill()
	d.ready.close()
	d.relays.Close()
	d.stop()
	d.tasks.Wait()
}
