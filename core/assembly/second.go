package assembly

import (
	"slices"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// A server rejoins the model that it loaded last within 0.2 s, whatever its host keeps.
// So what the host keeps of that same model is of no use, and its place is better
// taken by another model: then the server can change to that one within the 1.1 s to
// 1.6 s of a load from the host, not the 12 s to 16 s of one from the weight store.
// Whenever it joins, its host keeps that group's model again, in place of the other,
// which is loaded anew.

// stageSecondModels has servers whose hosts keep only what they have loaded load the
// weights of a second model. Loads take long and few run at once, so servers go first
// whose domains have the fewest that could change: after a loss of one member all others
// of its group load anew, and by turns of their names one domain had twelve such servers
// and the next none.
func (c *Controller) stageSecondModels(state *serviceState, input World, plan *Plan) {
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

// nextSecondModel returns the place of the server that should load a second model next, and the
// model; -1: none should.
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

// canStageSecondModel tells whether a server has loaded a model, is not loading one, and
// its host keeps fewer other models than it could.
func canStageSecondModel(server fleet.Server, engine *config.Engine) bool {
	if server.Recent == "" || server.Membership.State == fleet.Joining {
		return false
	}
	others := 0
	for _, staged := range server.Staged {
		if !server.CanRejoin(staged) {
			others++
		}
	}
	return others < engine.StagedModels
}

// second returns the model that the fewest servers of a server's domain could change
// to, for the work that it has there, and how much it is worth; 0: none.
func (s *serviceState) scarcestSecondModel(server fleet.Server) (config.Model, float64) {
	var best config.Model
	bestScore := 0.0
	for _, model := range s.service.Engine.Models {
		if server.CanRejoin(model.Name) || server.HasStaged(model.Name) {
			continue
		}
		holders := s.holders[domainModel{
			domain: server.Domain,
			model:  model.Name,
		}]
		score := model.Share / float64(1+holders)
		if score > bestScore {
			best, bestScore = model, score
		}
	}
	return best, bestScore
}
