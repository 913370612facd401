package assembly

import (
	"fmt"
	"math"
	"time"

	"headcourse/core/config"
)

// Figures of demand.
const (
	// riseTime and fallTime are the time constants with which an estimate follows a
	// rising and a falling demand: late growth costs callers, and groups that were
	// given up soon after a burst would be missed by the next.
	riseTime = 1500 * time.Millisecond
	fallTime = 10 * time.Second
	// leastWork is the part of the servers that must be needed for the mix of the
	// requests to say how servers are to be divided; below it chance decides.
	leastWork = 0.35
	// leastNeed is what a model needs that nobody asks for.
	leastNeed = 0.5
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
	requests float64
	at       time.Time
}

// estimate follows the demand for the models of a service. Soon after an outage the
// callers of all of it come at once: that tells nothing of what is asked for later.
func (c *Controller) estimate(service *config.Service, world World) {
	if !world.IsSteady || world.IsStart || world.Asked == nil {
		return
	}
	if c.demands == nil {
		c.demands = map[modelKey]demand{}
	}
	for _, model := range service.Engine.Models {
		asked, isKnown := world.Asked(service.Name, model.Name)
		if !isKnown {
			continue
		}
		groups, isTold := service.Engine.Groups(model, asked)
		if !isTold {
			continue
		}
		key := modelKey{
			service: service.Name,
			model:   model.Name,
		}
		c.demands[key] = c.demands[key].following(demand{
			groups:   groups,
			requests: asked.Requests,
		})
	}
}

// demandsOf returns the estimates for the models of a service, by model.
func (c *Controller) demandsOf(service *config.Service) map[string]demand {
	known := map[string]demand{}
	for key, estimate := range c.demands {
		if key.service == service.Name {
			known[key.model] = estimate
		}
	}
	return known
}

// noteWants tells of models that are to have another number of groups than before.
func (c *Controller) noteWants(at *layout, plan *Plan) {
	if c.wanted == nil {
		c.wanted = map[modelKey]int{}
	}
	for _, model := range at.service.Engine.Models {
		key := modelKey{
			service: at.service.Name,
			model:   model.Name,
		}
		want := at.want(model)
		if c.wanted[key] == want {
			continue
		}
		c.wanted[key] = want
		plan.Notes = append(plan.Notes, Note{
			Model:  model.Name,
			What:   "number of groups changed",
			Reason: fmt.Sprintf("%d wanted, %d live, %d planned, %.1f needed, %.1f at least", want, at.live[model.Name], at.planned(model), at.need(model), at.least(model)),
		})
	}
}

// following returns the estimate after it has followed an observation since it was
// last made. The first one counts as it is: what is asked is a mean over seconds already,
// and a new leader begins with it.
func (d demand) following(observed demand) demand {
	now := time.Now()
	if d.at.IsZero() {
		observed.at = now
		return observed
	}
	constant := fallTime
	if observed.groups.InTime > d.groups.InTime {
		constant = riseTime
	}
	part := 1 - math.Exp(-now.Sub(d.at).Seconds()/constant.Seconds())
	return demand{
		groups: config.Groups{
			Least:  d.groups.Least + part*(observed.groups.Least-d.groups.Least),
			InTime: d.groups.InTime + part*(observed.groups.InTime-d.groups.InTime),
		},
		requests: d.requests + part*(observed.requests-d.requests),
		at:       now,
	}
}
