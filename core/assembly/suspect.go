package assembly

import "time"

// Suspect notes that a daemon's requests stand still at a group, or are slow there,
// and the member that did not answer that daemon (empty: none). That silence counts
// as one: a probe of the controller's own decides.
func (c *Controller) Suspect(name string, epoch int64, silent string) {
	g, ok := c.groups[name]
	if !ok || g.record.Epoch != epoch || g.ending != "" {
		return
	}
	if !g.isSuspected {
		g.isSuspected = true
		g.suspectedAt = time.Now()
	}
	if silent != "" && c.signs[silent].silences == 0 {
		c.Probed(silent, Found{
			Sign: Silent,
		})
	}
}

// whySuspected probes the members of a group at which requests stand still or are
// slow, and returns why it must end, or nothing. A group with a slow member goes
// on, and stays suspected, where no spare could take that member's place.
func (c *Controller) whySuspected(g *group, world World, plan *Plan) (reason string, isGentle bool) {
	if !g.isSuspected {
		return "", false
	}
	found := c.examine(g, world, plan)
	switch {
	case found.dead != "":
		return "requests stand still and member " + found.dead + " does not answer", false
	case !found.allKnown:
		return "", false
	case found.slow != "":
		return c.whySlow(g, found.slow, world, plan)
	}
	g.isSuspected = false
	g.slow = ""
	plan.Cleared = append(plan.Cleared, g.record.Name)
	g.note("suspicion dropped", "all members answer", plan)
	return "", false
}

// examined is what is known of the members of a suspected group.
type examined struct {
	// dead and slow each name a member that is so; empty: none.
	dead string
	slow string
	// allKnown tells that there are recent signs of all members.
	allKnown bool
}

// examine looks at the members of a group up to the first dead one, and probes those
// without recent signs.
func (c *Controller) examine(g *group, world World, plan *Plan) examined {
	found := examined{
		allKnown: true,
	}
	for _, id := range g.record.Members {
		server, ok := world.Fleet.Server(id)
		if !ok {
			continue
		}
		isDead, isKnown := c.isDead(id)
		if isDead {
			found.dead = id
			return found
		}
		// A sign from before the suspicion says nothing: heads are looked at anyway.
		if !isKnown || c.signs[id].at.Before(g.suspectedAt) {
			found.allKnown = false
			c.probe(server, plan)
		}
		if c.signs[id].isSlow {
			found.slow = id
		}
	}
	return found
}

// whySlow returns why a group with a slow member must end, or nothing where it
// could not form again without that member.
func (c *Controller) whySlow(g *group, slow string, world World, plan *Plan) (reason string, isGentle bool) {
	if g.slow != slow {
		g.slow = slow
		g.note("group slow", "member "+slow+" is slow", plan)
	}
	if c.hasSpareFor(g, slow, world, plan) {
		return "member " + slow + " is slow", false
	}
	return "", false
}

// isSlow tells whether a group has a slow member, as far as known. It serves on, but
// late, and daemons avoid it where they can: it does not count as one of its model's.
func (c *Controller) isSlow(g *group) bool {
	return g.slow != "" && c.signs[g.slow].isSlow
}

// hasSpareFor tells whether a free server of a member's domain keeps the weights
// of the group's model.
func (c *Controller) hasSpareFor(g *group, member string, world World, plan *Plan) bool {
	lost, _ := world.Fleet.Server(member)
	taken := c.taken()
	for _, server := range world.Fleet.Servers() {
		isNear := server.Domain == lost.Domain && world.isMaterial(server, g.record.Service)
		isFit := (server.HasStaged(g.record.Model) || server.CanRejoin(g.record.Model)) && !taken[server.ID]
		if isNear && isFit && c.isFree(server, plan) {
			return true
		}
	}
	return false
}
