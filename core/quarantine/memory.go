package quarantine

import "time"

// Figures of a memory.
const (
	// answeredFor is how long a whole answer clears a request, at least; up to twice that.
	// It spans the time within which servers that fail together end: minutes.
	answeredFor = 10 * time.Minute
	// mostAnswered bounds each half of a memory: two full halves take 0.6 MB of heap. A daemon
	// of the design size, 40 requests a second, fills one in 200 s.
	mostAnswered = 8192
)

// memory knows which digests came lately, in two halves: the older one is dropped when
// the younger one is full or old. The zero value is empty.
type memory struct {
	young, old map[Digest]struct{}
	began      time.Time
}

// add notes a digest.
func (m *memory) add(digest Digest, now time.Time) {
	m.turn(now)
	m.young[digest] = struct{}{}
}

// has tells whether a digest came lately.
func (m *memory) has(digest Digest, now time.Time) bool {
	m.turn(now)
	if _, ok := m.young[digest]; ok {
		return true
	}
	_, ok := m.old[digest]
	return ok
}

// turn makes the younger half the older one if it is time.
func (m *memory) turn(now time.Time) {
	age := now.Sub(m.began)
	if m.young != nil && age < answeredFor && len(m.young) < mostAnswered {
		return
	}
	m.old = m.young
	if age >= 2*answeredFor {
		m.old = nil
	}
	m.young = map[Digest]struct{}{}
	m.began = now
}
