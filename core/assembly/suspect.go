package assembly

import (
	"time"

	"headcourse/core/fleet"
)

// Suspect records that a daemon reported stalled or slow requests at a group, and the
// member that did not answer that daemon, or empty. The missing answer counts as one
// unanswered probe: the controller's own probe decides.
func (c *Controller) Suspect(name string, epoch int64, unresponsive string) {
	if c.groups == nil {
		c.earlyReports = append(c.earlyReports, earlyReport{
			key: groupKey{
				group: name,
				epoch: epoch,
			},
			unresponsive: unresponsive,
		})
		return
	}
	g, ok := c.groups[name]
	if !ok || g.record.Epoch != epoch || g.endReason != "" {
		return
	}
	g.suspect("daemons report that requests stand still or are slow")
	if unresponsive != "" {
		c.countReportedProbe(unresponsive)
	}
}

// suspect records why the group is suspected, unless it already is.
func (g *group) suspect(reason string) {
	if g.isSuspected {
		return
	}
	g.isSuspected = true
	g.suspectedAt = time.Now()
	g.suspicionReason = reason
}

// checkSuspicion probes the members of a suspected group and returns why it must end, or an
// empty string. A group with a slow member continues, and stays suspected, if no spare can
// replace that member. A group with an unresponsive member continues until the member answers or
// is lost, and is replaced meanwhile.
func (c *Controller) checkSuspicion(g *group, input Input, plan *Plan) (reason string, isGraceful bool) {
	g.planReportRemoval(plan)
	if !g.isSuspected {
		return "", false
	}
	if g.suspicionReason != "" {
		g.addEvent("group suspected", g.suspicionReason, plan)
		g.suspicionReason = ""
	}
	findings := c.examineMembers(g, input, plan)
	switch {
	case findings.lostMember != "":
		g.evidence = c.evidenceOf(g, findings.lostMember)
		return "requests stand still and member " + findings.lostMember + " does not answer", false
	case findings.unresponsiveMember != "":
		c.requestReplacement(g, findings.unresponsiveMember, plan)
		return "", false
	case !findings.isComplete:
		return "", false
	case findings.slowMember != "":
		g.unresponsiveMember, g.evidence = "", nil
		return c.slowMemberReason(g, findings.slowMember, input, plan)
	}
	c.clearSuspicion(g, plan)
	return "", false
}

// clearSuspicion ends the suspicion of a group all of whose members answer.
func (c *Controller) clearSuspicion(g *group, plan *Plan) {
	if g.unresponsiveMember != "" {
		g.evidence = c.evidenceOf(g, g.unresponsiveMember)
	}
	g.mustRemoveReport = true
	g.isReportRemovalPlanned = false
	g.planReportRemoval(plan)
	g.addEvent("suspicion cleared", "all members answer", plan)
	g.isSuspected = false
	g.slowMember = ""
	g.unresponsiveMember = ""
	g.evidence = nil
	g.clearedAt = time.Now()
}

// planReportRemoval plans to remove the daemons' report about a group whose suspicion was cleared,
// until that is confirmed: daemons avoid the group while the report exists.
func (g *group) planReportRemoval(plan *Plan) {
	if !g.mustRemoveReport || g.isReportRemovalPlanned {
		return
	}
	g.isReportRemovalPlanned = true
	plan.ClearedSuspicions = append(plan.ClearedSuspicions, g.record.Name)
}

// evidenceOf returns what is known of a member that does not answer.
func (c *Controller) evidenceOf(g *group, member string) *Evidence {
	state := c.probeStates[member]
	evidence := &Evidence{
		Member:     member,
		Status:     state.lastStatus,
		Unanswered: state.unanswered,
	}
	if g.isSuspected {
		evidence.Suspected = time.Since(g.suspectedAt)
	}
	if state.unanswered > 0 {
		evidence.Since = time.Since(state.silentSince)
	}
	if !state.answeredAt.IsZero() {
		evidence.SinceAnswer = time.Since(state.answeredAt)
	}
	return evidence
}

