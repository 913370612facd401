package ratelimit

import "time"

// Reservation is room for one request that has been chosen and not sent yet. Nothing is spent
// until it is taken. It is for one goroutine.
type Reservation struct {
	book  *Book
	start string
	// of are the limits under which room is kept; none: there was none, or it is kept no more.
	of []*entry
}

// Take spends the room, right before the request's first byte, and returns when that is by
// the book's clock. It returns false where nothing may be sent: a limit was named, or
// lowered, since the request was chosen.
func (r *Reservation) Take(place Place) (sent time.Time, ok bool) {
	r.book.mutex.Lock()
	defer r.book.mutex.Unlock()
	r.release()
	now := r.book.Clock.Now()
	limits := r.book.filled(r.start, place, now)
	if !haveRoom(limits, now) {
		return time.Time{}, false
	}
	for _, one := range limits {
		one.spend(now)
	}
	return now, true
}

// Release gives the room back if it was not taken.
func (r *Reservation) Release() {
	r.book.mutex.Lock()
	defer r.book.mutex.Unlock()
	r.release()
}

// release keeps the room no longer. The book's mutex is held.
func (r *Reservation) release() {
	for _, one := range r.of {
		one.bucket.reserved--
	}
	r.of = nil
}
