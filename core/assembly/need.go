package assembly

import (
	"math"

	"headcourse/core/config"
)

// What each model needs: how many groups its requests keep busy, how many it is to have,
// and which model is worst off.

// usedShare is the part of the servers that groups are made of; the others
// stay free, with weights on their hosts, to repair groups quickly.
const usedShare = 0.75

// memberRisk is how many more groups a model gets for each of a group's members:
// each is one more whose loss takes the whole group away. By trial: without it, seven
// or eight of eleven groups of eight served on a day with losses, and 16 to 21 of 21
// groups of four; with twice as much, too few spares were left (docs/MEASURES.md).
const memberRisk = 0.015

// planned returns how many groups a model should have by its share of the work.
func (l *layout) planned(model config.Model) int {
	servers := l.share(model) * usedShare * float64(l.total) * (1 + memberRisk*float64(model.Size))
	return max(1, int(math.Round(servers/float64(model.Size))))
}

// share returns a model's share of the work: as callers ask for it, and as the operator
// expects it while too little is asked to tell.
func (l *layout) share(model config.Model) float64 {
	sum := 0.0
	for _, one := range l.service.Engine.Models {
		known, ok := l.demands[one.Name]
		if !ok {
			return model.Share
		}
		sum += known.groups * float64(one.Size)
	}
	if sum < leastWork*float64(l.total) {
		return model.Share
	}
	return l.demands[model.Name].groups * float64(model.Size) / sum
}

// need returns how many groups a model's requests need to be in time.
func (l *layout) need(model config.Model) float64 {
	known, ok := l.demands[model.Name]
	if !ok {
		return float64(l.planned(model))
	}
	return max(leastNeed, known.groups/fullPart)
}

// want returns how many groups a model gets where servers are free: at least as many
// as planned, since callers may come back.
func (l *layout) want(model config.Model) int {
	return max(l.planned(model), int(math.Round(l.need(model))))
}

// isLacking tells whether a model has fewer groups than it should.
func (l *layout) isLacking(model config.Model) bool {
	return l.live[model.Name] < l.want(model)
}

// neediest returns the model that is worst off of those that want more groups and are
// postponed, or of the others.
func (l *layout) neediest(isPostponed bool) (config.Model, bool) {
	var best config.Model
	bestPart, isAny := 0.0, false
	for _, model := range l.service.Engine.Models {
		part := l.part(model, 0)
		if l.isLacking(model) && l.postponed[model.Name] == isPostponed && (!isAny || part < bestPart) {
			best, bestPart, isAny = model, part, true
		}
	}
	return best, isAny
}

// part returns which part of the groups that it needs a model would have with so many
// more.
func (l *layout) part(model config.Model, more int) float64 {
	return float64(l.live[model.Name]+more) / l.need(model)
}
