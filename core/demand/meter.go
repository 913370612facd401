package demand

import (
	"math"
	"sync"
	"time"
)

// meterTime is the time constant of a meter: long enough for some ten requests of a
// daemon among hundreds, short enough to follow callers that change zones.
const meterTime = 4 * time.Second

// mostKinds bounds the kinds that a meter remembers.
const mostKinds = 256

// Meter measures what one daemon is asked. The zero value has measured nothing; it is
// safe for concurrent use.
type Meter struct {
	mutex sync.Mutex
	kinds map[Kind]measured
}

// measured is a sum that decays with meterTime, as of a time.
type measured struct {
	work float64
	at   time.Time
}

// now returns the sum as it has decayed until a time.
func (m measured) now(at time.Time) measured {
	return measured{
		work: m.work * math.Exp(-at.Sub(m.at).Seconds()/meterTime.Seconds()),
		at:   at,
	}
}

// Note notes a request of a kind and how much work it is.
func (m *Meter) Note(kind Kind, work float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, isKnown := m.kinds[kind]
	if m.kinds == nil || (!isKnown && len(m.kinds) >= mostKinds) {
		m.kinds = map[Kind]measured{}
	}
	known := m.kinds[kind].now(time.Now())
	known.work += work
	m.kinds[kind] = known
}

// Asked returns what was asked lately, as asked in a zone.
func (m *Meter) Asked(zone string) []Asked {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	var asked []Asked
	for kind, known := range m.kinds {
		asked = append(asked, Asked{
			Kind: kind,
			Zone: zone,
			Rate: known.now(now).work / meterTime.Seconds(),
		})
	}
	return sum(asked)
}
