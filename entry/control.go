package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"headcourse/core/assembly"
	"headcourse/core/leader"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// Figures of control.
const (
	// stepEvery is the time between two steps without news.
	stepEvery = 100 * time.Millisecond
	// newsQueue bounds news that wait for the control goroutine.
	newsQueue = 256
	// leaseWait is how long one call waits for a change of the lease, which its
	// holder rewrites more often.
	leaseWait = 2 * time.Second
	// readTime bounds reading the records.
	readTime = time.Second
)

// newElector returns this daemon's part in the choice of the leader.
func (d *Daemon) newElector() *leader.Elector {
	return &leader.Elector{
		Store: d.store,
		Name:  d.settings.Name,
		Start: d.start,
		Rank:  d.rank,
		Changed: func(isLeader bool, epoch int64, reason string) {
			d.log.Info("control: lease changed", zap.Bool("is_leader", isLeader), zap.Int64("lease_version", epoch), zap.String("reason", reason))
		},
	}
}

// leaseFollower follows the lease.
func (d *Daemon) leaseFollower(elector *leader.Elector) *rowstore.Follower {
	see := func(isWhole bool) func([]rowstore.Row, int64, time.Time) {
		return func(rows []rowstore.Row, _ int64, _ time.Time) {
			if err := elector.See(rows, isWhole); err != nil {
				d.log.Error("control: lease not taken notice of", logline.Err(err))
			}
		}
	}
	return &rowstore.Follower{
		Store:    d.chain,
		Table:    leader.Table,
		Wait:     leaseWait,
		Whole:    see(true),
		Changed:  see(false),
		Hub:      &d.hub,
		Failed:   d.noteTrouble(leader.Table),
		Restored: d.noteRestored(leader.Table),
		Clock:    &d.clock,
	}
}

// steward is one term of leading: one goroutine owns the controller; orders,
// probes and followers hand it what they learn as functions.
type steward struct {
	daemon     *Daemon
	lease      *leader.Lease
	controller assembly.Controller
	news       chan func()
	mustLoad   bool
	// pending are changes that wait for the one being committed.
	pending      assembly.Plan
	isCommitting bool
}

// lead forms and repairs groups until ctx ends.
func (d *Daemon) lead(ctx context.Context, lease *leader.Lease) {
	s := &steward{
		daemon:   d,
		lease:    lease,
		news:     make(chan func(), newsQueue),
		mustLoad: true,
	}
	d.told.listen(func(group string, epoch int64) {
		s.tell(ctx, func() {
			s.controller.Suspect(group, epoch)
		})
	})
	defer d.told.listen(nil)
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-d.changed:
		case news := <-s.news:
			news()
		}
		s.drain()
	}
}

// drain takes all news that wait.
func (s *steward) drain() {
	for {
		select {
		case news := <-s.news:
			news()
		default:
			return
		}
	}
}

// tell hands news to the control goroutine.
func (s *steward) tell(ctx context.Context, news func()) {
	select {
	case s.news <- news:
	case <-ctx.Done():
	}
}

// step decides once and does what was decided. Nothing is ordered unless the
// lease holds and the records are known.
func (s *steward) step(ctx context.Context) {
	d := s.daemon
	if !s.lease.Holds() || !d.serversRead.Load() {
		return
	}
	if s.mustLoad && (s.isCommitting || !s.load(ctx)) {
		return
	}
	view := d.view.Load()
	plan := s.controller.Step(assembly.World{
		Config:     view.Config,
		Fleet:      view.Fleet,
		IsSteady:   d.outage.Load().IsSteady(),
		IsStart:    d.settings.IsFirstStart && !d.gateway.HadRequests(),
		StallTime:  d.settings.StallTime,
		LoadWindow: d.settings.LoadWindow,
		LoadExcess: d.settings.LoadExcess,
	})
	for _, note := range plan.Notes {
		d.log.Info("groups: "+note.What, zap.String("group", note.Group), zap.Int64("epoch", note.Epoch), zap.String("model", note.Model), zap.String("reason", note.Reason))
	}
	for _, server := range plan.Probes {
		go func() {
			sign := d.workers.Probe(server)
			s.tell(ctx, func() {
				s.controller.Probed(server.ID, sign)
			})
			if sign != assembly.Alive {
				d.log.Info("groups: server probed", zap.String("server", server.ID), zap.String("sign", sign.String()))
			}
		}()
	}
	for _, order := range plan.Orders {
		go s.give(ctx, order)
	}
	s.pending.Create = append(s.pending.Create, plan.Create...)
	s.pending.Remove = append(s.pending.Remove, plan.Remove...)
	s.pending.Cleared = append(s.pending.Cleared, plan.Cleared...)
	s.commitPending(ctx)
}

