package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"headcourse/core/assembly"
	"headcourse/core/demand"
	"headcourse/core/fleet"
	"headcourse/core/leader"
	"headcourse/core/rowstore"
	"headcourse/core/usage"
	"headcourse/io/logline"
)

// Figures of control.
const (
	// stepEvery is the time between two steps without news.
	stepEvery = 100 * time.Millisecond
	// startTime is how long the start of the whole system lasts at most, during
	// which loads are not counted. Clients come 10 s after the VMs; this daemon may
	// be sent its first request later than others.
	startTime = 8 * time.Second
	// ordersAtOnce bounds the orders under way: a server answers in some
	// milliseconds, so thousands are given in a second; those to a zone that is
	// dark take 0.6 s each.
	ordersAtOnce = 256
	// newsQueue bounds news that wait for the control goroutine.
	newsQueue = 256
	// leaseWait is how long one call waits for a change of the lease, which its
	// holder rewrites more often.
	leaseWait = 2 * time.Second
)

// newElector returns this daemon's part in the choice of the leader.
func (d *Daemon) newElector() *leader.Elector {
	return &leader.Elector{
		Store: d.store,
		Name:  d.settings.Name,
		Start: d.start,
		Clock: d.awake,
		Rank:  d.rank,
		IsAway: func() bool {
			return d.outage.Load().IsUnderWay()
		},
		Changed: func(isLeader bool, lease rowstore.Revision, reason string) {
			d.log.Info("control: lease changed",
				zap.Bool("is_leader", isLeader),
				zap.Int64("era", lease.Era),
				zap.Int64("lease_version", lease.Version),
				zap.String("reason", reason))
		},
	}
}

// leaseFollower follows the lease.
func (d *Daemon) leaseFollower(elector *leader.Elector) *rowstore.Follower {
	see := func(isWhole bool) func([]rowstore.Row, rowstore.Revision, time.Time) {
		return func(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
			if err := elector.See(rows, at.Era, isWhole); err != nil {
				d.log.Error("control: lease not taken notice of", logline.Err(err))
			}
		}
	}
	return &rowstore.Follower{
		Store:      d.chain,
		Table:      leader.Table,
		Wait:       leaseWait,
		Whole:      see(true),
		Changed:    see(false),
		Hub:        &d.hub,
		Failed:     d.recordStoreError(leader.Table),
		Recovered:  d.recordRecovered(leader.Table),
		EraChanged: d.recordEra(leader.Table),
		Dropped:    d.recordDropped(leader.Table),
		Clock:      &d.clock,
	}
}

// term is one term of leading: one goroutine owns the controller; orders,
// probes and followers hand it what they learn as functions.
type term struct {
	daemon     *Daemon
	lease      *leader.Lease
	controller assembly.Controller
	news       chan func()
	// turns holds a token for each order under way.
	turns chan struct{}
	// mustLoad tells that the records in the store may be others than known.
	mustLoad bool
	// triedToLoad is when they were last asked for.
	triedToLoad time.Time
	// pending are changes of records that wait for the one being committed.
	pending      assembly.Plan
	isCommitting bool
}

// lead forms and repairs groups until ctx ends.
func (d *Daemon) lead(ctx context.Context, lease *leader.Lease) {
	t := &term{
		daemon:   d,
		lease:    lease,
		news:     make(chan func(), newsQueue),
		turns:    make(chan struct{}, ordersAtOnce),
		mustLoad: true,
	}
	d.isLeading.Store(true)
	defer d.isLeading.Store(false)
	d.reported.subscribe(func(group string, reported stall) {
		t.tell(ctx, func() {
			t.controller.Suspect(group, reported.Epoch, reported.Silent)
		})
	})
	defer d.reported.subscribe(nil)
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		t.step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-d.changed:
		case news := <-t.news:
			news()
		}
		t.drain()
	}
}

// drain takes all news that wait.
func (t *term) drain() {
	for {
		select {
		case news := <-t.news:
			news()
		default:
			return
		}
	}
}

// tell hands news to the control goroutine.
func (t *term) tell(ctx context.Context, news func()) {
	select {
	case t.news <- news:
	case <-ctx.Done():
	}
}

// step decides once and does what was decided. Nothing is ordered unless the
// lease holds and the records are known, nor while entries may be those of an older copy
// of the store: a server that seems to be free may be a member of a group that serves.
func (t *term) step(ctx context.Context) {
	if !t.lease.Holds() || !t.daemon.serversRead.Load() || !t.lease.HasSettled(t.daemon.rewriteTime()) {
		return
	}
	if t.mustLoad && (t.isCommitting || !t.load(ctx)) {
		return
	}
	world := t.world()
	if t.daemon.serversEra.Load() != t.lease.Era() {
		return
	}
	plan := t.controller.Step(world)
	for _, note := range plan.Notes {
		t.daemon.log.Info("groups: "+note.What, zap.String("group", note.Group), zap.Int64("epoch", note.Epoch), zap.String("model", note.Model), zap.String("reason", note.Reason))
	}
	for _, server := range plan.Probes {
		go t.probe(ctx, server)
	}
	for _, order := range plan.Orders {
		go t.give(ctx, order)
	}
	t.pending.AddChanges(plan)
	t.commitPending(ctx)
}

// world returns what the controller decides by.
func (t *term) world() assembly.World {
	d := t.daemon
	view := d.view.Load()
	return assembly.World{
		Config:     view.Config,
		Fleet:      view.Fleet,
		Evacuated:  view.Evacuated,
		Era:        t.lease.Era(),
		IsSteady:   d.outage.Load().IsSteady(),
		IsStart:    d.settings.IsFirstStart && !d.gateway.HadRequests() && time.Since(d.began) < startTime,
		IsIdle:     d.isIdle(),
		StallTime:  d.settings.StallTime,
		LoadWindow: d.settings.LoadWindow,
		LoadExcess: d.settings.LoadExcess,
		Asked:      d.asked,
	}
}

// asked returns what callers of all daemons ask of a model, and whether that is known.
func (d *Daemon) asked(service, model string) (usage.Rate, bool) {
	return d.board.Tokens(demand.Kind{
		Service: service,
		Model:   model,
	})
}

// probe asks a server for a sign of life.
func (t *term) probe(ctx context.Context, server fleet.Server) {
	found := t.daemon.workers.Probe(server)
	t.tell(ctx, func() {
		t.controller.Probed(server.ID, found)
	})
	if found.Sign != assembly.Alive || found.IsSlow() {
		t.daemon.log.Info("groups: server probed", zap.String("server", server.ID), zap.String("sign", found.Sign.String()), zap.Float64("pace", found.Pace))
	}
}

// give gives one order, when it is its turn.
func (t *term) give(ctx context.Context, order assembly.Order) {
	select {
	case t.turns <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() {
		<-t.turns
	}()
	if !t.lease.Holds() {
		return
	}
	began := time.Now()
	result, err := t.daemon.workers.Order(order)
	t.daemon.observe("order_ms", time.Since(began))
	t.daemon.log.Info("groups: order given",
		zap.String("order", order.Kind.String()),
		zap.String("server", order.Server.ID),
		zap.String("group", order.Group),
		zap.Int64("epoch", order.Epoch),
		zap.String("model", order.Model),
		zap.String("reason", order.Reason),
		zap.String("result", result.String()),
		logline.Err(err))
	t.tell(ctx, func() {
		t.controller.Ordered(order, result)
	})
}
