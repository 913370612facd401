package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/control"
	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/lease"
	"headcourse/core/plan"
	"headcourse/core/table"
	"headcourse/core/vm"
	"headcourse/io/operator"
)

// acceptTimeout is how long an operator waits for a majority to hold a change.
const acceptTimeout = 12 * time.Second

// Fleet carries out what operators ask of a daemon.
type Fleet struct {
	daemon   *Daemon
	registry metrics.Registry
}

// NewFleet returns the operators' side of a daemon.
func NewFleet(d *Daemon, registry metrics.Registry) *Fleet {
	return &Fleet{
		daemon:   d,
		registry: registry,
	}
}

// Declaration returns the declaration in force.
func (f *Fleet) Declaration() declaration.Declaration {
	return f.daemon.Snapshot().Declaration()
}

// sync waits until the daemon has read the store again, so that what an
// operator sees or plans stands on the newest rows.
func (f *Fleet) sync(ctx context.Context) error {
	asked := time.Now()
	for {
		select {
		case f.daemon.refresh <- struct{}{}:
		default:
		}
		isRead := false
		if !f.daemon.ask(func(c *control.Controller) {
			isRead = c.Contact().StoreAt().After(asked)
		}) {
			return ErrStopped
		}
		if isRead {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("read the store: the table service does not answer; nothing was changed")
		case <-time.After(stepEvery / 2):
		}
	}
}

// commit commits a change on an operator's behalf and names what became of it.
func (f *Fleet) commit(ctx context.Context, step string, change table.Transaction) error {
	_, err := f.daemon.store.Commit(ctx, change)
	switch {
	case err == nil:
		return f.sync(ctx)
	case errors.Is(err, table.ErrConflict):
		return operator.Refuse(errors.Errorf("%s: somebody else changed it meanwhile; look and try again: %s", step, err))
	case errors.Is(err, table.ErrUnknown):
		return errors.Wrapf(err, "%s: the store did not answer; whether it was changed is not known; look again", step)
	default:
		return errors.Wrapf(err, "%s: nothing was changed", step)
	}
}

// Apply makes a declaration the next revision, and waits until a majority of
// the daemons hold it.
func (f *Fleet) Apply(ctx context.Context, by string, declared declaration.Declaration, from uint64) (operator.ApplyReply, error) {
	var reply operator.ApplyReply
	if err := f.sync(ctx); err != nil {
		return reply, err
	}
	world := f.daemon.World()
	present := world.Configuration
	if from != 0 && from != present.Revision {
		return reply, operator.Refuse(errors.Errorf("apply: revision %d is in force, not %d", present.Revision, from))
	}
	next := plan.Configuration{
		Revision:    present.Revision + 1,
		Operator:    by,
		Declaration: declared,
	}
	change := table.Transaction{}
	change = change.WithCondition(plan.ConfigKey, world.Catalog.Row(plan.ConfigKey).Version)
	change = change.WithWrite(table.Put(plan.ConfigKey, next))
	if err := f.commit(ctx, "apply", change); err != nil {
		return reply, err
	}
	f.daemon.log.Info("operators: declaration applied", zap.Uint64("revision", next.Revision), zap.String("operator", by))
	return f.awaitAccepted(ctx, next.Revision), nil
}

// awaitAccepted waits until a majority holds the present configuration.
func (f *Fleet) awaitAccepted(ctx context.Context, revision uint64) operator.ApplyReply {
	bounded, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	reply := operator.ApplyReply{
		Revision: revision,
	}
	for {
		f.daemon.ask(func(c *control.Controller) {
			own, ids := c.ConfigVersion(), c.Roster().IDs()
			reply.Daemons = len(ids)
			reply.Holders = c.Contact().Holders(c.Self().ID, own, ids, own)
			reply.Accepted = c.Contact().Accepted(c.Self().ID, own, ids, own)
		})
		if reply.Accepted || bounded.Err() != nil {
			return reply
		}
		select {
		case <-bounded.Done():
		case <-time.After(stepEvery / 2):
		}
	}
}

