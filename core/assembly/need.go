package assembly

import (
	"math"

	"headcourse/core/config"
)

// How well off each model is: how many groups it needs, how many of its callers are not
// served in time with fewer, and to which model one group more is worth most.

// Figures of risk.
const (
	// memberUnavailability is the part of the time that a group is missing for each of its members.
	// Where two of 160 servers are lost every three seconds, a group is back 2 s after one of its
	// members was; and losses come together.
	memberUnavailability = 0.012
	// maxGroupUnavailability bounds it for groups of very many.
	maxGroupUnavailability = 0.4
)

// Figures of what keeps up.
const (
	// defaultMinFraction is the part of the groups that a model needs with which it keeps up,
	// where that is not known.
	defaultMinFraction = 0.7
	// maxMinFraction bounds that part, so that one group more is something to every model.
	maxMinFraction = 0.95
)

// requests returns how many callers ask a model a second; where that is not known, as many
// as its groups' servers.
func (s *serviceState) requestsPerSecond(model config.Model) float64 {
	if known, ok := s.demands[model.Name]; ok && known.requestsPerSecond > 0 {
		return known.requestsPerSecond
	}
	return s.neededGroups(model) * float64(model.Size)
}

// late returns the part of a model's callers that are not served in time by so many
// groups; those that are not served at all count twice.
func (s *serviceState) lateWeight(model config.Model, groups int) float64 {
	return max(0, 2-s.serviceLevel(model, groups))
}

// missed returns how many of a model's callers, a second, are not served in time with so
// many groups, some of which are missing at any time, by chance.
func (s *serviceState) missedPerSecond(model config.Model, groups int) float64 {
	risk := min(maxGroupUnavailability, memberUnavailability*float64(model.Size))
	chance := math.Pow(1-risk, float64(groups))
	sum := 0.0
	for lost := 0; lost <= groups; lost++ {
		sum += chance * s.lateWeight(model, groups-lost)
		chance *= float64(groups-lost) / float64(lost+1) * risk / (1 - risk)
	}
	return sum * s.requestsPerSecond(model)
}

// gain returns how many callers more, a second and for each server, are served in time by
// one group more than so many, or by each of a few more where these help more together.
func (s *serviceState) gainPerServer(model config.Model, groups int) float64 {
	const maxAdded = 4
	best := 0.0
	current := s.missedPerSecond(model, groups)
	for added := 1; added <= maxAdded; added++ {
		best = max(best, (current-s.missedPerSecond(model, groups+added))/float64(added*model.Size))
	}
	return best
}

// need returns how many groups a model's requests need to be in time.
func (s *serviceState) neededGroups(model config.Model) float64 {
	known, ok := s.demands[model.Name]
	if !ok {
		return float64(s.plannedGroups(model))
	}
	return max(minNeededGroups, known.groups.InTime)
}

// least returns how many groups keep up with a model's requests.
func (s *serviceState) minGroups(model config.Model) float64 {
	known, ok := s.demands[model.Name]
	if !ok {
		return defaultMinFraction * s.neededGroups(model)
	}
	return min(max(defaultMinFraction*minNeededGroups, known.groups.Least), maxMinFraction*s.neededGroups(model))
}

// want returns how many groups a model gets where servers are free: at least as many
// as planned, since callers may come back.
func (s *serviceState) targetGroups(model config.Model) int {
	return max(s.plannedGroups(model), int(math.Round(s.neededGroups(model))))
}

// isBelowTarget tells whether a model has fewer groups than it should.
func (s *serviceState) isBelowTarget(model config.Model) bool {
	return s.liveGroups[model.Name] < s.targetGroups(model)
}

// neediest returns the model to whose callers one group more is worth most, for each of
// its servers, of those that want more groups and are postponed, or of the others.
func (s *serviceState) neediestModel(isPostponed bool) (config.Model, bool) {
	var best config.Model
	bestGain, isAny := 0.0, false
	for _, model := range s.service.Engine.Models {
		if !s.isBelowTarget(model) || s.isPostponed[model.Name] != isPostponed {
			continue
		}
		gain := s.gainPerServer(model, s.liveGroups[model.Name])
		switch {
		case s.liveGroups[model.Name] == 0:
			// Its first caller would find nobody.
			gain = math.Inf(1)
		case !s.isDemandSufficient():
			gain = -s.serviceLevel(model, s.liveGroups[model.Name])
		}
		if !isAny || gain > bestGain {
			best, bestGain, isAny = model, gain, true
		}
	}
	return best, isAny
}

// ease returns how well off a model is with so many groups: below 1 as the
// part of its requests that its groups keep up with, from 1 on as the part of the way to
// serving them in time, which is 2. It is not the part of the groups that the model needs:
// one with a tenth less than it needs may be a little later, or not keep up at all.
func (s *serviceState) serviceLevel(model config.Model, count int) float64 {
	groups := float64(count)
	least := s.minGroups(model)
	if groups < least {
		return groups / least
	}
	return 1 + (groups-least)/(s.neededGroups(model)-least)
}
