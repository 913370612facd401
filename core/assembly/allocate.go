package assembly

import (
	"math"

	"headcourse/core/config"
)

// How servers are divided over the models.

// groupedFraction is the fraction of the servers that are in groups. The others stay free,
// with weights staged on their hosts, for quick repairs of groups.
const groupedFraction = 0.75

// minGroupFraction is the fraction of a group's servers that must be left in the budget for
// one more group.
const minGroupFraction = 0.95

// extraFractionPerMember is how many more groups a model gets, as a fraction, for each
// member of a group: each member is one more whose loss ends the whole group. A higher
// value leaves too few spares (docs/MEASURES.md).
const extraFractionPerMember = 0.015

// plannedGroups returns how many groups a model should have.
func (s *serviceState) plannedGroups(model config.Model) int {
	if s.allocation == nil {
		s.allocation = s.allocate()
	}
	return s.allocation[model.Name]
}

// allocate divides the servers over the models. With too little demand to measure the mix,
// it uses the operator's shares; otherwise it minimises the requests that are not served in
// time.
func (s *serviceState) allocate() map[string]int {
	groups := map[string]int{}
	if !s.isDemandSufficient() {
		for _, model := range s.service.Engine.Models {
			servers := model.InitialShare * s.serverBudget(model)
			groups[model.Name] = max(1, int(math.Round(servers/float64(model.GroupSize))))
		}
		return groups
	}
	serversLeft := 0.0
	for _, model := range s.service.Engine.Models {
		serversLeft += s.demands[model.Name].groups.OnTime * float64(model.GroupSize) / s.neededServers() * s.serverBudget(model)
		groups[model.Name] = 1
	}
	for _, model := range s.service.Engine.Models {
		serversLeft -= float64(model.GroupSize)
	}
	for {
		best, bestGain := config.Model{}, -1.0
		for _, model := range s.service.Engine.Models {
			fits := serversLeft >= minGroupFraction*float64(model.GroupSize)
			if gain := s.gainPerServer(model, groups[model.Name]); fits && gain > bestGain {
				best, bestGain = model, gain
			}
		}
		if bestGain < 0 {
			break
		}
		groups[best.Name]++
		serversLeft -= float64(best.GroupSize)
	}
	s.improveAllocation(groups, serversLeft)
	return groups
}

// improveAllocation exchanges groups of one model for one group of another while that gains
// something: large groups may not have fitted into the remaining servers.
func (s *serviceState) improveAllocation(groups map[string]int, serversLeft float64) {
	const maxExchanges = 16
	for range maxExchanges {
		best := s.bestExchange(groups, serversLeft)
		if best.gain <= 0 {
			return
		}
		groups[best.from.Name] -= best.givenUp
		groups[best.to.Name]++
		serversLeft += float64(best.givenUp*best.from.GroupSize - best.to.GroupSize)
	}
}

// exchange replaces a number of groups of one model by one group of another; gain is how
// many fewer requests a second are missed (missedPerSecond).
type exchange struct {
	from    config.Model
	to      config.Model
	givenUp int
	gain    float64
}

// bestExchange returns the exchange with the highest gain.
func (s *serviceState) bestExchange(groups map[string]int, serversLeft float64) exchange {
	var best exchange
	for _, from := range s.service.Engine.Models {
		for _, to := range s.service.Engine.Models {
			missing := minGroupFraction*float64(to.GroupSize) - serversLeft
			givenUp := max(1, int(math.Ceil(missing/float64(from.GroupSize))))
			if from.Name == to.Name || groups[from.Name] <= givenUp {
				continue
			}
			lost := s.missedPerSecond(from, groups[from.Name]-givenUp) - s.missedPerSecond(from, groups[from.Name])
			gained := s.missedPerSecond(to, groups[to.Name]) - s.missedPerSecond(to, groups[to.Name]+1)
			if gained-lost > best.gain {
				best = exchange{
					from:    from,
					to:      to,
					givenUp: givenUp,
					gain:    gained - lost,
				}
			}
		}
	}
	return best
}

// serverBudget returns how many servers the groups would use if all were of this model.
func (s *serviceState) serverBudget(model config.Model) float64 {
	return groupedFraction * float64(s.totalServers) * (1 + extraFractionPerMember*float64(model.GroupSize))
}

// neededServers returns how many servers are needed to serve the demand for all models in
// time.
func (s *serviceState) neededServers() float64 {
	sum := 0.0
	for _, model := range s.service.Engine.Models {
		sum += s.demands[model.Name].groups.OnTime * float64(model.GroupSize)
	}
	return sum
}

// isDemandSufficient reports whether the demand for all models is known and high enough to
// decide how servers are divided.
func (s *serviceState) isDemandSufficient() bool {
	for _, model := range s.service.Engine.Models {
		if _, ok := s.demands[model.Name]; !ok {
			return false
		}
	}
	return s.neededServers() >= minMeasurableFraction*float64(s.totalServers)
}
