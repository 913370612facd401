package ratelimit

import (
	"sync"
	"time"

	"headcourse/core/boottime"
)

// Figures of a book.
const (
	// ownHolds is how long what this daemon heard itself goes before what others tell, if
	// that is more: their word may be from before.
	ownHolds = 2 * time.Second
	// askAfter is after how long without any word of a limit daemons ask whether it still
	// holds, one after the other, each in a turn of askTurn: all that had a part may be gone.
	askAfter = 60 * time.Second
	askTurn  = window
	// keptFor is how long a limit of a server that is not known any more is kept.
	keptFor = 10 * time.Minute
)

// Book keeps limits by the starts of servers (fleet.Server.Start), and what this daemon has
// sent of its part of each: those that servers name, and those of servers that are cold. A
// request to a server with both takes room of both. The zero value is empty and safe for
// concurrent use.
type Book struct {
	// Clock goes on while the machine is suspended, as the server's time does. Set before use.
	Clock boottime.Clock

	mutex sync.Mutex
	kept  map[string]*entry
	cold  map[string]*entry
}

// entry is the limit of one start of a server. spoken is when its last word came.
type entry struct {
	limit  Limit
	spoken time.Time
	// heard is when this daemon heard a word itself.
	heard time.Time
	// overruled is what others told while ownHolds; nil: nothing.
	overruled *Limit
	bucket    bucket
	// asked is the turn in which this daemon asked last whether the limit holds.
	asked int
	// until is when the limit of a cold server ends; zero: the limit is one that the server
	// names.
	until time.Time
}

// learn notes a limit that came now. The mutex is held.
func (b *Book) learn(start string, limit Limit, now time.Time) *entry {
	one := b.kept[start]
	if one == nil {
		// What was sent before is not counted here: the part begins empty.
		one = &entry{
			bucket: bucket{
				filled: now,
			},
		}
		if b.kept == nil {
			b.kept = map[string]*entry{}
		}
		b.kept[start] = one
	}
	one.limit = limit
	one.spoken = now
	one.overruled = nil
	one.asked = 0
	return one
}

// Observed applies what the answer to a request of this daemon says, which was sent at a time of
// the book's clock (zero: not known), and tells whether it changed what holds. Answers come out
// of order: one to a request that was sent before the last word came may be older than it, so
// it raises or ends no limit.
func (b *Book) Observed(start string, said Limit, sent time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one := b.kept[start]
	if said.IsUnclear || (one == nil && !said.IsNamed) {
		return false
	}
	isLower := said.IsNamed && (one == nil || said.PerSecond <= one.limit.PerSecond)
	if !isLower && !sent.After(one.spoken) {
		return false
	}
	if !said.IsNamed {
		delete(b.kept, start)
		return true
	}
	// A lower word holds at once, whenever it was said.
	isNews := one == nil || one.limit != said
	now := b.Clock.Now()
	b.learn(start, said, now).heard = now
	return isNews
}

// Reported applies what other daemons report of a start; a limit that is not named is over. What this
// daemon has just heard itself goes before a word that allows more.
func (b *Book) Reported(start string, told Limit) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one := b.kept[start]
	now := b.Clock.Now()
	isMore := !told.IsNamed || (one != nil && told.PerSecond > one.limit.PerSecond)
	if isMore && one != nil && now.Sub(one.heard) < ownHolds {
		one.overruled = &told
		return
	}
	b.apply(start, told, now)
}

// apply notes a limit, or that it is over. The mutex is held.
func (b *Book) apply(start string, limit Limit, now time.Time) {
	if limit.IsNamed {
		b.learn(start, limit, now)
	} else {
		delete(b.kept, start)
	}
}

// settle applies what was overruled, where this daemon heard nothing more itself. The mutex
// is held.
func (b *Book) settle(start string, now time.Time) {
	one := b.kept[start]
	if one != nil && one.overruled != nil && now.Sub(one.heard) >= ownHolds {
		b.apply(start, *one.overruled, now)
	}
}

// Known returns the limit of a start, and how long ago its last word came.
func (b *Book) Known(start string) (limit Limit, since time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one := b.kept[start]
	if one == nil {
		return Limit{}, 0
	}
	return one.limit, b.Clock.Since(one.spoken)
}

// LimitCold limits a start that is cold for some time from now on.
func (b *Book) LimitCold(start string, limit Limit, length time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	one := b.cold[start]
	if one == nil {
		one = &entry{
			bucket: bucket{
				filled: now,
			},
		}
		if b.cold == nil {
			b.cold = map[string]*entry{}
		}
		b.cold[start] = one
	}
	one.limit = limit
	one.until = now.Add(length)
}