// maxSilentProbed is how many unresponsive members are probed at a time until they answer or are
// lost, besides one of each suspected group; the others follow.
const maxSilentProbed = 64

// memberFindings is what is known about the members of a suspected group.
type memberFindings struct {
	// lostMember, unresponsiveMember and slowMember each name such a member, or are empty.
	lostMember         string
	unresponsiveMember string
	slowMember         string
	// isComplete is true if all members that are known have recent probe results from after the
	// suspicion.
	isComplete bool
}

// examineMembers examines the members of a group, and probes those without recent results.
func (c *Controller) examineMembers(g *group, input Input, plan *Plan) memberFindings {
	findings := memberFindings{
		isComplete: true,
	}
	for _, id := range g.record.Members {
		server, isKnown := input.Fleet.ServerOrRemoved(id)
		if !isKnown {
			continue
		}
		_, hasEntry := input.Fleet.Server(id)
		if c.isLost(id, hasEntry) {
			findings.lostMember = id
			return findings
		}
		c.examineMember(g, server, &findings, plan)
	}
	return findings
}

// examineMember adds what is known about a member to the findings.
func (c *Controller) examineMember(g *group, member fleet.Server, findings *memberFindings, plan *Plan) {
	state := c.probeStates[member.ID]
	isUnresponsive, isKnown := c.isUnresponsive(member.ID)
	// Probes of other purposes go on meanwhile: a result from before the suspicion does not count.
	isConclusive := isKnown && !isUnresponsive && !state.resultAt.Before(g.suspectedAt)
	findings.isComplete = findings.isComplete && isConclusive
	// A member that has answered may die while the group is suspected because of another.
	isProbeDue := !isConclusive || !c.hasAnsweredRecently(member.ID)
	if isProbeDue && c.mayProbe(state, *findings) {
		c.probe(member, plan)
	}
	if isUnresponsive && findings.unresponsiveMember == "" {
		findings.unresponsiveMember = member.ID
	}
	if state.isSlow {
		findings.slowMember = member.ID
	}
}

// mayProbe reports whether a member of a suspected group may be probed in this step, after what was
// found about members before it: of many that are silent, only some are.
func (c *Controller) mayProbe(state probeState, findings memberFindings) bool {
	isSilent := state.unanswered >= unresponsiveAfterProbes
	if !isSilent || findings.unresponsiveMember == "" {
		return true
	}
	c.silentProbed++
	return c.silentProbed <= maxSilentProbed
}

// slowMemberReason returns why a group with a slow member must end, or an empty string if
// it could not form again without that member.
func (c *Controller) slowMemberReason(g *group, slow string, input Input, plan *Plan) (reason string, isGraceful bool) {
	if g.slowMember != slow {
		g.slowMember = slow
		g.addEvent("group slow", "member "+slow+" is slow", plan)
	}
	if c.hasSpareFor(g, slow, input, plan) {
		return "member " + slow + " is slow", false
	}
	return "", false
}

// isSlow reports whether a group has a slow member, as far as known. Such a group serves
// late and daemons avoid it if they can, so it does not count as a group of its model.
func (c *Controller) isSlow(g *group) bool {
	return g.slowMember != "" && c.probeStates[g.slowMember].isSlow
}

// hasSpareFor reports whether a free server in a member's domain can replace it without a
// load from the weight store.
func (c *Controller) hasSpareFor(g *group, member string, input Input, plan *Plan) bool {
	replaced, _ := input.Fleet.Server(member)
	assigned := c.assignedServers()
	for _, server := range input.Fleet.Servers() {
		isInDomain := server.Domain == replaced.Domain && input.isEligible(server, g.record.Service)
		isReady := (server.HasStaged(g.record.Model) || server.CanJoinWithoutLoading(g.record.Model)) && !assigned[server.ID]
		if isInDomain && isReady && c.isFree(server, plan) {
			return true
		}
	}
	return false
}
