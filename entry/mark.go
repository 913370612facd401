package entry

import (
	"sync"
	"time"
)

// mark is something that happens once and can be waited for. Use newMark.
type mark struct {
	once *sync.Once
	// isSet is closed when it has happened; at is when that was, written before.
	isSet chan struct{}
	at    *time.Time
}

// newMark returns a mark that is not set.
func newMark() mark {
	return mark{
		once:  &sync.Once{},
		isSet: make(chan struct{}),
		at:    &time.Time{},
	}
}

// set notes that it has happened, if that is not noted yet.
func (m mark) set() {
	m.once.Do(func() {
		*m.at = time.Now()
		close(m.isSet)
	})
}

// has tells whether it has happened.
func (m mark) has() bool {
	select {
	case <-m.isSet:
		return true
	default:
		return false
	}
}

// since returns how long ago it happened; 0 before.
func (m mark) since() time.Duration {
	if !m.has() {
		return 0
	}
	return time.Since(*m.at)
}
