package entry

import "sync"

// mark is something that happens once and can be waited for. Use newMark.
type mark struct {
	once *sync.Once
	// isSet is closed when it has happened.
	isSet chan struct{}
}

// newMark returns a mark that is not set.
func newMark() mark {
	return mark{
		once:  &sync.Once{},
		isSet: make(chan struct{}),
	}
}

// set notes that it has happened, if that is not noted yet.
func (m mark) set() {
	m.once.Do(func() {
		close(m.isSet)
	})
}
