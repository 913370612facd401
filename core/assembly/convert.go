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
	// convertGain is how many callers more must be served in time, as a part of those that
	// one group serves, for a group of another model to be ended. The way back would have
	// to gain as much, so models do not take from each other in turn.
	convertGain = 0.1
	// starved is how well off a model must stay: a third of its callers are served, however
	// many more another model's would be.
	starved = 0.34
	// convertBelow is how well off a model must be at most: a conversion takes a group of
	// the other model away for a second or two, and its servers' second models with it.
	convertBelow = 1.5
	// convertTime bounds a conversion: its groups end within closeTime, and their
	// servers join at the next step.
	convertTime = 6 * time.Second
	// groundsTime is how long a leader waits to hear what callers ask for: daemons tell it
	// twice a second.
	groundsTime = 3 * time.Second
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
	// groups are those that end; isOfSlow tells that all of them are slow.
	groups   []*group
	isOfSlow bool
	until    time.Time
}

// isUnderWay tells whether groups of the conversion still end or their servers are
// kept for its model.
func (v conversion) isUnderWay() bool {
	return time.Now().Before(v.until)
}

// mayConvert tells whether one more conversion may begin. Those that end slow groups only
// take nothing from anybody, and do not count.
func (c *Controller) mayConvert(at *layout) bool {
	underWay := 0
	for _, one := range c.conversions {
		if one.isUnderWay() && !one.isOfSlow {
			underWay++
		}
	}
	return underWay < max(1, len(at.domains)/domainsPerConversion)
}

// isReservedFor tells whether the free servers of a domain are kept for another model
// than the one given.
func (c *Controller) isReservedFor(at *layout, domain string, model config.Model) bool {
	v := c.conversions[domain]
	return v.isUnderWay() && v.service == at.service.Name && v.model != model.Name
}

// convert ends groups of models that have many for a model that lacks some and has no
// servers to form them of: at each step one conversion more at most, in a domain that has
// none.
func (c *Controller) convert(at *layout, world World, plan *Plan) {
	c.endConversions(at)
	model, ok := at.neediest(true)
	if !ok || world.IsStart || !world.IsSteady || !c.hasGrounds(at) {
		return
	}
	for _, one := range at.service.Engine.Models {
		at.coming[one.Name] = c.comingGroups(at, one, world)
	}
	if at.ease(model, at.live[model.Name]+at.coming[model.Name]) >= convertBelow {
		return
	}
	best := c.bestConversion(at, model, world)
	if len(best.groups) == 0 {
		return
	}
	best.until = time.Now().Add(convertTime)
	if c.conversions == nil {
		c.conversions = map[string]conversion{}
	}
	c.conversions[best.domain] = best
	for _, g := range best.groups {
		g.end("its servers are needed for "+model.Name, true)
		g.note("group ends", g.ending, plan)
	}
}

// bestConversion returns the conversion for a model that ends the fewest groups, of those
// that may begin now.
func (c *Controller) bestConversion(at *layout, model config.Model, world World) conversion {
	mayTakeWell := c.mayConvert(at)
	best := conversion{}
	for _, domain := range at.domains {
		if c.conversions[domain].isUnderWay() {
			continue
		}
		found := c.conversionIn(at, domain, model, world)
		isPossible := len(found.groups) > 0 && (mayTakeWell || found.isOfSlow)
		if isPossible && (len(best.groups) == 0 || len(found.groups) < len(best.groups)) {
			best = found
		}
	}
	return best
}

// hasGrounds tells whether it is known what callers ask for, or will not be: a new leader
// hears of it with its first feeds. Until then it would go by what the operator expects, and
// end groups that are needed.
func (c *Controller) hasGrounds(at *layout) bool {
	for _, model := range at.service.Engine.Models {
		if _, isKnown := at.demands[model.Name]; !isKnown {
			return time.Since(c.began) > groundsTime
		}
	}
	return true
}

