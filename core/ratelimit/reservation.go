package ratelimit

import "time"

// Reservation is room for one request that has been chosen and not sent yet. Nothing is spent
// until it is taken. It is for one goroutine.
type Reservation struct {
	book  *Book
	start string
	// of is the limit under which room is kept; nil: there was none, or it is kept no more.
	of *entry
}

// Take spends the room, right before the request's first byte, and returns when that is by
// the book's clock. It returns false where nothing may be sent: a limit was named, or
// lowered, since the request was chosen.
func (r *Reservation) Take(place Place) (sent time.Time, ok bool) {
	r.book.mutex.Lock()
	defer r.book.mutex.Unlock()
	r.release()
	now := r.book.Clock.Now()
	one := r.book.filled(r.start, place, now)
	if one == nil {
		return now, true
	}
	if !one.hasRoom(now) {
		return time.Time{}, false
	}
	if one.bucket.missing() > 0 {
		one.asked = one.turn(now)
	} else {
		one.bucket.tokens--
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
	if r.of != nil {
		r.of.bucket.reserved--
		r.of = nil
	}
}
