package assembly

import (
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
)

// formTimeoutMargin is how much longer than its loads a group may take to form.
const formTimeoutMargin = 12 * time.Second

// advanceGroup moves a group one step closer to serving, or starts to end it if it can no
// longer serve.
func (c *Controller) advanceGroup(g *group, input Input, plan *Plan) {
	reason, isGraceful := c.findEndReason(g, input, plan)
	if reason != "" {
		g.end(reason, isGraceful)
		g.addEvent("group ends", reason, plan)
		return
	}
	head, ok := input.Fleet.Server(g.record.Members[0])
	if !ok {
		return
	}
	if isHeadOpen(g, head) {
		if !g.wasOpen {
			g.addEvent("group open", "the head reports that it is open", plan)
		}
		g.wasOpen = true
		return
	}
	if !c.joinMembers(g, input, plan) {
		return
	}
	if g.record.IsWarmUp {
		g.end("its member has loaded the model", false)
		return
	}
	g.planOrder(head, Open, false, "all members are ready", plan)
}

// joinMembers orders members that are not in the group to join, and reports whether all
// members report that they are ready.
func (c *Controller) joinMembers(g *group, input Input, plan *Plan) bool {
	isReady := true
	for _, id := range g.record.Members {
		member, ok := input.Fleet.Server(id)
		if !ok {
			isReady = false
			continue
		}
		m := member.Membership
		if !m.Matches(g.record.Name, g.record.Epoch) {
			isReady = false
			c.orderJoin(g, member, plan)
			continue
		}
		isReady = isReady && m.State != fleet.Joining
	}
	return isReady
}

// orderJoin orders a member to join. Repeating an order that may still be carried out is
// harmless: it names the same group, epoch and members.
func (c *Controller) orderJoin(g *group, member fleet.Server, plan *Plan) {
	if !member.CanJoinWithoutLoading(g.record.Model) && !member.HasStaged(g.record.Model) {
		if _, ok := g.lastOrders[member.ID]; !ok {
			c.loadStarts = append(c.loadStarts, time.Now())
			g.loadingMembers[member.ID] = true
		}
	}
	g.planOrder(member, Join, false, "the group is forming", plan)
}

// findEndReason returns why a group must end, or an empty string. isGraceful lets the group
// finish its work.
func (c *Controller) findEndReason(g *group, input Input, plan *Plan) (reason string, isGraceful bool) {
	head, hasHead := input.Fleet.Server(g.record.Members[0])
	isHeadIn := hasHead && head.Membership.Matches(g.record.Name, g.record.Epoch)
	switch {
	case g.wasOpen && hasHead && !isHeadIn:
		return "the head has left", false
	case isHeadIn && head.Membership.State == fleet.Broken:
		return "the head is broken", false
	}
	for _, id := range g.record.Members {
		if reason, isGraceful = c.memberLossReason(g, id, head, input, plan); reason != "" {
			return reason, isGraceful
		}
	}
	if !g.wasOpen && !isHeadOpen(g, head) && rowstore.EraOfOrdinal(g.record.Epoch) < input.Era {
		// Its record may have been removed since the copy was made, and orders from that
		// time may still arrive.
		return "the store was restored before the group served", false
	}
	if !g.wasOpen && time.Since(g.knownSince) > formTimeout(input.Config, g.record) {
		return "the group took too long to form", false
	}
	if overdue := c.overdueMember(g, input, plan); overdue != "" {
		return "member " + overdue + " does not join", false
	}
	return c.checkSuspicion(g, input, plan)
}

// isHeadOpen reports whether a group's head reports that it serves.
func isHeadOpen(g *group, head fleet.Server) bool {
	return head.Membership.Matches(g.record.Name, g.record.Epoch) && head.Membership.State == fleet.Open
}

// formTimeout returns how long a group may take to form: its members may wait for each
// other's loads.
func formTimeout(cfg *config.Config, record Record) time.Duration {
	const sequentialLoads = 2
	service := cfg.Service(record.Service)
	if service == nil || service.Engine == nil {
		return formTimeoutMargin
	}
	model, _ := service.Engine.Model(record.Model)
	return sequentialLoads*model.LoadTime + formTimeoutMargin
}

// joinTimeoutMargin is how much longer than the load of staged weights a member may take to
// report that it has joined. It covers three orders, of which the platform may lose two, and
// the update of the member's entry.
const joinTimeoutMargin = 2 * time.Second

// overdueMember returns a member that has not reported in time that it joined a forming
// group, if it does not load from the weight store and a free server can replace it;
// otherwise an empty string. Such a member may have lost only its connection to the store, so
// it answers probes but reports nothing: eleven servers once waited 11 s for one.
func (c *Controller) overdueMember(g *group, input Input, plan *Plan) string {
	if g.wasOpen || g.record.IsWarmUp {
		return ""
	}
	service := input.Config.Service(g.record.Service)
	if service == nil || service.Engine == nil {
		return ""
	}
	model, _ := service.Engine.Model(g.record.Model)
	if time.Since(g.knownSince) < model.WarmLoadTime+joinTimeoutMargin {
		return ""
	}
	for _, id := range g.record.Members {
		member, ok := input.Fleet.Server(id)
		if !ok || member.Membership.Matches(g.record.Name, g.record.Epoch) || g.loadingMembers[id] {
			continue
		}
		if c.hasSpareFor(g, id, input, plan) {
			c.excludeOverdue(id)
			return id
		}
	}
	return ""
}

// memberLossReason returns why a member is lost to its group, or an empty string.
func (c *Controller) memberLossReason(g *group, id string, head fleet.Server, input Input, plan *Plan) (reason string, isGraceful bool) {
	member, ok := input.Fleet.Server(id)
	if !ok && !g.wasOpen && !isHeadOpen(g, head) && input.IsStoreStable {
		// The member could not report that it is ready. The others need not wait for it.
		return "member " + id + " has no entry", false
	}
	if !ok {
		return c.missingEntryReason(g, id, input, plan)
	}
	if member.Draining {
		return "member " + id + " is draining", true
	}
	if g.wasOpen && !member.Membership.Matches(g.record.Name, g.record.Epoch) {
		return "member " + id + " is no longer in the group", false
	}
	if member.Membership.Epoch > g.record.Epoch {
		return "member " + id + " is in a newer group", false
	}
	return "", false
}

// missingEntryReason returns why a server without an entry is lost, or an empty string. An
// entry also expires if its server loses only its connection to the store: a member that
// answers is still in the group, but a head without an entry must not get requests.
func (c *Controller) missingEntryReason(g *group, id string, input Input, plan *Plan) (reason string, isGraceful bool) {
	if !input.IsStoreStable {
		return "", false
	}
	if id == g.record.Members[0] {
		return "the head has no entry", true
	}
	server, ok := input.Fleet.ServerOrRemoved(id)
	if !ok {
		return "member " + id + " has had no entry recently", false
	}
	if !c.hasAnsweredRecently(id) {
		c.probe(server, plan)
	}
	if c.isLost(id, false) {
		g.evidence = c.evidenceOf(g, id)
		return "member " + id + " has no entry and does not answer", false
	}
	if isUnresponsive, _ := c.isUnresponsive(id); isUnresponsive {
		g.suspect("member " + id + " has no entry and does not answer")
	}
	return "", false
}
