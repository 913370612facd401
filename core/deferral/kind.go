package deferral

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// kindQueue holds the waiting requests of one kind, and its rate. The queue's mutex guards it.
type kindQueue struct {
	bucket bucket
	// waiting is in no particular order, since whether a request can be in time depends on the time
	// of its release. The limits keep it short enough to be searched.
	waiting []*waiter
	// accounts holds the organisations that wait, and those that have used more than the ones that
	// wait. It is empty if nothing waits.
	accounts map[string]*account
	arrivals uint64
	// timer fires at timerAt; it is nil if nothing waits.
	timer   *time.Timer
	timerAt time.Time
}

// account is the use of one organisation.
type account struct {
	// used increases by 1 divided by the organisation's share with each released request.
	used    float64
	waiting int
}

// waiter is one waiting request.
type waiter struct {
	ticket    Ticket
	account   *account
	arrival   uint64
	agedSince time.Time
	expiresAt time.Time
	// released is closed when the request is released.
	released chan struct{}
}

// level is the part of the order that is strict: no request is released while one of a more urgent
// level waits.
type level struct {
	priority int
	isLate   bool
}

// compare returns a negative number if l is more urgent than other.
func (l level) compare(other level) int {
	if l.priority != other.priority || l.isLate == other.isLate {
		return cmp.Compare(l.priority, other.priority)
	}
	if l.isLate {
		return 1
	}
	return -1
}

// level returns the level of a request.
func (w *waiter) level(now time.Time) level {
	return level{
		priority: w.ticket.Priority,
		isLate:   !w.ticket.Deadline.IsZero() && now.After(w.ticket.Deadline),
	}
}

// hasExpired reports whether a request has waited for its MaxWait.
func (w *waiter) hasExpired(now time.Time) bool {
	return !now.Before(w.expiresAt)
}

// compare returns a negative number if w is released before other.
func (w *waiter) compare(other *waiter, now time.Time) int {
	return cmp.Or(
		w.level(now).compare(other.level(now)),
		cmp.Compare(w.account.used, other.account.used),
		w.agedSince.Compare(other.agedSince),
		cmp.Compare(w.arrival, other.arrival),
	)
}

// share returns the ticket's share, or 1 if it is not positive and finite.
func (t Ticket) share() float64 {
	if t.Share > 0 && !math.IsInf(t.Share, 1) {
		return t.Share
	}
	return 1
}

// newWaiter returns a waiter that is not yet queued.
func (k *kindQueue) newWaiter(ticket Ticket, now time.Time) *waiter {
	k.arrivals++
	agedSince := ticket.Deadline
	if agedSince.IsZero() {
		agedSince = now
	}
	return &waiter{
		ticket:    ticket,
		account:   k.accountFor(ticket.Organisation),
		arrival:   k.arrivals,
		agedSince: agedSince,
		expiresAt: now.Add(ticket.MaxWait),
		released:  make(chan struct{}),
	}
}

// accountFor returns the account of an organisation. One for which nothing waits starts at the
// least use of those that wait, so that it gains no credit while idle.
func (k *kindQueue) accountFor(organisation string) *account {
	owner, isKnown := k.accounts[organisation]
	if isKnown && owner.waiting > 0 {
		return owner
	}
	used := k.leastUsed()
	if isKnown {
		used = max(used, owner.used)
	}
	return &account{
		used: used,
	}
}

// leastUsed returns the least use of the organisations that wait, or 0.
func (k *kindQueue) leastUsed() float64 {
	least, isFound := 0.0, false
	for _, owner := range k.accounts {
		if owner.waiting > 0 && (!isFound || owner.used < least) {
			least, isFound = owner.used, true
		}
	}
	return least
}

// expectedWait returns how long a new request would wait at the current rate.
func (k *kindQueue) expectedWait(w *waiter, now time.Time) time.Duration {
	if k.bucket.perSecond == 0 {
		return math.MaxInt64
	}
	ahead := 0
	for _, other := range k.waiting {
		if other.compare(w, now) < 0 {
			ahead++
		}
	}
	return max(0, k.bucket.readyAt.Sub(now)) + k.bucket.timeFor(float64(ahead))
}

