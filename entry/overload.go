package entry

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"headcourse/core/config"
	"headcourse/core/demand"
	"headcourse/core/fairshare"
	"headcourse/core/overload"
	"headcourse/io/gateway"
	"headcourse/io/relay"
)

// minDaemonsForTotals is the number of daemons from which the totals of all daemons decide about overload.
// With fewer, each daemon observes so many of the requests that its own answers show an overload sooner and
// better than an estimate from the configuration.
const minDaemonsForTotals = 40

// overloads holds the decisions about overload, one for each kind of request to model engines. The zero
// value is empty.
type overloads struct {
	mutex sync.Mutex
	kinds map[demand.Kind]*kindOverload
}

// kindOverload is the state of one kind.
type kindOverload struct {
	controller overload.Controller
	usual      fairshare.Usual
	// mutex guards fractions, the fraction of each organisation's requests that may have priority, and
	// headCount, the number of heads weighted by their pace.
	mutex     sync.Mutex
	fractions map[string]float64
	headCount float64
}

// of returns the state of a kind, or nil.
func (o *overloads) of(kind demand.Kind) *kindOverload {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.kinds[kind]
}

// all returns the states of all kinds.
func (o *overloads) all() map[demand.Kind]*kindOverload {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return maps.Clone(o.kinds)
}

// retain returns the states of the given kinds, creates those that are missing and discards all others.
func (o *overloads) retain(kinds []demand.Kind) []*kindOverload {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	retained := make(map[demand.Kind]*kindOverload, len(kinds))
	states := make([]*kindOverload, len(kinds))
	for i, kind := range kinds {
		state := o.kinds[kind]
		if state == nil {
			state = &kindOverload{}
		}
		retained[kind] = state
		states[i] = state
	}
	o.kinds = retained
	return states
}

// fractionOf returns the fraction of an organisation's requests that may have priority.
func (k *kindOverload) fractionOf(organisation string, decision overload.Decision) float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if fraction, ok := k.fractions[organisation]; ok && decision.IsOverloaded {
		return fraction
	}
	return decision.PriorityFraction
}

// setHeads records the number of heads weighted by their pace.
func (k *kindOverload) setHeads(count float64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.headCount = count
}

// heads returns the number of heads weighted by their pace.
func (k *kindOverload) heads() float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.headCount
}

// cutOrganisations returns the organisations that get less than others during an overload.
func (k *kindOverload) cutOrganisations(decision overload.Decision) []relay.OrganisationFraction {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var cut []relay.OrganisationFraction
	for organisation, fraction := range k.fractions {
		if fraction < decision.PriorityFraction {
			cut = append(cut, relay.OrganisationFraction{
				Organisation: organisation,
				Fraction:     fraction,
			})
		}
	}
	return cut
}

// updateShares divides the capacity for requests with priority over the organisations.
func (k *kindOverload) updateShares(decision overload.Decision, rates map[string]float64) {
	var demands []fairshare.Demand
	total := 0.0
	for organisation, rate := range rates {
		if !decision.IsOverloaded {
			// What an organisation sends during an overload does not become usual.
			k.usual.Observe(organisation, rate)
		}
		total += rate
		demands = append(demands, fairshare.Demand{
			Organisation: organisation,
			Rate:         rate,
			Usual:        k.usual.Of(organisation),
		})
	}
	var fractions map[string]float64
	if decision.IsOverloaded {
		fractions = fairshare.Allot(decision.PriorityFraction*total, demands)
	}
	k.mutex.Lock()
	k.fractions = fractions
	k.mutex.Unlock()
}

// updateOverload decides anew for all kinds, by the totals of all daemons and the heads in view.
func (d *Daemon) updateOverload() {
	view := d.view.Load()
	if view.Config == nil {
		return
	}
	var kinds []demand.Kind
	var rooms []overload.Room
	for i := range view.Config.Services {
		service := &view.Config.Services[i]
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			kinds = append(kinds, demand.Kind{
				Service: service.Name,
				Model:   model.Name,
			})
			rooms = append(rooms, overload.Room{
				Heads:  d.headCount(*view, service.Name, model),
				Engine: service.Engine,
				Model:  model,
			})
		}
	}
	if d.DaemonCount() < minDaemonsForTotals {
		kinds = nil
	}
	d.gateway.RetainDeferredRates(kinds)
	for i, state := range d.overloads.retain(kinds) {
		d.updateKindOverload(kinds[i], rooms[i], state)
	}
}

// updateKindOverload decides anew for one kind.
func (d *Daemon) updateKindOverload(kind demand.Kind, room overload.Room, state *kindOverload) {
	rate, age, isKnown := d.demandTotals.TotalTokenRates(kind)
	inTime, late := d.demandTotals.Timeliness(kind)
	decision := state.controller.Update(room, overload.Load{
		Rate:    rate,
		InTime:  inTime,
		Late:    late,
		Age:     age,
		IsKnown: isKnown,
	})
	state.updateShares(decision, d.demandTotals.Organisations(kind))
	state.setHeads(room.Heads)
	d.gateway.SetDeferredRate(kind, decision.DeferredRate*d.ownShare(kind))
}

// headCount returns the number of heads of a model that may receive requests, weighted by their pace.
func (d *Daemon) headCount(view gateway.View, service string, model config.Model) float64 {
	count := 0.0
	for _, server := range view.Fleet.Serving(service, model.Name) {
		isEvacuated := !view.Evacuated.IsEmpty() && view.Evacuated.HasLeft(server.Zone, d.bootClock.Now())
		if !isEvacuated && !d.IsDegraded(server) {
			count += 1 / max(1, d.Slowdown(server))
		}
	}
	return count
}

// ownShare returns the part of all daemons' demand for a kind that this daemon receives.
func (d *Daemon) ownShare(kind demand.Kind) float64 {
	total := 0.0
	for _, rate := range d.demandTotals.WorkRateByZone(kind) {
		total += rate
	}
	own := 0.0
	for _, entry := range d.demandMeter.Demand(d.settings.Zone) {
		if entry.Kind == kind {
			own = entry.FastWorkRate
		}
	}
	if total <= 0 || own <= 0 {
		return 1 / float64(d.DaemonCount())
	}
	return min(1, own/total)
}

// Overload returns the decision about the requests of a kind and organisation.
func (d *Daemon) Overload(kind demand.Kind, organisation string) gateway.OverloadState {
	state := d.overloads.of(kind)
	if state == nil {
		return gateway.OverloadState{}
	}
	decision := state.controller.Decision()
	return gateway.OverloadState{
		Decision:             decision,
		OrganisationFraction: state.fractionOf(organisation, decision),
	}
}

// overview returns the decisions for the operator's view, ordered by kind.
func (d *Daemon) overview() relay.Overview {
	var overview relay.Overview
	for kind, state := range d.overloads.all() {
		decision := state.controller.Decision()
		overview.Kinds = append(overview.Kinds, relay.KindOverview{
			Kind:             kind,
			Heads:            state.heads(),
			PriorityFraction: decision.PriorityFraction,
			DeferredRate:     decision.DeferredRate,
			Backlog:          decision.Backlog,
			IsOverloaded:     decision.IsOverloaded,
			HeldRequests:     d.gateway.HeldRequestsOf(kind),
			CutOrganisations: state.cutOrganisations(decision),
		})
	}
	slices.SortFunc(overview.Kinds, func(a, b relay.KindOverview) int {
		return cmp.Or(cmp.Compare(a.Kind.Service, b.Kind.Service), cmp.Compare(a.Kind.Model, b.Kind.Model))
	})
	return overview
}
