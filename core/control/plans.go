package control

import (
	"fmt"
	"maps"
	"slices"

	"headcourse/core/group"
	"headcourse/core/lease"
	"headcourse/core/plan"
	"headcourse/core/table"
)

const aboutPlan = "plan "

// stepPlans takes the next step of every plan whose shard is held. What has
// been done already is read off the groups, never remembered, so that another
// daemon can go on with a plan at any point.
func (c *Controller) stepPlans(actions *Actions) {
	for _, held := range c.Usable() {
		for _, current := range c.world.Plans {
			if ShardOf(current.ID) == held.Shard && !c.pending[aboutPlan+current.ID] {
				c.stepPlan(actions, held, current)
			}
		}
	}
}

// stepPlan runs the present stage of a confirmed plan, and tidies up after a
// final one.
func (c *Controller) stepPlan(actions *Actions, held lease.Held, current plan.Plan) {
	if current.State.IsFinal() {
		c.tidy(actions, held, current)
		return
	}
	if current.State != plan.Confirmed {
		return
	}
	isStageDone := true
	for _, step := range current.StepsOf(current.Stage) {
		change, isDone, reason := c.stepOf(current, step)
		if reason != "" {
			c.commitPlan(actions, held, current.WithState(plan.Failed, reason), table.Transaction{})
			return
		}
		isStageDone = isStageDone && isDone
		if len(change.Writes) > 0 {
			change = change.WithCondition(plan.Key(current.ID), c.rows.Row(plan.Key(current.ID)).Version)
			c.commit(actions, aboutPlan+current.ID+" "+step.String(), held.Fence(change))
		}
	}
	switch {
	case !isStageDone:
	case current.Stage >= current.LastStage():
		c.commitPlan(actions, held, current.WithState(plan.Done, ""), table.Transaction{})
	default:
		c.commitPlan(actions, held, current.WithStage(current.Stage+1), table.Transaction{})
	}
}

// commitPlan writes a plan's row together with other changes.
func (c *Controller) commitPlan(actions *Actions, held lease.Held, next plan.Plan, change table.Transaction) {
	key := plan.Key(next.ID)
	change = change.WithCondition(key, c.rows.Row(key).Version)
	change = change.WithWrite(table.Put(key, next))
	c.commit(actions, aboutPlan+next.ID, held.Fence(change))
}

// stepOf returns what is still to be written for a step, whether it is done,
// and the reason if it cannot be done any more.
func (c *Controller) stepOf(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	switch step.Verb {
	case plan.CloseZone, plan.OpenZone:
		return c.setZone(current, step)
	case plan.RetireVM:
		return c.retire(step)
	case plan.Form:
		return c.form(current, step)
	case plan.Drain:
		return c.drain(current, step)
	case plan.Reform:
		return c.reform(current, step)
	default:
		return change, false, fmt.Sprintf("step %q is not known", step.Verb)
	}
}

// setZone closes or opens a zone.
func (c *Controller) setZone(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	isClosed := step.Verb == plan.CloseZone
	if c.world.Closed[step.Zone] == isClosed {
		return change, true, ""
	}
	if c.world.ZonePlans[step.Zone] != current.ID {
		return change, false, fmt.Sprintf("zone %q is not the plan's to change", step.Zone)
	}
	key := plan.ZoneKey(step.Zone)
	change = change.WithCondition(key, c.rows.Row(key).Version)
	change = change.WithWrite(table.Put(key, plan.Zone{
		Closed: isClosed,
		Plan:   current.ID,
	}))
	return change, false, ""
}

// retire marks a VM's claim as retired, once no group has it.
func (c *Controller) retire(step plan.Step) (change table.Transaction, isDone bool, reason string) {
	claim := c.world.Claims[step.VM]
	if claim.Retired {
		return change, true, ""
	}
	if claim.Group != "" {
		return change, false, fmt.Sprintf("VM %q was claimed by group %q meanwhile", step.VM, claim.Group)
	}
	claim.Retired = true
	claim.Plan = ""
	return c.claim(change, step.VM, claim), false, ""
}

// form creates a group on VMs reserved for the plan.
func (c *Controller) form(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	record, ok := c.world.Group(step.Group)
	if ok {
		return change, record.Phase == group.Serving, ""
	}
	for _, member := range step.Record.Members {
		claim := c.world.Claims[member.VM]
		if claim.Group != "" || claim.Plan != current.ID {
			return change, false, fmt.Sprintf("VM %q is not reserved for the plan any more", member.VM)
		}
	}
	record = step.Record.WithMembers(step.Record.Members, step.Record.Zone, step.Record.Domain, c.world.Floor(step.Record.Members))
	record = record.WithPlan(current.ID)
	change = c.changeMembers(group.Record{
		Name: record.Name,
	}, record)
	change = change.WithWrite(table.Put(group.Key(record.Name), record))
	return change, false, ""
}

