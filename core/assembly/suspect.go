package assembly

import "time"

// Suspect notes that a daemon's requests stand still at a group, or are slow there,
// and the member that did not answer that daemon (empty: none). That silence counts
// as one: a probe of the controller's own decides.
func (c *Controller) Suspect(name string, epoch int64, unresponsive string) {
	g, ok := c.groups[name]
	if !ok || g.record.Epoch != epoch || g.endReason != "" {
		return
	}
	if !g.isSuspected {
		g.isSuspected = true
		g.suspectedAt = time.Now()
	}
	if unresponsive != "" && c.probeStates[unresponsive].unanswered == 0 {
		c.Probed(unresponsive, Found{
			Sign: Silent,
		})
	}
}

// checkSuspicion probes the members of a group at which requests stand still or are
// slow, and returns why it must end, or nothing. A group with a slow member goes
// on, and stays suspected, where no spare could take that member's place.
func (c *Controller) checkSuspicion(g *group, input World, plan *Plan) (reason string, isGentle bool) {
	if !g.isSuspected {
		return "", false
	}
	findings := c.examineMembers(g, input, plan)
	switch {
	case findings.deadMember != "":
		return "requests stand still and member " + findings.deadMember + " does not answer", false
	case !findings.isComplete:
		return "", false
	case findings.slowMember != "":
		return c.slowMemberReason(g, findings.slowMember, input, plan)
	}
	g.isSuspected = false
	g.slowMember = ""
	plan.Cleared = append(plan.Cleared, g.record.Name)
	g.addNote("suspicion dropped", "all members answer", plan)
	return "", false
}

// examined is what is known of the members of a suspected group.
type memberFindings struct {
	// dead and slow each name a member that is so; empty: none.
	deadMember string
	slowMember string
	// isComplete tells that there are recent signs of all members.
	isComplete bool
}

// examine looks at the members of a group up to the first dead one, and probes those
// without recent signs.
func (c *Controller) examineMembers(g *group, input World, plan *Plan) memberFindings {
	findings := memberFindings{
		isComplete: true,
	}
	for _, id := range g.record.Members {
		server, ok := input.Fleet.Server(id)
		if !ok {
			continue
		}
		isDead, isKnown := c.isDead(id)
		if isDead {
			findings.deadMember = id
			return findings
		}
		// A sign from before the suspicion says nothing: heads are looked at anyway.
		if !isKnown || c.probeStates[id].resultAt.Before(g.suspectedAt) {
			findings.isComplete = false
			c.probe(server, plan)
		}
		if c.probeStates[id].isSlow {
			findings.slowMember = id
		}
	}
	return findings
}

// slowMemberReason returns why a group with a slow member must end, or nothing where it
// could not form again without that member.
func (c *Controller) slowMemberReason(g *group, slow string, input World, plan *Plan) (reason string, isGentle bool) {
	if g.slowMember != slow {
		g.slowMember = slow
		g.addNote("group slow", "member "+slow+" is slow", plan)
	}
	if c.hasSpareFor(g, slow, input, plan) {
		return "member " + slow + " is slow", false
	}
	return "", false
}

// isSlow tells whether a group has a slow member, as far as known. It serves on, but
// late, and daemons avoid it where they can: it does not count as one of its model's.
func (c *Controller) isSlow(g *group) bool {
	return g.slowMember != "" && c.probeStates[g.slowMember].isSlow
}

// hasSpareFor tells whether a free server of a member's domain keeps the weights
// of the group's model.
func (c *Controller) hasSpareFor(g *group, member string, input World, plan *Plan) bool {
	replaced, _ := input.Fleet.Server(member)
	assigned := c.assignedServers()
	for _, server := range input.Fleet.Servers() {
		isNear := server.Domain == replaced.Domain && input.isEligible(server, g.record.Service)
		isFit := (server.HasStaged(g.record.Model) || server.CanRejoin(g.record.Model)) && !assigned[server.ID]
		if isNear && isFit && c.isFree(server, plan) {
			return true
		}
	}
	return false
}
