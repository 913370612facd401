package control

import (
	"time"

	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/lease"
	"headcourse/core/order"
	"headcourse/core/placement"
	"headcourse/core/plan"
	"headcourse/core/table"
	"headcourse/core/vm"
)

const (
	groupCommitPrefix = "group "

	// orderResendInterval is the minimum time between two orders to one member.
	orderResendInterval = 2 * time.Second
	// suspectTime is how long a lost VM is not chosen again.
	suspectTime = 2 * time.Minute
	// maxProbeAge is the maximum age of a probe answer on which a controller decides.
	maxProbeAge = 3 * time.Second
)

// stepGroups carries out the next step of every group whose shard this daemon holds.
func (c *Controller) stepGroups(actions *Actions, now time.Time) {
	for _, held := range c.UsableLeases() {
		for _, record := range c.fleet.Groups {
			if ShardOf(record.Name) == held.Shard && !c.pendingCommits[groupCommitPrefix+record.Name] {
				c.stepGroup(actions, held, record, now)
			}
		}
	}
}

// stepGroup carries out the next step of one group.
func (c *Controller) stepGroup(actions *Actions, held lease.Lease, record group.Record, now time.Time) {
	decision := record.Decide(c.memberViews(record, now), now.Sub(c.rowObservations[group.Key(record.Name)].firstObservedAt))
	switch decision.Action {
	case group.Place:
		c.placeGroup(actions, held, record)
	case group.SendLoad:
		c.sendOrders(actions, held, record, decision.Members, record.LoadOrder(c.nextSequence(held)))
	case group.SendUnload:
		c.sendOrders(actions, held, record, decision.Members, record.UnloadOrder(c.nextSequence(held)))
	case group.Serve:
		c.commitGroup(actions, held, record, record.WithPhase(group.Serving))
	case group.Repair:
		c.repairGroup(actions, held, record, decision.Members, now)
	case group.Reload:
		reloaded := record.WithMembers(record.Members, record.Zone, record.Domain, c.fleet.MaxGeneration(record.Members))
		c.commitGroup(actions, held, record, reloaded)
	case group.Relocate:
		next := record.WithoutMembers()
		c.commitGroup(actions, held, record, record.WithDraining(&next))
	case group.Dissolve:
		c.dissolveGroup(actions, held, record)
	case group.NoAction:
	}
}

// sequenceBits is the number of bits of an order's sequence that number the orders under
// one lease. The bits above hold the epoch.
const sequenceBits = 20

// nextSequence returns a sequence above all that any controller used under an earlier lease
// on the shard, since the epoch takes the higher bits.
func (c *Controller) nextSequence(held lease.Lease) uint64 {
	c.orderSequence++
	return held.Epoch<<sequenceBits | (c.orderSequence & (1<<sequenceBits - 1))
}

// memberViews returns what was observed of each member.
func (c *Controller) memberViews(record group.Record, now time.Time) []group.MemberView {
	views := make([]group.MemberView, len(record.Members))
	for i, member := range record.Members {
		latest := c.probes[member.VM]
		listed, isListed := c.vms[member.VM]
		since := latest.lastAnsweredAt
		if since.IsZero() {
			since = latest.firstProbedAt
		}
		// Time before the group's current record or before this daemon's lease does not
		// count.
		if formedAt := c.rowObservations[group.Key(record.Name)].firstObservedAt; formedAt.After(since) {
			since = formedAt
		}
		if leasedAt := c.leaseObservedAt(record.Name); leasedAt.After(since) {
			since = leasedAt
		}
		views[i] = group.MemberView{
			IsFresh:         !latest.isRefused && !latest.lastAnsweredAt.IsZero() && now.Sub(latest.lastAnsweredAt) <= maxProbeAge,
			State:           latest.state,
			UnresponsiveFor: now.Sub(since),
			IsRefused:       latest.isRefused,
			IsListed:        isListed || len(c.vms) == 0,
			IsLeaving:       isListed && listed.State == vm.Leaving,
		}
	}
	return views
}