// endConversions forgets the conversions of a service whose groups have ended.
func (c *Controller) endConversions(at *layout) {
	maps.DeleteFunc(c.conversions, func(_ string, v conversion) bool {
		return !v.isUnderWay() || (v.service == at.service.Name && !c.isEnding(v))
	})
}

// isEnding tells whether a group of a conversion still ends. Afterwards its servers are
// free: the step that saw it formed the new group, or never will.
func (c *Controller) isEnding(v conversion) bool {
	return slices.ContainsFunc(v.groups, func(g *group) bool {
		return c.groups[g.record.Name] == g
	})
}

// conversionIn returns the groups of a domain to end so that a group of a model can be
// formed there; none where that is not possible or gains nothing.
func (c *Controller) conversionIn(at *layout, domain string, model config.Model, world World) conversion {
	found := conversion{
		service: at.service.Name,
		domain:  domain,
		model:   model.Name,
		// So far it takes no other.
		isOfSlow: true,
	}
	missing := model.Size - usable(at.free[domain], model)
	taken := map[string]int{}
	for _, g := range at.groups[domain] {
		if missing <= 0 {
			break
		}
		gained := usable(c.wellMembers(g, world), model)
		if gained == 0 || !c.mayTake(g, at, model, taken) {
			continue
		}
		taken[g.record.Model]++
		missing -= gained
		found.groups = append(found.groups, g)
		found.isOfSlow = found.isOfSlow && c.isSlow(g)
	}
	if missing > 0 {
		return conversion{}
	}
	return found
}

// mayTake tells whether a group may be ended for one of a model. A slow one serves
// nobody well.
func (c *Controller) mayTake(g *group, at *layout, model config.Model, taken map[string]int) bool {
	if c.isSlow(g) {
		return true
	}
	return g.record.Model != model.Name && c.isWorth(at, model, g.record.Model, taken)
}

// isWorth tells whether more callers are served in time after one more group was taken
// from one model for another.
func (c *Controller) isWorth(at *layout, model config.Model, from string, taken map[string]int) bool {
	other, ok := at.service.Engine.Model(from)
	if !ok {
		return true
	}
	own := at.live[model.Name] + at.coming[model.Name]
	others := at.live[from] + at.coming[from]
	left := min(at.live[from], others) - taken[from] - 1
	if left < 1 || at.ease(other, left) < starved {
		return false
	}
	if own == 0 {
		// Its first caller would find nobody.
		return true
	}
	gained := at.missed(model, own) - at.missed(model, own+1)
	lost := at.missed(other, others-taken[from]-1) - at.missed(other, others)
	return gained > lost+convertGain*at.requests(model)/at.need(model)
}

// wellMembers returns the members of a group that could be members of another.
func (c *Controller) wellMembers(g *group, world World) []fleet.Server {
	var members []fleet.Server
	for _, id := range g.record.Members {
		server, ok := world.Fleet.Server(id)
		if ok && !server.Draining && c.isWell(server) {
			members = append(members, server)
		}
	}
	return members
}

// comingGroups counts the groups of a model that can be formed of servers that are
// free soon: those of groups that end or only load a model, with those that are free.
func (c *Controller) comingGroups(at *layout, model config.Model, world World) int {
	coming := map[string]int{}
	for _, domain := range at.domains {
		coming[domain] = usable(at.free[domain], model)
	}
	for _, g := range c.groups {
		if g.record.Service != at.service.Name || (g.ending == "" && !g.record.IsWarmUp) {
			continue
		}
		members := c.wellMembers(g, world)
		if len(members) > 0 {
			coming[members[0].Domain] += usable(members, model)
		}
	}
	groups := 0
	for _, servers := range coming {
		groups += servers / model.Size
	}
	return groups
}

// usable counts the servers that can be members of a group of a model without a load
// from the weight store.
func usable(servers []fleet.Server, model config.Model) int {
	count := 0
	for _, server := range servers {
		if joinRank(server, model.Name) < rankLoad {
			count++
		}
	}
	return count
}
