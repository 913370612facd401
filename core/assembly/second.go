package assembly

import (
	"headcourse/core/config"
	"headcourse/core/fleet"
)

// A server rejoins the model that it loaded last within 0.2 s, whatever its host keeps.
// So what the host keeps of that same model is of no use, and its place is better
// taken by another model: then the server can change to that one within the 1.1 s to
// 1.6 s of a load from the host, not the 12 s to 16 s of one from the weight store.
// Whenever it joins, its host keeps that group's model again, in place of the other,
// which is loaded anew.

// stageSeconds has servers whose hosts keep only what they have loaded load the
// weights of a second model.
func (c *Controller) stageSeconds(at *layout, world World, plan *Plan) {
	for _, server := range world.Fleet.Servers() {
		if !isMaterial(server, at.service.Name) || c.isStaging(server) || !hasRoomForSecond(server, at.service.Engine) {
			continue
		}
		if model, ok := at.second(server); ok {
			c.stage(server, model, at.service.Engine, forSecond, world, plan)
		}
	}
}

// hasRoomForSecond tells whether a server has loaded a model, is not loading one, and
// its host keeps fewer other models than it could.
func hasRoomForSecond(server fleet.Server, engine *config.Engine) bool {
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
// to, for the work that it has there.
func (l *layout) second(server fleet.Server) (config.Model, bool) {
	var best config.Model
	bestScore := 0.0
	for _, model := range l.service.Engine.Models {
		if server.CanRejoin(model.Name) || server.HasStaged(model.Name) {
			continue
		}
		holders := l.holders[choiceKey{
			domain: server.Domain,
			model:  model.Name,
		}]
		score := model.Share / float64(1+holders)
		if score > bestScore {
			best, bestScore = model, score
		}
	}
	return best, bestScore > 0
}
