package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/declaration"
	"headcourse/core/plan"
	"headcourse/core/table"
)

// ----------------------------------------------------------------------------
// Operators

// Apply commits a declaration in the way the operator API does.
func (f *Fleet) Apply(daemon *SimulatedDaemon, declared declaration.Declaration) error {
	state := daemon.Controller.FleetState()
	change := table.Transaction{}
	change = change.WithCondition(plan.ConfigKey, state.Catalog.Row(plan.ConfigKey).Version)
	change = change.WithWrite(table.Put(plan.ConfigKey, plan.Configuration{
		Revision:    state.Configuration.Revision + 1,
		Declaration: declared,
	}))
	_, err := f.store.Commit(context.Background(), change)
	return err
}

// Propose stores the plan that a daemon builds for an intent.
func (f *Fleet) Propose(daemon *SimulatedDaemon, id string, intent plan.Intent) (plan.Plan, error) {
	proposed, err := plan.Build(id, "operator", intent, daemon.Controller.FleetState())
	if err != nil {
		return proposed, err
	}
	change := table.Transaction{}
	change = change.WithCondition(plan.Key(id), 0)
	change = change.WithWrite(table.Put(plan.Key(id), proposed))
	_, err = f.store.Commit(context.Background(), change)
	return proposed, err
}

// Confirm confirms a plan, based on one daemon's view of the fleet.
func (f *Fleet) Confirm(daemon *SimulatedDaemon, id string) error {
	found, err := f.Plan(id)
	if err != nil {
		return err
	}
	change, err := plan.Confirm(found, daemon.Controller.FleetState())
	if err != nil {
		return err
	}
	_, err = f.store.Commit(context.Background(), change)
	return err
}

// Plan reads a plan from the table.
func (f *Fleet) Plan(id string) (plan.Plan, error) {
	var found plan.Plan
	row, err := f.store.Read(context.Background(), plan.Key(id))
	if err != nil || row.Version == 0 {
		return found, errors.Errorf("plan %q does not exist", id)
	}
	return found, row.Decode(&found)
}

// OverwritePlan overwrites a stored plan unconditionally, which no operator can do. The
// baselines of package measures are built with it.
func (f *Fleet) OverwritePlan(id string, rewrite func(plan.Plan) plan.Plan) error {
	found, err := f.Plan(id)
	if err != nil {
		return err
	}
	write := table.Transaction{}.WithWrite(table.Put(plan.Key(id), rewrite(found)))
	_, err = f.store.Commit(context.Background(), write)
	return err
}

// ChangePlan pauses, resumes or abandons a plan.
func (f *Fleet) ChangePlan(id string, change plan.Change) error {
	row, err := f.store.Read(context.Background(), plan.Key(id))
	if err != nil {
		return err
	}
	found, err := f.Plan(id)
	if err != nil {
		return err
	}
	next, err := found.ApplyChange(change)
	if err != nil {
		return err
	}
	write := table.Transaction{}
	write = write.WithCondition(row.Key, row.Version)
	write = write.WithWrite(table.Put(row.Key, next))
	_, err = f.store.Commit(context.Background(), write)
	return err
}

// StartWithGroups declares two groups in each of the three zones and confirms a plan that
// creates them. It returns an error if the plan is not done after a minute of simulated time,
// or if the oracle found a violation.
func (f *Fleet) StartWithGroups() error {
	f.Run(5 * time.Second)
	if err := f.Apply(f.Daemons[0], NewDeclaration(map[string]int{"z0": 2, "z1": 2, "z2": 2}, "1")); err != nil {
		return err
	}
	f.Run(6 * time.Second)
	if _, err := f.Propose(f.Daemons[0], "first", plan.Intent{
		Kind: plan.Reconcile,
	}); err != nil {
		return err
	}
	f.Run(3 * time.Second)
	if err := f.Confirm(f.Daemons[0], "first"); err != nil {
		return err
	}
	f.Run(60 * time.Second)
	found, err := f.Plan("first")
	if err != nil {
		return err
	}
	if found.State != plan.Done || len(f.Violations) > 0 {
		return errors.Errorf("plan is %s at stage %d: %s; violations: %v", found.State, found.Stage, found.Reason, f.Violations)
	}
	return nil
}
