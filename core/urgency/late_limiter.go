package urgency

import (
	"sync"
	"time"
)

// LateLimiter limits how many late requests of a kind wait for their first event at once. When all
// clients come back after an outage, late requests would otherwise occupy all places of the
// engines, and the next requests, which can still meet their goals, would find none. Levels do
// not help there, since running requests are not preempted. The zero value is empty. It is safe
// for concurrent use.
type LateLimiter struct {
	mutex sync.Mutex
	kinds map[string]*kindState
}

// kindState is the state of one kind of request.
type kindState struct {
	admitted int
	// released is closed when an admitted request is released.
	released chan struct{}
}

// Acquire waits until fewer than limit requests of a kind are admitted, or until the timeout, and
// then admits the request. The caller must call release when the answer begins or fails;
// further calls have no effect.
func (l *LateLimiter) Acquire(kind string, limit int, timeout time.Duration) (release func()) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		released := l.tryAcquire(kind, limit)
		if released == nil {
			return l.releaseFunc(kind)
		}
		select {
		case <-released:
		case <-timer.C:
			l.acquireOverLimit(kind)
			return l.releaseFunc(kind)
		}
	}
}

// stateOf returns the state of a kind and creates it if necessary. The mutex must be held.
func (l *LateLimiter) stateOf(kind string) *kindState {
	if l.kinds == nil {
		l.kinds = map[string]*kindState{}
	}
	state, ok := l.kinds[kind]
	if !ok {
		state = &kindState{
			released: make(chan struct{}),
		}
		l.kinds[kind] = state
	}
	return state
}

// tryAcquire admits a request if the limit allows it. Otherwise it returns a channel that is
// closed when a request is released.
func (l *LateLimiter) tryAcquire(kind string, limit int) <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := l.stateOf(kind)
	if state.admitted < limit {
		state.admitted++
		return nil
	}
	return state.released
}

// acquireOverLimit admits a request regardless of the limit.
func (l *LateLimiter) acquireOverLimit(kind string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stateOf(kind).admitted++
}

// releaseFunc returns the function that releases one request.
func (l *LateLimiter) releaseFunc(kind string) func() {
	return sync.OnceFunc(func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		state := l.stateOf(kind)
		state.admitted--
		close(state.released)
		if state.admitted == 0 {
			delete(l.kinds, kind)
			return
		}
		state.released = make(chan struct{})
	})
}
