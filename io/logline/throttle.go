package logline

import (
	"sync"
	"time"
)

// Rarely limits log lines to one per interval for each subject, such as a table whose calls
// fail. The zero value suppresses none; set Every before use.
type Rarely struct {
	// Every is the minimum interval between two lines of one subject.
	Every time.Duration

	mutex  sync.Mutex
	states map[string]throttleState
}

// throttleState is when the last line of a subject was allowed, and how many have been
// suppressed since.
type throttleState struct {
	lastAllowedAt time.Time
	suppressed    int
}

// Pass reports whether a line of a subject may be written, and how many were suppressed since
// the last one.
func (r *Rarely) Pass(subject string) (mayWrite bool, suppressed int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, ok := r.states[subject]
	if ok && time.Since(state.lastAllowedAt) < r.Every {
		state.suppressed++
		r.states[subject] = state
		return false, 0
	}
	if r.states == nil {
		r.states = map[string]throttleState{}
	}
	r.states[subject] = throttleState{
		lastAllowedAt: time.Now(),
	}
	return true, state.suppressed
}

// End resets a subject, so that its next line is allowed at once, and returns how many lines
// were suppressed since the last one.
func (r *Rarely) End(subject string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	suppressed := r.states[subject].suppressed
	delete(r.states, subject)
	return suppressed
}
