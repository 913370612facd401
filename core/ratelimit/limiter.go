package ratelimit

import (
	"sync"
	"time"

	"headcourse/core/boottime"
)

const (
	// observationPriorityTime is how long this daemon's own observation takes precedence over
	// reports that allow more. Such reports may be older than the observation.
	observationPriorityTime = 2 * time.Second
	// probeAfter is the time without an update after which daemons probe whether a limit still
	// holds: all daemons with a quota may have stopped. They take turns of probeTurnTime each.
	probeAfter    = 60 * time.Second
	probeTurnTime = excessWindow
	// retentionTime is how long the limit of an unknown server is kept.
	retentionTime = 10 * time.Minute
)

// Limiter keeps the limits of each server start (fleet.Server.StartID) and the tokens that this
// daemon has left of its quota. A server may have an announced limit, a cold limit, or both; a
// request must then satisfy both. The zero value is empty. It is safe for concurrent use.
type Limiter struct {
	// Clock must not stop while the VM is suspended, since the server's clock does not stop
	// either. It must be set before first use.
	Clock boottime.Clock

	mutex      sync.Mutex
	limits     map[string]*entry
	coldLimits map[string]*entry
}

// entry is one limit of a server start. updatedAt is the time of its last update.
type entry struct {
	limit     Limit
	updatedAt time.Time
	// observedAt is the time of this daemon's last own observation.
	observedAt time.Time
	// deferred is a report that waits for observationPriorityTime to pass; nil if there is
	// none.
	deferred *Limit
	bucket   bucket
	// lastProbeTurn is the turn in which this daemon last probed whether the limit holds.
	lastProbeTurn int
	// coldUntil is when a cold limit expires; it is zero for an announced limit.
	coldUntil time.Time
}

// set stores a limit that is current now. The mutex must be held.
func (l *Limiter) set(start string, limit Limit, now time.Time) *entry {
	e := l.limits[start]
	if e == nil {
		// The quota starts empty, since requests sent before were not counted.
		e = &entry{
			bucket: bucket{
				refilledAt: now,
			},
		}
		if l.limits == nil {
			l.limits = map[string]*entry{}
		}
		l.limits[start] = e
	}
	e.limit = limit
	e.updatedAt = now
	e.deferred = nil
	e.lastProbeTurn = 0
	return e
}

// Observe applies the answer to a request of this daemon and reports whether the limit
// changed. sent is the time of the request by Clock; zero if not known. Answers arrive out of
// order: an answer to a request that was sent before the last update may be older, so it
// neither raises nor ends a limit.
func (l *Limiter) Observe(start string, observed Limit, sent time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.limits[start]
	if observed.IsInvalid || (e == nil && !observed.IsSet) {
		return false
	}
	isLower := observed.IsSet && (e == nil || observed.PerSecond <= e.limit.PerSecond)
	if !isLower && !sent.After(e.updatedAt) {
		return false
	}
	if !observed.IsSet {
		delete(l.limits, start)
		return true
	}
	// A lower limit applies at once, however old the answer is.
	isChange := e == nil || e.limit != observed
	now := l.Clock.Now()
	l.set(start, observed, now).observedAt = now
	return isChange
}

// ApplyReport applies another daemon's report of a start; a report without a limit ends the limit.
// A recent observation of this daemon takes precedence over a report that allows more.
func (l *Limiter) ApplyReport(start string, reported Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.limits[start]
	now := l.Clock.Now()
	allowsMore := !reported.IsSet || (e != nil && reported.PerSecond > e.limit.PerSecond)
	if allowsMore && e != nil && now.Sub(e.observedAt) < observationPriorityTime {
		e.deferred = &reported
		return
	}
	l.apply(start, reported, now)
}

// apply sets a limit, or removes it if none is given. The mutex must be held.
func (l *Limiter) apply(start string, limit Limit, now time.Time) {
	if limit.IsSet {
		l.set(start, limit, now)
	} else {
		delete(l.limits, start)
	}
}

// applyDeferred applies a deferred report once the own observation is older than
// observationPriorityTime. The mutex must be held.
func (l *Limiter) applyDeferred(start string, now time.Time) {
	e := l.limits[start]
	if e != nil && e.deferred != nil && now.Sub(e.observedAt) >= observationPriorityTime {
		l.apply(start, *e.deferred, now)
	}
}

// AnnouncedLimit returns the announced limit of a start and the time since its last update.
func (l *Limiter) AnnouncedLimit(start string) (limit Limit, since time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.limits[start]
	if e == nil {
		return Limit{}, 0
	}
	return e.limit, l.Clock.Since(e.updatedAt)
}

// SetColdLimit sets the limit of a cold start for the given time.
func (l *Limiter) SetColdLimit(start string, limit Limit, duration time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	e := l.coldLimits[start]
	if e == nil {
		e = &entry{
			bucket: bucket{
				refilledAt: now,
			},
		}
		if l.coldLimits == nil {
			l.coldLimits = map[string]*entry{}
		}
		l.coldLimits[start] = e
	}
	e.limit = limit
	e.coldUntil = now.Add(duration)
}

