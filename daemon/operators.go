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

// acceptanceTimeout bounds the wait for a majority of the daemons to hold an
// applied declaration.
const acceptanceTimeout = 12 * time.Second

// OperatorService implements the operators' requests to a daemon, for operator.Listen.
type OperatorService struct {
	daemon   *Daemon
	registry metrics.Registry
}

// NewOperatorService returns the implementation of operators' requests to a daemon.
// Counters come from the registry.
func NewOperatorService(d *Daemon, registry metrics.Registry) *OperatorService {
	return &OperatorService{
		daemon:   d,
		registry: registry,
	}
}

// Declaration returns the declaration in force.
func (s *OperatorService) Declaration() declaration.Declaration {
	return s.daemon.Snapshot().Declaration()
}

// awaitStoreRead waits for a read of the store that begins after the call, so
// that replies and plans are based on the latest rows.
func (s *OperatorService) awaitStoreRead(ctx context.Context) error {
	requestedAt := time.Now()
	for {
		select {
		case s.daemon.refreshRequests <- struct{}{}:
		default:
		}
		isRead := false
		if !s.daemon.runInControl(func(c *control.Controller) {
			isRead = c.Contact().LastStoreRead().After(requestedAt)
		}) {
			return ErrStopped
		}
		if isRead {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("read the store: the table service does not answer; nothing was changed")
		case <-time.After(maxStepInterval / 2):
		}
	}
}

// commit commits a transaction of an operator and waits until this daemon has
// read it back. The error of a failed commit states whether anything was changed.
func (s *OperatorService) commit(ctx context.Context, operation string, transaction table.Transaction) error {
	_, err := s.daemon.store.Commit(ctx, transaction)
	switch {
	case err == nil:
		return s.awaitStoreRead(ctx)
	case errors.Is(err, table.ErrConflict):
		return operator.MarkInvalid(errors.Errorf("%s: somebody else changed it meanwhile; look and try again: %s", operation, err))
	case errors.Is(err, table.ErrUnknown):
		return errors.Wrapf(err, "%s: the store did not answer; whether it was changed is not known; look again", operation)
	default:
		return errors.Wrapf(err, "%s: nothing was changed", operation)
	}
}

// Apply stores a declaration as the next revision and waits until a majority of
// the daemons hold it. It refuses if expectedRevision is neither 0 nor the
// revision in force.
func (s *OperatorService) Apply(ctx context.Context, operatorName string, declared declaration.Declaration, expectedRevision uint64) (operator.ApplyReply, error) {
	var reply operator.ApplyReply
	if err := s.awaitStoreRead(ctx); err != nil {
		return reply, err
	}
	fleetState := s.daemon.FleetState()
	current := fleetState.Configuration
	if expectedRevision != 0 && expectedRevision != current.Revision {
		return reply, operator.MarkInvalid(errors.Errorf("apply: revision %d is in force, not %d", current.Revision, expectedRevision))
	}
	next := plan.Configuration{
		Revision:    current.Revision + 1,
		Operator:    operatorName,
		Declaration: declared,
	}
	transaction := table.Transaction{}
	transaction = transaction.WithCondition(plan.ConfigKey, fleetState.Catalog.Row(plan.ConfigKey).Version)
	transaction = transaction.WithWrite(table.Put(plan.ConfigKey, next))
	if err := s.commit(ctx, "apply", transaction); err != nil {
		return reply, err
	}
	s.daemon.log.Info("operators: declaration applied", zap.Uint64("revision", next.Revision), zap.String("operator", operatorName))
	return s.awaitAccepted(ctx, next.Revision), nil
}

// awaitAccepted waits until a majority of the daemons hold this daemon's
// configuration, for acceptanceTimeout at most, and returns the state at the end of
// the wait.
func (s *OperatorService) awaitAccepted(ctx context.Context, revision uint64) operator.ApplyReply {
	waitCtx, cancel := context.WithTimeout(ctx, acceptanceTimeout)
	defer cancel()
	reply := operator.ApplyReply{
		Revision: revision,
	}
	for {
		s.daemon.runInControl(func(c *control.Controller) {
			ownVersion, daemonIDs := c.ConfigVersion(), c.Roster().IDs()
			reply.Daemons = len(daemonIDs)
			reply.Holders = c.Contact().HolderCount(c.Self().ID, ownVersion, daemonIDs, ownVersion)
			reply.Accepted = c.Contact().IsAccepted(c.Self().ID, ownVersion, daemonIDs, ownVersion)
		})
		if reply.Accepted || waitCtx.Err() != nil {
			return reply
		}
		select {
		case <-waitCtx.Done():
		case <-time.After(maxStepInterval / 2):
		}
	}
}

