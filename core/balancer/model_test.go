package balancer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"headcourse/core/balancer"
	"headcourse/core/demand"
	"headcourse/core/subset"
	"headcourse/core/usage"
)

// The model is a fleet of daemons that choose heads with the production code, on a fake clock.
// Each caller reaches a random daemon of its zone, and each request occupies a place at a head
// for about a second. The result is the fraction of requests that reach a head without a free
// place, since these are late. Sizes and rates are those of a deployment of 295 daemons and 65
// groups: five zones of 13 heads with 22 places each, and 830 requests a second. A third of a
// zone's daemons gets half of the callers. Other fleet sizes have the same load for each head.

const (
	// modelZoneRate is in requests a second. A request takes modelMinServiceTime plus an
	// exponentially distributed time with the mean modelMeanExtraTime.
	modelZones          = 5
	modelHeads          = 13
	modelHeadCapacity   = 22
	modelZoneRate       = 166.0
	modelMinServiceTime = 400 * time.Millisecond
	modelMeanExtraTime  = 600 * time.Millisecond
	modelWarmUpTime     = 2 * time.Second
	modelDemandLag      = 500 * time.Millisecond
	modelSkewedFraction = 0.25
)

// modelKind is the kind of the model's requests.
var modelKind = demand.Kind{
	Service: "engines",
	Model:   "large",
}

// pattern describes the load and the state of the fleet.
type pattern struct {
	name string
	// headFactors and rateFactors multiply the heads and the demand of each zone; nil means 1.
	headFactors []float64
	rateFactors []float64
	// shiftedFactors, if set, replace rateFactors from shiftAt on.
	shiftedFactors []float64
	shiftAt        time.Duration
}

// duration returns how long the pattern runs. Thousands of daemons send as many requests in a
// third of the time, and are slow to simulate.
func (p pattern) duration(daemons int) time.Duration {
	const manyDaemons = 1000
	if daemons > manyDaemons {
		return max(modelWarmUpTime, p.shiftAt) + time.Second
	}
	return max(modelWarmUpTime, p.shiftAt) + 8*time.Second
}

// modelEvent is the next arrival in a zone, or the end of a request if end is set.
type modelEvent struct {
	at   time.Duration
	zone int
	end  func()
}

// modelEvents is a heap of events, ordered by time.
type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *modelEvents) Push(x any) { *e = append(*e, x.(modelEvent)) }

// Pop removes the last event.
func (e *modelEvents) Pop() any {
	all := *e
	last := all[len(all)-1]
	*e = all[:len(all)-1]
	return last
}

// model is one fleet under one pattern.
type model struct {
	pattern      pattern
	random       *rand.Rand
	headScale    int
	heads        []balancer.Candidate
	load         map[string]int
	daemons      [][]*balancer.Tracker
	meters       []*demand.Meter
	demand       map[string]float64
	demandReadAt time.Duration
	events       modelEvents
	now          time.Duration
	began        time.Time
	requests     int
	foundFull    int
	crossZone    int
	headUses     map[string]int
}

func zoneName(zone int) string {
	return fmt.Sprintf("zone-%d", zone)
}

// factor returns the factor of a zone; it is 1 if there are no factors.
func factor(factors []float64, zone int) float64 {
	if factors == nil {
		return 1
	}
	return factors[zone]
}

// newModel returns a fleet with the given number of daemons. It has at least the heads of the
// reference deployment, and more with more daemons.
func newModel(daemons int, p pattern, seed uint64) *model {
	const referenceDaemons = 295
	m := &model{
		pattern:   p,
		random:    rand.New(rand.NewPCG(seed, uint64(daemons))),
		headScale: max(1, daemons/referenceDaemons),
		load:      map[string]int{},
		daemons:   make([][]*balancer.Tracker, modelZones),
		headUses:  map[string]int{},
		began:     time.Now(),
	}
	for zone := range modelZones {
		m.meters = append(m.meters, &demand.Meter{})
		for i := range int(float64(modelHeads*m.headScale) * factor(p.headFactors, zone)) {
			m.heads = append(m.heads, balancer.Candidate{
				ID:       fmt.Sprintf("i-%d-%d", zone, i),
				Capacity: modelHeadCapacity,
				Zone:     zoneName(zone),
			})
		}
	}
	for i := range daemons {
		m.daemons[i%modelZones] = append(m.daemons[i%modelZones], &balancer.Tracker{
			Random: m.random.Float64,
		})
	}
	return m
}

