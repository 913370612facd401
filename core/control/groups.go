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
	aboutGroup = "group "

	// orderAgainAfter is the least time between two orders to one member.
	orderAgainAfter = 2 * time.Second
	// suspectFor is how long a VM that was lost is not chosen again.
	suspectFor = 2 * time.Minute
	// freshFor is how old a probe's answer may be for a controller's decision.
	freshFor = 3 * time.Second
)

// stepGroups takes the next step of every group whose shard is held.
func (c *Controller) stepGroups(actions *Actions, now time.Time) {
	for _, held := range c.Usable() {
		for _, record := range c.world.Groups {
			if ShardOf(record.Name) == held.Shard && !c.pending[aboutGroup+record.Name] {
				c.stepGroup(actions, held, record, now)
			}
		}
	}
}

// stepGroup carries out one group's decision.
func (c *Controller) stepGroup(actions *Actions, held lease.Held, record group.Record, now time.Time) {
	decision := record.Decide(c.views(record, now), now.Sub(c.seen[group.Key(record.Name)].since))
	switch decision.Verb {
	case group.Place:
		c.place(actions, held, record)
	case group.SendLoad:
		c.send(actions, held, record, decision.Members, record.Load(c.nextSequence(held)))
	case group.SendUnload:
		c.send(actions, held, record, decision.Members, record.Unload(c.nextSequence(held)))
	case group.Serve:
		c.commitGroup(actions, held, record, record.WithPhase(group.Serving))
	case group.Repair:
		c.repair(actions, held, record, decision.Members, now)
	case group.Reload:
		again := record.WithMembers(record.Members, record.Zone, record.Domain, c.world.Floor(record.Members))
		c.commitGroup(actions, held, record, again)
	case group.Vacate:
		next := record.WithoutMembers()
		c.commitGroup(actions, held, record, record.WithDraining(&next))
	case group.Dissolve:
		c.dissolve(actions, held, record)
	case group.Rest:
	}
}

// sequenceBits is how many orders a controller can number under one lease.
const sequenceBits = 20

// nextSequence returns a sequence above all that any controller has used under
// an earlier lease on the shard: the epoch counts first.
func (c *Controller) nextSequence(held lease.Held) uint64 {
	c.sequence++
	return held.Epoch<<sequenceBits | (c.sequence & (1<<sequenceBits - 1))
}

// views returns what was observed of each member.
func (c *Controller) views(record group.Record, now time.Time) []group.View {
	views := make([]group.View, len(record.Members))
	for i, member := range record.Members {
		known := c.probes[member.VM]
		listed, isListed := c.vms[member.VM]
		since := known.answeredAt
		if since.IsZero() {
			since = known.firstAt
		}
		// Time before the group took its present form counts against nobody.
		if formed := c.seen[group.Key(record.Name)].since; formed.After(since) {
			since = formed
		}
		if taken := c.heldSince(record.Name); taken.After(since) {
			since = taken
		}
		views[i] = group.View{
			Fresh:     !known.refused && !known.answeredAt.IsZero() && now.Sub(known.answeredAt) <= freshFor,
			State:     known.state,
			UnseenFor: now.Sub(since),
			Refused:   known.refused,
			Listed:    isListed || len(c.vms) == 0,
			Leaving:   isListed && listed.State == vm.Leaving,
		}
	}
	return views
}

// heldSince returns when the lease on a group's shard was first seen here.
func (c *Controller) heldSince(name string) time.Time {
	return c.seen[lease.Key(ShardOf(name))].since
}

// send orders members, each at most once in orderAgainAfter.
func (c *Controller) send(actions *Actions, held lease.Held, record group.Record, members []int, o order.Order) {
	held = held.WithOrder()
	for _, index := range members {
		member := record.Members[index]
		if time.Since(c.ordered[member.VM]) < orderAgainAfter {
			continue
		}
		c.ordered[member.VM] = time.Now()
		c.orderedUntil[held.Shard] = held.Expires
		actions.Sends = append(actions.Sends, Send{
			VM:      member.VM,
			Address: member.Address,
			Order:   o,
			Lease:   held,
		})
	}
}

// ----------------------------------------------------------------------------
// Changing membership

// commitGroup writes a group's new record and moves its claims: members given
// up are freed, members kept or taken carry the new generation. All of it is
// conditional on the group's row, on every claim's row and on the lease.
func (c *Controller) commitGroup(actions *Actions, held lease.Held, from, to group.Record) {
	change := c.changeMembers(from, to)
	change = change.WithWrite(table.Put(group.Key(to.Name), to))
	c.commit(actions, aboutGroup+from.Name, held.Fence(change))
}

// changeMembers returns the transaction that moves the claims of a group.
func (c *Controller) changeMembers(from, to group.Record) table.Transaction {
	key := group.Key(from.Name)
	change := table.Transaction{}
	change = change.WithCondition(key, c.rows.Row(key).Version)
	if from.Generation == to.Generation && len(from.Members) == len(to.Members) {
		return change
	}
	for _, member := range from.Members {
		if !to.Has(member.VM) {
			claim := c.world.Claims[member.VM]
			claim.Group = ""
			claim.Plan = reservedBy(from, to)
			change = c.claim(change, member.VM, claim)
		}
	}
	for _, member := range to.Members {
		change = c.claim(change, member.VM, vm.Claim{
			Group:      to.Name,
			Generation: to.Generation,
		})
	}
	return change
}

