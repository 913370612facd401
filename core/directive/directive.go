// Package directive keeps what backend servers told this daemon about sending to them: how
// long one wants no request.
//
// What a server says itself is a limit and holds until the time is over, whatever this daemon
// sees of it meanwhile. What a daemon concludes from failures and silence is a preference,
// and stands in package balancer. A directive is for one daemon and one start of a server:
// the same server under the same ID, started anew, has said nothing yet.
package directive

import (
	"sync"
	"time"

	"headcourse/core/boottime"
)

// MaxPause bounds the pause that is kept, so that one absurd word does not put a server out
// of use for as long as the daemon runs.
const MaxPause = time.Hour

// Directive is what one answer of a server says about further requests. The zero value says
// nothing.
type Directive struct {
	// Pause is for how long the server wants no request; 0: not said.
	Pause time.Duration
}

// IsAny tells whether the directive says anything.
func (d Directive) IsAny() bool {
	return d.Pause > 0
}

// Book keeps directives by the starts of servers (fleet.Server.Start). The zero value is
// empty and safe for concurrent use.
type Book struct {
	// Clock goes on while the machine is suspended, as the server's time does. Set before use.
	Clock boottime.Clock

	mutex sync.Mutex
	kept  map[string]entry
}

// entry is what one start of a server said.
type entry struct {
	pausedUntil time.Time
}

// Note keeps a directive that has just come, and tells whether it changes what may be sent:
// the start was not paused before. Of several pauses the one that ends last holds: each
// answer was given for its own time.
func (b *Book) Note(start string, said Directive) bool {
	if !said.IsAny() {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	one := b.kept[start]
	wasFree := !now.Before(one.pausedUntil)
	if until := now.Add(min(said.Pause, MaxPause)); until.After(one.pausedUntil) {
		one.pausedUntil = until
	}
	if b.kept == nil {
		b.kept = map[string]entry{}
	}
	b.kept[start] = one
	return wasFree
}

// Forbids tells whether the start may be sent no request now.
func (b *Book) Forbids(start string) bool {
	return b.PauseLeft(start) > 0
}

// IsEmpty tells whether nothing is kept, which is so at most times: then nobody needs to
// look at each server.
func (b *Book) IsEmpty() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.kept) == 0
}

// PauseLeft returns for how much longer the start wants no request; 0: it has not said so,
// or its time is over.
func (b *Book) PauseLeft(start string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return max(0, b.Clock.Until(b.kept[start].pausedUntil))
}

// Sweep forgets pauses that are over.
func (b *Book) Sweep() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	for start, one := range b.kept {
		if !now.Before(one.pausedUntil) {
			delete(b.kept, start)
		}
	}
}
