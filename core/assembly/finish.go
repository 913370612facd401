package assembly

import (
	"time"

	"headcourse/core/fleet"
)

// finish brings an ending group to its end: the head is closed and leaves, and
// the record is removed when the head is known not to serve.
func (c *Controller) finish(g *group, world World, plan *Plan) {
	if g.isRemoving {
		return
	}
	if !c.isHeadDone(g, world, plan) {
		return
	}
	g.isRemoving = true
	g.note("group ended", g.ending, plan)
	plan.Remove = append(plan.Remove, g.record.Name)
}

// isHeadDone moves the head out of its group and tells whether it is known to
// be out.
func (c *Controller) isHeadDone(g *group, world World, plan *Plan) bool {
	id := g.record.Members[0]
	head, ok := world.Fleet.Server(id)
	if ok && !head.Membership.In(g.record.Name, g.record.Epoch) {
		return true
	}
	if c.isRefused(id) {
		return true
	}
	isDead, _ := c.isDead(id)
	if !ok || isDead {
		return c.isLostHeadDone(g, id, world, plan)
	}
	c.probe(head, plan)
	isServing := head.Membership.State == fleet.Open || head.Membership.State == fleet.Closing
	isPatient := g.isGentle && time.Since(g.endingSince) < closeTime
	switch {
	case isServing && isPatient:
		g.order(head, Close, false, g.ending, plan)
	case isServing && g.isGentle:
		g.order(head, Close, true, g.ending, plan)
	default:
		g.order(head, Leave, false, g.ending, plan)
	}
	return false
}

// isRefused tells whether nothing listened at a server's address just now, so
// that its process is gone.
func (c *Controller) isRefused(id string) bool {
	known := c.signs[id]
	return known.last == Refused && time.Since(known.at) < probeValid
}

// isLostHeadDone does the same for a head that does not answer, or whose entry
// is gone. It may be cut off and still serve for other daemons. It is told to
// leave; and its members are: without them it stands still, and is broken after
// the stall time whether it lives or not.
func (c *Controller) isLostHeadDone(g *group, id string, world World, plan *Plan) bool {
	if g.hasHeadLeft {
		return true
	}
	if server, ok := world.Fleet.Known(id); ok {
		c.probe(server, plan)
		isDead, _ := c.isDead(id)
		isPatient := g.isGentle && !isDead && time.Since(g.endingSince) < closeTime
		if isPatient {
			g.order(server, Close, false, g.ending, plan)
			return false
		}
		g.order(server, Leave, false, g.ending, plan)
	}
	if c.withdrawMembers(g, world, plan) {
		return true
	}
	return !g.withoutMember.IsZero() && time.Since(g.withoutMember) > world.StallTime+stallMargin
}

// withdrawMembers orders the other members of a group to leave, and notes since
// when one of them is surely out. It tells whether all that are there say that
// they are: then the group has no members left that could be in two groups, and
// its head can serve nothing without them.
func (c *Controller) withdrawMembers(g *group, world World, plan *Plan) bool {
	out, in := 0, 0
	for _, id := range g.record.Members[1:] {
		member, ok := world.Fleet.Server(id)
		switch {
		case ok && member.Membership.In(g.record.Name, g.record.Epoch):
			in++
			g.order(member, Leave, false, g.ending, plan)
		case ok || c.isRefused(id) || world.IsSteady:
			out++
		}
	}
	if (out > 0 || len(g.record.Members) == 1) && g.withoutMember.IsZero() {
		g.withoutMember = time.Now()
	}
	return out > 0 && in == 0
}

// endOrphans ends groups at servers that have no record, as a late order can
// leave them behind.
func (c *Controller) endOrphans(world World, plan *Plan) {
	for _, server := range world.Fleet.Servers() {
		m := server.Membership
		isServing := m.State == fleet.Open || m.State == fleet.Closing
		if !isServing || m.Rank != 0 || c.hasRecord(m.Group, m.Epoch) {
			continue
		}
		if time.Since(c.orphans[server.ID]) < askAgain {
			continue
		}
		if c.orphans == nil {
			c.orphans = map[string]time.Time{}
		}
		c.orphans[server.ID] = time.Now()
		plan.Orders = append(plan.Orders, Order{
			Server: server,
			Kind:   Leave,
			Group:  m.Group,
			Epoch:  m.Epoch,
			Reason: "its group has no record",
		})
	}
}

// hasRecord tells whether a group is known.
func (c *Controller) hasRecord(name string, epoch int64) bool {
	g, ok := c.groups[name]
	return ok && g.record.Epoch == epoch
}
