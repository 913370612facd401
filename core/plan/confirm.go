package plan

import (
	"reflect"
	"sort"

	"github.com/pkg/errors"

	"headcourse/core/group"
	"headcourse/core/table"
	"headcourse/core/vm"
)

// ErrGroundMoved reports that what the plan stands on has changed.
var ErrGroundMoved = errors.New("the plan's ground moved")

// Confirm returns the transaction that confirms a proposed plan in this world:
// it reserves the free VMs that the plan takes and marks the groups and zones
// that it changes, all conditional on the plan's ground. It returns ErrGroundMoved,
// with what moved, where it can see already that the transaction would fail.
func Confirm(proposed Plan, world World) (table.Transaction, error) {
	if proposed.State != Proposed {
		return table.Transaction{}, errors.Errorf("confirm plan %s: it is %s, not %s", proposed.ID, proposed.State, Proposed)
	}
	if err := proposed.checkGround(world); err != nil {
		return table.Transaction{}, err
	}
	confirm := table.Transaction{
		Conditions: append([]table.Condition(nil), proposed.Ground...),
	}
	confirm = confirm.WithCondition(ConfigKey, world.Catalog.Row(ConfigKey).Version)
	confirm = confirm.WithCondition(Key(proposed.ID), world.Catalog.Row(Key(proposed.ID)).Version)
	confirm = confirm.WithWrite(table.Put(Key(proposed.ID), proposed.WithState(Confirmed, "")))
	for _, name := range proposed.changedGroups() {
		if record, ok := world.Group(name); ok {
			confirm = confirm.WithWrite(table.Put(group.Key(name), record.WithPlan(proposed.ID)))
		}
	}
	for _, step := range proposed.Steps {
		if step.Verb == CloseZone || step.Verb == OpenZone {
			confirm = confirm.WithWrite(table.Put(ZoneKey(step.Zone), Zone{
				Closed: world.Closed[step.Zone],
				Plan:   proposed.ID,
			}))
		}
	}
	for _, id := range proposed.Reserves {
		claim := world.Claims[id]
		claim.Plan = proposed.ID
		confirm = confirm.WithWrite(table.Put(vm.Key(id), claim))
	}
	return confirm, nil
}

// checkGround compares the rows that the plan stands on with the world, and,
// where another configuration is in force, the plan that would be made now.
func (p Plan) checkGround(world World) error {
	for _, condition := range p.Ground {
		if version := world.Catalog.Row(condition.Key).Version; version != condition.Version {
			return errors.Wrapf(ErrGroundMoved, "confirm plan %s: row %q changed since the plan was made", p.ID, condition.Key)
		}
	}
	if p.Revision == world.Configuration.Revision {
		return nil
	}
	again, err := Build(p.ID, p.Operator, p.Intent, world)
	if err != nil {
		return errors.Wrapf(ErrGroundMoved, "confirm plan %s: under revision %d: %s", p.ID, world.Configuration.Revision, err)
	}
	if !reflect.DeepEqual(again.Steps, p.Steps) {
		return errors.Wrapf(ErrGroundMoved, "confirm plan %s: revision %d asks for other steps than revision %d", p.ID, world.Configuration.Revision, p.Revision)
	}
	return nil
}

// changedGroups returns the groups that exist already and that steps change.
func (p Plan) changedGroups() []string {
	isChanged := map[string]bool{}
	for _, step := range p.Steps {
		if step.Verb == Drain || step.Verb == Reform {
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

// Change is an operator's word on a plan that was made.
type Change string

// The changes.
const (
	ChangePause   Change = "pause"
	ChangeResume  Change = "resume"
	ChangeAbandon Change = "abandon"
)

// Apply returns the plan after an operator's change, or an error where the
// plan's state does not allow it.
func (p Plan) Apply(change Change) (Plan, error) {
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
