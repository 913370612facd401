package assembly

import (
	"maps"
	"slices"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

const (
	// minConversionGain is the minimum gain for which a group of another model ends: how
	// many more callers are served in time, as a fraction of those that one group serves. A
	// conversion back would have to gain as much, so models do not take groups from each
	// other in turn.
	minConversionGain = 0.1
	// minServiceLevel is the service level that a model must keep after a conversion: a
	// third of its callers are served, however much the other model would gain.
	minServiceLevel = 0.34
	// maxConversionLevel is the service level below which a model may get groups by
	// conversions. A conversion removes a group of the other model for a second or two, and
	// the second models staged on its servers.
	maxConversionLevel = 1.5
	// conversionTimeout limits a conversion: its groups end within drainTimeout, and their
	// servers join at the next step.
	conversionTimeout = 6 * time.Second
	// demandWaitTime is how long a new leader waits for demand reports: daemons send them
	// twice a second.
	demandWaitTime = 3 * time.Second
	// domainsPerConversion is the number of domains for each concurrent conversion: with
	// tens of domains and a single conversion at a time, a model that lacks a quarter of
	// its groups would wait for them one by one.
	domainsPerConversion = 8
)

// conversion ends groups in one domain whose servers are needed for a group of a model: groups
// of other models, and slow groups of any model. The zero value is no conversion.
type conversion struct {
	service string
	domain  string
	model   string
	// groups are those that end; endsOnlySlow is true if all of them are slow.
	groups       []*group
	endsOnlySlow bool
	expiresAt    time.Time
}

// isUnderWay reports whether the conversion has not expired: groups of it may still end, and
// the free servers of its domain are reserved for its model.
func (v conversion) isUnderWay() bool {
	return time.Now().Before(v.expiresAt)
}

// mayStartConversion reports whether one more conversion that ends working groups may start.
// Conversions that end only slow groups take no working group from any model, and do not
// count.
func (c *Controller) mayStartConversion(state *serviceState) bool {
	underWay := 0
	for _, running := range c.conversions {
		if running.isUnderWay() && !running.endsOnlySlow {
			underWay++
		}
	}
	return underWay < max(1, len(state.domains)/domainsPerConversion)
}

// isReservedForOther reports whether the free servers of a domain are reserved for a model
// other than the given one.
func (c *Controller) isReservedForOther(state *serviceState, domain string, model config.Model) bool {
	v := c.conversions[domain]
	return v.isUnderWay() && v.service == state.service.Name && v.model != model.Name
}

// convert ends groups of models with a better service level for a model that lacks groups
// and has no servers to form them. Each step starts at most one conversion, in a domain
// without one.
func (c *Controller) convert(state *serviceState, input Input, plan *Plan) {
	c.pruneConversions(state)
	model, ok := state.neediestModel(true)
	if !ok || input.IsStartupPhase || !input.IsStoreStable || !c.isDemandKnown(state) {
		return
	}
	for _, other := range state.service.Engine.Models {
		state.upcomingGroups[other.Name] = c.countUpcomingGroups(state, other, input)
	}
	if state.serviceLevel(model, state.liveGroups[model.Name]+state.upcomingGroups[model.Name]) >= maxConversionLevel {
		return
	}
	best := c.bestConversion(state, model, input)
	if len(best.groups) == 0 {
		return
	}
	best.expiresAt = time.Now().Add(conversionTimeout)
	if c.conversions == nil {
		c.conversions = map[string]conversion{}
	}
	c.conversions[best.domain] = best
	for _, g := range best.groups {
		g.end("its servers are needed for "+model.Name, true)
		g.addEvent("group ends", g.endReason, plan)
	}
}

// bestConversion returns the conversion for a model that ends the fewest groups, among
// those that may start now.
func (c *Controller) bestConversion(state *serviceState, model config.Model, input Input) conversion {
	mayEndWorkingGroups := c.mayStartConversion(state)
	best := conversion{}
	for _, domain := range state.domains {
		if c.conversions[domain].isUnderWay() {
			continue
		}
		candidate := c.conversionInDomain(state, domain, model, input)
		isPossible := len(candidate.groups) > 0 && (mayEndWorkingGroups || candidate.endsOnlySlow)
		if isPossible && (len(best.groups) == 0 || len(candidate.groups) < len(best.groups)) {
			best = candidate
		}
	}
	return best
}

// isDemandKnown reports whether the demand for all models is known, or the wait for it has
// timed out. A new leader receives the demand with its first reports; until then it would use
// the operator's shares and end groups that are needed.
func (c *Controller) isDemandKnown(state *serviceState) bool {
	for _, model := range state.service.Engine.Models {
		if _, isKnown := state.demands[model.Name]; !isKnown {
			return time.Since(c.firstStepAt) > demandWaitTime
		}
	}
	return true
}

// pruneConversions removes the conversions of a service whose groups have ended, and expired
// conversions of any service.
func (c *Controller) pruneConversions(state *serviceState) {
	maps.DeleteFunc(c.conversions, func(_ string, v conversion) bool {
		return !v.isUnderWay() || (v.service == state.service.Name && !c.isEnding(v))
	})
}

// isEnding reports whether a group of a conversion has not ended yet. Once all have ended,
// their servers are free: the step that observed it has formed the new group, or no later
// step will.
func (c *Controller) isEnding(v conversion) bool {
	return slices.ContainsFunc(v.groups, func(g *group) bool {
		return c.groups[g.record.Name] == g
	})
}

// conversionInDomain returns the conversion that lets a group of a model form in a domain;
// the zero value if that is impossible or gains nothing.
func (c *Controller) conversionInDomain(state *serviceState, domain string, model config.Model, input Input) conversion {
	found := conversion{
		service: state.service.Name,
		domain:  domain,
		model:   model.Name,
		// No group has been chosen yet.
		endsOnlySlow: true,
	}
	missing := model.GroupSize - countUsable(state.freeServers[domain], model)
	ended := map[string]int{}
	for _, g := range state.openGroups[domain] {
		if missing <= 0 {
			break
		}
		gained := countUsable(c.reusableMembers(g, input), model)
		if gained == 0 || !c.mayEndFor(g, state, model, ended) {
			continue
		}
		ended[g.record.Model]++
		missing -= gained
		found.groups = append(found.groups, g)
		found.endsOnlySlow = found.endsOnlySlow && c.isSlow(g)
	}
	if missing > 0 {
		return conversion{}
	}
	return found
}

// mayEndFor reports whether a group may end for a new group of a model. A slow group may
// always end, because its callers are served late; others must be of another model.
func (c *Controller) mayEndFor(g *group, state *serviceState, model config.Model, ended map[string]int) bool {
	if c.isSlow(g) {
		return true
	}
	return g.record.Model != model.Name && c.isWorthConverting(state, model, g.record.Model, ended)
}

// isWorthConverting reports whether moving one more group from one model to another lets
// more callers be served in time.
func (c *Controller) isWorthConverting(state *serviceState, model config.Model, from string, ended map[string]int) bool {
	other, ok := state.service.Engine.Model(from)
	if !ok {
		return true
	}
	current := state.liveGroups[model.Name] + state.upcomingGroups[model.Name]
	otherCurrent := state.liveGroups[from] + state.upcomingGroups[from]
	otherLeft := min(state.liveGroups[from], otherCurrent) - ended[from] - 1
	if otherLeft < 1 || state.serviceLevel(other, otherLeft) < minServiceLevel {
		return false
	}
	if current == 0 {
		// The model's first caller would find no group.
		return true
	}
	gained := state.missedPerSecond(model, current) - state.missedPerSecond(model, current+1)
	lost := state.missedPerSecond(other, otherCurrent-ended[from]-1) - state.missedPerSecond(other, otherCurrent)
	return gained > lost+minConversionGain*state.requestsPerSecond(model)/state.neededGroups(model)
}

// reusableMembers returns the members of a group that could be members of another.
func (c *Controller) reusableMembers(g *group, input Input) []fleet.Server {
	var members []fleet.Server
	for _, id := range g.record.Members {
		server, ok := input.Fleet.Server(id)
		if ok && !server.Draining && c.isHealthy(server) {
			members = append(members, server)
		}
	}
	return members
}

// countUpcomingGroups counts the groups of a model that can form from servers that are free
// or about to become free: members of ending groups and of warm-up groups.
func (c *Controller) countUpcomingGroups(state *serviceState, model config.Model, input Input) int {
	servers := map[string]int{}
	for _, domain := range state.domains {
		servers[domain] = countUsable(state.freeServers[domain], model)
	}
	for _, g := range c.groups {
		if g.record.Service != state.service.Name || (g.endReason == "" && !g.record.IsWarmUp) {
			continue
		}
		members := c.reusableMembers(g, input)
		if len(members) > 0 {
			servers[members[0].Domain] += countUsable(members, model)
		}
	}
	groups := 0
	for _, servers := range servers {
		groups += servers / model.GroupSize
	}
	return groups
}

// countUsable counts the servers that can join a group of a model without a load from the
// weight store.
func countUsable(servers []fleet.Server, model config.Model) int {
	count := 0
	for _, server := range servers {
		if joinRank(server, model.Name) < rankMustLoad {
			count++
		}
	}
	return count
}
