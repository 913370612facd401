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
func (c *Controller) warmUp(state *serviceState, input World, plan *Plan) {
	if _, isLacking := state.neediestModel(true); isLacking && !input.IsStart {
		return
	}
	for _, domain := range state.domains {
		for _, server := range slices.Clone(state.freeServers[domain]) {
			if model, ok := c.warmUpModel(state, server, input); ok {
				state.countWarmUp(domain, model.Name)
				c.planRecord(Record{
					Model:    model.Name,
					IsWarmUp: true,
				}, state, []fleet.Server{
					server,
				}, input, plan)
			}
		}
	}
}

// warmUpModel returns the model that a free server should be warm with, if any.
func (c *Controller) warmUpModel(state *serviceState, server fleet.Server, input World) (config.Model, bool) {
	if server.Recent != "" || c.isStaging(server) {
		return config.Model{}, false
	}
	for _, staged := range server.Staged {
		if model, ok := state.service.Engine.Model(staged); ok {
			return model, true
		}
	}
	if !input.IsStart {
		return config.Model{}, false
	}
	return c.scarcestModel(state, server.Domain)
}
