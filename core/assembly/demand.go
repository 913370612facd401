package assembly

import (
	"fmt"
	"math"
	"time"

	"headcourse/core/config"
)

const (
	// riseTimeConstant and fallTimeConstant are the time constants with which an estimate
	// follows a rising and a falling demand. Late growth delays callers, and groups given
	// up right after a burst would be missing in the next one.
	riseTimeConstant = 1500 * time.Millisecond
	fallTimeConstant = 10 * time.Second
	// minMeasurableFraction is the fraction of the servers that must be needed for the
	// measured mix of requests to decide how servers are divided; below it the mix is
	// mostly random.
	minMeasurableFraction = 0.35
	// minNeededGroups is the number of groups that a model without demand needs.
	minNeededGroups = 0.5
)

// modelKey identifies a model of a service.
type modelKey struct {
	service string
	model   string
}

// demand is the number of groups that a model needs to serve its callers.
type demand struct {
	groups config.GroupsNeeded
	// requestsPerSecond is the rate of requests from callers.
	requestsPerSecond float64
	updatedAt         time.Time
}

// updateDemands updates the estimates for the models of a service. Just after an outage of
// the store or at the start the demand is not measured: all callers return at once then,
// which does not predict the later demand.
func (c *Controller) updateDemands(service *config.Service, input Input) {
	if !input.IsStoreStable || input.IsStartupPhase || input.DemandOf == nil {
		return
	}
	if c.demands == nil {
		c.demands = map[modelKey]demand{}
	}
	for _, model := range service.Engine.Models {
		rate, isKnown := input.DemandOf(service.Name, model.Name)
		if !isKnown {
			continue
		}
		groups, isKnownCapacity := service.Engine.GroupsNeeded(model, rate)
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

// reportTargets adds an event for each model whose target number of groups has changed.
func (c *Controller) reportTargets(state *serviceState, plan *Plan) {
	if c.reportedTargets == nil {
		c.reportedTargets = map[modelKey]int{}
	}
	for _, model := range state.service.Engine.Models {
		key := modelKey{
			service: state.service.Name,
			model:   model.Name,
		}
		target := state.targetGroups(model)
		if c.reportedTargets[key] == target {
			continue
		}
		c.reportedTargets[key] = target
		plan.Events = append(plan.Events, Event{
			Model:   model.Name,
			Message: "number of groups changed",
			Reason:  fmt.Sprintf("%d wanted, %d live, %d planned, %.1f needed, %.1f at least", target, state.liveGroups[model.Name], state.plannedGroups(model), state.neededGroups(model), state.minGroups(model)),
		})
	}
}

// smoothed returns the estimate after an observation. The first observation is used
// unchanged, because the demand is already a mean over seconds and a new leader starts from
// it.
func (d demand) smoothed(observed demand) demand {
	now := time.Now()
	if d.updatedAt.IsZero() {
		observed.updatedAt = now
		return observed
	}
	constant := fallTimeConstant
	if observed.groups.OnTime > d.groups.OnTime {
		constant = riseTimeConstant
	}
	weight := 1 - math.Exp(-now.Sub(d.updatedAt).Seconds()/constant.Seconds())
	return demand{
		groups: config.GroupsNeeded{
			MinStable: d.groups.MinStable + weight*(observed.groups.MinStable-d.groups.MinStable),
			OnTime:    d.groups.OnTime + weight*(observed.groups.OnTime-d.groups.OnTime),
		},
		requestsPerSecond: d.requestsPerSecond + weight*(observed.requestsPerSecond-d.requestsPerSecond),
		updatedAt:         now,
	}
}
