package assembly

import (
	"fmt"
	"math"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// Figures of demand.
const (
	// lookEvery is the time between two looks at how much a group's head holds: the
	// report lags by 0.2 s, a look is priced, and a burst lasts seconds.
	lookEvery = time.Second
	// lookGap is the time between two looks: with more than fifty groups each is looked
	// at less often, so that the leader spends no more than some hundredths of a core.
	lookGap = 20 * time.Millisecond
	// lookValid is for how many pauses between two looks one counts.
	lookValid = 4
	// riseTime and fallTime are the time constants with which an estimate follows a
	// rising and a falling demand: late growth costs callers, and groups that were
	// given up soon after a burst would be missed by the next.
	riseTime = 1500 * time.Millisecond
	fallTime = 10 * time.Second
	// fullPart is the part of a group's greatest rate up to which its requests are in
	// time with what losses and chance bring about.
	fullPart = 0.7
	// mostBusy bounds what one group counts: what waits at one beyond that may be its
	// own trouble.
	mostBusy = 1.2
	// leastWork is the part of the servers that must be kept busy for the mix of the
	// requests to say how servers are to be divided; below it chance decides.
	leastWork = 0.25
	// leastNeed is what a model needs that nobody asks for.
	leastNeed = 0.5
)

// demandKey names a model of a service.
type demandKey struct {
	service string
	model   string
}

// demand is how many groups that work at their greatest rate a model's requests
// would keep busy, as groups' heads tell.
type demand struct {
	groups float64
	at     time.Time
}

// look asks the heads of open groups how much they hold, each once in a while.
func (c *Controller) look(world World, plan *Plan) {
	if world.IsStart {
		return
	}
	pause := c.lookPause()
	for _, g := range c.groups {
		head, ok := c.openHead(g, world)
		if ok && time.Since(c.signs[head.ID].asked) > pause {
			c.probe(head, plan)
		}
	}
}

// lookPause returns the time between two looks at one head.
func (c *Controller) lookPause() time.Duration {
	return max(lookEvery, time.Duration(len(c.groups))*lookGap)
}

// openHead returns the head of a group that serves.
func (c *Controller) openHead(g *group, world World) (fleet.Server, bool) {
	head, ok := world.Fleet.Server(g.record.Members[0])
	return head, ok && g.ending == "" && g.wasOpen && head.Membership.State == fleet.Open
}

// estimate follows the demand for the models of a service.
func (c *Controller) estimate(service *config.Service, world World) {
	if c.demands == nil {
		c.demands = map[demandKey]demand{}
	}
	for _, model := range service.Engine.Models {
		busy, looked, open := c.observe(service, model, world)
		if looked == 0 {
			continue
		}
		key := demandKey{
			service: service.Name,
			model:   model.Name,
		}
		c.demands[key] = c.demands[key].following(busy * float64(open) / float64(looked))
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
		c.wanted = map[demandKey]int{}
	}
	for _, model := range at.service.Engine.Models {
		key := demandKey{
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
			Reason: fmt.Sprintf("%d wanted, %d live, %d planned, %.1f needed", want, at.live[model.Name], at.planned(model), at.need(model)),
		})
	}
}

// observe adds up the work of a model's open groups that were looked at lately, in
// groups at their greatest rate, and counts these groups and all open ones.
func (c *Controller) observe(service *config.Service, model config.Model, world World) (busy float64, looked, open int) {
	size := service.Engine.Usual
	if world.Sizes != nil {
		size = world.Sizes.Of(model.Name, size)
	}
	for _, g := range c.groups {
		head, ok := c.openHead(g, world)
		if !ok || g.record.Service != service.Name || g.record.Model != model.Name {
			continue
		}
		open++
		known := c.signs[head.ID]
		if g.isSuspected {
			// Requests pile up at a group that stands still.
			continue
		}
		if known.last != Alive || time.Since(known.at) > lookValid*c.lookPause() {
			continue
		}
		looked++
		busy += min(mostBusy, service.Engine.Busy(known.held, size))
	}
	return busy, looked, open
}

// following returns the estimate after it has followed an observation since it was
// last made.
func (d demand) following(observed float64) demand {
	now := time.Now()
	if d.at.IsZero() {
		return demand{
			groups: observed,
			at:     now,
		}
	}
	constant := fallTime
	if observed > d.groups {
		constant = riseTime
	}
	part := 1 - math.Exp(-now.Sub(d.at).Seconds()/constant.Seconds())
	return demand{
		groups: d.groups + part*(observed-d.groups),
		at:     now,
	}
}