// leaseObservedAt returns when the lease on a group's shard was first observed here.
func (c *Controller) leaseObservedAt(name string) time.Time {
	return c.rowObservations[lease.Key(ShardOf(name))].firstObservedAt
}

// sendOrders sends an order to members, each at most once per orderResendInterval.
func (c *Controller) sendOrders(actions *Actions, held lease.Lease, record group.Record, members []int, o order.Order) {
	held = held.ForOrder()
	for _, index := range members {
		member := record.Members[index]
		if time.Since(c.lastOrderAt[member.VM]) < orderResendInterval {
			continue
		}
		c.lastOrderAt[member.VM] = time.Now()
		c.lastOrderExpiry[held.Shard] = held.Expires
		actions.Orders = append(actions.Orders, OutgoingOrder{
			VM:      member.VM,
			Address: member.Address,
			Order:   o,
			Lease:   held,
		})
	}
}

// ----------------------------------------------------------------------------
// Membership changes

// commitGroup writes a group's new record and updates the claims of its VMs: removed
// members are freed, and kept or added members get the new generation. The transaction is
// conditional on the group's row, on the row of every claim and on the lease.
func (c *Controller) commitGroup(actions *Actions, held lease.Lease, from, to group.Record) {
	change := c.membershipChange(from, to)
	change = change.WithWrite(table.Put(group.Key(to.Name), to))
	c.requestCommit(actions, groupCommitPrefix+from.Name, held.Fence(change))
}

// membershipChange returns the transaction that updates the claims of a group's VMs.
func (c *Controller) membershipChange(from, to group.Record) table.Transaction {
	key := group.Key(from.Name)
	change := table.Transaction{}
	change = change.WithCondition(key, c.rows.Row(key).Version)
	if from.Generation == to.Generation && len(from.Members) == len(to.Members) {
		return change
	}
	for _, member := range from.Members {
		if !to.HasMember(member.VM) {
			claim := c.fleet.Claims[member.VM]
			claim.Group = ""
			claim.Plan = reservingPlan(from, to)
			change = c.addClaimWrite(change, member.VM, claim)
		}
	}
	for _, member := range to.Members {
		change = c.addClaimWrite(change, member.VM, vm.Claim{
			Group:      to.Name,
			Generation: to.Generation,
		})
	}
	return change
}

// reservingPlan returns the plan for which removed VMs stay reserved. A group that a plan
// dissolves leaves its VMs to later steps of that plan. A group that lost members must be
// able to use its other VMs again itself.
func reservingPlan(from, to group.Record) string {
	isDissolved := from.Phase == group.Draining && from.Next == nil && len(to.Members) == 0
	if isDissolved {
		return from.Plan
	}
	return ""
}

// addClaimWrite adds the write of a claim, conditional on the claim's row.
func (c *Controller) addClaimWrite(change table.Transaction, id string, claim vm.Claim) table.Transaction {
	key := vm.Key(id)
	change = change.WithCondition(key, c.rows.Row(key).Version)
	return change.WithWrite(table.Put(key, claim))
}

// placeGroup chooses VMs for a waiting group.
func (c *Controller) placeGroup(actions *Actions, held lease.Lease, record group.Record) {
	model, ok := c.fleet.Configuration.Declaration.Model(record.Model)
	if !ok {
		return
	}
	choice := placement.Place(c.domainsWithoutSuspects(), []placement.Request{{
		Name:  record.Name,
		Size:  model.VMsPerReplica,
		Zones: c.fleet.ZonesFor(model, record.Zone),
	}}, c.fleet.Configuration.Declaration.Weights)[0]
	if len(choice.Members) == 0 {
		return
	}
	members := plan.NewMembers(choice.Members)
	c.commitGroup(actions, held, record, record.WithMembers(members, choice.Zone, choice.Domain, c.fleet.MaxGeneration(members)))
}