// Diff compares a declaration with the one in force.
func (s *OperatorService) Diff(ctx context.Context, declared declaration.Declaration) (operator.DiffReply, error) {
	if err := s.awaitStoreRead(ctx); err != nil {
		return operator.DiffReply{}, err
	}
	current := s.daemon.FleetState().Configuration
	return operator.DiffReply{
		Revision:    current.Revision,
		Differences: declaration.Diff(current.Declaration, declared),
	}, nil
}

// planIDLength is the number of characters of a plan's id.
const planIDLength = 8

// Propose builds a plan and stores it. Any daemon can confirm it later.
func (s *OperatorService) Propose(ctx context.Context, operatorName string, intent plan.Intent) (plan.Plan, error) {
	if err := s.awaitStoreRead(ctx); err != nil {
		return plan.Plan{}, err
	}
	proposed, err := plan.Build(uuid.NewString()[:planIDLength], operatorName, intent, s.daemon.FleetState())
	if err != nil {
		return proposed, operator.MarkInvalid(err)
	}
	transaction := table.Transaction{}
	transaction = transaction.WithCondition(plan.Key(proposed.ID), 0)
	transaction = transaction.WithWrite(table.Put(plan.Key(proposed.ID), proposed))
	return proposed, s.commit(ctx, "store plan", transaction)
}

// Plans returns all plans in the store.
func (s *OperatorService) Plans(ctx context.Context) ([]plan.Plan, error) {
	if err := s.awaitStoreRead(ctx); err != nil {
		return nil, err
	}
	return append([]plan.Plan{}, s.daemon.FleetState().Plans...), nil
}

// findPlan returns a plan and the fleet state that it was read from.
func (s *OperatorService) findPlan(ctx context.Context, id string) (plan.Plan, plan.FleetState, error) {
	var storedPlan plan.Plan
	if err := s.awaitStoreRead(ctx); err != nil {
		return storedPlan, plan.FleetState{}, err
	}
	fleetState := s.daemon.FleetState()
	row := fleetState.Catalog.Row(plan.Key(id))
	if row.Version == 0 {
		return storedPlan, fleetState, operator.MarkInvalid(errors.Errorf("plan %q does not exist", id))
	}
	return storedPlan, fleetState, row.Decode(&storedPlan)
}

// Confirm confirms a proposed plan, so that the daemons start to carry it out.
func (s *OperatorService) Confirm(ctx context.Context, operatorName, id string) (plan.Plan, error) {
	storedPlan, fleetState, err := s.findPlan(ctx, id)
	if err != nil {
		return storedPlan, err
	}
	transaction, err := plan.Confirm(storedPlan, fleetState)
	if err != nil {
		return storedPlan, operator.MarkInvalid(err)
	}
	if err = s.commit(ctx, "confirm plan "+id, transaction); err != nil {
		return storedPlan, err
	}
	s.daemon.log.Info("operators: plan confirmed", zap.String("plan", id), zap.String("operator", operatorName))
	return storedPlan.WithState(plan.Confirmed, ""), nil
}

// Change pauses, resumes or abandons a plan.
func (s *OperatorService) Change(ctx context.Context, operatorName, id string, change plan.Change) (plan.Plan, error) {
	storedPlan, fleetState, err := s.findPlan(ctx, id)
	if err != nil {
		return storedPlan, err
	}
	changed, err := storedPlan.ApplyChange(change)
	if err != nil {
		return storedPlan, operator.MarkInvalid(err)
	}
	transaction := table.Transaction{}
	transaction = transaction.WithCondition(plan.Key(id), fleetState.Catalog.Row(plan.Key(id)).Version)
	transaction = transaction.WithWrite(table.Put(plan.Key(id), changed))
	if err = s.commit(ctx, string(change)+" plan "+id, transaction); err != nil {
		return storedPlan, err
	}
	s.daemon.log.Info("operators: plan changed", zap.String("plan", id), zap.String("change", string(change)), zap.String("operator", operatorName))
	return changed, nil
}

// ----------------------------------------------------------------------------
// Status of the fleet

