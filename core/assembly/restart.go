package assembly

import "headcourse/core/fleet"

// detectRestarts finds servers that restarted under the same ID, possibly before their entry
// expired. A new start has no memberships and no loaded model, so the controller discards
// what it observed of the former one.
func (c *Controller) detectRestarts(input Input, plan *Plan) {
	if c.serverStarts == nil {
		c.serverStarts = map[string]int64{}
	}
	for _, server := range input.Fleet.Servers() {
		previous, isKnown := c.serverStarts[server.ID]
		c.serverStarts[server.ID] = server.StartedAtMs
		if isKnown && previous != server.StartedAtMs {
			c.handleRestart(server, plan)
		}
	}
	c.pruneServerStarts(input.Fleet)
}

// pruneServerStarts removes the starts of unknown servers once they are more than half of
// all: most restarts have a new ID.
func (c *Controller) pruneServerStarts(view fleet.View) {
	const slack = 2
	if len(c.serverStarts) <= slack*len(view.Servers()) {
		return
	}
	for id := range c.serverStarts {
		if _, ok := view.ServerOrRemoved(id); !ok {
			delete(c.serverStarts, id)
		}
	}
}

// handleRestart discards what was observed of a server's former start, and ends the open
// groups that it was in and the groups that it was ordered to join. The new start has not
// observed newer epochs and may carry out an order to the former one. So a group never
// continues with it under the same epoch, and a group whose head restarted keeps its members
// until they have left.
func (c *Controller) handleRestart(server fleet.Server, plan *Plan) {
	delete(c.probeStates, server.ID)
	delete(c.stageOrders, server.ID)
	delete(c.orphanLeaveAt, server.ID)
	delete(c.excludedUntil, server.ID)
	for _, name := range sortedNames(c.groups) {
		g := c.groups[name]
		if !g.hasMember(server.ID) {
			continue
		}
		_, wasOrdered := g.lastOrders[server.ID]
		delete(g.lastOrders, server.ID)
		if server.ID == g.record.Members[0] {
			g.hasHeadRestarted = true
		}
		if g.endReason == "" && (g.wasOpen || wasOrdered) {
			g.end("member "+server.ID+" has started again", false)
			g.addEvent("group ends", g.endReason, plan)
		}
	}
}
