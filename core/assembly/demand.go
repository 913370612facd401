package assembly

import (
	"fmt"
	"math"
	"time"

	"headcourse/core/config"
)

// Figures of demand.
const (
	// riseTimeConstant and fallTimeConstant are the time constants with which an estimate follows a
	// rising and a falling demand: late growth costs callers, and groups that were
	// given up soon after a burst would be missed by the next.
	riseTimeConstant = 1500 * time.Millisecond
	fallTimeConstant = 10 * time.Second
	// minMeasurableFraction is the part of the servers that must be needed for the mix of the
	// requests to say how servers are to be divided; below it chance decides.
	minMeasurableFraction = 0.35
	// minNeededGroups is what a model needs that nobody asks for.
	minNeededGroups = 0.5
)

// modelKey names a model of a service.
type modelKey struct {
	service string
	model   string
}

// demand is how many groups a model needs to serve what callers ask for.
type demand struct {
	groups config.Groups
	// requests is how many callers ask a second.
	requestsPerSecond float64
	updatedAt         time.Time
}

// estimate follows the demand for the models of a service. Soon after an outage the
// callers of all of it come at once: that tells nothing of what is asked for later.
func (c *Controller) updateDemands(service *config.Service, input World) {
	if !input.IsSteady || input.IsStart || input.Asked == nil {
		return
	}
	if c.demands == nil {
		c.demands = map[modelKey]demand{}
	}
	for _, model := range service.Engine.Models {
		rate, isKnown := input.Asked(service.Name, model.Name)
		if !isKnown {
			continue
		}
		groups, isKnownCapacity := service.Engine.Groups(model, rate)
		if !isKnownCapacity {
			continue
		}
		key := modelKey{
			service: service.Name,
			model:   model.Name,
		}
		c.demands[key] = c.demands[key].smoothed(demand{
			groups:            groups,
			requestsPerSecond: rate.Requests,
		})
	}
}

// demandsOf returns the estimates for the models of a service, by model.
func (c *Controller) demandsOf(service *config.Service) map[string]demand {
	demands := map[string]demand{}
	for key, estimate := range c.demands {
		if key.service == service.Name {
			demands[key.model] = estimate
		}
	}
	return demands
}

// reportTargets tells of models that are to have another number of groups than before.
func (c *Controller) reportTargets(state *serviceState, plan *Plan) {
	if c.reportedTargets == nil {
		c.reportedTargets = map[modelKey]int{}
	}
	for _, model := range state.service.Engine.Models {
		key := modelKey{
			service: state.service.Name,
			model:   model.Name,
		}
		want := state.targetGroups(model)
		if c.reportedTargets[key] == want {
			continue
		}
		c.reportedTargets[key] = want
		plan.Notes = append(plan.Notes, Note{
			Model:  model.Name,
			What:   "number of groups changed",
			Reason: fmt.Sprintf("%d wanted, %d live, %d planned, %.1f needed, %.1f at least", want, state.liveGroups[model.Name], state.plannedGroups(model), state.neededGroups(model), state.minGroups(model)),
		})
	}
}

// following returns the estimate after it has followed an observation since it was
// last made. The first one counts as it is: what is asked is a mean over seconds already,
// and a new leader begins with it.
func (d demand) smoothed(observed demand) demand {
	now := time.Now()
	if d.updatedAt.IsZero() {
		observed.updatedAt = now
		return observed
	}
	constant := fallTimeConstant
	if observed.groups.InTime > d.groups.InTime {
		constant = riseTimeConstant
	}
	weight := 1 - math.Exp(-now.Sub(d.updatedAt).Seconds()/constant.Seconds())
	return demand{
		groups: config.Groups{
			Least:  d.groups.Least + weight*(observed.groups.Least-d.groups.Least),
			InTime: d.groups.InTime + weight*(observed.groups.InTime-d.groups.InTime),
		},
		requestsPerSecond: d.requestsPerSecond + weight*(observed.requestsPerSecond-d.requestsPerSecond),
		updatedAt:         now,
	}
}
