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

	"headcourse/core/boottime"
	"headcourse/core/demand"
	"headcourse/core/fleet"
	"headcourse/core/quarantine"
	"headcourse/core/ratelimit"
	"headcourse/core/retry"
	"headcourse/core/rowstore"
	"headcourse/core/settings"
	"headcourse/io/exposition"
	"headcourse/io/gateway"
	"headcourse/io/kernel"
	"headcourse/io/logline"
	"headcourse/io/relay"
	"headcourse/platform"
)

// Figures of a daemon.
const (
	// waitPart is the part of the bound for new configurations that one call to
	// the store waits for one; copyPart is the greatest age of a copy that
	// another daemon is given, as a part of the same. Where all is well, the copy of
	// the first relay is a wait old, and that of a relay which asks it two waits. A
	// daemon whose relay is cut off from the store learns so within copyPart and
	// 0.2 s, and asks another: well within the bound.
	waitPart = 0.25
	copyPart = 0.6
	// serverWait is the same for servers. A connection to the store that has gone
	// silent is found out 0.7 s after it: before a server that says it leaves must get
	// nothing new.
	serverWait = 1500 * time.Millisecond
	// startPatience is how long a daemon waits for the others to have read a table when
	// the whole system starts for the first time, seconds before the first client, so that
	// hundreds do not all read it from the store. It stays below what a follower allows for
	// reading a table.
	startPatience = time.Second
	// serverSettle lets changes of servers come together: groups form by many
	// small steps. Relays wait longer, since their calls are priced, but for one
	// that leads: each step of a group's forming waits for it.
	serverSettle = 40 * time.Millisecond
	relaySettle  = 120 * time.Millisecond
	// idleSettle is the same for relays while no client has come yet, and thousands of servers
	// form groups; the leader then waits as long as relays do else.
	idleSettle = 400 * time.Millisecond
)

// Daemon is one running daemon. Use Start.
type Daemon struct {
	settings settings.Settings
	log      *zap.Logger
	registry metrics.Registry
	// start is the id of this start of the daemon, began when it was.
	start string
	began time.Time
	store *platform.Store
	// rows writes rows of daemons together.
	rows    *rowstore.Batcher
	workers *platform.Workers
	gateway *gateway.Server
	ready   *readiness
	budgets retry.Budgets
	// sleep measures suspensions; awake is the clock that counts them.
	sleep kernel.Sleep
	awake boottime.Clock
	// clock dates the store's answers; fresh is how young the configuration is.
	clock rowstore.Freshness
	fresh rowstore.Freshness
	// chain reads tables from other daemons or the store; hub is this daemon's
	// own copy of them, which relays gives to others.
	chain  *rowstore.Chain
	hub    rowstore.Hub
	relays *relay.Server
	// errorLines bounds the lines about failed calls.
	errorLines logline.Rarely
	// roster is the list of all daemons, by which relays are chosen; place is where this
	// one stands in it.
	roster roster
	place  atomic.Pointer[place]
	// meter measures what callers ask of this daemon, board adds up what they ask of all.
	meter demand.Meter
	board demand.Board
	// exposed serves the metrics; nil where they are not served.
	exposed *exposition.Server

	// mutex orders changes of the view; readers take the view without it.
	mutex sync.Mutex
	view  atomic.Pointer[gateway.View]
	// serversRead and reportsRead tell that the servers' table and the daemons' reports were
	// read once.
	serversRead atomic.Bool
	reportsRead atomic.Bool
	// serversEra and reportsEra are the eras of the store in which these were read last, storeEra
	// the newest in which any table was read anew.
	serversEra atomic.Int64
	reportsEra atomic.Int64
	storeEra   atomic.Int64
	// configRow is the row of the configuration in force, configEra the era in which its table
	// was read last.
	configRow atomic.Pointer[rowstore.Row]
	configEra atomic.Int64
	// outage is the last time that the servers' table could not be followed.
	outage atomic.Pointer[fleet.Outage]
	// stalls are heads at which requests stand still, to be looked into; reported are
	// those that daemons have reported.
	stalls   chan fleet.Server
	reported reportedStalls
	// ledger knows under which requests servers ended; reports are to be written for all daemons.
	ledger  quarantine.Ledger
	reports chan report
	// recent are reports that the store has taken lately.
	recent recentReports
	// limits are what servers take a second from all daemons together, notices what daemons
	// tell each other of them.
	limits  ratelimit.Book
	notices ratelimit.Notices
	// limitLines bounds the lines about these.
	limitLines logline.Rarely
	// changed tells the leader that the view is another.
	changed chan struct{}
	// viewRead is set when configuration and servers were read for the first time.
	viewRead mark
	// listRead is set when the list of the daemons was read, known when
	// configuration and servers were, unreadable when one of these could not be.
	listRead   mark
	known      mark
	unreadable mark
	// wasReady is what isReady returned last, for the log.
	wasReady atomic.Bool
	// hasTraffic tells that a client of any daemon has sent a request since the first start.
	hasTraffic atomic.Bool
	// isLeading tells that this daemon forms groups.
	isLeading atomic.Bool

	stop  context.CancelFunc
	tasks conc.WaitGroup
}