// reservedBy returns the plan that VMs given up are kept for: a group that a
// plan dissolves leaves its VMs to the plan's later steps, while one that lost
// members must be able to use the others again itself.
func reservedBy(from, to group.Record) string {
	isDissolved := from.Phase == group.Draining && from.Next == nil && len(to.Members) == 0
	if isDissolved {
		return from.Plan
	}
	return ""
}

// claim adds the write of a claim, conditional on the claim's row.
func (c *Controller) claim(change table.Transaction, id string, claim vm.Claim) table.Transaction {
	key := vm.Key(id)
	change = change.WithCondition(key, c.rows.Row(key).Version)
	return change.WithWrite(table.Put(key, claim))
}

// place chooses VMs for a waiting group.
func (c *Controller) place(actions *Actions, held lease.Held, record group.Record) {
	model, ok := c.world.Configuration.Declaration.Model(record.Model)
	if !ok {
		return
	}
	choice := placement.Place(c.freeDomains(), []placement.Want{{
		Name:  record.Name,
		Size:  model.VMsPerReplica,
		Zones: c.world.ZonesFor(model, record.Zone),
	}}, c.world.Configuration.Declaration.Weights)[0]
	if len(choice.Members) == 0 {
		return
	}
	members := plan.MembersOf(choice.Members)
	c.commitGroup(actions, held, record, record.WithMembers(members, choice.Zone, choice.Domain, c.world.Floor(members)))
}

// repair applies the cheapest remedy for lost members.
func (c *Controller) repair(actions *Actions, held lease.Held, record group.Record, lost []int, now time.Time) {
	model, ok := c.world.Configuration.Declaration.Model(record.Model)
	if !ok {
		return
	}
	loss, isLost := c.lossOf(record, model, lost, now)
	remedy, choice := c.repairer.Repair(loss, c.freeDomains(), c.world.Configuration.Declaration.Weights)
	taken := plan.MembersOf(choice.Members)
	var next group.Record
	switch remedy {
	case placement.Replace:
		next = record.WithMembers(replaceLost(record.Members, isLost, taken), record.Zone, record.Domain, 0)
	case placement.Move:
		next = record.WithMembers(taken, choice.Zone, choice.Domain, 0)
	case placement.GiveUp:
		c.commitGroup(actions, held, record, record.WithoutMembers())
		return
	case placement.Wait:
		return
	}
	next.Generation = max(record.Generation, c.world.Floor(next.Members)) + 1
	for id := range isLost {
		c.suspects[id] = now
	}
	c.commitGroup(actions, held, record, next)
}

// lossOf describes the loss, and returns the lost VMs.
func (c *Controller) lossOf(record group.Record, model declaration.Model, lost []int, now time.Time) (placement.Loss, map[string]bool) {
	isLost := map[string]bool{}
	unseen, away := 0.0, 0.0
	views := c.views(record, now)
	for _, index := range lost {
		isLost[record.Members[index].VM] = true
		away = max(away, views[index].UnseenFor.Seconds())
		if !views[index].Listed || views[index].Refused {
			unseen = -1
		}
		if unseen >= 0 {
			unseen = max(unseen, views[index].UnseenFor.Seconds())
		}
	}
	accelerators := 0
	for _, member := range record.Members {
		if !isLost[member.VM] {
			accelerators += member.Accelerators
		}
	}
	return placement.Loss{
		Group:         record.Name,
		Lost:          len(lost),
		Kept:          len(record.Members) - len(lost),
		Zones:         c.world.ZonesFor(model, record.Zone),
		Domain:        record.Domain,
		LoadSeconds:   model.LoadTime.Or(declaration.DefaultLoadTime).Seconds(),
		UnseenSeconds: unseen,
		AwaySeconds:   away,
		Accelerators:  accelerators,
	}, isLost
}

// replaceLost returns the members with spares in place of the lost ones.
func replaceLost(members []group.Member, isLost map[string]bool, spares []group.Member) []group.Member {
	replaced := append([]group.Member(nil), members...)
	for i, member := range replaced {
		if isLost[member.VM] {
			replaced[i] = spares[0]
			spares = spares[1:]
		}
	}
	return replaced
}

// dissolve frees the VMs of a drained group, or forms what comes next of it.
func (c *Controller) dissolve(actions *Actions, held lease.Held, record group.Record) {
	if record.Next != nil && len(record.Next.Members) == 0 {
		next := record.WithoutMembers()
		next.Next = nil
		c.commitGroup(actions, held, record, next)
		return
	}
	if record.Next != nil {
		next := record.Next.WithMembers(record.Next.Members, record.Next.Zone, record.Next.Domain, c.world.Floor(record.Next.Members))
		next.Generation = max(next.Generation, record.Generation+1)
		next.Plan = record.Plan
		c.commitGroup(actions, held, record, next)
		return
	}
	change := c.changeMembers(record, group.Record{
		Name: record.Name,
	})
	change = change.WithWrite(table.Write{
		Key:    group.Key(record.Name),
		Delete: true,
	})
	c.commit(actions, aboutGroup+record.Name, held.Fence(change))
}

// freeDomains returns the fabric domains with free VMs that are not suspect.
func (c *Controller) freeDomains() []placement.Domain {
	return c.world.Domains(func(id string) bool {
		since, ok := c.suspects[id]
		return ok && time.Since(since) < suspectFor
	})
}
