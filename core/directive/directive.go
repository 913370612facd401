// Package directive keeps what backend servers asked of this daemon: to pause requests for some
// time, or to send none any more because the server drains.
//
// A directive is binding until its time is over, whatever the daemon observes in the meantime.
// What a daemon infers from failures and silence is only a preference, and is kept in package
// balancer. A directive holds for one daemon and one server start.
package directive

import (
	"sync"
	"time"

	"headcourse/core/boottime"
)

// MaxPause caps a pause, so that one absurd value does not exclude a server for as long as the
// daemon runs.
const MaxPause = time.Hour

// DrainRetention is how long a drain is kept after its server was last known. It exceeds the time
// in which servers end, and outages of the store, after which server entries come back.
const DrainRetention = 10 * time.Minute

// Directive is what one answer of a server asks about further requests. The zero value asks
// nothing.
type Directive struct {
	// Pause is how long the server wants no request; 0 if it did not say.
	Pause time.Duration
	// IsDraining reports that the server drains: it finishes its requests in flight and then
	// ends.
	IsDraining bool
}

// IsSet reports whether the directive asks anything.
func (d Directive) IsSet() bool {
	return d.Pause > 0 || d.IsDraining
}

// Registry keeps directives by server start (fleet.Server.StartID). The zero value is empty. It is
// safe for concurrent use.
type Registry struct {
	// Clock must not stop while the VM is suspended, since the server's clock does not stop
	// either. It must be set before first use.
	Clock boottime.Clock

	mutex   sync.Mutex
	entries map[string]entry
}

// entry holds the directives of one server start.
type entry struct {
	pausedUntil time.Time
	isDraining  bool
	// lastKnown is when a draining start was last known.
	lastKnown time.Time
}

// Record records a directive that has just arrived and returns what is new in it: a pause of a
// start that was not paused, and the first directive to drain. Of several pauses the one that
// ends last applies, since each answer covers its own time. A drain never ends.
func (b *Registry) Record(start string, directive Directive) Directive {
	if !directive.IsSet() {
		return Directive{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	e := b.entries[start]
	changes := directive
	if now.Before(e.pausedUntil) {
		changes.Pause = 0
	}
	if until := now.Add(min(directive.Pause, MaxPause)); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	if directive.IsDraining {
		changes.IsDraining = !e.isDraining
		e.isDraining = true
		e.lastKnown = now
	}
	if b.entries == nil {
		b.entries = map[string]entry{}
	}
	b.entries[start] = e
	return changes
}

// IsExcluded reports whether no request may be sent to the start now.
func (b *Registry) IsExcluded(start string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := b.entries[start]
	return e.isDraining || b.Clock.Until(e.pausedUntil) > 0
}

// RemainingPause returns the remaining pause of a start. It is 0 if the start is not paused, or if
// it drains and will never want a request again.
func (b *Registry) RemainingPause(start string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := b.entries[start]
	if e.isDraining {
		return 0
	}
	return max(0, b.Clock.Until(e.pausedUntil))
}

// IsEmpty reports whether there are no directives. This is the usual case, and spares callers a
// look-up of each server.
func (b *Registry) IsEmpty() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.entries) == 0
}

// CarryPause carries a pause over to the next start of a server under the same ID. The server's
// new entry arrives later than the start, so the next start may have asked for the pause
// already. A drain is not carried over: it would exclude the next start for good.
func (b *Registry) CarryPause(previous, next string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	until := b.entries[previous].pausedUntil
	e := b.entries[next]
	if !until.After(b.Clock.Now()) || !until.After(e.pausedUntil) {
		return
	}
	e.pausedUntil = until
	b.entries[next] = e
}

// Sweep discards expired pauses, and drains of starts that isKnown has not known for
// DrainRetention.
func (b *Registry) Sweep(isKnown func(start string) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	for start, e := range b.entries {
		switch {
		case !e.isDraining && !now.Before(e.pausedUntil), e.isDraining && now.Sub(e.lastKnown) >= DrainRetention && !isKnown(start):
			delete(b.entries, start)
		case e.isDraining && isKnown(start):
			e.lastKnown = now
			b.entries[start] = e
		}
	}
}