// repairGroup applies the repairer's remedy for lost members.
func (c *Controller) repairGroup(actions *Actions, held lease.Lease, record group.Record, lost []int, now time.Time) {
	model, ok := c.fleet.Configuration.Declaration.Model(record.Model)
	if !ok {
		return
	}
	loss, isLost := c.describeLoss(record, model, lost, now)
	remedy, choice := c.repairer.Repair(loss, c.domainsWithoutSuspects(), c.fleet.Configuration.Declaration.Weights)
	replacements := plan.NewMembers(choice.Members)
	var next group.Record
	switch remedy {
	case placement.Replace:
		next = record.WithMembers(replaceLostMembers(record.Members, isLost, replacements), record.Zone, record.Domain, 0)
	case placement.Move:
		next = record.WithMembers(replacements, choice.Zone, choice.Domain, 0)
	case placement.GiveUp:
		c.commitGroup(actions, held, record, record.WithoutMembers())
		return
	case placement.Wait:
		return
	}
	next.Generation = max(record.Generation, c.fleet.MaxGeneration(next.Members)) + 1
	for id := range isLost {
		c.suspectSince[id] = now
	}
	c.commitGroup(actions, held, record, next)
}

// describeLoss describes the loss and returns the set of lost VMs.
func (c *Controller) describeLoss(record group.Record, model declaration.Model, lost []int, now time.Time) (placement.Loss, map[string]bool) {
	isLost := map[string]bool{}
	unresponsiveSeconds, lostSeconds := 0.0, 0.0
	views := c.memberViews(record, now)
	for _, index := range lost {
		isLost[record.Members[index].VM] = true
		lostSeconds = max(lostSeconds, views[index].UnresponsiveFor.Seconds())
		if !views[index].IsListed || views[index].IsRefused {
			unresponsiveSeconds = -1
		}
		if unresponsiveSeconds >= 0 {
			unresponsiveSeconds = max(unresponsiveSeconds, views[index].UnresponsiveFor.Seconds())
		}
	}
	accelerators := 0
	for _, member := range record.Members {
		if !isLost[member.VM] {
			accelerators += member.Accelerators
		}
	}
	return placement.Loss{
		Group:               record.Name,
		LostMembers:         len(lost),
		RemainingMembers:    len(record.Members) - len(lost),
		Zones:               c.fleet.ZonesFor(model, record.Zone),
		Domain:              record.Domain,
		LoadSeconds:         model.LoadTime.Or(declaration.DefaultLoadTime).Seconds(),
		UnresponsiveSeconds: unresponsiveSeconds,
		LostSeconds:         lostSeconds,
		Accelerators:        accelerators,
	}, isLost
}

// replaceLostMembers returns the members with spares in place of the lost ones.
func replaceLostMembers(members []group.Member, isLost map[string]bool, spares []group.Member) []group.Member {
	replaced := append([]group.Member(nil), members...)
	for i, member := range replaced {
		if isLost[member.VM] {
			replaced[i] = spares[0]
			spares = spares[1:]
		}
	}
	return replaced
}

// dissolveGroup frees the VMs of a drained group and deletes its row. If the group has a Next
// record, it becomes that instead: waiting if Next has no members, or else loading.
func (c *Controller) dissolveGroup(actions *Actions, held lease.Lease, record group.Record) {
	if record.Next != nil && len(record.Next.Members) == 0 {
		next := record.WithoutMembers()
		next.Next = nil
		c.commitGroup(actions, held, record, next)
		return
	}
	if record.Next != nil {
		next := record.Next.WithMembers(record.Next.Members, record.Next.Zone, record.Next.Domain, c.fleet.MaxGeneration(record.Next.Members))
		next.Generation = max(next.Generation, record.Generation+1)
		next.Plan = record.Plan
		c.commitGroup(actions, held, record, next)
		return
	}
	change := c.membershipChange(record, group.Record{
		Name: record.Name,
	})
	change = change.WithWrite(table.Write{
		Key:    group.Key(record.Name),
		Delete: true,
	})
	c.requestCommit(actions, groupCommitPrefix+record.Name, held.Fence(change))
}

// domainsWithoutSuspects returns the fabric domains with their free VMs, without suspects.
func (c *Controller) domainsWithoutSuspects() []placement.Domain {
	return c.fleet.Domains(func(id string) bool {
		since, ok := c.suspectSince[id]
		return ok && time.Since(since) < suspectTime
	})
}