// Status returns this daemon's view of the daemons, leases and zones.
func (s *OperatorService) Status() operator.Status {
	var status operator.Status
	snapshot := s.daemon.Snapshot()
	now := time.Now()
	s.daemon.runInControl(func(c *control.Controller) {
		ownVersion, daemonIDs := c.ConfigVersion(), c.Roster().IDs()
		status.Daemon = c.Self().ID
		status.StoreAgeSeconds = now.Sub(c.Contact().LastStoreRead()).Seconds()
		status.Accepted = ownVersion != 0 && c.Contact().IsAccepted(c.Self().ID, ownVersion, daemonIDs, ownVersion)
		for _, daemon := range c.Roster() {
			report, _ := c.Contact().Report(daemon.ID)
			daemonStatus := operator.DaemonStatus{
				ID:               daemon.ID,
				Zone:             daemon.Zone,
				ReportAgeSeconds: now.Sub(report.ObservedAt).Seconds(),
				HoldsRevision:    report.ConfigVersion >= ownVersion,
			}
			if daemon.ID == c.Self().ID {
				daemonStatus.ReportAgeSeconds = 0
				daemonStatus.HoldsRevision = true
			}
			status.Daemons = append(status.Daemons, daemonStatus)
		}
		for shard := range lease.ShardCount {
			var grant lease.Grant
			row := c.FleetState().Catalog.Row(lease.Key(shard))
			if row.Version != 0 && row.Decode(&grant) == nil {
				status.Leases = append(status.Leases, operator.LeaseStatus{
					Shard:  shard,
					Holder: grant.Holder,
				})
			}
		}
		status.Zones = zoneStatuses(c.FleetState(), snapshot, now)
	})
	status.Revision = snapshot.Configuration.Revision
	status.Serving = now.Before(snapshot.ServeUntil)
	return status
}

// zoneStatuses returns the totals of each declared zone.
func zoneStatuses(fleetState plan.FleetState, snapshot *control.Snapshot, now time.Time) []operator.ZoneStatus {
	var statuses []operator.ZoneStatus
	for _, zone := range fleetState.Configuration.Declaration.Zones {
		status := operator.ZoneStatus{
			Zone:   zone.Name,
			Closed: fleetState.ClosedZones[zone.Name],
		}
		isServingVM := map[string]bool{}
		for _, record := range fleetState.Groups {
			if record.Zone != zone.Name {
				continue
			}
			status.Groups++
			if isServeable(record, snapshot, now) {
				status.Whole++
				for _, member := range record.Members {
					isServingVM[member.VM] = true
				}
			}
		}
		for _, listedVM := range fleetState.VMs {
			if listedVM.Zone == zone.Name {
				addVMToZone(&status, listedVM, fleetState.Claims[listedVM.ID], isServingVM[listedVM.ID])
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// addVMToZone adds a VM to the totals of its zone.
func addVMToZone(status *operator.ZoneStatus, listedVM vm.VM, claim vm.Claim, isServing bool) {
	status.VMs++
	status.Accelerators += listedVM.Accelerators
	if listedVM.State == vm.Leaving {
		status.Leaving++
	}
	if listedVM.Domain != "" && claim.IsFree() {
		status.Free++
	}
	if !isServing {
		status.Stranded += listedVM.Accelerators
	}
}

// isServeable reports whether requests may be routed to a group now.
func isServeable(record group.Record, snapshot *control.Snapshot, now time.Time) bool {
	evidence, _ := snapshot.Evidence.Newest(record.Name)
	return record.CanServe(evidence, snapshot.IsLeaving, now)
}

// Groups returns the status of all groups.
func (s *OperatorService) Groups() []operator.GroupStatus {
	snapshot := s.daemon.Snapshot()
	now := time.Now()
	groups := make([]operator.GroupStatus, 0, len(snapshot.Groups))
	for _, record := range snapshot.Groups {
		evidence, _ := snapshot.Evidence.Newest(record.Name)
		groups = append(groups, operator.GroupStatus{
			Record:             record,
			Serveable:          isServeable(record, snapshot, now),
			InFlight:           evidence.InFlight,
			EvidenceAgeSeconds: now.Sub(evidence.ObservedAt).Seconds(),
		})
	}
	return groups
}

// Counters returns the registry's counters and the bytes exchanged with peers.
func (s *OperatorService) Counters() operator.Counters {
	counters := operator.Counters{
		"peer.bytes_read":    s.daemon.traffic.Read.Load(),
		"peer.bytes_written": s.daemon.traffic.Written.Load(),
	}
	s.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			counters[name] = counter.Count()
		}
	})
	return counters
}
