package assembly

import (
	"math"

	"headcourse/core/config"
)

// How well off each model is: how many groups it needs, how many of its callers are not
// served in time with fewer, and to which model one group more is worth most.

// Figures of risk.
const (
	// memberRisk is the part of the time that a group is missing for each of its members.
	// Where two of 160 servers are lost every three seconds, a group is back 2 s after one of its
	// members was; and losses come together.
	memberRisk = 0.012
	// mostRisk bounds it for groups of very many.
	mostRisk = 0.4
)

// Figures of what keeps up.
const (
	// usualLeast is the part of the groups that a model needs with which it keeps up,
	// where that is not known.
	usualLeast = 0.7
	// mostLeast bounds that part, so that one group more is something to every model.
	mostLeast = 0.95
)

// requests returns how many callers ask a model a second; where that is not known, as many
// as its groups' servers.
func (l *layout) requests(model config.Model) float64 {
	if known, ok := l.demands[model.Name]; ok && known.requests > 0 {
		return known.requests
	}
	return l.need(model) * float64(model.Size)
}

// late returns the part of a model's callers that are not served in time by so many
// groups; those that are not served at all count twice.
func (l *layout) late(model config.Model, groups int) float64 {
	return max(0, 2-l.ease(model, groups))
}

// missed returns how many of a model's callers, a second, are not served in time with so
// many groups, some of which are missing at any time, by chance.
func (l *layout) missed(model config.Model, groups int) float64 {
	risk := min(mostRisk, memberRisk*float64(model.Size))
	chance := math.Pow(1-risk, float64(groups))
	sum := 0.0
	for lost := 0; lost <= groups; lost++ {
		sum += chance * l.late(model, groups-lost)
		chance *= float64(groups-lost) / float64(lost+1) * risk / (1 - risk)
	}
	return sum * l.requests(model)
}

// gain returns how many callers more, a second and for each server, are served in time by
// one group more than so many, or by each of a few more where these help more together.
func (l *layout) gain(model config.Model, groups int) float64 {
	const ahead = 4
	best := 0.0
	now := l.missed(model, groups)
	for more := 1; more <= ahead; more++ {
		best = max(best, (now-l.missed(model, groups+more))/float64(more*model.Size))
	}
	return best
}

// need returns how many groups a model's requests need to be in time.
func (l *layout) need(model config.Model) float64 {
	known, ok := l.demands[model.Name]
	if !ok {
		return float64(l.planned(model))
	}
	return max(leastNeed, known.groups.InTime)
}

// least returns how many groups keep up with a model's requests.
func (l *layout) least(model config.Model) float64 {
	known, ok := l.demands[model.Name]
	if !ok {
		return usualLeast * l.need(model)
	}
	return min(max(usualLeast*leastNeed, known.groups.Least), mostLeast*l.need(model))
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

// neediest returns the model to whose callers one group more is worth most, for each of
// its servers, of those that want more groups and are postponed, or of the others.
func (l *layout) neediest(isPostponed bool) (config.Model, bool) {
	var best config.Model
	bestGain, isAny := 0.0, false
	for _, model := range l.service.Engine.Models {
		if !l.isLacking(model) || l.postponed[model.Name] != isPostponed {
			continue
		}
		gain := l.gain(model, l.live[model.Name])
		switch {
		case l.live[model.Name] == 0:
			// Its first caller would find nobody.
			gain = math.Inf(1)
		case !l.isAskedEnough():
			gain = -l.ease(model, l.live[model.Name])
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
func (l *layout) ease(model config.Model, number int) float64 {
	groups := float64(number)
	least := l.least(model)
	if groups < least {
		return groups / least
	}
	return 1 + (groups-least)/(l.need(model)-least)
}
