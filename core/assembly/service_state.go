package assembly

import (
	"slices"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// serviceState is the state of one service that planning works on.
type serviceState struct {
	service     *config.Service
	freeServers map[string][]fleet.Server
	domains     []string
	// liveGroups counts the groups of each model that are to serve, including those whose
	// records are being written; liveInDomain does so by domain.
	liveGroups   map[string]int
	liveInDomain map[string]map[string]int
	// replacedGroups are suspected groups that are being replaced, and not counted as live.
	replacedGroups []*group
	// openGroups are the open groups by domain, in the order of their names.
	openGroups map[string][]*group
	// holders counts the servers of a domain, free or not, that have a model's weights or
	// are loading them.
	holders map[domainModel]int
	// warmingServers counts the servers of a domain that load a model in a warm-up group.
	warmingServers map[domainModel]int
	// demands are the estimates of the demand, by model.
	demands map[string]demand
	// stageOrders are the pending stage orders, by server.
	stageOrders map[string]stageOrder
	// isFreeingDomain is true for domains in which the record of a group is being removed:
	// its members are free some milliseconds later, and usually the best choice for the
	// next group.
	isFreeingDomain map[string]bool
	// upcomingGroups counts the groups of each model that can form without ending others,
	// once servers that are about to become free are free.
	upcomingGroups map[string]int
	// isPostponed is true for models of which no group can form now.
	isPostponed  map[string]bool
	totalServers int
	// reservedFor is the model of the group for which a probed server is reserved, by
	// server.
	reservedFor map[string]string
	// allocation is how many groups each model should have; nil until it is computed.
	allocation map[string]int
	// cachedChoices caches choices by domain and model, because planning requests the same
	// ones repeatedly. The choices of a domain are invalidated when its free servers
	// change.
	cachedChoices map[domainModel]memberChoice
}

// domainModel identifies a model in a domain.
type domainModel struct {
	domain string
	model  string
}

// newServiceState returns the state of a service.
func (c *Controller) newServiceState(service *config.Service, input Input, plan *Plan) *serviceState {
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
func (c *Controller) countGroups(state *serviceState, input Input) {
	for _, name := range sortedNames(c.groups) {
		g := c.groups[name]
		if g.endReason != "" {
			domain, isKnown := groupDomain(g.record, input)
			state.isFreeingDomain[domain] = state.isFreeingDomain[domain] || (isKnown && g.isRemovalPending)
			continue
		}
		switch {
		case c.isReplaced(g):
			state.replacedGroups = append(state.replacedGroups, g)
		case !c.isSlow(g):
			state.countRecord(g.record, input)
		}
		head, ok := input.Fleet.Server(g.record.Members[0])
		isServing := ok && g.wasOpen && !input.EvacuatedZones.Contains(head.Zone)
		if isServing && g.record.Service == state.service.Name {
			state.openGroups[head.Domain] = append(state.openGroups[head.Domain], g)
		}
	}
	for _, record := range c.pendingRecords {
		state.countRecord(record, input)
	}
}

// countRecord counts a group of the service that is to serve.
func (s *serviceState) countRecord(record Record, input Input) {
	if record.Service != s.service.Name {
		return
	}
	head, _ := input.Fleet.Server(record.Members[0])
	if input.EvacuatedZones.Contains(head.Zone) {
		// The group will get no requests, and is kept until the evacuation is cancelled.
		return
	}
	if record.IsWarmUp {
		s.countWarmUp(head.Domain, record.Model)
		return
	}
	s.countGroup(head.Domain, record.Model)
}

// listFreeServers counts the servers that may form the service's groups, and lists those
// that are free.
func (c *Controller) listFreeServers(state *serviceState, input Input, plan *Plan) {
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

// countHolders counts a server for each model whose weights it has.
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

// isEligible reports whether a server, free or not, may be a member of a service's groups.
func (in Input) isEligible(server fleet.Server, service string) bool {
	return server.Service == service && server.IsEngine && !server.Draining && !in.EvacuatedZones.Contains(server.Zone)
}

// fastestChoice returns the servers of a domain that form a group of a model soonest.
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

// unreserved returns the free servers of a domain for which no group of another model
// waits.
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

// reserve reserves servers of a domain for a group of a model.
func (s *serviceState) reserve(model config.Model, servers []fleet.Server) {
	if s.reservedFor == nil {
		s.reservedFor = map[string]string{}
	}
	for _, server := range servers {
		s.reservedFor[server.ID] = model.Name
	}
	s.invalidateChoices(servers[0].Domain)
}

// invalidateChoices removes the cached choices of a domain.
func (s *serviceState) invalidateChoices(domain string) {
	for _, model := range s.service.Engine.Models {
		delete(s.cachedChoices, domainModel{
			domain: domain,
			model:  model.Name,
		})
	}
}

// removeFree removes the members of a new group from a domain's free servers.
func (s *serviceState) removeFree(domain string, members []string) {
	s.freeServers[domain] = slices.DeleteFunc(s.freeServers[domain], func(server fleet.Server) bool {
		return slices.Contains(members, server.ID)
	})
	s.invalidateChoices(domain)
}

// countGroup counts a group.
func (s *serviceState) countGroup(domain, model string) {
	s.liveGroups[model]++
	if s.liveInDomain[domain] == nil {
		s.liveInDomain[domain] = map[string]int{}
	}
	s.liveInDomain[domain][model]++
}

// countWarmUp counts a server that loads a model in a warm-up group.
func (s *serviceState) countWarmUp(domain, model string) {
	s.warmingServers[domainModel{
		domain: domain,
		model:  model,
	}]++
}

// isFree reports whether a server without a record may join a group: it is in no group that
// could still serve, its last probes did not fail, it is not slow, and it is not excluded
// (excludeOverdue). A server whose probes failed or that is slow is probed again.
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

// keepsNeededWeights reports whether a server's host has staged the weights of a model that
// lacks groups, and the server could not join a group of it without them.
func (s *serviceState) keepsNeededWeights(server fleet.Server) bool {
	for _, staged := range server.Staged {
		model, ok := s.service.Engine.Model(staged)
		if ok && s.isBelowTarget(model) && !server.CanJoinWithoutLoading(staged) {
			return true
		}
	}
	return false
}

// assignedServers returns the members of all groups that have a record or whose record is
// being written.
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
