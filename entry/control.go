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

const (
	// stepInterval is the time between two steps of the controller if no event arrives.
	stepInterval = 100 * time.Millisecond
	// maxFirstStartDuration bounds the first start of the whole system, during which model
	// loads are not rate limited. Clients arrive 10 s after the VMs start, and this daemon may
	// get its first request later than others.
	maxFirstStartDuration = 8 * time.Second
	// maxOrdersInFlight bounds concurrent orders. A server answers within milliseconds, so this
	// allows thousands of orders a second; an order to an unreachable zone takes 0.6 s.
	maxOrdersInFlight = 256
	// eventQueueCapacity bounds the events that wait for the control goroutine.
	eventQueueCapacity = 256
	// leaseFeedWait is how long one call waits for a change of the lease. The holder renews
	// the lease more often.
	leaseFeedWait = 2 * time.Second
)

// newElector returns this daemon's candidate in the leader election.
func (d *Daemon) newElector() *leader.Elector {
	return &leader.Elector{
		Store:   d.store,
		Name:    d.settings.Name,
		StartID: d.startID,
		Clock:   d.bootClock,
		Rank:    d.candidateRank,
		IsStoreUnavailable: func() bool {
			return d.storeOutage.Load().IsOngoing()
		},
		OnChange: func(isLeader bool, lease rowstore.Revision, reason string) {
			d.log.Info("control: lease changed",
				zap.Bool("is_leader", isLeader),
				zap.Int64("era", lease.Era),
				zap.Int64("lease_version", lease.Version),
				zap.String("reason", reason))
		},
	}
}

// leaseFollower watches the lease.
func (d *Daemon) leaseFollower(elector *leader.Elector) *rowstore.Follower {
	observe := func(isSnapshot bool) func([]rowstore.Row, rowstore.Revision, time.Time) {
		return func(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
			if err := elector.Observe(rows, at.Era, isSnapshot); err != nil {
				d.log.Error("control: lease row not decoded", logline.ErrorField(err))
			}
		}
	}
	return &rowstore.Follower{
		Reader:      d.tableReader,
		Table:       leader.Table,
		FeedWait:    leaseFeedWait,
		OnSnapshot:  observe(true),
		OnChanges:   observe(false),
		TableCache:  &d.tableCache,
		OnFailure:   d.recordStoreError(leader.Table),
		OnRecovery:  d.recordStoreRecovery(leader.Table),
		OnEraChange: d.recordEraChange(leader.Table),
		OnRejected:  d.recordDroppedAnswer(leader.Table),
		Clock:       &d.storeClock,
	}
}

// term is one term as leader. A single goroutine owns the controller; orders, probes and
// followers pass their results to it as functions.
type term struct {
	daemon     *Daemon
	lease      *leader.Lease
	controller assembly.Controller
	events     chan func()
	// orderSlots holds a token for each order in flight.
	orderSlots chan struct{}
	// mustReadRecords is set if the records in the store may differ from the controller's.
	mustReadRecords bool
	// lastReadAttempt is when the records were last requested.
	lastReadAttempt time.Time
	// pendingChanges are changes of records that wait until the current commit ends.
	pendingChanges assembly.Plan
	isCommitting   bool
}

// lead forms and repairs groups until ctx ends.
func (d *Daemon) lead(ctx context.Context, lease *leader.Lease) {
	t := &term{
		daemon:          d,
		lease:           lease,
		events:          make(chan func(), eventQueueCapacity),
		orderSlots:      make(chan struct{}, maxOrdersInFlight),
		mustReadRecords: true,
	}
	d.isLeader.Store(true)
	defer d.isLeader.Store(false)
	d.reportedStalls.subscribe(func(group string, reported stall) {
		t.enqueue(ctx, func() {
			t.controller.Suspect(group, reported.Epoch, reported.UnresponsiveMember)
		})
	})
	defer d.reportedStalls.subscribe(nil)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		t.step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-d.viewChanged:
		case event := <-t.events:
			event()
		}
		t.drainEvents()
	}
}

// drainEvents handles all pending events.
func (t *term) drainEvents() {
	for {
		select {
		case event := <-t.events:
			event()
		default:
			return
		}
	}
}

// enqueue passes an event to the control goroutine.
func (t *term) enqueue(ctx context.Context, event func()) {
	select {
	case t.events <- event:
	case <-ctx.Done():
	}
}

