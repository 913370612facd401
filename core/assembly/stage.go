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
	// stageMargin is how much longer than a load a stage order may take before it
	// is given again.
	stageMargin = 3 * time.Second
	// stageAgain is when a server that did not take an order to load is asked
	// again: it is loading, perhaps by another daemon's order.
	stageAgain = 3 * time.Second
)

// stageFree has free servers load weights to their hosts, so that a repair
// takes no load: first for models that lack groups, then as spares.
func (c *Controller) stageFree(at *layout, world World, plan *Plan) {
	for _, model := range at.service.Engine.Models {
		if at.live[model.Name] >= at.want(model) {
			continue
		}
		if world.IsStart {
			// Loads are quick now and groups load as they form; a group that is
			// lacking fits into no domain.
			continue
		}
		c.stageMissing(at, model, world, plan)
	}
	c.stageSpares(at, world, plan)
	c.stageSeconds(at, world, plan)
}

// stageSpares has servers that hold nothing load weights as spares.
func (c *Controller) stageSpares(at *layout, world World, plan *Plan) {
	if world.IsStart {
		// They load as they warm up.
		return
	}
	for _, domain := range at.domains {
		for _, server := range at.free[domain] {
			isEmpty := len(server.Staged) == 0 && server.Recent == ""
			if isEmpty && !c.isStaging(server) {
				c.stageSpare(at, domain, server, world, plan)
			}
		}
	}
}

// forgetStaged forgets stage orders that are done or past their time, and those
// of servers that are gone.
func (c *Controller) forgetStaged(view fleet.View) {
	maps.DeleteFunc(c.staged, func(id string, order stageOrder) bool {
		server, ok := view.Server(id)
		return !ok || server.HasStaged(order.model) || time.Now().After(order.until)
	})
}

// isStaging tells whether a stage order of a server is under way.
func (c *Controller) isStaging(server fleet.Server) bool {
	_, ok := c.staged[server.ID]
	return ok
}

// willHave tells whether a free server has a model's weights, or is loading
// them.
func (c *Controller) willHave(server fleet.Server, model string) bool {
	if c.isStaging(server) {
		return c.staged[server.ID].model == model
	}
	return server.HasStaged(model) || server.CanRejoin(model)
}

// stageMissing completes the weights for the groups that a model lacks, in the
// domains where the fewest servers must load them. Domains where all weights are
// there, or being loaded, count as groups on their way.
func (c *Controller) stageMissing(at *layout, model config.Model, world World, plan *Plan) {
	lacking := at.want(model) - at.live[model.Name]
	var chosen [][]fleet.Server
	for _, domain := range at.domains {
		loads, isPossible := c.missingIn(at, at.free[domain], model)
		if isPossible {
			chosen = append(chosen, loads)
		}
	}
	slices.SortStableFunc(chosen, func(a, b []fleet.Server) int {
		return len(a) - len(b)
	})
	for _, servers := range chosen[:min(len(chosen), max(0, lacking))] {
		for _, server := range servers {
			c.stage(server, model, at.service.Engine, forGroup, world, plan)
		}
	}
}

// missingIn returns the free servers of a domain that must load a model's
// weights for one more group, those first that lose nothing by it, and whether there
// are enough. One does not load that would lose the weights of a model that lacks
// groups too.
func (c *Controller) missingIn(at *layout, free []fleet.Server, model config.Model) ([]fleet.Server, bool) {
	missing := model.Size
	var empty, others []fleet.Server
	for _, server := range free {
		switch {
		case c.willHave(server, model.Name):
			missing--
		case c.isStaging(server):
		case at.keepsLacking(server):
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
func (c *Controller) stageSpare(at *layout, domain string, server fleet.Server, world World, plan *Plan) {
	if model, ok := c.lacking(at, domain); ok {
		c.stage(server, model, at.service.Engine, forSpare, world, plan)
	}
}

// purpose is what a load is for.
type purpose struct {
	// reason is for the log.
	reason string
	// share is the part of the loads that the weight store serves at full speed up to which
	// one for this purpose may begin. A load takes 12 s to 16 s and is not stopped, and one
	// more than the store serves makes all of them take longer: so those that can wait
	// leave room for those that cannot, such as new servers, which stand empty meanwhile.
	share float64
}

// The purposes of loads, the most urgent first.
var (
	forGroup = purpose{
		reason: "a group lacks its weights",
		share:  1,
	}
	forSpare = purpose{
		reason: "the domain has no spare with them",
		share:  0.85,
	}
	forSecond = purpose{
		reason: "a second model for its host",
		share:  0.5,
	}
)

// mayStage tells whether one more load for a purpose may begin.
func (c *Controller) mayStage(engine *config.Engine, why purpose, world World) bool {
	share := why.share
	if world.IsIdle {
		// Loads are quick, and nobody waits for those that are more urgent.
		share = 1
	}
	most := max(1, int(share*float64(engine.LoadsAtOnce)))
	isCrowded := !world.IsStart && len(c.staged) >= most
	return !isCrowded && c.mayLoad(1, engine, world)
}

// stage orders a server to load weights, unless too many loads are under way.
func (c *Controller) stage(server fleet.Server, model config.Model, engine *config.Engine, why purpose, world World, plan *Plan) {
	if !c.mayStage(engine, why, world) {
		return
	}
	c.loads = append(c.loads, time.Now())
	c.staged[server.ID] = stageOrder{
		model:      model.Name,
		until:      time.Now().Add(model.Load + stageMargin),
		isForGroup: why == forGroup,
	}
	plan.Orders = append(plan.Orders, Order{
		Server: server,
		Kind:   Stage,
		Model:  model.Name,
		Reason: why.reason,
	})
}

// lacking returns the model of which a domain has the fewest spares, measured
// by the servers that its groups there use.
func (c *Controller) lacking(at *layout, domain string) (config.Model, bool) {
	var best config.Model
	bestScore := 0.0
	for _, model := range at.service.Engine.Models {
		spares := 0
		for _, server := range at.free[domain] {
			if c.willHave(server, model.Name) {
				spares++
			}
		}
		spares += at.warming[choiceKey{
			domain: domain,
			model:  model.Name,
		}]
		used := float64(at.inDomain[domain][model.Name]*model.Size) + model.Share
		score := used / float64((1+spares)*(1+spares))
		if score > bestScore {
			best, bestScore = model, score
		}
	}
	return best, bestScore > 0
}
