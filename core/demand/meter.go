package demand

import (
	"math"
	"sync"
	"time"

	"headcourse/core/usage"
)

// meterTime is the time constant of a meter: the sums of all daemons are of hundreds of
// requests by then, and callers may ask half as much more within a second.
const meterTime = 2 * time.Second

// leastTime is the least time over which a meter that has just begun counts: two requests
// that come together are no rate.
const leastTime = 500 * time.Millisecond

// mostKinds bounds the kinds that a meter remembers.
const mostKinds = 256

// Meter measures what one daemon is asked. The zero value has measured nothing; it is
// safe for concurrent use.
type Meter struct {
	mutex sync.Mutex
	kinds map[Kind]measured
	// began is when the first request was noted.
	began time.Time
}

// measured is a sum that decays with meterTime, as of a time.
type measured struct {
	work   float64
	tokens usage.Rate
	at     time.Time
}

// now returns the sum as it has decayed until a time.
func (m measured) now(at time.Time) measured {
	left := math.Exp(-at.Sub(m.at).Seconds() / meterTime.Seconds())
	return measured{
		work:   m.work * left,
		tokens: m.tokens.Times(left),
		at:     at,
	}
}

// Note notes a request of a kind, how much work it is, and its tokens.
func (m *Meter) Note(kind Kind, work float64, tokens usage.Rate) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, isKnown := m.kinds[kind]
	if m.kinds == nil || (!isKnown && len(m.kinds) >= mostKinds) {
		m.kinds = map[Kind]measured{}
	}
	if m.began.IsZero() {
		m.began = time.Now()
	}
	known := m.kinds[kind].now(time.Now())
	known.work += work
	known.tokens = known.tokens.Plus(tokens)
	m.kinds[kind] = known
}

// Asked returns what was asked lately, as asked in a zone.
func (m *Meter) Asked(zone string) []Asked {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	window := m.window(now)
	var asked []Asked
	for kind, known := range m.kinds {
		decayed := known.now(now)
		asked = append(asked, Asked{
			Kind:   kind,
			Zone:   zone,
			Rate:   decayed.work / window,
			Tokens: decayed.tokens.Times(1 / window),
		})
	}
	return sum(asked)
}

// window returns the seconds over which the decaying sums count. A daemon that has just
// started has noted little yet, which does not mean that it is asked little. Where all are
// restarted in turn, as for an upgrade, the sum would be too low all the time.
func (m *Meter) window(now time.Time) float64 {
	age := max(leastTime, now.Sub(m.began))
	return meterTime.Seconds() * (1 - math.Exp(-age.Seconds()/meterTime.Seconds()))
}
