package ratelimit

import (
	"sync"
	"time"

	"headcourse/core/boottime"
)

// Book keeps limits by the starts of servers (fleet.Server.Start). The zero value is empty
// and safe for concurrent use.
type Book struct {
	// Clock goes on while the machine is suspended, as the server's time does. Set before use.
	Clock boottime.Clock

	mutex sync.Mutex
	kept  map[string]entry
}

// entry is what one start of a server named.
type entry struct {
	limit Limit
	// first is when this daemon heard first of the limit.
	first time.Time
}

// Heard notes what an answer of a server says, and tells whether that is news.
func (b *Book) Heard(start string, said Limit) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one, isKnown := b.kept[start]
	switch {
	case said.IsUnclear:
		return false
	case !said.IsNamed:
		delete(b.kept, start)
		return isKnown
	}
	isNews := one.limit != said
	if !isKnown {
		one.first = b.Clock.Now()
	}
	one.limit = said
	if b.kept == nil {
		b.kept = map[string]entry{}
	}
	b.kept[start] = one
	return isNews
}

// Known returns the limit that a start named, and for how long this daemon has known of one.
func (b *Book) Known(start string) (limit Limit, since time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one, isKnown := b.kept[start]
	if !isKnown {
		return Limit{}, 0
	}
	return one.limit, b.Clock.Since(one.first)
}
