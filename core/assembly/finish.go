package assembly

import (
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

const (
	// drainTimeout is how long a group with a draining member may finish its work.
	drainTimeout = 2500 * time.Millisecond
	// surplusDrainTimeout is how long a group whose servers nothing waits for may finish its work.
	surplusDrainTimeout = 30 * time.Second
	// leaveTimeout is how long a draining server that has stopped listening may still be in
	// its group, according to the platform's documentation.
	leaveTimeout = 10 * time.Second
	// abandonTimeout is how long to wait for a group without any known member before its
	// record is removed. It is more than three stall times, after which any running head
	// has broken.
	abandonTimeout = 20 * time.Second
	// stallMargin is added to the stall time after which an unresponsive head is considered
	// broken.
	stallMargin = time.Second
)

// finishEnding completes the end of a group: the head is closed and leaves, and the record
// is removed once withdrawHead permits it.
func (c *Controller) finishEnding(g *group, input Input, plan *Plan) {
	if g.isRemovalPending {
		return
	}
	if !c.withdrawHead(g, input, plan) {
		return
	}
	g.isRemovalPending = true
	g.addEvent("group ended", g.endReason, plan)
	plan.RemovedGroups = append(plan.RemovedGroups, g.record.Name)
	planRecentModels(g.record, input, plan)
}

// withdrawHead makes the head leave its group and reports whether the group's record may be
// removed: the head is known to have left, or it is lost and withdrawLostHead permits it.
func (c *Controller) withdrawHead(g *group, input Input, plan *Plan) bool {
	id := g.record.Members[0]
	head, ok := input.Fleet.Server(id)
	hasLeft := ok && !head.Membership.Matches(g.record.Name, g.record.Epoch)
	if hasLeft || g.hasHeadAcceptedLeave {
		// A restarted head may rejoin through an order to its former start, so the
		// members have to leave before they join other groups.
		g.isHeadOut = !g.hasHeadRestarted
		return true
	}
	isUnresponsive, _ := c.isUnresponsive(id)
	if !ok || isUnresponsive {
		return c.withdrawLostHead(g, id, input, plan)
	}
	c.probe(head, plan)
	isServing := head.Membership.State == fleet.Open || head.Membership.State == fleet.Closing
	switch {
	case isServing && g.mayDrain():
		g.planOrder(head, Close, false, g.endReason, plan)
	case isServing && g.isGraceful:
		g.planOrder(head, Close, true, g.endReason, plan)
	default:
		g.planOrder(head, Leave, false, g.endReason, plan)
	}
	return false
}

// mayDrain reports whether an ending group may still finish its work.
func (g *group) mayDrain() bool {
	timeout := drainTimeout
	if g.isSurplus {
		timeout = surplusDrainTimeout
	}
	return g.isGraceful && time.Since(g.endingSince) < timeout
}

// withdrawLostHead is withdrawHead for a head that does not answer or has no entry. Such a
// head may be cut off from this daemon and still serve for others. It may also be draining:
// it has stopped listening and finishes its work for up to 10 s, which looks like a crash
// if its entry could not show it. Therefore both the head and the members are ordered to
// leave: without members the head stalls, and has broken after the stall time whether it is
// running or not. The record may be removed once the members have left (withdrawMembers), the
// group has lacked a member for longer than the stall time, or it is abandoned.
func (c *Controller) withdrawLostHead(g *group, id string, input Input, plan *Plan) bool {
	if server, ok := input.Fleet.ServerOrRemoved(id); ok {
		c.probe(server, plan)
		_, hasEntry := input.Fleet.Server(id)
		mayBeServing := !c.isLost(id, hasEntry) || c.isRefusedRecently(id)
		if mayBeServing && g.mayDrain() {
			g.planOrder(server, Close, false, g.endReason, plan)
			return false
		}
		g.planOrder(server, Leave, false, g.endReason, plan)
	}
	if c.withdrawMembers(g, input, plan) || isAbandoned(g, input) {
		return true
	}
	return !g.incompleteSince.IsZero() && time.Since(g.incompleteSince) > input.StallTimeout+stallMargin
}

// isAbandoned reports whether no member has been known for so long that the group's record
// is removed, because a whole domain was lost. If its servers come back, they leave the
// group without a record before they are reused.
func isAbandoned(g *group, input Input) bool {
	if !input.IsStoreStable || time.Since(g.endingSince) < abandonTimeout {
		return false
	}
	for _, id := range g.record.Members {
		if _, ok := input.Fleet.ServerOrRemoved(id); ok {
			return false
		}
	}
	return true
}

// withdrawMembers orders the other members of a group to leave, and records since when the
// group is certain to lack a member; a group of one counts as such immediately. It reports
// whether at least one member has left and no member that has an entry and responds is still
// in the group, so that none can be in two groups. A member without an entry may come back
// and still be in the group; it leaves before it is reused.
func (c *Controller) withdrawMembers(g *group, input Input, plan *Plan) bool {
	leftCount, presentCount := 0, 0
	for _, id := range g.record.Members[1:] {
		member, ok := input.Fleet.Server(id)
		switch {
		case ok && member.Membership.Matches(g.record.Name, g.record.Epoch):
			g.planOrder(member, Leave, false, g.endReason, plan)
			if c.probeLeavingMember(member, plan) {
				continue
			}
			presentCount++
		case ok, c.isRefusedRecently(id) && time.Since(g.endingSince) > leaveTimeout:
			leftCount++
		}
	}
	if (leftCount > 0 || len(g.record.Members) == 1) && g.incompleteSince.IsZero() {
		g.incompleteSince = time.Now()
	}
	return leftCount > 0 && presentCount == 0
}

// probeLeavingMember probes a member that was ordered to leave, and reports whether it is
// unresponsive: its entry may exist for three more heartbeats. If it comes back, it leaves
// before it is reused. Without this check ten members waited 1.6 s to 2.7 s when their head
// and another member had crashed together.
func (c *Controller) probeLeavingMember(member fleet.Server, plan *Plan) bool {
	isUnresponsive, _ := c.isUnresponsive(member.ID)
	if !c.hasAnsweredRecently(member.ID) {
		c.probe(member, plan)
	}
	return isUnresponsive
}

// orderOrphansToLeave orders servers to leave groups without a record: remaining members of a
// group whose head was lost, or memberships from delayed orders. Members of a group whose
// head is known to have left are skipped: they join another group directly.
func (c *Controller) orderOrphansToLeave(input Input, plan *Plan) {
	if c.orphanLeaveAt == nil {
		c.orphanLeaveAt = map[string]time.Time{}
	}
	for _, server := range input.Fleet.Servers() {
		m := server.Membership
		if !isConfiguredEngine(input.Config, server) {
			// An entry for a service that is not configured may belong to any system.
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

// isConfiguredEngine reports whether a server belongs to a configured service of engines.
func isConfiguredEngine(cfg *config.Config, server fleet.Server) bool {
	service := cfg.Service(server.Service)
	return service != nil && service.Engine != nil
}

// isOfClosedGroup reports whether a membership is of an ended group whose head has left.
func (c *Controller) isOfClosedGroup(m fleet.Membership) bool {
	_, ok := c.closedGroups[groupKey{
		group: m.Group,
		epoch: m.Epoch,
	}]
	return ok
}

// reopenClosedGroups finds heads that are in an ended group again after they had left it:
// orders to join and to open without an answer may be carried out seconds later. Such a
// group is no longer closed: its head and members leave before they join other groups.
func (c *Controller) reopenClosedGroups(view fleet.View) {
	for key, head := range c.closedGroups {
		server, _ := view.Server(head.headID)
		switch {
		case !server.Membership.Matches(key.group, key.epoch):
			head.wasHeadObservedOut = true
			c.closedGroups[key] = head
		case head.wasHeadObservedOut:
			delete(c.closedGroups, key)
		}
	}
}

// hasRecord reports whether a group with this name and epoch has a record.
func (c *Controller) hasRecord(name string, epoch int64) bool {
	g, ok := c.groups[name]
	return ok && g.record.Epoch == epoch
}
