package logline

import (
	"sync"
	"time"
)

// Throttle limits log lines to one per interval for each subject, such as a table whose calls
// fail. The zero value suppresses none; set Interval before use.
type Throttle struct {
	// Interval is the minimum interval between two lines of one subject.
	Interval time.Duration

	mutex  sync.Mutex
	states map[string]throttleState
}

// throttleState is when the last line of a subject was allowed, and how many have been
// suppressed since.
type throttleState struct {
	lastAllowedAt time.Time
	suppressed    int
}

// Allow reports whether a line of a subject may be written, and how many were suppressed since
// the last one.
func (t *Throttle) Allow(subject string) (mayWrite bool, suppressed int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state, ok := t.states[subject]
	if ok && time.Since(state.lastAllowedAt) < t.Interval {
		state.suppressed++
		t.states[subject] = state
		return false, 0
	}
	if t.states == nil {
		t.states = map[string]throttleState{}
	}
	t.states[subject] = throttleState{
		lastAllowedAt: time.Now(),
	}
	return true, state.suppressed
}

// Reset resets a subject, so that its next line is allowed at once, and returns how many lines
// were suppressed since the last one.
func (t *Throttle) Reset(subject string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	suppressed := t.states[subject].suppressed
	delete(t.states, subject)
	return suppressed
}
