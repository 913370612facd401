package assembly

import "headcourse/core/fleet"

// detectRestarts finds servers that started again under the ID that they had, maybe before
// their entry had lapsed. Such a start holds and knows nothing of before, and neither does
// the controller of it.
func (c *Controller) detectRestarts(input World, plan *Plan) {
	if c.incarnations == nil {
		c.incarnations = map[string]int64{}
	}
	for _, server := range input.Fleet.Servers() {
		previous, wasThere := c.incarnations[server.ID]
		c.incarnations[server.ID] = server.Born
		if wasThere && previous != server.Born {
			c.handleRestart(server, plan)
		}
	}
	c.pruneIncarnations(input.Fleet)
}

// pruneIncarnations forgets the starts of servers that are not known any more, now and then: IDs
// are new with most starts.
func (c *Controller) pruneIncarnations(view fleet.View) {
	const slack = 2
	if len(c.incarnations) <= slack*len(view.Servers()) {
		return
	}
	for id := range c.incarnations {
		if _, ok := view.Known(id); !ok {
			delete(c.incarnations, id)
		}
	}
}

// handleRestart forgets what was known of a server's former start, and ends the groups that
// it was asked to join. An order to the former start may still be carried out by this one,
// which has heard of no newer epoch and takes it; so a group never goes on with it under the
// same epoch, and one whose head started again keeps its members until they have left.
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
		_, wasAsked := g.lastOrders[server.ID]
		delete(g.lastOrders, server.ID)
		if server.ID == g.record.Members[0] {
			g.hasHeadRestarted = true
		}
		if g.endReason == "" && (g.wasOpen || wasAsked) {
			g.end("member "+server.ID+" has started again", false)
			g.addNote("group ends", g.endReason, plan)
		}
	}
}