// Diff compares a declaration with the one in force.
func (f *Fleet) Diff(ctx context.Context, declared declaration.Declaration) (operator.DiffReply, error) {
	if err := f.sync(ctx); err != nil {
		return operator.DiffReply{}, err
	}
	present := f.daemon.World().Configuration
	return operator.DiffReply{
		Revision:    present.Revision,
		Differences: declaration.Diff(present.Declaration, declared),
	}, nil
}

// planIDSize is the length of a plan's id.
const planIDSize = 8

// Propose makes a plan and stores it, to be confirmed at any daemon.
func (f *Fleet) Propose(ctx context.Context, by string, intent plan.Intent) (plan.Plan, error) {
	if err := f.sync(ctx); err != nil {
		return plan.Plan{}, err
	}
	made, err := plan.Build(uuid.NewString()[:planIDSize], by, intent, f.daemon.World())
	if err != nil {
		return made, operator.Refuse(err)
	}
	change := table.Transaction{}
	change = change.WithCondition(plan.Key(made.ID), 0)
	change = change.WithWrite(table.Put(plan.Key(made.ID), made))
	return made, f.commit(ctx, "store plan", change)
}

// Plans returns all plans.
func (f *Fleet) Plans(ctx context.Context) ([]plan.Plan, error) {
	if err := f.sync(ctx); err != nil {
		return nil, err
	}
	return append([]plan.Plan{}, f.daemon.World().Plans...), nil
}

// find returns one plan and the world that it is seen in.
func (f *Fleet) find(ctx context.Context, id string) (plan.Plan, plan.World, error) {
	var found plan.Plan
	if err := f.sync(ctx); err != nil {
		return found, plan.World{}, err
	}
	world := f.daemon.World()
	row := world.Catalog.Row(plan.Key(id))
	if row.Version == 0 {
		return found, world, operator.Refuse(errors.Errorf("plan %q does not exist", id))
	}
	return found, world, row.Decode(&found)
}

// Confirm confirms a plan.
func (f *Fleet) Confirm(ctx context.Context, by, id string) (plan.Plan, error) {
	found, world, err := f.find(ctx, id)
	if err != nil {
		return found, err
	}
	change, err := plan.Confirm(found, world)
	if err != nil {
		return found, operator.Refuse(err)
	}
	if err = f.commit(ctx, "confirm plan "+id, change); err != nil {
		return found, err
	}
	f.daemon.log.Info("operators: plan confirmed", zap.String("plan", id), zap.String("operator", by))
	return found.WithState(plan.Confirmed, ""), nil
}

// Change pauses, resumes or abandons a plan.
func (f *Fleet) Change(ctx context.Context, by, id string, change plan.Change) (plan.Plan, error) {
	found, world, err := f.find(ctx, id)
	if err != nil {
		return found, err
	}
	next, err := found.Apply(change)
	if err != nil {
		return found, operator.Refuse(err)
	}
	write := table.Transaction{}
	write = write.WithCondition(plan.Key(id), world.Catalog.Row(plan.Key(id)).Version)
	write = write.WithWrite(table.Put(plan.Key(id), next))
	if err = f.commit(ctx, string(change)+" plan "+id, write); err != nil {
		return found, err
	}
	f.daemon.log.Info("operators: plan changed", zap.String("plan", id), zap.String("change", string(change)), zap.String("operator", by))
	return next, nil
}

// ----------------------------------------------------------------------------
// Showing

