package rowstore

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// failureWindow is how long a failed call to the store limits the following ones. Every
	// call is billed, even a refused one, and a daemon follows many tables.
	failureWindow = 3 * time.Second
	// ageBoundedInterval and otherInterval are the minimum times between two calls during that
	// window, for tables with a maximum age or with priority, and for the others.
	ageBoundedInterval = 400 * time.Millisecond
	otherInterval      = 1500 * time.Millisecond
	// relayedFactor multiplies the interval for daemons that have relays, none of which answers.
	relayedFactor = 6
	// sharedInterval is the time between two calls of all daemons together whose relays report
	// that they have no copy. The relays call the store themselves, and the answer to a call
	// of another daemon serves only that daemon. With a fixed pause per daemon, the calls of
	// hundreds of daemons would add up.
	sharedInterval = 200 * time.Millisecond
	// noCopyWindow is how long a relay's answer that it has no copy is valid.
	noCopyWindow = 2 * time.Second
	// Up to maxImmediateContenders daemons call the store immediately when their relays report
	// no copy, since only the relays may be cut off, and pause after a call that fails. More
	// daemons spread their first call over firstTrySpread, so that they do not call at the same
	// moment. The spread is short, because a copy may be as old as 0.6 of the time within which
	// a configuration must be in force.
	maxImmediateContenders = 16
	firstTrySpread         = 200 * time.Millisecond
	// manyRelays is the number of relays and standbys from which on practically never all are
	// cut off while the store serves other daemons. With at least that many, the first call is
	// spread over the whole retryInterval. If the store refuses each of eight with a
	// probability of one third, it refuses all of them in one of 6,500 outages.
	manyRelays = 8
)

// storeLimiter decides when a daemon may call the store itself. It is not safe for concurrent use.
// The zero value admits calls.
type storeLimiter struct {
	// failedAt is when a call to the store last failed, lastCallAt when the store was last called.
	failedAt   time.Time
	lastCallAt time.Time
	// noCopyAt is when a relay last answered that it has no copy. For noCopyWindow after that, the
	// store may be called from nextTryAt on (zero: not drawn yet) until a call fails; isAdmitting
	// is set meanwhile. A feed that waits for changes has not failed, so calls for other tables
	// need not wait for its end. retryInterval is the time from a failed call to the next one while
	// relays have no copy.
	noCopyAt      time.Time
	nextTryAt     time.Time
	retryInterval time.Duration
	isAdmitting   bool
}

// storeCall describes a call to the store and the daemon that makes it.
type storeCall struct {
	// isAgeBounded is set if copies of the table have a maximum age or the table has priority.
	isAgeBounded bool
	// relays and standbys are the numbers of those that the daemon has. contenders is how many
	// daemons call the store in the same way as this one if relays and standbys have no copy.
	relays     int
	standbys   int
	contenders int
}

// interval returns the minimum time between two calls of a daemon while the store fails.
func (s storeCall) interval() time.Duration {
	interval := otherInterval
	if s.isAgeBounded {
		interval = ageBoundedInterval
	}
	if s.relays > 0 {
		interval *= relayedFactor
	}
	return interval
}

// admit reports whether the store may be called now, and records the call.
func (l *storeLimiter) admit(now time.Time, call storeCall) bool {
	if !l.isDue(now, call) {
		return false
	}
	l.lastCallAt = now
	return true
}

// isDue reports whether it is time to call the store.
func (l *storeLimiter) isDue(now time.Time, call storeCall) bool {
	if l.relaysLackCopies(now) {
		return l.isDueWithoutCopies(now, call)
	}
	return now.Sub(l.failedAt) >= failureWindow || now.Sub(l.lastCallAt) >= call.interval()
}

// dueIn returns how long the store will not be called if nothing else changes, for logs.
func (l *storeLimiter) dueIn(now time.Time, call storeCall) time.Duration {
	if l.relaysLackCopies(now) {
		return max(0, l.nextTryAt.Sub(now))
	}
	next := l.lastCallAt.Add(call.interval())
	if end := l.failedAt.Add(failureWindow); end.Before(next) {
		next = end
	}
	return max(0, next.Sub(now))
}

// isDueWithoutCopies reports whether this daemon may call the store while relays have no copy.
func (l *storeLimiter) isDueWithoutCopies(now time.Time, call storeCall) bool {
	// All tables share the schedule of those with a maximum age.
	l.retryInterval = max(relayedFactor*ageBoundedInterval, time.Duration(call.contenders)*sharedInterval)
	if l.nextTryAt.IsZero() {
		l.nextTryAt = now.Add(call.firstDelay(l.retryInterval))
	}
	l.isAdmitting = l.isAdmitting || !now.Before(l.nextTryAt)
	return l.isAdmitting
}

// firstDelay draws the delay of the first call.
func (s storeCall) firstDelay(interval time.Duration) time.Duration {
	switch {
	case s.contenders <= maxImmediateContenders:
		return 0
	case s.relays+s.standbys >= manyRelays:
		return rand.N(interval)
	default:
		return rand.N(firstTrySpread)
	}
}

// relaysLackCopies reports whether a relay answered recently that it has no copy.
func (l *storeLimiter) relaysLackCopies(now time.Time) bool {
	return now.Sub(l.noCopyAt) < noCopyWindow
}

// observeNoCopy records that a relay has no copy.
func (l *storeLimiter) observeNoCopy(now time.Time) {
	if !l.relaysLackCopies(now) {
		l.nextTryAt = time.Time{}
		l.isAdmitting = false
	}
	l.noCopyAt = now
}

// recordSuccess records that the store answered. Calls for other tables that failed meanwhile were
// not the store's fault.
func (l *storeLimiter) recordSuccess() {
	l.failedAt = time.Time{}
	l.isAdmitting = true
}

// recordFailure records that a call to the store failed.
func (l *storeLimiter) recordFailure(now time.Time) {
	l.failedAt = now
	l.isAdmitting = false
	l.nextTryAt = now.Add(l.retryInterval)
}

// failedRecently reports whether a call to the store failed recently.
func (l *storeLimiter) failedRecently(now time.Time) bool {
	return now.Sub(l.failedAt) < failureWindow
}

// describeWait names the relays that are backed off, and when the store may be called for a table, for logs.
func (c *ReaderChain) describeWait(table string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	var names []string
	for _, relay := range c.peers.Relays {
		if c.backoffs.isBackedOff(relay.Name) {
			names = append(names, relay.Name+" for "+c.backoffs[relay.Name].until.Sub(now).Round(time.Millisecond).String())
		}
	}
	until := c.limiter.dueIn(now, c.storeCall(table, 1)).Round(time.Millisecond)
	return "store is not called for " + until.String() + ", relays not called: " + strings.Join(names, ", ")
}
