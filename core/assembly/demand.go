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
	// fullBusy is the part of its greatest rate from which a group is full.
	fullBusy = 0.9
	// leastNeed is what a model needs that nobody asks for.
	leastNeed = 0.5
)

// modelKey names a model of a service.
type modelKey struct {
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

// estimate follows the demand for the models of a service. Soon after an outage entries
// are missing, and the callers of all of it come at once: that tells nothing.
func (c *Controller) estimate(service *config.Service, world World) {
	if !world.IsSteady {
		return
	}
	if c.demands == nil {
		c.demands = map[modelKey]demand{}
	}
	seen := make([]observation, 0, len(service.Engine.Models))
	areAllFull := true
	for _, model := range service.Engine.Models {
		one := c.observe(service, model, world)
		seen = append(seen, one)
		areAllFull = areAllFull && one.isFull()
	}
	if areAllFull {
		// Full groups tell how many there are, not what is asked: nobody is better off,
		// and the model with more groups would seem to need more.
		return
	}
	for _, one := range seen {
		if one.looked > 0 {
			c.follow(one, service, world)
		}
	}
}

// follow has the estimate of a model's demand follow an observation.
func (c *Controller) follow(seen observation, service *config.Service, world World) {
	key := modelKey{
		service: service.Name,
		model:   seen.model.Name,
	}
	known, ok := c.demands[key]
	if !ok {
		known = c.firstDemand(service, seen.model, world)
	}
	groups := seen.groups()
	if seen.isFull() {
		// Where some of full groups were lost, no less is asked.
		groups = max(groups, known.groups)
	}
	c.demands[key] = known.following(groups)
}

// firstDemand returns what the operator expects of a model, from which a new leader
// begins to follow what it sees.
func (c *Controller) firstDemand(service *config.Service, model config.Model, world World) demand {
	servers := 0
	for _, server := range world.Fleet.Servers() {
		if isMaterial(server, service.Name) {
			servers++
		}
	}
	return demand{
		groups: model.Share * usedShare * float64(servers) / float64(model.Size) * fullPart,
		at:     time.Now(),
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
			Reason: fmt.Sprintf("%d wanted, %d live, %d planned, %.1f needed", want, at.live[model.Name], at.planned(model), at.need(model)),
		})
	}
}

// observation is what the heads of a model's open groups told lately.
type observation struct {
	model config.Model
	// busy is the sum of the parts of their greatest rate at which the groups work that
	// were looked at; looked and open count these groups and all open ones.
	busy   float64
	looked int
	open   int
}

// isFull tells whether the groups could do no more.
func (o observation) isFull() bool {
	return o.looked == 0 || o.busy >= fullBusy*float64(o.looked)
}

// groups returns how many groups at their greatest rate the requests keep busy.
func (o observation) groups() float64 {
	return o.busy * float64(o.open) / float64(o.looked)
}

// observe adds up what a model's open groups hold.
func (c *Controller) observe(service *config.Service, model config.Model, world World) observation {
	seen := observation{
		model: model,
	}
	size := service.Engine.Usual
	if world.Sizes != nil {
		size = world.Sizes.Of(model.Name, size)
	}
	for _, g := range c.groups {
		head, ok := c.openHead(g, world)
		if !ok || g.record.Service != service.Name || g.record.Model != model.Name {
			continue
		}
		seen.open++
		known := c.signs[head.ID]
		isOld := known.last != Alive || time.Since(known.at) > lookValid*c.lookPause()
		if isOld || g.isSuspected {
			// Requests pile up at a group that stands still.
			continue
		}
		seen.looked++
		seen.busy += min(mostBusy, service.Engine.Busy(known.held, size))
	}
	return seen
}

// following returns the estimate after it has followed an observation since it was
// last made.
func (d demand) following(observed float64) demand {
	now := time.Now()
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
