package assembly

import (
	"math"

	"headcourse/core/config"
)

// How the servers that groups are made of are divided over the models.

// usedShare is the part of the servers that groups are made of; the others
// stay free, with weights on their hosts, to repair groups quickly.
const usedShare = 0.75

// nearly is the part of a group's servers that must be left of the plan for one more.
const nearly = 0.95

// memberShare is how many more groups a model gets for each of a group's members: each is
// one more whose loss takes the whole group away. More of it leaves too few spares
// (docs/MEASURES.md).
const memberShare = 0.015

// planned returns how many groups a model should have.
func (l *layout) planned(model config.Model) int {
	if l.plans == nil {
		l.plans = l.plan()
	}
	return l.plans[model.Name]
}

// plan divides the servers that groups are made of: as the operator expects the work to be
// divided while too little is asked to tell, and so that the fewest callers are not served
// in time else.
func (l *layout) plan() map[string]int {
	plans := map[string]int{}
	if !l.isAskedEnough() {
		for _, model := range l.service.Engine.Models {
			servers := model.Share * l.used(model)
			plans[model.Name] = max(1, int(math.Round(servers/float64(model.Size))))
		}
		return plans
	}
	left := 0.0
	for _, model := range l.service.Engine.Models {
		left += l.demands[model.Name].groups.InTime * float64(model.Size) / l.neededServers() * l.used(model)
		plans[model.Name] = 1
	}
	for _, model := range l.service.Engine.Models {
		left -= float64(model.Size)
	}
	for {
		best, bestGain := config.Model{}, -1.0
		for _, model := range l.service.Engine.Models {
			isRoom := left >= nearly*float64(model.Size)
			if gain := l.gain(model, plans[model.Name]); isRoom && gain > bestGain {
				best, bestGain = model, gain
			}
		}
		if bestGain < 0 {
			break
		}
		plans[best.Name]++
		left -= float64(best.Size)
	}
	l.exchange(plans, left)
	return plans
}

// exchange improves a plan by giving up groups of one model for one group of another, as
// long as that helps: large groups may not have fitted into what was left.
func (l *layout) exchange(plans map[string]int, left float64) {
	const most = 16
	for range most {
		better := l.bestExchange(plans, left)
		if better.gain <= 0 {
			return
		}
		plans[better.from.Name] -= better.number
		plans[better.to.Name]++
		left += float64(better.number*better.from.Size - better.to.Size)
	}
}

// exchanged is a number of groups of one model that are given up for one of another, and
// how many callers more are served in time.
type exchanged struct {
	from   config.Model
	to     config.Model
	number int
	gain   float64
}

// bestExchange returns the exchange that helps most.
func (l *layout) bestExchange(plans map[string]int, left float64) exchanged {
	var best exchanged
	for _, from := range l.service.Engine.Models {
		for _, to := range l.service.Engine.Models {
			missing := nearly*float64(to.Size) - left
			number := max(1, int(math.Ceil(missing/float64(from.Size))))
			if from.Name == to.Name || plans[from.Name] <= number {
				continue
			}
			lost := l.missed(from, plans[from.Name]-number) - l.missed(from, plans[from.Name])
			gained := l.missed(to, plans[to.Name]) - l.missed(to, plans[to.Name]+1)
			if gained-lost > best.gain {
				best = exchanged{
					from:   from,
					to:     to,
					number: number,
					gain:   gained - lost,
				}
			}
		}
	}
	return best
}

// used returns how many servers groups would be made of if all were of one model.
func (l *layout) used(model config.Model) float64 {
	return usedShare * float64(l.total) * (1 + memberShare*float64(model.Size))
}

// neededServers returns how many servers the groups need that serve in time what is asked.
func (l *layout) neededServers() float64 {
	sum := 0.0
	for _, model := range l.service.Engine.Models {
		sum += l.demands[model.Name].groups.InTime * float64(model.Size)
	}
	return sum
}

// isAskedEnough tells whether enough is known to be asked of all models to say how servers
// are to be divided.
func (l *layout) isAskedEnough() bool {
	for _, model := range l.service.Engine.Models {
		if _, ok := l.demands[model.Name]; !ok {
			return false
		}
	}
	return l.neededServers() >= leastWork*float64(l.total)
}
