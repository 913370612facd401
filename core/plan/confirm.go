package plan

import (
	"reflect"
	"sort"

	"github.com/pkg/errors"

	"headcourse/core/group"
	"headcourse/core/table"
	"headcourse/core/vm"
)

// ErrPreconditionsChanged means that a precondition of the plan no longer holds.
var ErrPreconditionsChanged = errors.New("the plan's preconditions changed")

// Confirm returns the transaction that confirms a proposed plan on this fleet. The
// transaction reserves the free VMs that the plan uses and marks the groups and zones that
// it changes, all conditional on the plan's preconditions. Confirm returns
// ErrPreconditionsChanged and names the change if the fleet already shows that the
// transaction would fail.
func Confirm(proposed Plan, fleet FleetState) (table.Transaction, error) {
	if proposed.State != Proposed {
		return table.Transaction{}, errors.Errorf("confirm plan %s: it is %s, not %s", proposed.ID, proposed.State, Proposed)
	}
	if err := proposed.checkPreconditions(fleet); err != nil {
		return table.Transaction{}, err
	}
	confirm := table.Transaction{
		Conditions: append([]table.Condition(nil), proposed.Preconditions...),
	}
	confirm = confirm.WithCondition(ConfigKey, fleet.Catalog.Row(ConfigKey).Version)
	confirm = confirm.WithCondition(Key(proposed.ID), fleet.Catalog.Row(Key(proposed.ID)).Version)
	confirm = confirm.WithWrite(table.Put(Key(proposed.ID), proposed.WithState(Confirmed, "")))
	for _, name := range proposed.changedGroups() {
		if record, ok := fleet.Group(name); ok {
			confirm = confirm.WithWrite(table.Put(group.Key(name), record.WithPlan(proposed.ID)))
		}
	}
	for _, step := range proposed.Steps {
		if step.Action == CloseZone || step.Action == OpenZone {
			confirm = confirm.WithWrite(table.Put(ZoneKey(step.Zone), Zone{
				Closed: fleet.ClosedZones[step.Zone],
				Plan:   proposed.ID,
			}))
		}
	}
	for _, id := range proposed.ReservedVMs {
		claim := fleet.Claims[id]
		claim.Plan = proposed.ID
		confirm = confirm.WithWrite(table.Put(vm.Key(id), claim))
	}
	return confirm, nil
}

// checkPreconditions compares the plan's preconditions with the fleet. If another
// configuration is in force, the plan that would be built now must have the same steps.
func (p Plan) checkPreconditions(fleet FleetState) error {
	for _, condition := range p.Preconditions {
		if version := fleet.Catalog.Row(condition.Key).Version; version != condition.Version {
			return errors.Wrapf(ErrPreconditionsChanged, "confirm plan %s: row %q changed since the plan was made", p.ID, condition.Key)
		}
	}
	if p.Revision == fleet.Configuration.Revision {
		return nil
	}
	rebuilt, err := Build(p.ID, p.Operator, p.Intent, fleet)
	if err != nil {
		return errors.Wrapf(ErrPreconditionsChanged, "confirm plan %s: under revision %d: %s", p.ID, fleet.Configuration.Revision, err)
	}
	if !reflect.DeepEqual(rebuilt.Steps, p.Steps) {
		return errors.Wrapf(ErrPreconditionsChanged, "confirm plan %s: revision %d requires other steps than revision %d", p.ID, fleet.Configuration.Revision, p.Revision)
	}
	return nil
}

// changedGroups returns the existing groups that the steps change, in the order of their
// names.
func (p Plan) changedGroups() []string {
	isChanged := map[string]bool{}
	for _, step := range p.Steps {
		if step.Action == Drain || step.Action == Reform {
			isChanged[step.Group] = true
		}
	}
	names := make([]string, 0, len(isChanged))
	for name := range isChanged {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Change is a change that an operator makes to an existing plan.
type Change string

// Changes by operators.
const (
	ChangePause   Change = "pause"
	ChangeResume  Change = "resume"
	ChangeAbandon Change = "abandon"
)

// ApplyChange returns the plan after an operator's change, or an error if the plan's state
// does not allow it.
func (p Plan) ApplyChange(change Change) (Plan, error) {
	switch {
	case change == ChangePause && p.State == Confirmed:
		return p.WithState(Paused, ""), nil
	case change == ChangeResume && p.State == Paused:
		return p.WithState(Confirmed, ""), nil
	case change == ChangeAbandon && !p.State.IsFinal():
		return p.WithState(Abandoned, "by an operator"), nil
	default:
		return p, errors.Errorf("%s plan %s: it is %s", change, p.ID, p.State)
	}
}
