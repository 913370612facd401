package assembly

import (
	"slices"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// A server that was in a group of a model once joins another of it within 0.2 s, and
// its host is free to keep a second model. A spare that has only loaded weights to its
// host has neither: so it joins a group of its own once, which is never opened, and
// leaves. Then it replaces a member of either model, and the group of the first one
// stands still 1.4 s less.

// warmUp has free servers that were in no group since their start join one of their
// own. Before the first request, when loads are quick, empty ones load by it.
func (c *Controller) warmUp(at *layout, world World, plan *Plan) {
	if _, isLacking := at.neediest(true); isLacking && !world.IsStart {
		return
	}
	for _, domain := range at.domains {
		for _, server := range slices.Clone(at.free[domain]) {
			if model, ok := c.warmUpModel(at, server, world); ok {
				at.addWarming(domain, model.Name)
				c.create(Record{
					Model:    model.Name,
					IsWarmUp: true,
				}, at, []fleet.Server{
					server,
				}, world, plan)
			}
		}
	}
}

// warmUpModel returns the model that a free server should be warm with, if any.
func (c *Controller) warmUpModel(at *layout, server fleet.Server, world World) (config.Model, bool) {
	if server.Recent != "" || c.isStaging(server) {
		return config.Model{}, false
	}
	for _, staged := range server.Staged {
		if model, ok := at.service.Engine.Model(staged); ok {
			return model, true
		}
	}
	if !world.IsStart {
		return config.Model{}, false
	}
	return c.lacking(at, server.Domain)
}
