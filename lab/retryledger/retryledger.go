// Package retryledger checks the bound on repeated arrivals at a service.
//
// In any window, the arrivals beyond the first of each request may be at most a share of the
// requests plus a burst, summed over all daemons and all of their starts. The requests are those
// that clients sent, whether they arrived or not, in whichever of three windows has the most: the
// window itself, the one half a window earlier, and the one a whole window earlier.
package retryledger

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Ledger records the requests for a service and their repeated arrivals. Set the limits before
// use. It is safe for concurrent use.
type Ledger struct {
	// Share is the number of repeats per request, and Burst the number of repeats in a window
	// besides.
	Share  float64
	Burst  float64
	Window time.Duration

	mutex    sync.Mutex
	requests []time.Time
	repeats  []time.Time
	arrived  map[string]bool
}

// Violation is a window with too many repeats.
type Violation struct {
	From     time.Time
	Repeats  int
	Requests int
	Allowed  float64
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%d repeated arrivals in the window from %s for %d requests; allowed: %.1f", v.Repeats, v.From.Format(time.StampMilli), v.Requests, v.Allowed)
}

// RecordRequest records a request that a client sends now.
func (l *Ledger) RecordRequest() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests = append(l.requests, time.Now())
}

// RecordRepeat records an arrival now that is not the first of its request.
func (l *Ledger) RecordRepeat() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.repeats = append(l.repeats, time.Now())
}

// RecordArrival records the arrival of a request now, which is a repeat if the request has arrived
// before.
func (l *Ledger) RecordArrival(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.arrived[id] {
		l.repeats = append(l.repeats, time.Now())
		return
	}
	if l.arrived == nil {
		l.arrived = map[string]bool{}
	}
	l.arrived[id] = true
}

// Repeats returns the number of repeats recorded.
func (l *Ledger) Repeats() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.repeats)
}

// Worst returns the window that exceeds its limit by the most repeats, and whether there is any.
func (l *Ledger) Worst() (Violation, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	slices.SortFunc(l.requests, time.Time.Compare)
	slices.SortFunc(l.repeats, time.Time.Compare)
	var worst Violation
	var excess float64
	for _, from := range l.windowStarts() {
		candidate := l.window(from)
		if beyond := float64(candidate.Repeats) - candidate.Allowed; beyond > excess {
			worst, excess = candidate, beyond
		}
	}
	return worst, excess > 0
}

// windowStarts returns the starts at which the excess of a window can be largest: where the window
// begins or ends with a repeat, and just after a request leaves one of the windows that count
// requests.
func (l *Ledger) windowStarts() []time.Time {
	var starts []time.Time
	for _, repeat := range l.repeats {
		starts = append(starts, repeat, repeat.Add(-l.Window))
	}
	for _, request := range l.requests {
		after := request.Add(time.Nanosecond)
		starts = append(starts, after, after.Add(l.Window/2), after.Add(l.Window))
	}
	return starts
}

// window returns the figures of the window that starts at a time.
func (l *Ledger) window(from time.Time) Violation {
	requests := 0
	for _, shift := range []time.Duration{0, l.Window / 2, l.Window} {
		requests = max(requests, countIn(l.requests, from.Add(-shift), l.Window))
	}
	return Violation{
		From:     from,
		Repeats:  countIn(l.repeats, from, l.Window),
		Requests: requests,
		Allowed:  l.Share*float64(requests) + l.Burst,
	}
}

// countIn returns how many of the sorted times lie in a window, including both ends.
func countIn(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window+time.Nanosecond), time.Time.Compare)
	return end - first
}