// IsLimited reports whether a start has a limit.
func (l *Limiter) IsLimited(start string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limits[start] != nil || l.activeColdLimit(start, l.Clock.Now()) != nil
}

// activeColdLimit returns the cold limit of a start, or nil after it expired. The mutex must be
// held.
func (l *Limiter) activeColdLimit(start string, now time.Time) *entry {
	e := l.coldLimits[start]
	if e == nil || now.Before(e.coldUntil) {
		return e
	}
	delete(l.coldLimits, start)
	return nil
}

// IsEmpty reports whether no server has a limit. This is the usual case, and spares callers a
// look-up of each server.
func (l *Limiter) IsEmpty() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.limits) == 0 && len(l.coldLimits) == 0
}

// refilled returns the limits of a start after adding the tokens that are due. The mutex must
// be held.
func (l *Limiter) refilled(start string, position Position, now time.Time) []*entry {
	l.applyDeferred(start, now)
	var limits []*entry
	if e := l.limits[start]; e != nil {
		limits = append(limits, e)
	}
	if e := l.activeColdLimit(start, now); e != nil {
		limits = append(limits, e)
	}
	for _, e := range limits {
		e.bucket.refill(e.limit, position, now)
	}
	return limits
}

// allHaveCapacity reports whether all limits allow one more request now.
func allHaveCapacity(limits []*entry, now time.Time) bool {
	for _, e := range limits {
		if !e.hasCapacity(now) {
			return false
		}
	}
	return true
}

// hasCapacity reports whether the limit allows one more request now.
func (e *entry) hasCapacity(now time.Time) bool {
	return e.bucket.deficit() == 0 || e.mayProbe(now)
}

// spend takes the token for one request, or uses this daemon's turn to probe if there is none.
func (e *entry) spend(now time.Time) {
	if e.bucket.deficit() > 0 {
		e.lastProbeTurn = e.probeTurn(now)
		return
	}
	e.bucket.tokens--
}

// mayProbe reports whether it is this daemon's turn to probe whether the limit still holds.
func (e *entry) mayProbe(now time.Time) bool {
	turn := e.probeTurn(now)
	position := e.bucket.position
	return turn > e.lastProbeTurn && position.Total > 0 && (turn-1)%position.Total == position.Rank && e.bucket.reserved == 0
}

// probeTurn returns the number of the current probe turn, from 1, or 0 if probing has not
// started.
func (e *entry) probeTurn(now time.Time) int {
	silence := now.Sub(e.updatedAt) - probeAfter
	if isCold := !e.coldUntil.IsZero(); isCold || silence < 0 {
		return 0
	}
	return 1 + int(silence/probeTurnTime)
}

// HasCapacity reports whether this daemon may send a request to a start now.
func (l *Limiter) HasCapacity(start string, position Position) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	return allHaveCapacity(l.refilled(start, position, now), now)
}

// Delay returns the time until this daemon may send a request. hasQuota is false if it has no
// quota.
func (l *Limiter) Delay(start string, position Position) (delay time.Duration, hasQuota bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	hasQuota = true
	for _, e := range l.refilled(start, position, now) {
		entryDelay, entryHasQuota := e.delay(now)
		delay = max(delay, entryDelay)
		hasQuota = hasQuota && entryHasQuota
	}
	return delay, hasQuota
}

// delay returns the time until the limit allows one more request. hasQuota is false if it never
// does.
func (e *entry) delay(now time.Time) (delay time.Duration, hasQuota bool) {
	if e.hasCapacity(now) {
		return 0, true
	}
	delay, hasQuota = e.bucket.delay()
	if e.coldUntil.IsZero() {
		return delay, hasQuota
	}
	coldLeft := e.coldUntil.Sub(now)
	if !hasQuota {
		return coldLeft, true
	}
	return min(delay, coldLeft), true
}

// Reserve reserves capacity for a request that will be sent soon; ok is false if there is none.
// The caller must call Release when the request ends.
func (l *Limiter) Reserve(start string, position Position) (*Reservation, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	limits := l.refilled(start, position, now)
	if !allHaveCapacity(limits, now) {
		return nil, false
	}
	for _, e := range limits {
		e.bucket.reserved++
	}
	return &Reservation{
		limiter: l,
		start:   start,
		limits:  limits,
	}, true
}

// Sweep discards expired cold limits, and limits without an update for retentionTime for whose
// starts isKnown returns false.
func (l *Limiter) Sweep(isKnown func(start string) bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for start, e := range l.limits {
		if l.Clock.Since(e.updatedAt) > retentionTime && !isKnown(start) {
			delete(l.limits, start)
		}
	}
	now := l.Clock.Now()
	for start := range l.coldLimits {
		l.activeColdLimit(start, now)
	}
}
