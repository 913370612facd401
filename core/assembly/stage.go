package assembly

import (
	"maps"
	"slices"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

const (
	// stageTimeoutMargin is how much longer than a load a stage order may take before it is
	// given again.
	stageTimeoutMargin = 3 * time.Second
	// stageRetryInterval is after how long a server that rejected a stage order gets one
	// again: it is already loading, possibly for another daemon.
	stageRetryInterval = 3 * time.Second
)

// stageWeights stages weights on hosts, so that a repair needs no load from the weight store:
// on the hosts of free servers first for models that lack groups, then for spares; after that
// second models, on the hosts of all servers.
func (c *Controller) stageWeights(state *serviceState, input Input, plan *Plan) {
	for _, model := range state.service.Engine.Models {
		if state.liveGroups[model.Name] >= state.targetGroups(model) {
			continue
		}
		if input.IsStartupPhase {
			// Loads are quick now and groups load as they form; a group that is still
			// missing fits into no domain.
			continue
		}
		c.stageMissing(state, model, input, plan)
	}
	c.stageSpares(state, input, plan)
	c.stageSecondModels(state, input, plan)
}

// stageSpares makes servers without any weights load some as spares.
func (c *Controller) stageSpares(state *serviceState, input Input, plan *Plan) {
	if input.IsStartupPhase {
		// Servers load as they warm up.
		return
	}
	for _, domain := range state.domains {
		for _, server := range state.freeServers[domain] {
			isEmpty := len(server.Staged) == 0 && server.LastModel == ""
			if isEmpty && !c.isStaging(server) {
				c.stageSpare(state, domain, server, input, plan)
			}
		}
	}
}

// pruneStageOrders removes stage orders that are done or have timed out, and those of
// servers that have no entry any more.
func (c *Controller) pruneStageOrders(view fleet.View) {
	maps.DeleteFunc(c.stageOrders, func(id string, order stageOrder) bool {
		server, ok := view.Server(id)
		return !ok || server.HasStaged(order.model) || time.Now().After(order.expiresAt)
	})
}

// isStaging reports whether a server has a pending stage order.
func (c *Controller) isStaging(server fleet.Server) bool {
	_, ok := c.stageOrders[server.ID]
	return ok
}

// hasOrLoads reports whether a server has a model's weights, or is loading them. A server with
// a pending stage order counts only for the model of that order.
func (c *Controller) hasOrLoads(server fleet.Server, model string) bool {
	if c.isStaging(server) {
		return c.stageOrders[server.ID].model == model
	}
	return server.HasStaged(model) || server.CanJoinWithoutLoading(model)
}

// stageMissing completes the weights for the groups that a model lacks, in the domains
// where the fewest servers must load them. Domains in which all weights are present or
// being loaded count as upcoming groups.
func (c *Controller) stageMissing(state *serviceState, model config.Model, input Input, plan *Plan) {
	missingGroups := state.targetGroups(model) - state.liveGroups[model.Name]
	var chosen [][]fleet.Server
	for _, domain := range state.domains {
		loads, isPossible := c.serversToLoad(state, state.freeServers[domain], model)
		if isPossible {
			chosen = append(chosen, loads)
		}
	}
	slices.SortStableFunc(chosen, func(a, b []fleet.Server) int {
		return len(a) - len(b)
	})
	for _, servers := range chosen[:min(len(chosen), max(0, missingGroups))] {
		for _, server := range servers {
			c.orderStage(server, model, state.service.Engine, forGroup, input, plan)
		}
	}
}

// serversToLoad returns the free servers of a domain that must load a model's weights for
// one more group, and whether there are enough. Servers without staged weights come first.
// A server does not load if that would replace the weights of another model that lacks
// groups.
func (c *Controller) serversToLoad(state *serviceState, free []fleet.Server, model config.Model) ([]fleet.Server, bool) {
	missing := model.GroupSize
	var empty, others []fleet.Server
	for _, server := range free {
		switch {
		case c.hasOrLoads(server, model.Name):
			missing--
		case c.isStaging(server):
		case state.keepsNeededWeights(server):
		case len(server.Staged) == 0:
			empty = append(empty, server)
		default:
			others = append(others, server)
		}
	}
	if missing <= 0 {
		return nil, true
	}
	candidates := slices.Concat(empty, others)
	if len(candidates) < missing {
		return nil, false
	}
	return candidates[:missing], true
}

// stageSpare makes a server without weights load those of which its domain has the fewest
// spares.
func (c *Controller) stageSpare(state *serviceState, domain string, server fleet.Server, input Input, plan *Plan) {
	if model, ok := c.scarcestModel(state, domain); ok {
		c.orderStage(server, model, state.service.Engine, forSpare, input, plan)
	}
}

// loadPurpose is the purpose of a load.
type loadPurpose struct {
	// reason is for the log.
	reason string
	// maxFraction is the fraction of the loads that the weight store serves at full speed
	// up to which a load for this purpose may start. A load takes 12 s to 16 s and is not
	// cancelled, and one more than the store serves slows all of them down. Less urgent
	// loads therefore leave capacity for urgent ones, such as those of new servers, which
	// are idle meanwhile.
	maxFraction float64
}

// The purposes of loads, the most urgent first.
var (
	forGroup = loadPurpose{
		reason:      "a group lacks its weights",
		maxFraction: 1,
	}
	forSpare = loadPurpose{
		reason:      "the domain has no spare with these weights",
		maxFraction: 0.85,
	}
	forSecond = loadPurpose{
		reason:      "a second model for its host",
		maxFraction: 0.5,
	}
)

// mayStage reports whether one more load for a purpose may start.
func (c *Controller) mayStage(engine *config.Engine, purpose loadPurpose, input Input) bool {
	fraction := purpose.maxFraction
	if input.IsBeforeFirstRequest {
		// Loads are quick, and no more urgent ones wait.
		fraction = 1
	}
	limit := max(1, int(fraction*float64(engine.FullSpeedLoads)))
	isAtLimit := !input.IsStartupPhase && len(c.stageOrders) >= limit
	return !isAtLimit && c.mayLoad(1, engine, input)
}

// orderStage orders a server to load weights, unless too many loads are in progress.
func (c *Controller) orderStage(server fleet.Server, model config.Model, engine *config.Engine, purpose loadPurpose, input Input, plan *Plan) {
	if !c.mayStage(engine, purpose, input) {
		return
	}
	c.loadStarts = append(c.loadStarts, time.Now())
	c.stageOrders[server.ID] = stageOrder{
		model:      model.Name,
		expiresAt:  time.Now().Add(model.LoadTime + stageTimeoutMargin),
		isForGroup: purpose == forGroup,
	}
	plan.Orders = append(plan.Orders, Order{
		Server: server,
		Kind:   Stage,
		Model:  model.Name,
		Reason: purpose.reason,
	})
}

// scarcestModel returns the model of which a domain has the fewest spares relative to the
// servers that its groups there use.
func (c *Controller) scarcestModel(state *serviceState, domain string) (config.Model, bool) {
	var best config.Model
	bestScore := 0.0
	for _, model := range state.service.Engine.Models {
		spares := 0
		for _, server := range state.freeServers[domain] {
			if c.hasOrLoads(server, model.Name) {
				spares++
			}
		}
		spares += state.warmingServers[domainModel{
			domain: domain,
			model:  model.Name,
		}]
		used := float64(state.liveInDomain[domain][model.Name]*model.GroupSize) + model.InitialShare
		score := used / float64((1+spares)*(1+spares))
		if score > bestScore {
			best, bestScore = model, score
		}
	}
	return best, bestScore > 0
}