// step runs the controller once and carries out its decisions. It does nothing unless the lease
// is held, the records are known, and the server entries were read in the lease's era. It also
// does nothing while these entries may come from an older copy of the store: a server that looks
// free in it may be a member of a serving group.
func (t *term) step(ctx context.Context) {
	if !t.lease.IsValid() || !t.daemon.serversLoaded.Load() || !t.lease.IsPastRestore(t.daemon.rewriteWindow()) {
		return
	}
	if t.mustReadRecords && (t.isCommitting || !t.readRecords(ctx)) {
		return
	}
	input := t.controllerInput()
	if t.daemon.serversEra.Load() != t.lease.Era() {
		return
	}
	plan := t.controller.Step(input)
	for _, event := range plan.Events {
		t.daemon.log.Info("groups: "+event.Message, append([]zap.Field{
			zap.String("group", event.Group),
			zap.Int64("epoch", event.Epoch),
			zap.String("model", event.Model),
			zap.String("reason", event.Reason),
		}, evidenceFields(event.Evidence)...)...)
	}
	for _, server := range plan.Probes {
		go t.probe(ctx, server)
	}
	for _, order := range plan.Orders {
		go t.sendOrder(ctx, order)
	}
	t.pendingChanges.AddChanges(plan)
	t.commitPending(ctx)
}

// evidenceFields returns the log fields of what showed that a member is lost, if anything did.
func evidenceFields(evidence *assembly.Evidence) []zap.Field {
	if evidence == nil {
		return nil
	}
	return []zap.Field{
		zap.String("member", evidence.Member),
		zap.String("sign", evidence.Status.String()),
		zap.Int("probes_unanswered", evidence.Unanswered),
		zap.Int64("unanswered_for_ms", evidence.Since.Milliseconds()),
		zap.Int64("last_answer_age_ms", evidence.SinceAnswer.Milliseconds()),
		zap.Int64("suspected_for_ms", evidence.Suspected.Milliseconds()),
	}
}

// controllerInput returns the state that the controller decides on.
func (t *term) controllerInput() assembly.Input {
	d := t.daemon
	view := d.view.Load()
	return assembly.Input{
		Config:               view.Config,
		Fleet:                view.Fleet,
		EvacuatedZones:       view.Evacuated,
		Era:                  t.lease.Era(),
		IsStoreStable:        d.storeOutage.Load().IsSettled(),
		IsStartupPhase:       d.settings.IsFirstStart && !d.gateway.HadRequests() && time.Since(d.startedAt) < maxFirstStartDuration,
		IsBeforeFirstRequest: d.isIdle(),
		StallTimeout:         d.settings.StallTimeout,
		LoadWindow:           d.settings.LoadWindow,
		LoadLimitFactor:      d.settings.LoadExcess,
		DemandOf:             d.demandFor,
	}
}

// demandFor returns the demand for a model at all daemons, and whether it is known.
func (d *Daemon) demandFor(service, model string) (usage.Rate, bool) {
	return d.demandTotals.SizingRates(demand.Kind{
		Service: service,
		Model:   model,
	})
}

// probe checks whether a server responds and passes the result to the controller.
func (t *term) probe(ctx context.Context, server fleet.Server) {
	result := t.daemon.engines.Probe(server)
	t.enqueue(ctx, func() {
		t.controller.ProbeCompleted(server.ID, result)
	})
	if result.Status != assembly.Answered || result.IsSlow() {
		t.daemon.log.Info("groups: server probed", zap.String("server", server.ID), zap.String("sign", result.Status.String()), zap.Bool("connected", result.IsConnected), zap.Float64("pace", result.Slowdown))
	}
}

// sendOrder sends one order once a slot is free.
func (t *term) sendOrder(ctx context.Context, order assembly.Order) {
	select {
	case t.orderSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() {
		<-t.orderSlots
	}()
	if !t.lease.IsValid() {
		return
	}
	sentAt := time.Now()
	result, err := t.daemon.engines.SendOrder(order)
	t.daemon.observeDuration("order_ms", time.Since(sentAt))
	t.daemon.log.Info("groups: order given",
		zap.String("order", order.Kind.String()),
		zap.String("server", order.Server.ID),
		zap.String("group", order.Group),
		zap.Int64("epoch", order.Epoch),
		zap.String("model", order.Model),
		zap.String("reason", order.Reason),
		zap.String("result", result.String()),
		logline.ErrorField(err))
	t.enqueue(ctx, func() {
		t.controller.OrderCompleted(order, result)
	})
}
