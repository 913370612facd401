package assembly

import (
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// Times of an end.
const (
	// closeTime is how long a group whose members leave may finish its work.
	closeTime = 2500 * time.Millisecond
	// leaveTime is how long a leaving server that has stopped listening may still be
	// in its group, as the platform's pages say.
	leaveTime = 10 * time.Second
	// forgetTime is how long a group none of whose members is there is waited for:
	// three stall times and more, after which a head that lives is broken.
	forgetTime = 20 * time.Second
	// stallMargin is added to the time after which a silent head is broken.
	stallMargin = time.Second
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
	noteRecent(g.record, world, plan)
}

// isHeadDone moves the head out of its group and tells whether it is known to
// be out.
func (c *Controller) isHeadDone(g *group, world World, plan *Plan) bool {
	id := g.record.Members[0]
	head, ok := world.Fleet.Server(id)
	isOut := ok && !head.Membership.In(g.record.Name, g.record.Epoch)
	if isOut || g.hasHeadLeft {
		// A head that started again may come back by an order to its former start: the
		// members leave before they join others.
		g.isHeadOut = !g.hasNewHead
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

// isLostHeadDone does the same for a head that does not answer, or whose entry
// is gone. It may be cut off and still serve for other daemons; or it leaves, has
// stopped listening, and finishes its work for up to 10 s, which looks like a crash
// where its entry could not tell so. It is told to leave; and its members are: without
// them it stands still, and is broken after the stall time whether it lives or not.
func (c *Controller) isLostHeadDone(g *group, id string, world World, plan *Plan) bool {
	if server, ok := world.Fleet.Known(id); ok {
		c.probe(server, plan)
		isDead, _ := c.isDead(id)
		mayWork := !isDead || c.isRefused(id)
		isPatient := g.isGentle && mayWork && time.Since(g.endingSince) < closeTime
		if isPatient {
			g.order(server, Close, false, g.ending, plan)
			return false
		}
		g.order(server, Leave, false, g.ending, plan)
	}
	if c.withdrawMembers(g, world, plan) || isForgotten(g, world) {
		return true
	}
	return !g.withoutMember.IsZero() && time.Since(g.withoutMember) > world.StallTime+stallMargin
}

// isForgotten tells whether nothing has been heard of any member for so long that
// the group's record is dropped: a whole domain was lost. Should its servers come
// back, they leave the group without a record before they are used.
func isForgotten(g *group, world World) bool {
	if !world.IsSteady || time.Since(g.endingSince) < forgetTime {
		return false
	}
	for _, id := range g.record.Members {
		if _, ok := world.Fleet.Known(id); ok {
			return false
		}
	}
	return true
}

// withdrawMembers orders the other members of a group to leave, and notes since
// when one of them is surely out. It tells whether all that are there say that
// they are out: then none of them could be in two groups. One without an entry
// may come back and still be a member; it leaves before it is used again.
func (c *Controller) withdrawMembers(g *group, world World, plan *Plan) bool {
	out, in := 0, 0
	for _, id := range g.record.Members[1:] {
		member, ok := world.Fleet.Server(id)
		switch {
		case ok && member.Membership.In(g.record.Name, g.record.Epoch):
			g.order(member, Leave, false, g.ending, plan)
			if c.isGoneForNow(member, plan) {
				continue
			}
			in++
		case ok, c.isRefused(id) && time.Since(g.endingSince) > leaveTime:
			out++
		}
	}
	if (out > 0 || len(g.record.Members) == 1) && g.withoutMember.IsZero() {
		g.withoutMember = time.Now()
	}
	return out > 0 && in == 0
}

// isGoneForNow tells whether a member that was told to leave does not answer: its entry may
// stand for three heartbeats. Should it come back, it leaves before it is used again. Where
// the head and another member died together, ten others waited 1.6 s to 2.7 s for it.
func (c *Controller) isGoneForNow(member fleet.Server, plan *Plan) bool {
	isDead, _ := c.isDead(member.ID)
	if !c.hasAnswered(member.ID) {
		c.probe(member, plan)
	}
	return isDead
}

// endOrphans has servers leave groups that have no record: the rest of a group
// whose head was lost, or what a late order has left behind. Members of a group
// whose head is known to be out of it are left alone: they just join another.
func (c *Controller) endOrphans(world World, plan *Plan) {
	if c.orphans == nil {
		c.orphans = map[string]time.Time{}
	}
	for _, server := range world.Fleet.Servers() {
		m := server.Membership
		if !isEngineOf(world.Config, server) {
			// An entry for a service that is not configured may be anybody's.
			continue
		}
		if m.State == fleet.NoGroup || c.hasRecord(m.Group, m.Epoch) || c.isAdopting(m) || c.isClosed(m) {
			continue
		}
		if time.Since(c.orphans[server.ID]) < askAgain {
			continue
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

// isEngineOf tells whether a server is of a service of engines that is configured.
func isEngineOf(known *config.Config, server fleet.Server) bool {
	service := known.Service(server.Service)
	return service != nil && service.Engine != nil
}

// isClosed tells whether a membership is of an ended group whose head is out.
func (c *Controller) isClosed(m fleet.Membership) bool {
	_, ok := c.closed[membershipKey{
		group: m.Group,
		epoch: m.Epoch,
	}]
	return ok
}

// noteHeadsBack finds heads that are in an ended group again although they had been out of
// it: orders to join and to open that were not answered are carried out seconds later. Such
// a group is not closed any more: its head and its members leave before they join others.
func (c *Controller) noteHeadsBack(view fleet.View) {
	for key, head := range c.closed {
		server, _ := view.Server(head.id)
		switch {
		case !server.Membership.In(key.group, key.epoch):
			head.wasSeenOut = true
			c.closed[key] = head
		case head.wasSeenOut:
			delete(c.closed, key)
		}
	}
}

// hasRecord tells whether a group is known.
func (c *Controller) hasRecord(name string, epoch int64) bool {
	g, ok := c.groups[name]
	return ok && g.record.Epoch == epoch
}
