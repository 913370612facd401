// Package directive keeps what backend servers told this daemon about sending to them: for
// how long one wants no request, and that one leaves.
//
// What a server says itself is binding and holds until the time is over, whatever this daemon
// sees of it meanwhile. What a daemon concludes from failures and silence is a preference,
// and stands in package balancer. A directive is for one daemon and one start of a server.
package directive

import (
	"sync"
	"time"

	"headcourse/core/boottime"
)

// MaxPause bounds the pause that is kept, so that one absurd word does not put a server out
// of use for as long as the daemon runs.
const MaxPause = time.Hour

// LeaveKept is how long a leave is kept after its server was last known: longer than servers take
// to end and outages of the store, after which their entries come back.
const LeaveKept = 10 * time.Minute

// Directive is what one answer of a server says about further requests. The zero value says
// nothing.
type Directive struct {
	// Pause is for how long the server wants no request; 0: not said.
	Pause time.Duration
	// IsLeaving tells that the server finishes what it has, and then ends.
	IsLeaving bool
}

// IsAny tells whether the directive says anything.
func (d Directive) IsAny() bool {
	return d.Pause > 0 || d.IsLeaving
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
	isLeaving   bool
	// known is when a leaving start was known last.
	known time.Time
}

// Note keeps a directive that has just come, and returns what of it is news: a pause of a
// start that was not paused, and the first word of its leave. Of several pauses the one that
// ends last holds: each answer was given for its own time. Nothing ends a leave.
func (b *Book) Note(start string, said Directive) Directive {
	if !said.IsAny() {
		return Directive{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	one := b.kept[start]
	news := said
	if now.Before(one.pausedUntil) {
		news.Pause = 0
	}
	if until := now.Add(min(said.Pause, MaxPause)); until.After(one.pausedUntil) {
		one.pausedUntil = until
	}
	if said.IsLeaving {
		news.IsLeaving = !one.isLeaving
		one.isLeaving = true
		one.known = now
	}
	if b.kept == nil {
		b.kept = map[string]entry{}
	}
	b.kept[start] = one
	return news
}

// Forbids tells whether the start may be sent no request now.
func (b *Book) Forbids(start string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one := b.kept[start]
	return one.isLeaving || b.Clock.Until(one.pausedUntil) > 0
}

// PauseLeft returns for how much longer the start wants no request; 0: it has not said so,
// or its time is over, or it leaves and never wants one again.
func (b *Book) PauseLeft(start string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one := b.kept[start]
	if one.isLeaving {
		return 0
	}
	return max(0, b.Clock.Until(one.pausedUntil))
}

// IsEmpty tells whether nothing is kept, which is so at most times: then nobody needs to
// look at each server.
func (b *Book) IsEmpty() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.kept) == 0
}

// Restarted notes that a server's entry tells of its next start under the same ID. The entry
// comes later than the start, so a pause may have been asked by the next one already and goes
// on. A leave is of the former: it would put the next out of use for good.
func (b *Book) Restarted(former, next string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	until := b.kept[former].pausedUntil
	one := b.kept[next]
	if !until.After(b.Clock.Now()) || !until.After(one.pausedUntil) {
		return
	}
	one.pausedUntil = until
	b.kept[next] = one
}

// Sweep forgets pauses that are over, and leaves of starts that isKnown has not known for
// LeaveKept.
func (b *Book) Sweep(isKnown func(start string) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	for start, one := range b.kept {
		switch {
		case !one.isLeaving && !now.Before(one.pausedUntil), one.isLeaving && now.Sub(one.known) >= LeaveKept && !isKnown(start):
			delete(b.kept, start)
		case one.isLeaving && isKnown(start):
			one.known = now
			b.kept[start] = one
		}
	}
}