// add queues a request.
func (k *kindQueue) add(w *waiter) {
	if k.accounts == nil {
		k.accounts = map[string]*account{}
	}
	k.accounts[w.ticket.Organisation] = w.account
	w.account.waiting++
	k.waiting = append(k.waiting, w)
}

// remove removes a waiting request and the accounts that are no longer needed.
func (k *kindQueue) remove(w *waiter) {
	i := slices.Index(k.waiting, w)
	k.waiting = slices.Delete(k.waiting, i, i+1)
	w.account.waiting--
	if len(k.waiting) == 0 {
		k.waiting = nil
		k.accounts = nil
		return
	}
	least := k.leastUsed()
	for organisation, owner := range k.accounts {
		if owner.waiting == 0 && owner.used <= least {
			delete(k.accounts, organisation)
		}
	}
}

// release releases a waiting request.
func (k *kindQueue) release(w *waiter) {
	w.account.used += 1 / w.ticket.share()
	k.remove(w)
	close(w.released)
}

// releaseDue releases and returns the requests for which there are tokens, and those that have
// expired.
func (k *kindQueue) releaseDue(now time.Time) []*waiter {
	var released []*waiter
	for len(k.waiting) > 0 && k.bucket.isReady(now) {
		next := k.next(now)
		k.bucket.takeWaiting()
		k.release(next)
		released = append(released, next)
	}
	return append(released, k.releaseExpired(now)...)
}

// next returns the first waiting request. There must be one.
func (k *kindQueue) next(now time.Time) *waiter {
	return slices.MinFunc(k.waiting, func(a, b *waiter) int {
		return a.compare(b, now)
	})
}

// releaseExpired releases and returns the requests that have expired. Requests of more urgent levels
// are released before them, so that no request is worse off than a less urgent one. Tokens are not
// taken: otherwise expired requests would delay those that are next in order.
func (k *kindQueue) releaseExpired(now time.Time) []*waiter {
	var worst *waiter
	for _, w := range k.waiting {
		if w.hasExpired(now) && (worst == nil || worst.level(now).compare(w.level(now)) < 0) {
			worst = w
		}
	}
	if worst == nil {
		return nil
	}
	return k.releaseIf(now, func(w *waiter) bool {
		return w.hasExpired(now) || w.level(now).compare(worst.level(now)) < 0
	})
}

// releaseBefore releases and returns the requests of more urgent levels than the given one.
func (k *kindQueue) releaseBefore(limit level, now time.Time) []*waiter {
	return k.releaseIf(now, func(w *waiter) bool {
		return w.level(now).compare(limit) < 0
	})
}

// releaseAll releases and returns all waiting requests.
func (k *kindQueue) releaseAll(now time.Time) []*waiter {
	return k.releaseIf(now, func(*waiter) bool {
		return true
	})
}

// releaseIf releases and returns the requests that meet a condition, in order.
func (k *kindQueue) releaseIf(now time.Time, isDue func(*waiter) bool) []*waiter {
	var due []*waiter
	for _, w := range k.waiting {
		if isDue(w) {
			due = append(due, w)
		}
	}
	slices.SortFunc(due, func(a, b *waiter) int {
		return a.compare(b, now)
	})
	for _, w := range due {
		k.release(w)
	}
	return due
}

// nextReleaseAt returns when the next request is released. At least one must be waiting.
func (k *kindQueue) nextReleaseAt() time.Time {
	at := k.waiting[0].expiresAt
	for _, w := range k.waiting {
		if w.expiresAt.Before(at) {
			at = w.expiresAt
		}
	}
	if k.bucket.perSecond > 0 && k.bucket.readyAt.Before(at) {
		at = k.bucket.readyAt
	}
	return at
}

// stopTimer stops the timer of a kind for which nothing waits.
func (k *kindQueue) stopTimer() {
	if k.timer != nil {
		k.timer.Stop()
		k.timer = nil
	}
}
