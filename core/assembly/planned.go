package assembly

import (
	"math"

	"headcourse/core/config"
)

// How the servers that groups are made of are divided over the models.

// groupedFraction is the part of the servers that groups are made of; the others
// stay free, with weights on their hosts, to repair groups quickly.
const groupedFraction = 0.75

// nearly is the part of a group's servers that must be left of the plan for one more.
const minGroupFraction = 0.95

// extraFractionPerMember is how many more groups a model gets for each of a group's members: each is
// one more whose loss takes the whole group away. More of it leaves too few spares
// (docs/MEASURES.md).
const extraFractionPerMember = 0.015

// planned returns how many groups a model should have.
func (s *serviceState) plannedGroups(model config.Model) int {
	if s.allocation == nil {
		s.allocation = s.allocate()
	}
	return s.allocation[model.Name]
}

// plan divides the servers that groups are made of: as the operator expects the work to be
// divided while too little is asked to tell, and so that the fewest callers are not served
// in time else.
func (s *serviceState) allocate() map[string]int {
	groups := map[string]int{}
	if !s.isDemandSufficient() {
		for _, model := range s.service.Engine.Models {
			servers := model.Share * s.serverBudget(model)
			groups[model.Name] = max(1, int(math.Round(servers/float64(model.Size))))
		}
		return groups
	}
	serversLeft := 0.0
	for _, model := range s.service.Engine.Models {
		serversLeft += s.demands[model.Name].groups.InTime * float64(model.Size) / s.neededServers() * s.serverBudget(model)
		groups[model.Name] = 1
	}
	for _, model := range s.service.Engine.Models {
		serversLeft -= float64(model.Size)
	}
	for {
		best, bestGain := config.Model{}, -1.0
		for _, model := range s.service.Engine.Models {
			isRoom := serversLeft >= minGroupFraction*float64(model.Size)
			if gain := s.gainPerServer(model, groups[model.Name]); isRoom && gain > bestGain {
				best, bestGain = model, gain
			}
		}
		if bestGain < 0 {
			break
		}
		groups[best.Name]++
		serversLeft -= float64(best.Size)
	}
	s.improveAllocation(groups, serversLeft)
	return groups
}

// exchange improves a plan by giving up groups of one model for one group of another, as
// long as that helps: large groups may not have fitted into what was left.
func (s *serviceState) improveAllocation(groups map[string]int, serversLeft float64) {
	const maxExchanges = 16
	for range maxExchanges {
		better := s.bestExchange(groups, serversLeft)
		if better.gain <= 0 {
			return
		}
		groups[better.from.Name] -= better.givenUp
		groups[better.to.Name]++
		serversLeft += float64(better.givenUp*better.from.Size - better.to.Size)
	}
}

// exchanged is a number of groups of one model that are given up for one of another, and
// how many callers more are served in time.
type exchange struct {
	from    config.Model
	to      config.Model
	givenUp int
	gain    float64
}

// bestExchange returns the exchange that helps most.
func (s *serviceState) bestExchange(groups map[string]int, serversLeft float64) exchange {
	var best exchange
	for _, from := range s.service.Engine.Models {
		for _, to := range s.service.Engine.Models {
			missing := minGroupFraction*float64(to.Size) - serversLeft
			number := max(1, int(math.Ceil(missing/float64(from.Size))))
			if from.Name == to.Name || groups[from.Name] <= number {
				continue
			}
			lost := s.missedPerSecond(from, groups[from.Name]-number) - s.missedPerSecond(from, groups[from.Name])
			gained := s.missedPerSecond(to, groups[to.Name]) - s.missedPerSecond(to, groups[to.Name]+1)
			if gained-lost > best.gain {
				best = exchange{
					from:    from,
					to:      to,
					givenUp: number,
					gain:    gained - lost,
				}
			}
		}
	}
	return best
}

// used returns how many servers groups would be made of if all were of one model.
func (s *serviceState) serverBudget(model config.Model) float64 {
	return groupedFraction * float64(s.totalServers) * (1 + extraFractionPerMember*float64(model.Size))
}

// neededServers returns how many servers the groups need that serve in time what is asked.
func (s *serviceState) neededServers() float64 {
	sum := 0.0
	for _, model := range s.service.Engine.Models {
		sum += s.demands[model.Name].groups.InTime * float64(model.Size)
	}
	return sum
}

// isDemandSufficient tells whether enough is known to be asked of all models to say how servers
// are to be divided.
func (s *serviceState) isDemandSufficient() bool {
	for _, model := range s.service.Engine.Models {
		if _, ok := s.demands[model.Name]; !ok {
			return false
		}
	}
	return s.neededServers() >= minMeasurableFraction*float64(s.totalServers)
}
