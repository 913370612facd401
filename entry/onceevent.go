package entry

import (
	"sync"
	"time"
)

// onceEvent is an event that happens once and can be waited for. Create it with newOnceEvent.
type onceEvent struct {
	once *sync.Once
	// done is closed when the event happens. setAt is the time of the event and is written
	// before.
	done  chan struct{}
	setAt *time.Time
}

// newOnceEvent returns an event that is not set.
func newOnceEvent() onceEvent {
	return onceEvent{
		once:  &sync.Once{},
		done:  make(chan struct{}),
		setAt: &time.Time{},
	}
}

// set records the event. Later calls have no effect.
func (e onceEvent) set() {
	e.once.Do(func() {
		*e.setAt = time.Now()
		close(e.done)
	})
}

// isSet reports whether the event has happened.
func (e onceEvent) isSet() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// since returns the time since the event, or 0 before it.
func (e onceEvent) since() time.Duration {
	if !e.isSet() {
		return 0
	}
	return time.Since(*e.setAt)
}
