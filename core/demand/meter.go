package demand

import (
	"maps"
	"math"
	"sync"
	"time"

	"headcourse/core/usage"
)

const (
	// decayTime is the time constant of a meter. Within it all daemons together receive
	// hundreds of requests, and demand may rise by half within a second.
	decayTime = 2 * time.Second
	// fastDecayTime is the time constant of the rate by which requests are routed. The demand of a
	// zone may change by a quarter within a second, and a rate over decayTime would show it too late.
	fastDecayTime = 600 * time.Millisecond
	// timelinessDecayTime is the time constant of the rates of answers in time and late, and of the
	// work by organisation. Overload control corrects its decisions within seconds, and a kind has
	// tens of requests per second in all.
	timelinessDecayTime = time.Second
)

// minWindowAge is the minimum age with which a new meter counts: two requests that arrive
// together do not make a rate.
const minWindowAge = 500 * time.Millisecond

// maxKinds limits the kinds that a meter stores; a new kind beyond it clears the map.
const maxKinds = 256

const (
	// maxMeteredOrganisations limits the pairs of kind and organisation that a meter stores; beyond it
	// the half with more work remains.
	maxMeteredOrganisations = 2 * maxOrganisations
	// organisationLifetime is how long an organisation without requests is reported. By then its work
	// rate has fallen to 1/20,000.
	organisationLifetime = 10 * timelinessDecayTime
)

// Meter measures the demand at one daemon. The zero value has measured nothing. It is safe
// for concurrent use.
type Meter struct {
	mutex         sync.Mutex
	kinds         map[Kind]decayingSum
	organisations map[organisationKey]decayingWork
	// firstRecordedAt is when the first request was recorded.
	firstRecordedAt time.Time
}

// decayingSum is a sum that decays with decayTime, as of a time. fastWork decays with fastDecayTime,
// the numbers of answers in time and late with timelinessDecayTime.
type decayingSum struct {
	work     float64
	fastWork float64
	tokens   usage.Rate
	inTime   float64
	late     float64
	asOf     time.Time
}

// decayingWork is work that decays with timelinessDecayTime, as of a time.
type decayingWork struct {
	work float64
	asOf time.Time
}

// decayedTo returns the work decayed to a time.
func (w decayingWork) decayedTo(at time.Time) decayingWork {
	return decayingWork{
		work: w.work * math.Exp(-at.Sub(w.asOf).Seconds()/timelinessDecayTime.Seconds()),
		asOf: at,
	}
}

// decayedTo returns the sum decayed to a time.
func (m decayingSum) decayedTo(at time.Time) decayingSum {
	age := at.Sub(m.asOf).Seconds()
	remaining := math.Exp(-age / decayTime.Seconds())
	timelinessRemaining := math.Exp(-age / timelinessDecayTime.Seconds())
	return decayingSum{
		work:     m.work * remaining,
		fastWork: m.fastWork * math.Exp(-age/fastDecayTime.Seconds()),
		tokens:   m.tokens.Scale(remaining),
		inTime:   m.inTime * timelinessRemaining,
		late:     m.late * timelinessRemaining,
		asOf:     at,
	}
}

// RecordRequest records a request of a kind, its work and its tokens.
func (m *Meter) RecordRequest(kind Kind, work float64, tokens usage.Rate) {
	m.record(kind, func(sum *decayingSum) {
		sum.work += work
		sum.fastWork += work
		sum.tokens = sum.tokens.Add(tokens)
	})
}

// RecordTimeliness records that the answer to a request with priority began in time, or late.
func (m *Meter) RecordTimeliness(kind Kind, inTime bool) {
	m.record(kind, func(sum *decayingSum) {
		if inTime {
			sum.inTime++
		} else {
			sum.late++
		}
	})
}

