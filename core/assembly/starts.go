package assembly

import "headcourse/core/fleet"

// noteStarts finds servers that started again under the ID that they had, maybe before
// their entry had lapsed. Such a start holds and knows nothing of before, and neither does
// the controller of it.
func (c *Controller) noteStarts(world World, plan *Plan) {
	if c.starts == nil {
		c.starts = map[string]int64{}
	}
	for _, server := range world.Fleet.Servers() {
		former, wasThere := c.starts[server.ID]
		c.starts[server.ID] = server.Born
		if wasThere && former != server.Born {
			c.forgetStart(server, plan)
		}
	}
	c.forgetGone(world.Fleet)
}

// forgetGone forgets the starts of servers that are not known any more, now and then: IDs
// are new with most starts.
func (c *Controller) forgetGone(view fleet.View) {
	const slack = 2
	if len(c.starts) <= slack*len(view.Servers()) {
		return
	}
	for id := range c.starts {
		if _, ok := view.Known(id); !ok {
			delete(c.starts, id)
		}
	}
}

// forgetStart forgets what was known of a server's former start, and ends the groups that
// it was asked to join. An order to the former start may still be carried out by this one,
// which has heard of no newer epoch and takes it; so a group never goes on with it under the
// same epoch, and one whose head started again keeps its members until they have left.
func (c *Controller) forgetStart(server fleet.Server, plan *Plan) {
	delete(c.signs, server.ID)
	delete(c.staged, server.ID)
	delete(c.orphans, server.ID)
	delete(c.late, server.ID)
	for _, name := range sortedNames(c.groups) {
		g := c.groups[name]
		if !g.has(server.ID) {
			continue
		}
		_, wasAsked := g.asked[server.ID]
		delete(g.asked, server.ID)
		if server.ID == g.record.Members[0] {
			g.hasNewHead = true
		}
		if g.ending == "" && (g.wasOpen || wasAsked) {
			g.end("member "+server.ID+" has started again", false)
			g.note("group ends", g.ending, plan)
		}
	}
}
