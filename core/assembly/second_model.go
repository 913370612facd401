package assembly

import (
	"slices"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// A server rejoins the model that it loaded last within 0.2 s, whatever weights its host
// has staged. Staged weights of that same model are therefore useless, and their space is
// better used for another model: the server can then change to it within the 1.1 s to 1.6 s
// of a load from the host, instead of the 12 s to 16 s of a load from the weight store.
// Each join replaces the staged weights by those of the group's model, and the other model
// is staged again.

// stageSecondModels stages a second model on the hosts that can hold one
// (canStageSecondModel). Loads are slow and few run at once, so the domains with the fewest
// servers that could change to a model come first. After the loss of one member all others
// of its group load again; in the order of names, one domain had twelve servers with a
// second model and the next none.
func (c *Controller) stageSecondModels(state *serviceState, input Input, plan *Plan) {
	var waiting []fleet.Server
	for _, server := range input.Fleet.Servers() {
		if input.isEligible(server, state.service.Name) && !c.isStaging(server) && canStageSecondModel(server, state.service.Engine) {
			waiting = append(waiting, server)
		}
	}
	for c.mayStage(state.service.Engine, forSecond, input) {
		chosen, model := state.nextSecondModel(waiting)
		if chosen < 0 {
			return
		}
		server := waiting[chosen]
		c.orderStage(server, model, state.service.Engine, forSecond, input, plan)
		state.holders[domainModel{
			domain: server.Domain,
			model:  model.Name,
		}]++
		waiting = slices.Delete(waiting, chosen, chosen+1)
	}
}

// nextSecondModel returns the index of the server that should load a second model next, and
// the model; -1 if there is none.
func (s *serviceState) nextSecondModel(waiting []fleet.Server) (int, config.Model) {
	best, bestScore := -1, 0.0
	var bestModel config.Model
	for i, server := range waiting {
		model, score := s.scarcestSecondModel(server)
		if score > bestScore {
			best, bestScore, bestModel = i, score, model
		}
	}
	return best, bestModel
}

// canStageSecondModel reports whether a server has loaded a model, is not joining, and its
// host has staged fewer other models than it can hold.
func canStageSecondModel(server fleet.Server, engine *config.Engine) bool {
	if server.LastModel == "" || server.Membership.State == fleet.Joining {
		return false
	}
	others := 0
	for _, staged := range server.Staged {
		if !server.CanJoinWithoutLoading(staged) {
			others++
		}
	}
	return others < engine.StagedModels
}

// scarcestSecondModel returns the model to which the fewest servers of a server's domain
// could change, relative to the model's share, and its score; 0 if there is none.
func (s *serviceState) scarcestSecondModel(server fleet.Server) (config.Model, float64) {
	var best config.Model
	bestScore := 0.0
	for _, model := range s.service.Engine.Models {
		if server.CanJoinWithoutLoading(model.Name) || server.HasStaged(model.Name) {
			continue
		}
		holders := s.holders[domainModel{
			domain: server.Domain,
			model:  model.Name,
		}]
		score := model.InitialShare / float64(1+holders)
		if score > bestScore {
			best, bestScore = model, score
		}
	}
	return best, bestScore
}
