// Package directive records the directives in the answers of backend servers: to pause
// requests for some time, or to send none any more because the server is draining.
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

// Directive is the directive about further requests in one answer of a server. The zero value
// is none.
type Directive struct {
	// Pause is how long the server is to get no requests; 0 if the answer has no pause.
	Pause time.Duration
	// IsDraining reports that the server drains: it finishes its requests in flight and then
	// ends.
	IsDraining bool
}

// IsSet reports whether the directive has a pause or a drain.
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
func (r *Registry) Record(start string, directive Directive) Directive {
	if !directive.IsSet() {
		return Directive{}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	e := r.entries[start]
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
	if r.entries == nil {
		r.entries = map[string]entry{}
	}
	r.entries[start] = e
	return changes
}

// IsExcluded reports whether no request may be sent to the start now.
func (r *Registry) IsExcluded(start string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entries[start]
	return e.isDraining || r.Clock.Until(e.pausedUntil) > 0
}

// IsDraining reports whether the start has announced that it drains.
func (r *Registry) IsDraining(start string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.entries[start].isDraining
}

// RemainingPause returns the remaining pause of a start. It is 0 if the start is not paused,
// or if it drains, since a drain has no end.
func (r *Registry) RemainingPause(start string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entries[start]
	if e.isDraining {
		return 0
	}
	return max(0, r.Clock.Until(e.pausedUntil))
}

// IsEmpty reports whether there are no directives. This is the usual case, and spares callers a
// look-up of each server.
func (r *Registry) IsEmpty() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.entries) == 0
}

// CarryPause carries a pause over to the next start of a server under the same ID. The
// server's new entry arrives later than the start, so the next start may have requested the
// pause already. A drain is not carried over: it would exclude the next start for good.
func (r *Registry) CarryPause(previous, next string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	until := r.entries[previous].pausedUntil
	e := r.entries[next]
	if !until.After(r.Clock.Now()) || !until.After(e.pausedUntil) {
		return
	}
	e.pausedUntil = until
	r.entries[next] = e
}

// Sweep discards expired pauses, and drains of starts for which isKnown has not returned true
// for DrainRetention.
func (r *Registry) Sweep(isKnown func(start string) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	for start, e := range r.entries {
		switch {
		case !e.isDraining && !now.Before(e.pausedUntil), e.isDraining && now.Sub(e.lastKnown) >= DrainRetention && !isKnown(start):
			delete(r.entries, start)
		case e.isDraining && isKnown(start):
			e.lastKnown = now
			r.entries[start] = e
		}
	}
}