// rate returns the current demand of a zone in requests a second.
func (m *model) rate(zone int) float64 {
	rates := m.pattern.rateFactors
	if m.pattern.shiftedFactors != nil && m.now >= m.pattern.shiftAt {
		rates = m.pattern.shiftedFactors
	}
	return modelZoneRate * float64(m.headScale) * factor(rates, zone)
}

// run runs the model for the given time.
func (m *model) run(duration time.Duration) {
	for zone := range modelZones {
		m.scheduleArrival(zone)
	}
	for m.events[0].at < duration {
		event := heap.Pop(&m.events).(modelEvent)
		time.Sleep(event.at - time.Since(m.began))
		m.now = event.at
		if event.end != nil {
			event.end()
			continue
		}
		m.scheduleArrival(event.zone)
		m.arrive(event.zone)
	}
}

// scheduleArrival draws the next arrival in a zone.
func (m *model) scheduleArrival(zone int) {
	interval := m.random.ExpFloat64() / m.rate(zone)
	heap.Push(&m.events, modelEvent{
		at:   m.now + time.Duration(interval*float64(time.Second)),
		zone: zone,
	})
}

// drawDaemon draws the daemon that a caller in a zone reaches.
func (m *model) drawDaemon(zone int) int {
	const busyDivisor = 3
	daemons := len(m.daemons[zone])
	if m.random.Float64() < modelSkewedFraction {
		return m.random.IntN(max(1, daemons/busyDivisor))
	}
	return m.random.IntN(daemons)
}

// refreshDemand updates the demand of each zone, which all daemons learn with a delay.
func (m *model) refreshDemand() {
	if m.demand != nil && m.now-m.demandReadAt < modelDemandLag {
		return
	}
	m.demandReadAt = m.now
	m.demand = map[string]float64{}
	for zone, meter := range m.meters {
		for _, entry := range meter.Demand(zoneName(zone)) {
			m.demand[entry.Zone] = entry.WorkRate
		}
	}
}

// arrive lets a daemon in a zone choose a head for a request.
func (m *model) arrive(zone int) {
	const cost = 100
	m.refreshDemand()
	m.meters[zone].RecordRequest(modelKind, cost, usage.Rate{})
	rank := m.drawDaemon(zone)
	preference := balancer.Preference{
		Zone: zoneName(zone),
		Position: subset.Position{
			Rank:  rank,
			Total: len(m.daemons[zone]),
		},
		Demand: m.demand,
	}
	tiered := preference.WithTiers(m.heads, m.random.Float64())
	chosen, done, _ := m.daemons[zone][rank].Pick(tiered, nil, cost)
	m.record(chosen, zone)
	m.load[chosen.ID]++
	serviceTime := modelMinServiceTime + time.Duration(m.random.ExpFloat64()*float64(modelMeanExtraTime))
	heap.Push(&m.events, modelEvent{
		at: m.now + serviceTime,
		end: func() {
			done()
			m.load[chosen.ID]--
		},
	})
}

// record counts the outcome of a request after the warm-up.
func (m *model) record(chosen balancer.Candidate, zone int) {
	if m.now < modelWarmUpTime {
		return
	}
	m.requests++
	m.headUses[chosen.ID]++
	if m.load[chosen.ID] >= chosen.Capacity {
		m.foundFull++
	}
	if chosen.Zone != zoneName(zone) {
		m.crossZone++
	}
}

// daemonCount returns the number of daemons.
func (m *model) daemonCount() int {
	daemons := 0
	for _, zone := range m.daemons {
		daemons += len(zone)
	}
	return daemons
}

// fullFraction returns the fraction of requests that reached a head without a free place.
// crossZoneFraction returns the fraction that went to another zone.
func (m *model) fullFraction() float64 { return float64(m.foundFull) / float64(m.requests) }

func (m *model) crossZoneFraction() float64 { return float64(m.crossZone) / float64(m.requests) }