// record changes the sums of a kind.
func (m *Meter) record(kind Kind, add func(*decayingSum)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.recordingTime()
	_, isKnown := m.kinds[kind]
	if m.kinds == nil || (!isKnown && len(m.kinds) >= maxKinds) {
		m.kinds = map[Kind]decayingSum{}
	}
	current := m.kinds[kind].decayedTo(now)
	add(&current)
	m.kinds[kind] = current
}

// recordingTime returns the current time, and stores the first one. The mutex is held.
func (m *Meter) recordingTime() time.Time {
	now := time.Now()
	if m.firstRecordedAt.IsZero() {
		m.firstRecordedAt = now
	}
	return now
}

// RecordOrganisation records work of a kind for an organisation. Work for no organisation is not
// recorded.
func (m *Meter) RecordOrganisation(kind Kind, organisation string, work float64) {
	if organisation == "" {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.recordingTime()
	if m.organisations == nil {
		m.organisations = map[organisationKey]decayingWork{}
	}
	key := organisationKey{
		kind:         kind,
		organisation: organisation,
	}
	if _, isKnown := m.organisations[key]; !isKnown && len(m.organisations) >= maxMeteredOrganisations {
		m.dropOrganisations(now)
	}
	current := m.organisations[key].decayedTo(now)
	current.work += work
	m.organisations[key] = current
}

// dropOrganisations removes the organisations with less work, until half the limit remains. The mutex
// is held.
func (m *Meter) dropOrganisations(now time.Time) {
	kept := map[organisationKey]decayingWork{}
	for _, entry := range m.organisationEntries(now) {
		kept[entry.key()] = m.organisations[entry.key()]
	}
	m.organisations = kept
}

// Organisations returns the recent demand by kind and organisation: those with the most work, at most
// 512.
func (m *Meter) Organisations() []OrganisationDemand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(m.organisations, func(_ organisationKey, sum decayingWork) bool {
		return now.Sub(sum.asOf) > organisationLifetime
	})
	return m.organisationEntries(now)
}

// organisationEntries returns the demand of the organisations with the most work. The mutex is held.
func (m *Meter) organisationEntries(now time.Time) []OrganisationDemand {
	windowSeconds := m.windowSeconds(now, timelinessDecayTime)
	var entries []OrganisationDemand
	for key, stored := range m.organisations {
		entries = append(entries, OrganisationDemand{
			Kind:         key.kind,
			Organisation: key.organisation,
			WorkRate:     stored.decayedTo(now).work / windowSeconds,
		})
	}
	return sumOrganisations(entries)
}

// Demand returns the recent demand by kind as entries of a zone.
func (m *Meter) Demand(zone string) []Demand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	windowSeconds := m.windowSeconds(now, decayTime)
	fastWindowSeconds := m.windowSeconds(now, fastDecayTime)
	timelinessWindowSeconds := m.windowSeconds(now, timelinessDecayTime)
	var rates []Demand
	for kind, stored := range m.kinds {
		decayed := stored.decayedTo(now)
		rates = append(rates, Demand{
			Kind:         kind,
			Zone:         zone,
			WorkRate:     decayed.work / windowSeconds,
			FastWorkRate: decayed.fastWork / fastWindowSeconds,
			TokenRates:   decayed.tokens.Scale(1 / windowSeconds),
			InTimeRate:   decayed.inTime / timelinessWindowSeconds,
			LateRate:     decayed.late / timelinessWindowSeconds,
		})
	}
	return sumEntries(rates)
}

// windowSeconds returns the number of seconds over which the decaying sums count. It
// accounts for the age of the meter: a new daemon has recorded little, which does not mean
// that demand is low. If all daemons are restarted in turn, as for an upgrade, the totals
// would otherwise be too low throughout.
func (m *Meter) windowSeconds(now time.Time, timeConstant time.Duration) float64 {
	age := max(minWindowAge, now.Sub(m.firstRecordedAt))
	return timeConstant.Seconds() * (1 - math.Exp(-age.Seconds()/timeConstant.Seconds()))
}
