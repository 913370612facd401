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

const planCommitPrefix = "plan "

// stepPlans carries out the next step of every plan whose shard this daemon holds. Only the
// stage is stored. Progress within it is derived from the fleet state, so that another daemon
// can continue a plan at any point.
func (c *Controller) stepPlans(actions *Actions) {
	for _, held := range c.UsableLeases() {
		for _, current := range c.fleet.Plans {
			if ShardOf(current.ID) == held.Shard && !c.pendingCommits[planCommitPrefix+current.ID] {
				c.stepPlan(actions, held, current)
			}
		}
	}
}

// stepPlan runs the current stage of a confirmed plan, or cleans up after a plan in a final
// state.
func (c *Controller) stepPlan(actions *Actions, held lease.Lease, current plan.Plan) {
	if current.State.IsFinal() {
		c.cleanUpPlan(actions, held, current)
		return
	}
	if current.State != plan.Confirmed {
		return
	}
	isStageDone := true
	for _, step := range current.StageSteps(current.Stage) {
		change, isDone, reason := c.stepChange(current, step)
		if reason != "" {
			c.commitPlan(actions, held, current.WithState(plan.Failed, reason), table.Transaction{})
			return
		}
		isStageDone = isStageDone && isDone
		if len(change.Writes) > 0 {
			change = change.WithCondition(plan.Key(current.ID), c.rows.Row(plan.Key(current.ID)).Version)
			c.requestCommit(actions, planCommitPrefix+current.ID+" "+step.String(), held.Fence(change))
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
func (c *Controller) commitPlan(actions *Actions, held lease.Lease, next plan.Plan, change table.Transaction) {
	key := plan.Key(next.ID)
	change = change.WithCondition(key, c.rows.Row(key).Version)
	change = change.WithWrite(table.Put(key, next))
	c.requestCommit(actions, planCommitPrefix+next.ID, held.Fence(change))
}

// stepChange returns the writes that a step still needs, whether the step is done, and the
// reason if it can no longer be done.
func (c *Controller) stepChange(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	switch step.Action {
	case plan.CloseZone, plan.OpenZone:
		return c.setZone(current, step)
	case plan.RetireVM:
		return c.retireVM(step)
	case plan.Form:
		return c.formGroup(current, step)
	case plan.Drain:
		return c.drainGroup(current, step)
	case plan.Reform:
		return c.reformGroup(current, step)
	default:
		return change, false, fmt.Sprintf("step %q is not known", step.Action)
	}
}

// setZone closes or opens a zone.
func (c *Controller) setZone(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	isClosed := step.Action == plan.CloseZone
	if c.fleet.ClosedZones[step.Zone] == isClosed {
		return change, true, ""
	}
	if c.fleet.ZonePlans[step.Zone] != current.ID {
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

// retireVM marks a VM's claim as retired. It fails if a group has the VM.
func (c *Controller) retireVM(step plan.Step) (change table.Transaction, isDone bool, reason string) {
	claim := c.fleet.Claims[step.VM]
	if claim.Retired {
		return change, true, ""
	}
	if claim.Group != "" {
		return change, false, fmt.Sprintf("VM %q was claimed by group %q meanwhile", step.VM, claim.Group)
	}
	claim.Retired = true
	claim.Plan = ""
	return c.addClaimWrite(change, step.VM, claim), false, ""
}

// formGroup creates a group on VMs that are reserved for the plan.
func (c *Controller) formGroup(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	record, ok := c.fleet.Group(step.Group)
	if ok {
		return change, record.Phase == group.Serving, ""
	}
	for _, member := range step.Record.Members {
		claim := c.fleet.Claims[member.VM]
		if claim.Group != "" || claim.Plan != current.ID {
			return change, false, fmt.Sprintf("VM %q is not reserved for the plan any more", member.VM)
		}
	}
	record = step.Record.WithMembers(step.Record.Members, step.Record.Zone, step.Record.Domain, c.fleet.MaxGeneration(step.Record.Members))
	record = record.WithPlan(current.ID)
	change = c.membershipChange(group.Record{
		Name: record.Name,
	}, record)
	change = change.WithWrite(table.Put(group.Key(record.Name), record))
	return change, false, ""
}

// drainGroup puts a group into draining; the group's controller dissolves it.
func (c *Controller) drainGroup(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	record, ok := c.fleet.Group(step.Group)
	if !ok {
		return change, true, ""
	}
	if record.Plan != current.ID {
		return change, false, fmt.Sprintf("group %q is not the plan's to change", step.Group)
	}
	if record.Phase == group.Draining && record.Next == nil {
		return change, false, ""
	}
	return c.groupUpdate(record, record.WithDraining(nil)), false, ""
}

// reformGroup drains a group and lets it form again with the planned record.
func (c *Controller) reformGroup(current plan.Plan, step plan.Step) (change table.Transaction, isDone bool, reason string) {
	record, ok := c.fleet.Group(step.Group)
	if !ok || record.Plan != current.ID {
		return change, false, fmt.Sprintf("group %q is not the plan's to change", step.Group)
	}
	isReformed := record.Generation > step.Record.Generation
	isAsPlanned := record.Version == step.Record.Version && record.Adapter == step.Record.Adapter && record.Role == step.Record.Role && haveSameVMs(record.Members, step.Record.Members)
	switch {
	case isReformed && isAsPlanned && record.Phase == group.Serving:
		return change, true, ""
	case isReformed && isAsPlanned, record.Phase == group.Draining:
		return change, false, ""
	case isReformed:
		return change, false, fmt.Sprintf("group %q was formed anew while the plan ran", step.Group)
	}
	return c.groupUpdate(record, record.WithDraining(step.Record)), false, ""
}

// groupUpdate returns the transaction that changes only a group's record.
func (c *Controller) groupUpdate(from, to group.Record) table.Transaction {
	key := group.Key(from.Name)
	change := table.Transaction{}
	change = change.WithCondition(key, c.rows.Row(key).Version)
	return change.WithWrite(table.Put(key, to))
}

// haveSameVMs reports whether two lists name the same VMs in the same order.
func haveSameVMs(a, b []group.Member) bool {
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
// Clean-up

// maxCleanUpWrites limits the groups and claims that one clean-up transaction changes.
const maxCleanUpWrites = 40

// cleanUpPlan releases what a plan in a final state holds: its mark on groups and zones,
// and VMs reserved for it. Groups that an unfinished plan formed are drained if the groups
// that they were to replace still serve, so that the fleet keeps its declared size.
func (c *Controller) cleanUpPlan(actions *Actions, held lease.Lease, current plan.Plan) {
	change := table.Transaction{}
	for _, record := range c.fleet.Groups {
		if record.Plan != current.ID || record.Phase == group.Draining || len(change.Writes) >= maxCleanUpWrites {
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
	for _, id := range slices.Sorted(maps.Keys(c.fleet.Claims)) {
		claim := c.fleet.Claims[id]
		if claim.Plan != current.ID || len(change.Writes) >= maxCleanUpWrites {
			continue
		}
		claim.Plan = ""
		change = c.addClaimWrite(change, id, claim)
	}
	for _, zone := range slices.Sorted(maps.Keys(c.fleet.ZonePlans)) {
		if c.fleet.ZonePlans[zone] != current.ID {
			continue
		}
		key := plan.ZoneKey(zone)
		change = change.WithCondition(key, c.rows.Row(key).Version)
		change = change.WithWrite(table.Put(key, plan.Zone{
			Closed: c.fleet.ClosedZones[zone],
		}))
	}
	if len(change.Writes) > 0 {
		c.requestCommit(actions, planCommitPrefix+current.ID, held.Fence(change))
	}
}

// isSurplus reports whether the plan formed a group to replace one that still serves. Of the
// groups that the plan formed, in the order of their names, as many are surplus as groups
// that it was to drain still serve.
func (c *Controller) isSurplus(current plan.Plan, record group.Record) bool {
	isFormedByPlan, surplus := false, 0
	for _, step := range current.Steps {
		other, exists := c.fleet.Group(step.Group)
		isSameModel := step.Record != nil && step.Record.Model == record.Model
		switch {
		case step.Action == plan.Form && step.Group == record.Name:
			isFormedByPlan = true
		case step.Action == plan.Form && isSameModel && exists && other.Name < record.Name && other.Phase != group.Draining:
			surplus--
		case step.Action == plan.Drain && exists && other.Model == record.Model && other.Phase == group.Serving:
			surplus++
		}
	}
	return isFormedByPlan && surplus > 0
}
