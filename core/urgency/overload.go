package urgency

import (
	"sync"
)

// Figures of overload.
const (
	// latePart and inTimePart are how much a late request adds to the part of the
	// requests that yield, and one in time takes from it. They balance where a tenth
	// of those that do not yield are late.
	latePart   = 0.09
	inTimePart = 0.01
	// mostPart bounds the part that yields.
	mostPart = 0.7
	// mostKinds bounds the kinds that are remembered.
	mostKinds = 4096
)

// Overload decides which part of the requests of a kind yields to the others when
// not all can be in time. Without it all of them wait for each other and all are
// late; a request that yields is served as soon as there is room, and one that
// yields where there is no overload loses nothing. The zero value lets none yield;
// it is safe for concurrent use.
type Overload struct {
	mutex sync.Mutex
	parts map[string]float64
}

// Note notes whether a request that did not yield was in time.
func (o *Overload) Note(kind string, inTime bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, isKnown := o.parts[kind]
	if o.parts == nil || (!isKnown && len(o.parts) >= mostKinds) {
		o.parts = map[string]float64{}
	}
	if inTime {
		o.parts[kind] = max(0, o.parts[kind]-inTimePart)
		return
	}
	o.parts[kind] = min(mostPart, o.parts[kind]+latePart)
}

// Part returns the part of the requests of a kind that should yield.
func (o *Overload) Part(kind string) float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.parts[kind]
}
