package assembly

import (
	"maps"
	"slices"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// Times of stage orders.
const (
	// stageTimeoutMargin is how much longer than a load a stage order may take before it
	// is given again.
	stageTimeoutMargin = 3 * time.Second
	// stageRetryInterval is when a server that did not take an order to load is asked
	// again: it is loading, perhaps by another daemon's order.
	stageRetryInterval = 3 * time.Second
)

// stageWeights has free servers load weights to their hosts, so that a repair
// takes no load: first for models that lack groups, then as spares.
func (c *Controller) stageWeights(state *serviceState, input World, plan *Plan) {
	for _, model := range state.service.Engine.Models {
		if state.liveGroups[model.Name] >= state.targetGroups(model) {
			continue
		}
		if input.IsStart {
			// Loads are quick now and groups load as they form; a group that is
			// lacking fits into no domain.
			continue
		}
		c.stageMissing(state, model, input, plan)
	}
	c.stageSpares(state, input, plan)
	c.stageSecondModels(state, input, plan)
}

// stageSpares has servers that hold nothing load weights as spares.
func (c *Controller) stageSpares(state *serviceState, input World, plan *Plan) {
	if input.IsStart {
		// They load as they warm up.
		return
	}
	for _, domain := range state.domains {
		for _, server := range state.freeServers[domain] {
			isEmpty := len(server.Staged) == 0 && server.Recent == ""
			if isEmpty && !c.isStaging(server) {
				c.stageSpare(state, domain, server, input, plan)
			}
		}
	}
}

// pruneStageOrders forgets stage orders that are done or past their time, and those
// of servers that are gone.
func (c *Controller) pruneStageOrders(view fleet.View) {
	maps.DeleteFunc(c.stageOrders, func(id string, order stageOrder) bool {
		server, ok := view.Server(id)
		return !ok || server.HasStaged(order.model) || time.Now().After(order.expiresAt)
	})
}

// isStaging tells whether a stage order of a server is under way.
func (c *Controller) isStaging(server fleet.Server) bool {
	_, ok := c.stageOrders[server.ID]
	return ok
}

// hasOrLoads tells whether a free server has a model's weights, or is loading
// them.
func (c *Controller) hasOrLoads(server fleet.Server, model string) bool {
	if c.isStaging(server) {
		return c.stageOrders[server.ID].model == model
	}
	return server.HasStaged(model) || server.CanRejoin(model)
}

// stageMissing completes the weights for the groups that a model lacks, in the
// domains where the fewest servers must load them. Domains where all weights are
// there, or being loaded, count as groups on their way.
func (c *Controller) stageMissing(state *serviceState, model config.Model, input World, plan *Plan) {
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

// serversToLoad returns the free servers of a domain that must load a model's
// weights for one more group, those first that lose nothing by it, and whether there
// are enough. One does not load that would lose the weights of a model that lacks
// groups too.
func (c *Controller) serversToLoad(state *serviceState, free []fleet.Server, model config.Model) ([]fleet.Server, bool) {
	missing := model.Size
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

// stageSpare has an empty server load the weights that its domain lacks most.
func (c *Controller) stageSpare(state *serviceState, domain string, server fleet.Server, input World, plan *Plan) {
	if model, ok := c.scarcestModel(state, domain); ok {
		c.orderStage(server, model, state.service.Engine, forSpare, input, plan)
	}
}

// purpose is what a load is for.
type loadPurpose struct {
	// reason is for the log.
	reason string
	// share is the part of the loads that the weight store serves at full speed up to which
	// one for this purpose may begin. A load takes 12 s to 16 s and is not stopped, and one
	// more than the store serves makes all of them take longer: so those that can wait
	// leave room for those that cannot, such as new servers, which stand empty meanwhile.
	maxFraction float64
}

// The purposes of loads, the most urgent first.
var (
	forGroup = loadPurpose{
		reason:      "a group lacks its weights",
		maxFraction: 1,
	}
	forSpare = loadPurpose{
		reason:      "the domain has no spare with them",
		maxFraction: 0.85,
	}
	forSecond = loadPurpose{
		reason:      "a second model for its host",
		maxFraction: 0.5,
	}
)

// mayStage tells whether one more load for a purpose may begin.
func (c *Controller) mayStage(engine *config.Engine, purpose loadPurpose, input World) bool {
	share := purpose.maxFraction
	if input.IsIdle {
		// Loads are quick, and nobody waits for those that are more urgent.
		share = 1
	}
	limit := max(1, int(share*float64(engine.LoadsAtOnce)))
	isCrowded := !input.IsStart && len(c.stageOrders) >= limit
	return !isCrowded && c.mayLoad(1, engine, input)
}

// stage orders a server to load weights, unless too many loads are under way.
func (c *Controller) orderStage(server fleet.Server, model config.Model, engine *config.Engine, purpose loadPurpose, input World, plan *Plan) {
	if !c.mayStage(engine, purpose, input) {
		return
	}
	c.loadStarts = append(c.loadStarts, time.Now())
	c.stageOrders[server.ID] = stageOrder{
		model:      model.Name,
		expiresAt:  time.Now().Add(model.Load + stageTimeoutMargin),
		isForGroup: purpose == forGroup,
	}
	plan.Orders = append(plan.Orders, Order{
		Server: server,
		Kind:   Stage,
		Model:  model.Name,
		Reason: purpose.reason,
	})
}

// lacking returns the model of which a domain has the fewest spares, measured
// by the servers that its groups there use.
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
		used := float64(state.liveInDomain[domain][model.Name]*model.Size) + model.Share
		score := used / float64((1+spares)*(1+spares))
		if score > bestScore {
			best, bestScore = model, score
		}
	}
	return best, bestScore > 0
}
