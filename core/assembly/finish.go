package assembly

import (
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// Times of an end.
const (
	// drainTimeout is how long a group whose members leave may finish its work.
	drainTimeout = 2500 * time.Millisecond
	// leaveTimeout is how long a leaving server that has stopped listening may still be
	// in its group, as the platform's pages say.
	leaveTimeout = 10 * time.Second
	// abandonTimeout is how long a group none of whose members is there is waited for:
	// three stall times and more, after which a head that lives is broken.
	abandonTimeout = 20 * time.Second
	// stallMargin is added to the time after which a silent head is broken.
	stallMargin = time.Second
)

// finish brings an ending group to its end: the head is closed and leaves, and
// the record is removed when the head is known not to serve.
func (c *Controller) finishEnding(g *group, input World, plan *Plan) {
	if g.isRemoving {
		return
	}
	if !c.withdrawHead(g, input, plan) {
		return
	}
	g.isRemoving = true
	g.addNote("group ended", g.endReason, plan)
	plan.Remove = append(plan.Remove, g.record.Name)
	planRecentModels(g.record, input, plan)
}

// withdrawHead moves the head out of its group and tells whether it is known to
// be out.
func (c *Controller) withdrawHead(g *group, input World, plan *Plan) bool {
	id := g.record.Members[0]
	head, ok := input.Fleet.Server(id)
	isOut := ok && !head.Membership.In(g.record.Name, g.record.Epoch)
	if isOut || g.hasHeadTakenLeave {
		// A head that started again may come back by an order to its former start: the
		// members leave before they join others.
		g.isHeadOut = !g.hasHeadRestarted
		return true
	}
	isDead, _ := c.isDead(id)
	if !ok || isDead {
		return c.withdrawLostHead(g, id, input, plan)
	}
	c.probe(head, plan)
	isServing := head.Membership.State == fleet.Open || head.Membership.State == fleet.Closing
	mayDrain := g.isGraceful && time.Since(g.endingSince) < drainTimeout
	switch {
	case isServing && mayDrain:
		g.planOrder(head, Close, false, g.endReason, plan)
	case isServing && g.isGraceful:
		g.planOrder(head, Close, true, g.endReason, plan)
	default:
		g.planOrder(head, Leave, false, g.endReason, plan)
	}
	return false
}

// withdrawLostHead does the same for a head that does not answer, or whose entry
// is gone. It may be cut off and still serve for other daemons; or it leaves, has
// stopped listening, and finishes its work for up to 10 s, which looks like a crash
// where its entry could not tell so. It is told to leave; and its members are: without
// them it stands still, and is broken after the stall time whether it lives or not.
func (c *Controller) withdrawLostHead(g *group, id string, input World, plan *Plan) bool {
	if server, ok := input.Fleet.Known(id); ok {
		c.probe(server, plan)
		isDead, _ := c.isDead(id)
		mayBeServing := !isDead || c.isRefusedRecently(id)
		mayDrain := g.isGraceful && mayBeServing && time.Since(g.endingSince) < drainTimeout
		if mayDrain {
			g.planOrder(server, Close, false, g.endReason, plan)
			return false
		}
		g.planOrder(server, Leave, false, g.endReason, plan)
	}
	if c.withdrawMembers(g, input, plan) || isAbandoned(g, input) {
		return true
	}
	return !g.incompleteSince.IsZero() && time.Since(g.incompleteSince) > input.StallTime+stallMargin
}

// isAbandoned tells whether nothing has been heard of any member for so long that
// the group's record is dropped: a whole domain was lost. Should its servers come
// back, they leave the group without a record before they are used.
func isAbandoned(g *group, input World) bool {
	if !input.IsSteady || time.Since(g.endingSince) < abandonTimeout {
		return false
	}
	for _, id := range g.record.Members {
		if _, ok := input.Fleet.Known(id); ok {
			return false
		}
	}
	return true
}

// withdrawMembers orders the other members of a group to leave, and notes since
// when one of them is surely out. It tells whether all that are there say that
// they are out: then none of them could be in two groups. One without an entry
// may come back and still be a member; it leaves before it is used again.
func (c *Controller) withdrawMembers(g *group, input World, plan *Plan) bool {
	out, in := 0, 0
	for _, id := range g.record.Members[1:] {
		member, ok := input.Fleet.Server(id)
		switch {
		case ok && member.Membership.In(g.record.Name, g.record.Epoch):
			g.planOrder(member, Leave, false, g.endReason, plan)
			if c.isUnresponsive(member, plan) {
				continue
			}
			in++
		case ok, c.isRefusedRecently(id) && time.Since(g.endingSince) > leaveTimeout:
			out++
		}
	}
	if (out > 0 || len(g.record.Members) == 1) && g.incompleteSince.IsZero() {
		g.incompleteSince = time.Now()
	}
	return out > 0 && in == 0
}

// isUnresponsive tells whether a member that was told to leave does not answer: its entry may
// stand for three heartbeats. Should it come back, it leaves before it is used again. Where
// the head and another member died together, ten others waited 1.6 s to 2.7 s for it.
func (c *Controller) isUnresponsive(member fleet.Server, plan *Plan) bool {
	isDead, _ := c.isDead(member.ID)
	if !c.hasAnsweredRecently(member.ID) {
		c.probe(member, plan)
	}
	return isDead
}

// removeOrphans has servers leave groups that have no record: the rest of a group
// whose head was lost, or what a late order has left behind. Members of a group
// whose head is known to be out of it are left alone: they just join another.
func (c *Controller) removeOrphans(input World, plan *Plan) {
	if c.orphanLeaveAt == nil {
		c.orphanLeaveAt = map[string]time.Time{}
	}
	for _, server := range input.Fleet.Servers() {
		m := server.Membership
		if !isConfiguredEngine(input.Config, server) {
			// An entry for a service that is not configured may be anybody's.
			continue
		}
		if m.State == fleet.NoGroup || c.hasRecord(m.Group, m.Epoch) || c.isAdopting(m) || c.isOfClosedGroup(m) {
			continue
		}
		if time.Since(c.orphanLeaveAt[server.ID]) < orderRetryInterval {
			continue
		}
		c.orphanLeaveAt[server.ID] = time.Now()
		plan.Orders = append(plan.Orders, Order{
			Server: server,
			Kind:   Leave,
			Group:  m.Group,
			Epoch:  m.Epoch,
			Reason: "its group has no record",
		})
	}
}

// isConfiguredEngine tells whether a server is of a service of engines that is configured.
func isConfiguredEngine(cfg *config.Config, server fleet.Server) bool {
	service := cfg.Service(server.Service)
	return service != nil && service.Engine != nil
}

// isOfClosedGroup tells whether a membership is of an ended group whose head is out.
func (c *Controller) isOfClosedGroup(m fleet.Membership) bool {
	_, ok := c.closedGroups[groupKey{
		group: m.Group,
		epoch: m.Epoch,
	}]
	return ok
}

// reopenClosedGroups finds heads that are in an ended group again although they had been out of
// it: orders to join and to open that were not answered are carried out seconds later. Such
// a group is not closed any more: its head and its members leave before they join others.
func (c *Controller) reopenClosedGroups(view fleet.View) {
	for key, head := range c.closedGroups {
		server, _ := view.Server(head.headID)
		switch {
		case !server.Membership.In(key.group, key.epoch):
			head.wasHeadObservedOut = true
			c.closedGroups[key] = head
		case head.wasHeadObservedOut:
			delete(c.closedGroups, key)
		}
	}
}

// hasRecord tells whether a group is known.
func (c *Controller) hasRecord(name string, epoch int64) bool {
	g, ok := c.groups[name]
	return ok && g.record.Epoch == epoch
}
