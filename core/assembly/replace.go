package assembly

import (
	"maps"
	"slices"
	"time"

	"headcourse/core/config"
)

// A suspected group with an unresponsive member does not count as a group of its model, so that
// another one forms from free servers at once. It keeps running: its member may only be silent for
// a while. Nothing else is done for its sake: no other group ends, and no weights are loaded. If
// the member answers again, the model has a surplus, which ends once it is certain not to be needed
// soon: servers that fell silent together may do so again.

// surplusSettleTime is for how long no group of a model must have been suspected before a surplus
// ends.
const surplusSettleTime = 10 * time.Second

// requestReplacement records that a suspected group is to be replaced because of a member.
func (c *Controller) requestReplacement(g *group, member string, plan *Plan) {
	if g.unresponsiveMember == "" {
		g.evidence = c.evidenceOf(g, member)
		g.addEvent("replacement wanted", "member "+member+" does not answer", plan)
	}
	g.unresponsiveMember = member
}

// isReplaced reports whether a group is suspected and another one is to serve in its place: a member
// has not answered since its last probes failed.
func (c *Controller) isReplaced(g *group) bool {
	return g.unresponsiveMember != "" && c.probeStates[g.unresponsiveMember].lastStatus != Answered
}

// recordReplacement records that a new group of a model replaces a suspected one, if its model
// would have enough groups with those that are suspected.
func (c *Controller) recordReplacement(state *serviceState, model config.Model, name string) {
	replaced := slices.Collect(maps.Values(c.replacements))
	var open []string
	suspected := 0
	for _, g := range state.replacedGroups {
		if g.record.Service != state.service.Name || g.record.Model != model.Name {
			continue
		}
		suspected++
		if !slices.Contains(replaced, g.record.Name) {
			open = append(open, g.record.Name)
		}
	}
	if len(open) == 0 || state.liveGroups[model.Name]+suspected <= state.targetGroups(model) {
		return
	}
	if c.replacements == nil {
		c.replacements = map[string]string{}
	}
	c.replacements[name] = open[0]
}

// countReplacedGroups counts the suspected groups again: free servers have replaced those that they
// could.
func (s *serviceState) countReplacedGroups(input Input) {
	for _, g := range s.replacedGroups {
		s.countRecord(g.record, input)
	}
}

// endSurplus ends replacements of groups that are no longer suspected, after their work, if their
// model has more groups than its target and none of them was suspected lately.
func (c *Controller) endSurplus(state *serviceState, plan *Plan) {
	c.pruneReplacements()
	for _, name := range slices.Sorted(maps.Keys(c.replacements)) {
		g, isKnown := c.groups[name]
		if !isKnown || !g.wasOpen || g.record.Service != state.service.Name {
			continue
		}
		model, _ := state.service.Engine.Model(g.record.Model)
		isNeeded := state.liveGroups[model.Name] <= state.targetGroups(model)
		if isNeeded || c.wasSuspectedLately(g.record) {
			continue
		}
		state.liveGroups[model.Name]--
		g.isSurplus = true
		g.end("group "+c.replacements[name]+", which it replaced, answers again", true)
		g.addEvent("group ends", g.endReason, plan)
		delete(c.replacements, name)
	}
}

// wasSuspectedLately reports whether a group of the same model as a record is suspected, or was until
// lately.
func (c *Controller) wasSuspectedLately(record Record) bool {
	for _, g := range c.groups {
		isSameModel := g.record.Service == record.Service && g.record.Model == record.Model
		if isSameModel && (g.isSuspected || time.Since(g.clearedAt) < surplusSettleTime) {
			return true
		}
	}
	return false
}

// pruneReplacements removes replacements that have ended, and those of groups that have ended,
// which then are groups like any others.
func (c *Controller) pruneReplacements() {
	maps.DeleteFunc(c.replacements, func(name, replaced string) bool {
		_, isPending := c.pendingRecords[name]
		return !c.isRunning(replaced) || (!isPending && !c.isRunning(name))
	})
}

// isRunning reports whether a group has a record and does not end.
func (c *Controller) isRunning(name string) bool {
	g, ok := c.groups[name]
	return ok && g.endReason == ""
}
