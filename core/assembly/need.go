package assembly

import (
	"math"

	"headcourse/core/config"
)

// The service level of each model: how many groups it needs, how many of its requests are
// late with fewer groups, and to which model one more group is worth most.

const (
	// memberUnavailability is the fraction of the time that a group is unavailable for each
	// of its members. It assumes that two of 160 servers are lost every three seconds and
	// that a group is back 2 s after the loss of a member; in addition, losses come together.
	memberUnavailability = 0.012
	// maxGroupUnavailability limits the unavailability of groups of very many members.
	maxGroupUnavailability = 0.4
)

const (
	// defaultMinFraction is the fraction of the needed groups that keeps up with a model's
	// requests, if the demand is not known.
	defaultMinFraction = 0.7
	// maxMinFraction limits the fraction of the needed groups that keeps up, so that one
	// more group gains something for every model.
	maxMinFraction = 0.95
)

// requestsPerSecond returns the rate of requests for a model. If it is not known, it
// returns the number of servers that the model needs.
func (s *serviceState) requestsPerSecond(model config.Model) float64 {
	if estimate, ok := s.demands[model.Name]; ok && estimate.requestsPerSecond > 0 {
		return estimate.requestsPerSecond
	}
	return s.neededGroups(model) * float64(model.GroupSize)
}

// lateWeight returns the fraction of a model's requests that are late with this many
// groups; requests that are not served at all count twice.
func (s *serviceState) lateWeight(model config.Model, groups int) float64 {
	return max(0, 2-s.serviceLevel(model, groups))
}

// missedPerSecond returns the expected number of a model's requests a second that are not
// served in time with this many groups, some of which are unavailable at random. Requests
// that are not served at all count twice, as in lateWeight.
func (s *serviceState) missedPerSecond(model config.Model, groups int) float64 {
	unavailability := min(maxGroupUnavailability, memberUnavailability*float64(model.GroupSize))
	probability := math.Pow(1-unavailability, float64(groups))
	expected := 0.0
	for unavailable := 0; unavailable <= groups; unavailable++ {
		expected += probability * s.lateWeight(model, groups-unavailable)
		probability *= float64(groups-unavailable) / float64(unavailable+1) * unavailability / (1 - unavailability)
	}
	return expected * s.requestsPerSecond(model)
}

// gainPerServer returns how many fewer requests a second are missed, for each server of one
// more group. If a few more groups together gain more for each server, it returns that gain.
func (s *serviceState) gainPerServer(model config.Model, groups int) float64 {
	const maxAdded = 4
	best := 0.0
	current := s.missedPerSecond(model, groups)
	for added := 1; added <= maxAdded; added++ {
		best = max(best, (current-s.missedPerSecond(model, groups+added))/float64(added*model.GroupSize))
	}
	return best
}

// neededGroups returns how many groups serve all of a model's requests in time.
func (s *serviceState) neededGroups(model config.Model) float64 {
	estimate, ok := s.demands[model.Name]
	if !ok {
		return float64(s.plannedGroups(model))
	}
	return max(minNeededGroups, estimate.groups.OnTime)
}

// minGroups returns how many groups keep up with a model's requests.
func (s *serviceState) minGroups(model config.Model) float64 {
	estimate, ok := s.demands[model.Name]
	if !ok {
		return defaultMinFraction * s.neededGroups(model)
	}
	return min(max(defaultMinFraction*minNeededGroups, estimate.groups.MinStable), maxMinFraction*s.neededGroups(model))
}

// targetGroups returns how many groups a model gets if servers are free. It is at least the
// planned number, because demand may return.
func (s *serviceState) targetGroups(model config.Model) int {
	return max(s.plannedGroups(model), int(math.Round(s.neededGroups(model))))
}

// isBelowTarget reports whether a model has fewer groups than its target.
func (s *serviceState) isBelowTarget(model config.Model) bool {
	return s.liveGroups[model.Name] < s.targetGroups(model)
}

// neediestModel returns the model below its target for which one more group gains the most
// for each server, among the postponed models or among the others.
func (s *serviceState) neediestModel(isPostponed bool) (config.Model, bool) {
	var best config.Model
	bestGain, isFound := 0.0, false
	for _, model := range s.service.Engine.Models {
		if !s.isBelowTarget(model) || s.isPostponed[model.Name] != isPostponed {
			continue
		}
		gain := s.gainPerServer(model, s.liveGroups[model.Name])
		switch {
		case s.liveGroups[model.Name] == 0:
			// The model's first caller would find no group.
			gain = math.Inf(1)
		case !s.isDemandSufficient():
			gain = -s.serviceLevel(model, s.liveGroups[model.Name])
		}
		if !isFound || gain > bestGain {
			best, bestGain, isFound = model, gain, true
		}
	}
	return best, isFound
}

// serviceLevel returns the service level of a model with this many groups. Below 1 it is
// the fraction of its requests that the groups keep up with; from 1 to 2 it is the progress
// towards serving them in time; above 2 there are more groups than needed. It is not the
// fraction of the needed groups: with a tenth fewer groups than needed, requests may be
// slightly late, or the groups may not keep up at all.
func (s *serviceState) serviceLevel(model config.Model, count int) float64 {
	groups := float64(count)
	minGroups := s.minGroups(model)
	if groups < minGroups {
		return groups / minGroups
	}
	return 1 + (groups-minGroups)/(s.neededGroups(model)-minGroups)
}