// drain ends a group's work; the group's controller dissolves it.
func (c *Controller) drain(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	record, ok := c.world.Group(step.Group)
	if !ok {
		return change, true, ""
	}
	if record.Plan != current.ID {
		return change, false, fmt.Sprintf("group %q is not the plan's to change", step.Group)
	}
	if record.Phase == group.Draining && record.Next == nil {
		return change, false, ""
	}
	return c.rewrite(record, record.WithDraining(nil)), false, ""
}

// reform ends a group's work and lets it form anew.
func (c *Controller) reform(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	record, ok := c.world.Group(step.Group)
	if !ok || record.Plan != current.ID {
		return change, false, fmt.Sprintf("group %q is not the plan's to change", step.Group)
	}
	isNew := record.Generation > step.Record.Generation
	isAsWanted := record.Version == step.Record.Version && record.Adapter == step.Record.Adapter && record.Role == step.Record.Role && sameMembers(record.Members, step.Record.Members)
	switch {
	case isNew && isAsWanted && record.Phase == group.Serving:
		return change, true, ""
	case isNew && isAsWanted, record.Phase == group.Draining:
		return change, false, ""
	case isNew:
		return change, false, fmt.Sprintf("group %q was formed anew while the plan ran", step.Group)
	}
	return c.rewrite(record, record.WithDraining(step.Record)), false, ""
}

// rewrite returns the transaction that changes a group's record alone.
func (c *Controller) rewrite(from, to group.Record) table.Transaction {
	key := group.Key(from.Name)
	change := table.Transaction{}
	change = change.WithCondition(key, c.rows.Row(key).Version)
	return change.WithWrite(table.Put(key, to))
}

// sameMembers tells whether two lists name the same VMs in the same order.
func sameMembers(a, b []group.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].VM != b[i].VM {
			return false
		}
	}
	return true
}

// ----------------------------------------------------------------------------
// After the end

// tidyBatch bounds the rows that one tidying transaction changes.
const tidyBatch = 40

// tidy gives back what a finished plan holds: its mark on groups, and VMs
// reserved for it. Groups that an abandoned plan formed and whose old group
// still serves are drained, so that the fleet is whole and no bigger.
func (c *Controller) tidy(actions *Actions, held lease.Held, current plan.Plan) {
	change := table.Transaction{}
	for _, record := range c.world.Groups {
		if record.Plan != current.ID || record.Phase == group.Draining || len(change.Writes) >= tidyBatch {
			continue
		}
		next := record.WithPlan("")
		if current.State != plan.Done && c.isSurplus(current, record) {
			next = next.WithDraining(nil)
		}
		key := group.Key(record.Name)
		change = change.WithCondition(key, c.rows.Row(key).Version)
		change = change.WithWrite(table.Put(key, next))
	}
	for _, id := range slices.Sorted(maps.Keys(c.world.Claims)) {
		claim := c.world.Claims[id]
		if claim.Plan != current.ID || len(change.Writes) >= tidyBatch {
			continue
		}
		claim.Plan = ""
		change = c.claim(change, id, claim)
	}
	for _, zone := range slices.Sorted(maps.Keys(c.world.ZonePlans)) {
		if c.world.ZonePlans[zone] != current.ID {
			continue
		}
		key := plan.ZoneKey(zone)
		change = change.WithCondition(key, c.rows.Row(key).Version)
		change = change.WithWrite(table.Put(key, plan.Zone{
			Closed: c.world.Closed[zone],
		}))
	}
	if len(change.Writes) > 0 {
		c.commit(actions, aboutPlan+current.ID, held.Fence(change))
	}
}

// isSurplus tells whether a group was formed by the plan in place of one that
// still serves: the plan's drains still to come outnumber its forms to come.
func (c *Controller) isSurplus(current plan.Plan, record group.Record) bool {
	formed, surplus := false, 0
	for _, step := range current.Steps {
		other, exists := c.world.Group(step.Group)
		isSameModel := step.Record != nil && step.Record.Model == record.Model
		switch {
		case step.Verb == plan.Form && step.Group == record.Name:
			formed = true
		case step.Verb == plan.Form && isSameModel && exists && other.Name < record.Name && other.Phase != group.Draining:
			surplus--
		case step.Verb == plan.Drain && exists && other.Model == record.Model && other.Phase == group.Serving:
			surplus++
		}
	}
	return formed && surplus > 0
}
