package ratelimit

import "time"

// Reservation reserves capacity for one request that was chosen and not yet sent. Tokens are
// spent only by Take. It is not safe for concurrent use.
type Reservation struct {
	limiter *Limiter
	start   string
	// limits are the limits whose capacity is reserved; empty if there is none, or after the
	// reservation ended.
	limits []*entry
}

// Take spends the reserved tokens right before the first byte of the request, and returns the
// current time by Clock. ok is false if the request may not be sent, because a limit
// was set or lowered since the request was chosen.
func (r *Reservation) Take(position Position) (sent time.Time, ok bool) {
	r.limiter.mutex.Lock()
	defer r.limiter.mutex.Unlock()
	r.release()
	now := r.limiter.Clock.Now()
	limits := r.limiter.refilled(r.start, position, now)
	if !allHaveCapacity(limits, now) {
		return time.Time{}, false
	}
	for _, e := range limits {
		e.spend(now)
	}
	return now, true
}

// Release returns the reserved capacity if it was not taken.
func (r *Reservation) Release() {
	r.limiter.mutex.Lock()
	defer r.limiter.mutex.Unlock()
	r.release()
}

// release ends the reservation. The mutex of the Limiter must be held.
func (r *Reservation) release() {
	for _, e := range r.limits {
		e.bucket.reserved--
	}
	r.limits = nil
}