// Status returns what the daemon knows of the fleet.
func (f *Fleet) Status() operator.Status {
	var status operator.Status
	snapshot := f.daemon.Snapshot()
	now := time.Now()
	f.daemon.ask(func(c *control.Controller) {
		own, ids := c.ConfigVersion(), c.Roster().IDs()
		status.Daemon = c.Self().ID
		status.StoreAge = now.Sub(c.Contact().StoreAt()).Seconds()
		status.Accepted = own != 0 && c.Contact().Accepted(c.Self().ID, own, ids, own)
		for _, daemon := range c.Roster() {
			report, _ := c.Contact().Report(daemon.ID)
			entry := operator.DaemonStatus{
				ID:            daemon.ID,
				Zone:          daemon.Zone,
				HeardAge:      now.Sub(report.At).Seconds(),
				HoldsRevision: report.ConfigVersion >= own,
			}
			if daemon.ID == c.Self().ID {
				entry.HeardAge = 0
				entry.HoldsRevision = true
			}
			status.Daemons = append(status.Daemons, entry)
		}
		for shard := range lease.Shards {
			var grant lease.Grant
			row := c.World().Catalog.Row(lease.Key(shard))
			if row.Version != 0 && row.Decode(&grant) == nil {
				status.Leases = append(status.Leases, operator.LeaseStatus{
					Shard:  shard,
					Holder: grant.Holder,
				})
			}
		}
		status.Zones = zonesOf(c.World(), snapshot, now)
	})
	status.Revision = snapshot.Configuration.Revision
	status.Serving = now.Before(snapshot.ServeUntil)
	return status
}

// zonesOf sums up every declared zone.
func zonesOf(world plan.World, snapshot *control.Snapshot, now time.Time) []operator.ZoneStatus {
	var zones []operator.ZoneStatus
	for _, zone := range world.Configuration.Declaration.Zones {
		entry := operator.ZoneStatus{
			Zone:   zone.Name,
			Closed: world.Closed[zone.Name],
		}
		serving := map[string]bool{}
		for _, record := range world.Groups {
			if record.Zone != zone.Name {
				continue
			}
			entry.Groups++
			if isServeable(record, snapshot, now) {
				entry.Whole++
				for _, member := range record.Members {
					serving[member.VM] = true
				}
			}
		}
		for _, listed := range world.VMs {
			if listed.Zone == zone.Name {
				addVM(&entry, listed, world.Claims[listed.ID], serving[listed.ID])
			}
		}
		zones = append(zones, entry)
	}
	return zones
}

// addVM adds a VM to the sums of its zone.
func addVM(entry *operator.ZoneStatus, listed vm.VM, claim vm.Claim, isServing bool) {
	entry.VMs++
	entry.Accelerators += listed.Accelerators
	if listed.State == vm.Leaving {
		entry.Leaving++
	}
	if listed.Domain != "" && claim.Free() {
		entry.Free++
	}
	if !isServing {
		entry.Stranded += listed.Accelerators
	}
}

// isServeable tells whether a group may be given requests now.
func isServeable(record group.Record, snapshot *control.Snapshot, now time.Time) bool {
	evidence, _ := snapshot.Book.Newest(record.Name)
	return record.Serveable(evidence, snapshot.IsLeaving, now)
}

// Groups returns all groups.
func (f *Fleet) Groups() []operator.GroupStatus {
	snapshot := f.daemon.Snapshot()
	now := time.Now()
	groups := make([]operator.GroupStatus, 0, len(snapshot.Groups))
	for _, record := range snapshot.Groups {
		evidence, _ := snapshot.Book.Newest(record.Name)
		groups = append(groups, operator.GroupStatus{
			Record:    record,
			Serveable: isServeable(record, snapshot, now),
			InFlight:  evidence.InFlight,
			Age:       now.Sub(evidence.At).Seconds(),
		})
	}
	return groups
}

// Counters returns the daemon's counters.
func (f *Fleet) Counters() operator.Counters {
	counters := operator.Counters{
		"peer.bytes_read":    f.daemon.traffic.Read.Load(),
		"peer.bytes_written": f.daemon.traffic.Written.Load(),
	}
	f.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			counters[name] = counter.Count()
		}
	})
	return counters
}
