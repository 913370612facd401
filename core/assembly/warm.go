package assembly

import (
	"slices"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// A server that was in a group of a model rejoins that model within 0.2 s, and its host can
// stage a second model. A spare that has only staged weights can do neither. So it joins a
// group of its own once, which never opens, and leaves. Then it can replace a member of
// either model, and a group of the first model is down 1.4 s less.

// warmUp makes free servers that have joined no group since their start and have staged
// weights join a warm-up group, unless a model lacks groups. In the startup phase, when loads
// are quick, it does so in any case, and servers without weights load this way.
func (c *Controller) warmUp(state *serviceState, input Input, plan *Plan) {
	if _, isBelowTarget := state.neediestModel(true); isBelowTarget && !input.IsStartupPhase {
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

// warmUpModel returns the model that a free server should warm up with, if any.
func (c *Controller) warmUpModel(state *serviceState, server fleet.Server, input Input) (config.Model, bool) {
	if server.LastModel != "" || c.isStaging(server) {
		return config.Model{}, false
	}
	for _, staged := range server.Staged {
		if model, ok := state.service.Engine.Model(staged); ok {
			return model, true
		}
	}
	if !input.IsStartupPhase {
		return config.Model{}, false
	}
	return c.scarcestModel(state, server.Domain)
}