// Has tells whether a start has a limit.
func (b *Book) Has(start string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.kept[start] != nil || b.coldNow(start, b.Clock.Now()) != nil
}

// coldNow returns the limit of a start that is cold, or nil. The mutex is held.
func (b *Book) coldNow(start string, now time.Time) *entry {
	one := b.cold[start]
	if one == nil || now.Before(one.until) {
		return one
	}
	delete(b.cold, start)
	return nil
}

// IsEmpty tells whether no server has a limit, which is so at most times: then nobody needs
// to look at each.
func (b *Book) IsEmpty() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.kept) == 0 && len(b.cold) == 0
}

// filled returns the limits of a start with the tokens that are due; none where it has no limit.
// The mutex is held.
func (b *Book) filled(start string, place Place, now time.Time) []*entry {
	b.settle(start, now)
	var limits []*entry
	if one := b.kept[start]; one != nil {
		limits = append(limits, one)
	}
	if one := b.coldNow(start, now); one != nil {
		limits = append(limits, one)
	}
	for _, one := range limits {
		one.bucket.fill(one.limit, place, now)
	}
	return limits
}

// haveRoom tells whether a further request may be sent now under all limits of a start.
func haveRoom(limits []*entry, now time.Time) bool {
	for _, one := range limits {
		if !one.hasRoom(now) {
			return false
		}
	}
	return true
}

// hasRoom tells whether a further request may be sent now.
func (e *entry) hasRoom(now time.Time) bool {
	return e.bucket.missing() == 0 || e.mayAsk(now)
}

// spend takes the room for one request, where there is room.
func (e *entry) spend(now time.Time) {
	if e.bucket.missing() > 0 {
		e.asked = e.turn(now)
		return
	}
	e.bucket.tokens--
}

// mayAsk tells whether this daemon is to ask now whether the limit still holds.
func (e *entry) mayAsk(now time.Time) bool {
	turn := e.turn(now)
	place := e.bucket.place
	return turn > e.asked && place.Of > 0 && (turn-1)%place.Of == place.Rank && e.bucket.reserved == 0
}

// turn returns the number of the turn to ask, from 1; 0: nobody asks yet.
func (e *entry) turn(now time.Time) int {
	quiet := now.Sub(e.spoken) - askAfter
	if isCold := !e.until.IsZero(); isCold || quiet < 0 {
		return 0
	}
	return 1 + int(quiet/askTurn)
}

// HasRoom tells whether this daemon, at a place among all, may send a start a request now.
func (b *Book) HasRoom(start string, place Place) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	return haveRoom(b.filled(start, place, now), now)
}

// Wait returns in how long there is room; isEver is false where this daemon has no part.
func (b *Book) Wait(start string, place Place) (wait time.Duration, isEver bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	isEver = true
	for _, one := range b.filled(start, place, now) {
		oneWait, hasPart := one.wait(now)
		wait = max(wait, oneWait)
		isEver = isEver && hasPart
	}
	return wait, isEver
}

// wait returns in how long there is room for a further request, and whether there ever is.
func (e *entry) wait(now time.Time) (wait time.Duration, isEver bool) {
	if e.hasRoom(now) {
		return 0, true
	}
	wait, isEver = e.bucket.wait()
	if e.until.IsZero() {
		return wait, isEver
	}
	ends := e.until.Sub(now)
	if !isEver {
		return ends, true
	}
	return min(wait, ends), true
}

// Reserve keeps room for a request that is to be sent soon, and returns false where there is
// none. Release must be called at its end.
func (b *Book) Reserve(start string, place Place) (*Reservation, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.Clock.Now()
	limits := b.filled(start, place, now)
	if !haveRoom(limits, now) {
		return nil, false
	}
	for _, one := range limits {
		one.bucket.reserved++
	}
	return &Reservation{
		book:  b,
		start: start,
		of:    limits,
	}, true
}

// Sweep forgets limits of starts that isKnown does not know and of which nothing was heard
// for long.
func (b *Book) Sweep(isKnown func(start string) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for start, one := range b.kept {
		if b.Clock.Since(one.spoken) > keptFor && !isKnown(start) {
			delete(b.kept, start)
		}
	}
	now := b.Clock.Now()
	for start := range b.cold {
		b.coldNow(start, now)
	}
}
