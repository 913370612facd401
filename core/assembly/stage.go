package assembly

import (
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// stageMargin is how much longer than a load a stage order may take before it
// is given again.
const stageMargin = 3 * time.Second

// stageSpares has free servers load weights to their hosts, so that a repair
// takes no load. In each domain, models that lack groups come first, then those
// whose groups there have no staged server to replace a member.
func (c *Controller) stageSpares(at *layout, world World, plan *Plan) {
	if !c.isFormed(at) {
		return
	}
	for _, domain := range at.domains {
		for _, server := range at.free[domain] {
			if len(server.Staged) > 0 || len(server.Models) > 0 {
				continue
			}
			c.stage(at, domain, server, world, plan)
		}
	}
}

// isFormed tells whether no group is waiting for loads, which come first.
func (c *Controller) isFormed(at *layout) bool {
	if len(c.creating) > 0 {
		return false
	}
	for _, g := range c.groups {
		if g.ending == "" && !g.wasOpen && g.record.Service == at.service.Name {
			return false
		}
	}
	return true
}

// stage orders one empty server to load the weights that its domain lacks most.
func (c *Controller) stage(at *layout, domain string, server fleet.Server, world World, plan *Plan) {
	if order, ok := c.staged[server.ID]; ok && time.Now().Before(order.until) {
		return
	}
	model, ok := c.lacking(at, domain)
	if !ok || !c.mayLoad(1, at.service.Engine, world) || c.stagesUnderWay() >= max(1, at.service.Engine.LoadsAtOnce) {
		return
	}
	c.loads = append(c.loads, time.Now())
	c.staged[server.ID] = stageOrder{
		model: model.Name,
		until: time.Now().Add(model.Load + stageMargin),
	}
	plan.Orders = append(plan.Orders, Order{
		Server: server,
		Kind:   Stage,
		Model:  model.Name,
		Reason: "the domain has no spare with it",
	})
}

// stagesUnderWay counts the stage orders that are not done.
func (c *Controller) stagesUnderWay() int {
	count := 0
	for _, order := range c.staged {
		if time.Now().Before(order.until) {
			count++
		}
	}
	return count
}

// lacking returns the model of which a domain has the fewest spares, measured
// by the servers that its groups there use.
func (c *Controller) lacking(at *layout, domain string) (config.Model, bool) {
	var best config.Model
	bestScore := 0.0
	for _, model := range at.service.Engine.Models {
		spares := 0
		for _, server := range at.free[domain] {
			order, isStaging := c.staged[server.ID]
			if server.HasStaged(model.Name) || (isStaging && order.model == model.Name) {
				spares++
			}
		}
		used := float64(at.inDomain[domain][model.Name]*model.Size) + model.Share
		score := used / float64(1+spares*spares)
		if score > bestScore {
			best, bestScore = model, score
		}
	}
	return best, bestScore > 0
}