// part returns a part of a time.
func part(whole time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(whole))
}

// Start starts a daemon. Settings have been checked.
func Start(known settings.Settings, log *zap.Logger) (*Daemon, error) {
	d := newDaemon(known, log)
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.run()
	d.serveMetrics()
	log.Info("daemon: started", zap.String("name", known.Name), zap.String("zone", known.Zone), zap.String("start", d.start))
	return d, nil
}

// newDaemon returns a daemon that neither listens nor runs yet.
func newDaemon(known settings.Settings, log *zap.Logger) *Daemon {
	d := &Daemon{
		settings:   known,
		log:        log,
		registry:   metrics.NewRegistry(),
		start:      uuid.NewString(),
		began:      time.Now(),
		workers:    platform.NewWorkers(),
		stalls:     make(chan fleet.Server, stallQueue),
		reports:    make(chan report, reportQueue),
		changed:    make(chan struct{}, 1),
		viewRead:   newMark(),
		listRead:   newMark(),
		known:      newMark(),
		unreadable: newMark(),
	}
	d.awake.Suspended = d.sleep.Suspended
	d.clock.Clock = d.awake
	d.limits.Clock = d.awake
	d.fresh.Clock = d.awake
	d.errorLines.Every = errorLinesEvery
	d.limitLines.Every = limitLineEvery
	store := platform.NewStore(known.Store)
	store.Called = func(call string, took time.Duration) {
		metrics.GetOrRegisterCounter("store_calls."+call, d.registry).Inc(1)
		d.observe("store_call_ms."+call, took)
	}
	store.EraRefused = d.recordEraRefused
	d.store = store
	d.rows = rowstore.NewBatcher(store, commitRows)
	limits := map[string]time.Duration{
		platform.ConfigTable: part(known.ApplyWithin, copyPart),
	}
	d.chain = rowstore.NewChain(store, &d.clock, limits)
	d.chain.IsDirect = func(table string) bool {
		return table == platform.ServerTable && d.isLeading.Load()
	}
	d.chain.IsUrgent = d.awaitsList
	d.chain.Sharing = d.sharing
	if known.IsFirstStart {
		d.chain.Patience = startPatience
	}
	d.hub.ContactLimit = limits[platform.ConfigTable]
	d.hub.Clock = &d.clock
	d.hub.IsSecondHand = d.chain.IsSecondHand
	d.board.Meter = &d.meter
	d.board.Zone = known.Zone
	d.place.Store(&place{})
	d.view.Store(&gateway.View{})
	d.outage.Store(&fleet.Outage{})
	d.setBudgets(fewestDaemons)
	return d
}

// listen opens the addresses for clients, the balancer and other daemons.
func (d *Daemon) listen() error {
	var err error
	d.gateway, err = gateway.Listen(gateway.Options{
		Address:  d.settings.Clients,
		Source:   d,
		Dialect:  platform.Dialect{},
		Meter:    &d.meter,
		Budgets:  &d.budgets,
		Ledger:   &d.ledger,
		Limits:   &d.limits,
		Registry: d.registry,
		Log:      d.log,
		Clock:    d.awake,
	})
	if err != nil {
		return err
	}
	d.ready, err = listenReady(d.settings.Readiness, d.isReady)
	if err != nil {
		return errors.Wrap(err, "start daemon")
	}
	d.relays, err = relay.Listen(relay.Options{
		Address: d.settings.Relay,
		Reader:  &d.hub,
		Board:   &d.board,
		Refused: d.refuseDemand,
		Enlist:  d.enlist,
	})
	return errors.Wrap(err, "start daemon")
}

// run starts everything that goes on until the daemon stops.
func (d *Daemon) run() {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	elector := d.newElector()
	for _, task := range []func(context.Context){
		d.inTurn(d.listFollower().Run),
		d.afterList(d.listSelf),
		d.afterList(d.configFollower().Run),
		d.afterList(d.serverFollower().Run),
		d.afterList(d.reportFollower().Run),
		d.afterList(d.leaseFollower(elector).Run),
		d.runStallReports,
		d.runReports,
		func(ctx context.Context) { elector.Run(ctx, d.lead) },
		d.logFigures,
	} {
		d.tasks.Go(func() { task(ctx) })
	}
}

// ClientsAddress returns the IP:port for clients.
func (d *Daemon) ClientsAddress() string {
	return d.gateway.Address()
}

// ReadinessAddress returns the IP:port that the balancer asks.
func (d *Daemon) ReadinessAddress() string {
	return d.ready.address
}

// StoreAnswers returns how many answers about tables came from the store itself, and how
// many from other daemons.
func (d *Daemon) StoreAnswers() (direct, relayed int64) {
	return d.chain.Counts()
}

// Reload takes new settings that can change while the daemon runs.
func (d *Daemon) Reload(known settings.Settings) {
	d.log.Info("daemon: settings read again", zap.String("name", known.Name))
	if known.Clients != d.settings.Clients || known.Store != d.settings.Store {
		d.log.Warn("daemon: changed addresses hold after the next start")
	}
}
