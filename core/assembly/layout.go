package assembly

import (
	"math"
	"slices"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// usedShare is the part of the servers that groups are made of; the others
// stay free, with weights on their hosts, to repair groups quickly.
const usedShare = 0.75

// memberRisk is how many more groups a model gets for each of a group's members:
// each is one more whose loss takes the whole group away. By trial: without it, seven
// or eight of eleven groups of eight served on a day with losses, and 16 to 21 of 21
// groups of four; with twice as much, too few spares were left (docs/MEASURES.md).
const memberRisk = 0.015

// layout is the state of one service that planning works on.
type layout struct {
	service *config.Service
	free    map[string][]fleet.Server
	domains []string
	// live counts the groups of each model, over all and by domain.
	live     map[string]int
	inDomain map[string]map[string]int
	// groups are the open ones by domain, in the order of their names.
	groups map[string][]*group
	// holders counts the servers of a domain, free or not, that have a model's weights
	// or are loading them.
	holders map[choiceKey]int
	// warming counts the servers of a domain that load a model to be free again.
	warming map[choiceKey]int
	// demands are the estimates of what callers ask for, by model.
	demands map[string]demand
	// staged are the loads under way, by server.
	staged map[string]stageOrder
	// isFreeing tells of domains in which the record of a group is being removed: its
	// members are free some milliseconds later, and mostly the best to form the next.
	isFreeing map[string]bool
	// coming counts the groups of each model that can be formed soon without ending
	// others.
	coming map[string]int
	// postponed are models for which no group can be formed now.
	postponed map[string]bool
	total     int
	// choices are kept by domain and model, since planning asks for the same ones
	// again and again; a domain's are forgotten when its free servers change.
	choices map[choiceKey]choice
}

// choiceKey names a domain and a model.
type choiceKey struct {
	domain string
	model  string
}

// layout returns the state of a service.
func (c *Controller) layout(service *config.Service, world World, plan *Plan) *layout {
	at := &layout{
		service:   service,
		free:      map[string][]fleet.Server{},
		live:      map[string]int{},
		inDomain:  map[string]map[string]int{},
		groups:    map[string][]*group{},
		holders:   map[choiceKey]int{},
		warming:   map[choiceKey]int{},
		staged:    c.staged,
		isFreeing: map[string]bool{},
		coming:    map[string]int{},
		postponed: map[string]bool{},
		choices:   map[choiceKey]choice{},
		demands:   c.demandsOf(service),
	}
	c.countGroups(at, world)
	c.listFree(at, world, plan)
	return at
}

// countGroups counts the groups of the service that are to serve.
func (c *Controller) countGroups(at *layout, world World) {
	note := func(record Record) {
		if record.Service != at.service.Name {
			return
		}
		head, _ := world.Fleet.Server(record.Members[0])
		if record.IsWarmUp {
			at.addWarming(head.Domain, record.Model)
			return
		}
		at.add(head.Domain, record.Model)
	}
	for _, name := range sortedNames(c.groups) {
		g := c.groups[name]
		if g.ending != "" {
			domain, isKnown := domainOf(g.record, world)
			at.isFreeing[domain] = at.isFreeing[domain] || (isKnown && g.isRemoving)
			continue
		}
		if !c.isSlow(g) {
			note(g.record)
		}
		if head, ok := world.Fleet.Server(g.record.Members[0]); ok && g.wasOpen && g.record.Service == at.service.Name {
			at.groups[head.Domain] = append(at.groups[head.Domain], g)
		}
	}
	for _, record := range c.creating {
		note(record)
	}
}

// listFree counts the servers that the service's groups may be made of, and lists
// those that are free.
func (c *Controller) listFree(at *layout, world World, plan *Plan) {
	taken := c.taken()
	isListed := map[string]bool{}
	for _, server := range world.Fleet.Servers() {
		if !isMaterial(server, at.service.Name) {
			continue
		}
		at.total++
		c.countHeld(at, server)
		if !isListed[server.Domain] {
			isListed[server.Domain] = true
			at.domains = append(at.domains, server.Domain)
		}
		if !taken[server.ID] && c.isFree(server, plan) {
			at.free[server.Domain] = append(at.free[server.Domain], server)
		}
	}
}

// countHeld counts a server among those that have the weights of models.
func (c *Controller) countHeld(at *layout, server fleet.Server) {
	for _, model := range at.service.Engine.Models {
		if c.willHave(server, model.Name) {
			at.holders[choiceKey{
				domain: server.Domain,
				model:  model.Name,
			}]++
		}
	}
}

// isMaterial tells whether groups of a service may be made of a server, free or
// not.
func isMaterial(server fleet.Server, service string) bool {
	return server.Service == service && server.IsEngine && !server.Draining
}

// soonest returns the servers of a domain that form a group of a model soonest.
func (l *layout) soonest(domain string, model config.Model) choice {
	key := choiceKey{
		domain: domain,
		model:  model.Name,
	}
	known, ok := l.choices[key]
	if !ok {
		known = choose(l.unreserved(domain, model), model)
		l.choices[key] = known
	}
	return known
}

// unreserved returns the free servers of a domain that no group of another model waits
// for.
func (l *layout) unreserved(domain string, model config.Model) []fleet.Server {
	var servers []fleet.Server
	for _, server := range l.free[domain] {
		order, isLoading := l.staged[server.ID]
		if !isLoading || !order.isForGroup || order.model == model.Name {
			servers = append(servers, server)
		}
	}
	return servers
}

// take makes servers of a domain members of a group.
func (l *layout) take(domain string, members []string) {
	l.free[domain] = slices.DeleteFunc(l.free[domain], func(server fleet.Server) bool {
		return slices.Contains(members, server.ID)
	})
	for _, model := range l.service.Engine.Models {
		delete(l.choices, choiceKey{
			domain: domain,
			model:  model.Name,
		})
	}
}

// add counts a group.
func (l *layout) add(domain, model string) {
	l.live[model]++
	if l.inDomain[domain] == nil {
		l.inDomain[domain] = map[string]int{}
	}
	l.inDomain[domain][model]++
}

// addWarming counts a server that loads a model to be free again.
func (l *layout) addWarming(domain, model string) {
	l.warming[choiceKey{
		domain: domain,
		model:  model,
	}]++
}

// isFree tells whether a server without a record may join a group: it is in no
// group that could still serve, it did not fail to answer lately, and it is not
// slow.
func (c *Controller) isFree(server fleet.Server, plan *Plan) bool {
	if !c.isWell(server) {
		if time.Since(c.signs[server.ID].asked) > probeUnfitAgain {
			c.probe(server, plan)
		}
		return false
	}
	return server.Membership.State == fleet.NoGroup || c.isClosed(server.Membership)
}

// planned returns how many groups a model should have by its share of the work.
func (l *layout) planned(model config.Model) int {
	servers := l.share(model) * usedShare * float64(l.total) * (1 + memberRisk*float64(model.Size))
	return max(1, int(math.Round(servers/float64(model.Size))))
}

// share returns a model's share of the work: as callers ask for it, and as the operator
// expects it while too little is asked to tell.
func (l *layout) share(model config.Model) float64 {
	sum := 0.0
	for _, one := range l.service.Engine.Models {
		known, ok := l.demands[one.Name]
		if !ok {
			return model.Share
		}
		sum += known.groups * float64(one.Size)
	}
	if sum < leastWork*float64(l.total) {
		return model.Share
	}
	return l.demands[model.Name].groups * float64(model.Size) / sum
}

// need returns how many groups a model's requests need to be in time.
func (l *layout) need(model config.Model) float64 {
	known, ok := l.demands[model.Name]
	if !ok {
		return float64(l.planned(model))
	}
	return max(leastNeed, known.groups/fullPart)
}

// want returns how many groups a model gets where servers are free: at least as many
// as planned, since callers may come back.
func (l *layout) want(model config.Model) int {
	return max(l.planned(model), int(math.Round(l.need(model))))
}

// isLacking tells whether a model has fewer groups than it should.
func (l *layout) isLacking(model config.Model) bool {
	return l.live[model.Name] < l.want(model)
}

// keepsLacking tells whether a server's host keeps the weights of a model that lacks
// groups, and the server could not join one without them.
func (l *layout) keepsLacking(server fleet.Server) bool {
	for _, staged := range server.Staged {
		model, ok := l.service.Engine.Model(staged)
		if ok && l.isLacking(model) && !server.CanRejoin(staged) {
			return true
		}
	}
	return false
}

// neediest returns the model that is worst off of those that want more groups and are
// postponed, or of the others.
func (l *layout) neediest(isPostponed bool) (config.Model, bool) {
	var best config.Model
	bestPart, isAny := 0.0, false
	for _, model := range l.service.Engine.Models {
		part := l.part(model, 0)
		if l.isLacking(model) && l.postponed[model.Name] == isPostponed && (!isAny || part < bestPart) {
			best, bestPart, isAny = model, part, true
		}
	}
	return best, isAny
}

// part returns which part of the groups that it needs a model would have with so many
// more.
func (l *layout) part(model config.Model, more int) float64 {
	return float64(l.live[model.Name]+more) / l.need(model)
}

// taken returns the servers that are members of a group that has a record, or is
// about to have one.
func (c *Controller) taken() map[string]bool {
	taken := map[string]bool{}
	for _, g := range c.groups {
		for _, id := range g.record.Members {
			taken[id] = true
		}
	}
	for _, record := range c.creating {
		for _, id := range record.Members {
			taken[id] = true
		}
	}
	return taken
}
