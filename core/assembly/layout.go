package assembly

import (
	"slices"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

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
	// kept are servers that are asked for a sign of life for a group of a model, by ID.
	kept map[string]string
	// plans are how many groups each model should have; nil: not worked out yet.
	plans map[string]int
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
		if world.Evacuated.Has(head.Zone) {
			// It serves nobody, and is kept for when the zone is taken back.
			return
		}
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
		head, ok := world.Fleet.Server(g.record.Members[0])
		isServing := ok && g.wasOpen && !world.Evacuated.Has(head.Zone)
		if isServing && g.record.Service == at.service.Name {
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
		if !world.isMaterial(server, at.service.Name) {
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
func (w World) isMaterial(server fleet.Server, service string) bool {
	return server.Service == service && server.IsEngine && !server.Draining && !w.Evacuated.Has(server.Zone)
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
		isLoadingForOther := isLoading && order.isForGroup && order.model != model.Name
		keptFor, isKept := l.kept[server.ID]
		if !isLoadingForOther && (!isKept || keptFor == model.Name) {
			servers = append(servers, server)
		}
	}
	return servers
}

// keepFor keeps servers of a domain for a group of a model.
func (l *layout) keepFor(model config.Model, servers []fleet.Server) {
	if l.kept == nil {
		l.kept = map[string]string{}
	}
	for _, server := range servers {
		l.kept[server.ID] = model.Name
	}
	l.forgetChoices(servers[0].Domain)
}

// forgetChoices forgets what was chosen in a domain.
func (l *layout) forgetChoices(domain string) {
	for _, model := range l.service.Engine.Models {
		delete(l.choices, choiceKey{
			domain: domain,
			model:  model.Name,
		})
	}
}

// take makes servers of a domain members of a group.
func (l *layout) take(domain string, members []string) {
	l.free[domain] = slices.DeleteFunc(l.free[domain], func(server fleet.Server) bool {
		return slices.Contains(members, server.ID)
	})
	l.forgetChoices(domain)
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
	if time.Now().Before(c.late[server.ID]) {
		return false
	}
	if !c.isWell(server) {
		if time.Since(c.signs[server.ID].asked) > probeUnfitAgain {
			c.probe(server, plan)
		}
		return false
	}
	return server.Membership.State == fleet.NoGroup || c.isClosed(server.Membership)
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
