package assembly

import (
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
)

// formTimeoutMargin is how much longer than its load a group may take to form.
const formTimeoutMargin = 12 * time.Second

// check brings a group one step nearer to serving, or finds out that it can
// serve no more.
func (c *Controller) advanceGroup(g *group, input World, plan *Plan) {
	reason, isGentle := c.findEndReason(g, input, plan)
	if reason != "" {
		g.end(reason, isGentle)
		g.addNote("group ends", reason, plan)
		return
	}
	head, ok := input.Fleet.Server(g.record.Members[0])
	if !ok {
		return
	}
	if isHeadOpen(g, head) {
		if !g.wasOpen {
			g.addNote("group open", "the head tells so", plan)
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

// joinMembers orders members to join that have not, and tells whether all of them
// say that they are ready.
func (c *Controller) joinMembers(g *group, input World, plan *Plan) bool {
	isReady := true
	for _, id := range g.record.Members {
		member, ok := input.Fleet.Server(id)
		if !ok {
			isReady = false
			continue
		}
		m := member.Membership
		if !m.In(g.record.Name, g.record.Epoch) {
			isReady = false
			c.orderJoin(g, member, plan)
			continue
		}
		isReady = isReady && m.State != fleet.Joining
	}
	return isReady
}

// orderJoin orders a member to join. While one order may still be carried out,
// giving it again is harmless: it names the same group, epoch and members.
func (c *Controller) orderJoin(g *group, member fleet.Server, plan *Plan) {
	if !member.CanRejoin(g.record.Model) && !member.HasStaged(g.record.Model) {
		if _, ok := g.lastOrders[member.ID]; !ok {
			c.loadStarts = append(c.loadStarts, time.Now())
			g.loadingMembers[member.ID] = true
		}
	}
	g.planOrder(member, Join, false, "the group forms", plan)
}

// findEndReason returns why a group must end, or nothing; isGraceful lets it finish its
// work.
func (c *Controller) findEndReason(g *group, input World, plan *Plan) (reason string, isGentle bool) {
	head, hasHead := input.Fleet.Server(g.record.Members[0])
	isHeadIn := hasHead && head.Membership.In(g.record.Name, g.record.Epoch)
	switch {
	case g.wasOpen && hasHead && !isHeadIn:
		return "the head has left", false
	case isHeadIn && head.Membership.State == fleet.Broken:
		return "the head is broken", false
	}
	for i, id := range g.record.Members {
		if reason, isGentle = c.memberLossReason(g, id, i == 0, input, plan); reason != "" {
			return reason, isGentle
		}
	}
	if !g.wasOpen && !isHeadOpen(g, head) && rowstore.EraOf(g.record.Epoch) < input.Era {
		// Its record may have been removed since, and orders of then may still come.
		return "the store was restored before it served", false
	}
	if !g.wasOpen && time.Since(g.since) > formTimeout(input.Config, g.record) {
		return "it took too long to form", false
	}
	if late := c.overdueMember(g, input, plan); late != "" {
		return "member " + late + " does not join", false
	}
	return c.checkSuspicion(g, input, plan)
}

// isHeadOpen tells whether a group's head says that it serves.
func isHeadOpen(g *group, head fleet.Server) bool {
	return head.Membership.In(g.record.Name, g.record.Epoch) && head.Membership.State == fleet.Open
}

// formTimeout returns how long a group may take to form: its members may wait for
// each other's loads.
func formTimeout(cfg *config.Config, record Record) time.Duration {
	const waits = 2
	service := cfg.Service(record.Service)
	if service == nil || service.Engine == nil {
		return formTimeoutMargin
	}
	model, _ := service.Engine.Model(record.Model)
	return waits*model.Load + formTimeoutMargin
}

// joinTimeoutMargin is how much longer than its load a member of staged weights may take to tell
// that it is ready: three orders, of which the platform may lose two, and its entry.
const joinTimeoutMargin = 2 * time.Second

// overdueMember returns a member that has not told in time that it has joined a group which
// forms of staged weights, where a free server can take its place; empty: there is none.
// It may be cut off from the store alone, so that it seems well and says nothing: eleven
// servers waited for such a one for 11 s.
func (c *Controller) overdueMember(g *group, input World, plan *Plan) string {
	if g.wasOpen || g.record.IsWarmUp {
		return ""
	}
	service := input.Config.Service(g.record.Service)
	if service == nil || service.Engine == nil {
		return ""
	}
	model, _ := service.Engine.Model(g.record.Model)
	if time.Since(g.since) < model.Warm+joinTimeoutMargin {
		return ""
	}
	for _, id := range g.record.Members {
		member, ok := input.Fleet.Server(id)
		if !ok || member.Membership.In(g.record.Name, g.record.Epoch) || g.loadingMembers[id] {
			continue
		}
		if c.hasSpareFor(g, id, input, plan) {
			c.excludeOverdue(id)
			return id
		}
	}
	return ""
}

// memberLossReason returns why a member is lost to its group, or nothing.
func (c *Controller) memberLossReason(g *group, id string, isHead bool, input World, plan *Plan) (reason string, isGentle bool) {
	member, ok := input.Fleet.Server(id)
	if !ok && !g.wasOpen && input.IsSteady {
		// It could not tell that it is ready. The others need not wait for it.
		return "member " + id + " has no entry", false
	}
	if !ok {
		return c.missingEntryReason(id, isHead, input, plan)
	}
	if member.Draining {
		return "member " + id + " is leaving", true
	}
	if g.wasOpen && !member.Membership.In(g.record.Name, g.record.Epoch) {
		return "member " + id + " is not in the group any more", false
	}
	if member.Membership.Epoch > g.record.Epoch {
		return "member " + id + " is in a newer group", false
	}
	return "", false
}

// missingEntryReason returns why a server without an entry is lost. An entry also lapses
// when its server is cut off from the store alone; a member that answers is
// still there, but a head without an entry must get no requests.
func (c *Controller) missingEntryReason(id string, isHead bool, input World, plan *Plan) (reason string, isGentle bool) {
	if !input.IsSteady {
		return "", false
	}
	if isHead {
		return "the head's entry is gone", true
	}
	server, ok := input.Fleet.Known(id)
	if !ok {
		return "member " + id + " is gone", false
	}
	if !c.hasAnsweredRecently(id) {
		c.probe(server, plan)
	}
	if isDead, isKnown := c.isDead(id); isKnown && isDead {
		return "member " + id + " is gone and does not answer", false
	}
	return "", false
}
