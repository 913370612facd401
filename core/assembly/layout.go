package assembly

import (
	"slices"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// layout is the state of one service that planning works on.
type serviceState struct {
	service     *config.Service
	freeServers map[string][]fleet.Server
	domains     []string
	// live counts the groups of each model, over all and by domain.
	liveGroups   map[string]int
	liveInDomain map[string]map[string]int
	// groups are the open ones by domain, in the order of their names.
	openGroups map[string][]*group
	// holders counts the servers of a domain, free or not, that have a model's weights
	// or are loading them.
	holders map[domainModel]int
	// warming counts the servers of a domain that load a model to be free again.
	warmingServers map[domainModel]int
	// demands are the estimates of what callers ask for, by model.
	demands map[string]demand
	// staged are the loads under way, by server.
	stageOrders map[string]stageOrder
	// isFreeingDomain tells of domains in which the record of a group is being removed: its
	// members are free some milliseconds later, and mostly the best to form the next.
	isFreeingDomain map[string]bool
	// coming counts the groups of each model that can be formed soon without ending
	// others.
	upcomingGroups map[string]int
	// postponed are models for which no group can be formed now.
	isPostponed  map[string]bool
	totalServers int
	// kept are servers that are asked for a sign of life for a group of a model, by ID.
	reservedFor map[string]string
	// plans are how many groups each model should have; nil: not worked out yet.
	allocation map[string]int
	// choices are kept by domain and model, since planning asks for the same ones
	// again and again; a domain's are forgotten when its free servers change.
	cachedChoices map[domainModel]memberChoice
}

// domainModel names a domain and a model.
type domainModel struct {
	domain string
	model  string
}

// layout returns the state of a service.
func (c *Controller) newServiceState(service *config.Service, input World, plan *Plan) *serviceState {
	state := &serviceState{
		service:         service,
		freeServers:     map[string][]fleet.Server{},
		liveGroups:      map[string]int{},
		liveInDomain:    map[string]map[string]int{},
		openGroups:      map[string][]*group{},
		holders:         map[domainModel]int{},
		warmingServers:  map[domainModel]int{},
		stageOrders:     c.stageOrders,
		isFreeingDomain: map[string]bool{},
		upcomingGroups:  map[string]int{},
		isPostponed:     map[string]bool{},
		cachedChoices:   map[domainModel]memberChoice{},
		demands:         c.demandsOf(service),
	}
	c.countGroups(state, input)
	c.listFreeServers(state, input, plan)
	return state
}

// countGroups counts the groups of the service that are to serve.
func (c *Controller) countGroups(state *serviceState, input World) {
	count := func(record Record) {
		if record.Service != state.service.Name {
			return
		}
		head, _ := input.Fleet.Server(record.Members[0])
		if input.Evacuated.Has(head.Zone) {
			// It serves nobody, and is kept for when the zone is taken back.
			return
		}
		if record.IsWarmUp {
			state.countWarmUp(head.Domain, record.Model)
			return
		}
		state.countGroup(head.Domain, record.Model)
	}
	for _, name := range sortedNames(c.groups) {
		g := c.groups[name]
		if g.endReason != "" {
			domain, isKnown := groupDomain(g.record, input)
			state.isFreeingDomain[domain] = state.isFreeingDomain[domain] || (isKnown && g.isRemoving)
			continue
		}
		if !c.isSlow(g) {
			count(g.record)
		}
		head, ok := input.Fleet.Server(g.record.Members[0])
		isServing := ok && g.wasOpen && !input.Evacuated.Has(head.Zone)
		if isServing && g.record.Service == state.service.Name {
			state.openGroups[head.Domain] = append(state.openGroups[head.Domain], g)
		}
	}
	for _, record := range c.pendingRecords {
		count(record)
	}
}

// listFreeServers counts the servers that the service's groups may be made of, and lists
// those that are free.
func (c *Controller) listFreeServers(state *serviceState, input World, plan *Plan) {
	assigned := c.assignedServers()
	isListed := map[string]bool{}
	for _, server := range input.Fleet.Servers() {
		if !input.isEligible(server, state.service.Name) {
			continue
		}
		state.totalServers++
		c.countHolders(state, server)
		if !isListed[server.Domain] {
			isListed[server.Domain] = true
			state.domains = append(state.domains, server.Domain)
		}
		if !assigned[server.ID] && c.isFree(server, plan) {
			state.freeServers[server.Domain] = append(state.freeServers[server.Domain], server)
		}
	}
}

// countHolders counts a server among those that have the weights of models.
func (c *Controller) countHolders(state *serviceState, server fleet.Server) {
	for _, model := range state.service.Engine.Models {
		if c.hasOrLoads(server, model.Name) {
			state.holders[domainModel{
				domain: server.Domain,
				model:  model.Name,
			}]++
		}
	}
}

// isEligible tells whether groups of a service may be made of a server, free or
// not.
func (in World) isEligible(server fleet.Server, service string) bool {
	return server.Service == service && server.IsEngine && !server.Draining && !in.Evacuated.Has(server.Zone)
}

// soonest returns the servers of a domain that form a group of a model soonest.
func (s *serviceState) fastestChoice(domain string, model config.Model) memberChoice {
	key := domainModel{
		domain: domain,
		model:  model.Name,
	}
	cached, isCached := s.cachedChoices[key]
	if !isCached {
		cached = chooseMembers(s.unreserved(domain, model), model)
		s.cachedChoices[key] = cached
	}
	return cached
}

// unreserved returns the free servers of a domain that no group of another model waits
// for.
func (s *serviceState) unreserved(domain string, model config.Model) []fleet.Server {
	var servers []fleet.Server
	for _, server := range s.freeServers[domain] {
		order, isLoading := s.stageOrders[server.ID]
		isLoadingForOther := isLoading && order.isForGroup && order.model != model.Name
		reservedModel, isReserved := s.reservedFor[server.ID]
		if !isLoadingForOther && (!isReserved || reservedModel == model.Name) {
			servers = append(servers, server)
		}
	}
	return servers
}

// reserve keeps servers of a domain for a group of a model.
func (s *serviceState) reserve(model config.Model, servers []fleet.Server) {
	if s.reservedFor == nil {
		s.reservedFor = map[string]string{}
	}
	for _, server := range servers {
		s.reservedFor[server.ID] = model.Name
	}
	s.invalidateChoices(servers[0].Domain)
}

// invalidateChoices forgets what was chosen in a domain.
func (s *serviceState) invalidateChoices(domain string) {
	for _, model := range s.service.Engine.Models {
		delete(s.cachedChoices, domainModel{
			domain: domain,
			model:  model.Name,
		})
	}
}

// take makes servers of a domain members of a group.
func (s *serviceState) removeFree(domain string, members []string) {
	s.freeServers[domain] = slices.DeleteFunc(s.freeServers[domain], func(server fleet.Server) bool {
		return slices.Contains(members, server.ID)
	})
	s.invalidateChoices(domain)
}

// add counts a group.
func (s *serviceState) countGroup(domain, model string) {
	s.liveGroups[model]++
	if s.liveInDomain[domain] == nil {
		s.liveInDomain[domain] = map[string]int{}
	}
	s.liveInDomain[domain][model]++
}

// countWarmUp counts a server that loads a model to be free again.
func (s *serviceState) countWarmUp(domain, model string) {
	s.warmingServers[domainModel{
		domain: domain,
		model:  model,
	}]++
}

// isFree tells whether a server without a record may join a group: it is in no
// group that could still serve, it did not fail to answer lately, and it is not
// slow.
func (c *Controller) isFree(server fleet.Server, plan *Plan) bool {
	if time.Now().Before(c.excludedUntil[server.ID]) {
		return false
	}
	if !c.isHealthy(server) {
		if time.Since(c.probeStates[server.ID].sentAt) > unhealthyProbeInterval {
			c.probe(server, plan)
		}
		return false
	}
	return server.Membership.State == fleet.NoGroup || c.isOfClosedGroup(server.Membership)
}

// keepsNeededWeights tells whether a server's host keeps the weights of a model that lacks
// groups, and the server could not join one without them.
func (s *serviceState) keepsNeededWeights(server fleet.Server) bool {
	for _, staged := range server.Staged {
		model, ok := s.service.Engine.Model(staged)
		if ok && s.isBelowTarget(model) && !server.CanRejoin(staged) {
			return true
		}
	}
	return false
}

// taken returns the servers that are members of a group that has a record, or is
// about to have one.
func (c *Controller) assignedServers() map[string]bool {
	assigned := map[string]bool{}
	for _, g := range c.groups {
		for _, id := range g.record.Members {
			assigned[id] = true
		}
	}
	for _, record := range c.pendingRecords {
		for _, id := range record.Members {
			assigned[id] = true
		}
	}
	return assigned
}
