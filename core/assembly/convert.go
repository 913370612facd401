package assembly

import (
	"maps"
	"slices"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// Figures of conversions.
const (
	// minConversionGain is how many callers more must be served in time, as a part of those that
	// one group serves, for a group of another model to be ended. The way back would have
	// to gain as much, so models do not take from each other in turn.
	minConversionGain = 0.1
	// starved is how well off a model must stay: a third of its callers are served, however
	// many more another model's would be.
	minServiceLevel = 0.34
	// maxConversionLevel is how well off a model must be at most: a conversion takes a group of
	// the other model away for a second or two, and its servers' second models with it.
	maxConversionLevel = 1.5
	// conversionTimeout bounds a conversion: its groups end within drainTimeout, and their
	// servers join at the next step.
	conversionTimeout = 6 * time.Second
	// demandWaitTime is how long a leader waits to hear what callers ask for: daemons tell it
	// twice a second.
	demandWaitTime = 3 * time.Second
	// domainsPerConversion is how many domains there are for each conversion under way at
	// once: a model that lacks a quarter of its groups in tens of domains would wait for them
	// one by one.
	domainsPerConversion = 8
)

// conversion is the end of groups whose servers are needed for another model, in one
// domain. The zero value is none.
type conversion struct {
	service string
	domain  string
	model   string
	// groups are those that end; endsOnlySlow tells that all of them are slow.
	groups       []*group
	endsOnlySlow bool
	expiresAt    time.Time
}

// isUnderWay tells whether groups of the conversion still end or their servers are
// kept for its model.
func (v conversion) isUnderWay() bool {
	return time.Now().Before(v.expiresAt)
}

// mayStartConversion tells whether one more conversion may begin. Those that end slow groups only
// take nothing from anybody, and do not count.
func (c *Controller) mayStartConversion(state *serviceState) bool {
	underWay := 0
	for _, running := range c.conversions {
		if running.isUnderWay() && !running.endsOnlySlow {
			underWay++
		}
	}
	return underWay < max(1, len(state.domains)/domainsPerConversion)
}

// isReservedForOther tells whether the free servers of a domain are kept for another model
// than the one given.
func (c *Controller) isReservedForOther(state *serviceState, domain string, model config.Model) bool {
	v := c.conversions[domain]
	return v.isUnderWay() && v.service == state.service.Name && v.model != model.Name
}

// convert ends groups of models that have many for a model that lacks some and has no
// servers to form them of: at each step one conversion more at most, in a domain that has
// none.
func (c *Controller) convert(state *serviceState, input World, plan *Plan) {
	c.pruneConversions(state)
	model, ok := state.neediestModel(true)
	if !ok || input.IsStart || !input.IsSteady || !c.isDemandKnown(state) {
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
		g.addNote("group ends", g.endReason, plan)
	}
}

// bestConversion returns the conversion for a model that ends the fewest groups, of those
// that may begin now.
func (c *Controller) bestConversion(state *serviceState, model config.Model, input World) conversion {
	mayEndFast := c.mayStartConversion(state)
	best := conversion{}
	for _, domain := range state.domains {
		if c.conversions[domain].isUnderWay() {
			continue
		}
		found := c.conversionInDomain(state, domain, model, input)
		isPossible := len(found.groups) > 0 && (mayEndFast || found.endsOnlySlow)
		if isPossible && (len(best.groups) == 0 || len(found.groups) < len(best.groups)) {
			best = found
		}
	}
	return best
}

// isDemandKnown tells whether it is known what callers ask for, or will not be: a new leader
// hears of it with its first feeds. Until then it would go by what the operator expects, and
// end groups that are needed.
func (c *Controller) isDemandKnown(state *serviceState) bool {
	for _, model := range state.service.Engine.Models {
		if _, isKnown := state.demands[model.Name]; !isKnown {
			return time.Since(c.firstStepAt) > demandWaitTime
		}
	}
	return true
}

// pruneConversions forgets the conversions of a service whose groups have ended.
func (c *Controller) pruneConversions(state *serviceState) {
	maps.DeleteFunc(c.conversions, func(_ string, v conversion) bool {
		return !v.isUnderWay() || (v.service == state.service.Name && !c.isEnding(v))
	})
}

// isEnding tells whether a group of a conversion still ends. Afterwards its servers are
// free: the step that saw it formed the new group, or never will.
func (c *Controller) isEnding(v conversion) bool {
	return slices.ContainsFunc(v.groups, func(g *group) bool {
		return c.groups[g.record.Name] == g
	})
}

// conversionInDomain returns the groups of a domain to end so that a group of a model can be
// formed there; none where that is not possible or gains nothing.
func (c *Controller) conversionInDomain(state *serviceState, domain string, model config.Model, input World) conversion {
	found := conversion{
		service: state.service.Name,
		domain:  domain,
		model:   model.Name,
		// So far it takes no other.
		endsOnlySlow: true,
	}
	missing := model.Size - countUsable(state.freeServers[domain], model)
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

// mayEndFor tells whether a group may be ended for one of a model. A slow one serves
// nobody well.
func (c *Controller) mayEndFor(g *group, state *serviceState, model config.Model, ended map[string]int) bool {
	if c.isSlow(g) {
		return true
	}
	return g.record.Model != model.Name && c.isWorthConverting(state, model, g.record.Model, ended)
}

// isWorthConverting tells whether more callers are served in time after one more group was taken
// from one model for another.
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
		// Its first caller would find nobody.
		return true
	}
	gained := state.missedPerSecond(model, current) - state.missedPerSecond(model, current+1)
	lost := state.missedPerSecond(other, otherCurrent-ended[from]-1) - state.missedPerSecond(other, otherCurrent)
	return gained > lost+minConversionGain*state.requestsPerSecond(model)/state.neededGroups(model)
}

// reusableMembers returns the members of a group that could be members of another.
func (c *Controller) reusableMembers(g *group, input World) []fleet.Server {
	var members []fleet.Server
	for _, id := range g.record.Members {
		server, ok := input.Fleet.Server(id)
		if ok && !server.Draining && c.isHealthy(server) {
			members = append(members, server)
		}
	}
	return members
}

// countUpcomingGroups counts the groups of a model that can be formed of servers that are
// free soon: those of groups that end or only load a model, with those that are free.
func (c *Controller) countUpcomingGroups(state *serviceState, model config.Model, input World) int {
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
		groups += servers / model.Size
	}
	return groups
}

// usable counts the servers that can be members of a group of a model without a load
// from the weight store.
func countUsable(servers []fleet.Server, model config.Model) int {
	count := 0
	for _, server := range servers {
		if joinRank(server, model.Name) < rankMustLoad {
			count++
		}
	}
	return count
}