// commitPending starts to commit what waits, one change at a time. Orders and
// probes go on meanwhile: the store may be slow.
func (s *steward) commitPending(ctx context.Context) {
	plan := s.pending
	if s.isCommitting || len(plan.Create)+len(plan.Remove)+len(plan.Cleared) == 0 {
		return
	}
	s.pending = assembly.Plan{}
	s.isCommitting = true
	go func() {
		version, err := s.commit(ctx, plan)
		s.tell(ctx, func() {
			s.isCommitting = false
			s.committed(plan, version, err)
		})
	}()
}

// committed takes what became of a change.
func (s *steward) committed(plan assembly.Plan, version int64, err error) {
	if err != nil {
		s.mustLoad = true
		s.pending = assembly.Plan{}
		s.daemon.log.Warn("groups: change not confirmed, records are read again", logline.Err(err))
		return
	}
	s.controller.Created(plan.Create, version)
	s.controller.Removed(plan.Remove)
	for _, record := range plan.Create {
		s.daemon.log.Info("groups: created", zap.String("group", record.Name), zap.Int64("epoch", version), zap.String("model", record.Model), zap.Strings("members", record.Members))
	}
}

// give gives one order.
func (s *steward) give(ctx context.Context, order assembly.Order) {
	if !s.lease.Holds() {
		return
	}
	began := time.Now()
	result, err := s.daemon.workers.Order(order)
	s.daemon.observe("order_ms", time.Since(began))
	s.daemon.log.Info("groups: order given",
		zap.String("order", order.Kind.String()),
		zap.String("server", order.Server.ID),
		zap.String("group", order.Group),
		zap.Int64("epoch", order.Epoch),
		zap.String("model", order.Model),
		zap.String("reason", order.Reason),
		zap.String("result", result.String()),
		logline.Err(err))
	s.tell(ctx, func() {
		s.controller.Ordered(order, result)
	})
}

// load reads the records of all groups.
func (s *steward) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	result, err := s.daemon.store.Read(ctx, assembly.Table)
	if err != nil {
		s.daemon.noteTrouble(assembly.Table)(err)
		return false
	}
	var records []assembly.Record
	for _, row := range result.Rows {
		record, decodeErr := assembly.DecodeRecord(row.Value, row.Version)
		if decodeErr != nil {
			s.daemon.log.Error("groups: record not taken", zap.String("group", row.Key), logline.Err(decodeErr))
			continue
		}
		records = append(records, record)
	}
	s.controller.Load(records)
	s.mustLoad = false
	s.daemon.log.Info("groups: records read", zap.Int("groups", len(records)), zap.Int64("table_version", result.Version))
	return true
}

// commit writes and removes records, and returns the version of those written.
func (s *steward) commit(ctx context.Context, plan assembly.Plan) (int64, error) {
	var writes, removes []rowstore.Row
	for _, record := range plan.Create {
		value, err := record.Encode()
		if err != nil {
			return 0, err
		}
		writes = append(writes, rowstore.Row{
			Table: assembly.Table,
			Key:   record.Name,
			Value: value,
		})
	}
	for _, name := range plan.Remove {
		removes = append(removes, rowstore.Row{
			Table: assembly.Table,
			Key:   name,
		})
	}
	for _, name := range append(plan.Cleared, plan.Remove...) {
		removes = append(removes, rowstore.Row{
			Table: stallTable,
			Key:   name,
		})
	}
	var version int64
	err := s.lease.Commit(ctx, writes, removes, &version)
	return version, err
}
