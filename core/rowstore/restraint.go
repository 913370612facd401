package rowstore

import (
	"math/rand/v2"
	"time"
)

// Figures of restraint.
const (
	// failedFor is how long a failed call to the store makes the next ones rare:
	// each is priced, also one that is refused, and a daemon follows many tables.
	failedFor = 3 * time.Second
	// gapLimited and gapOther are the times between two calls then: for tables
	// whose age is bounded, and for the others.
	gapLimited = 400 * time.Millisecond
	gapOther   = 1500 * time.Millisecond
	// behind is how many times longer daemons wait that have relays, none of which
	// answers.
	behind = 6
	// sharedGap is the time between two calls of all daemons together that hear of
	// their relays that these have no copy: the relays try, and whoever else tries
	// learns for itself alone. Pauses that each keeps by itself add up with hundreds of
	// daemons.
	sharedGap = 200 * time.Millisecond
	// noCopyFor is how long a relay's answer that it has no copy counts.
	noCopyFor = 2 * time.Second
	// fewSharing daemons try once at once when they hear it, since relays may be cut
	// off alone; more of them try within firstTry, so that they do not all come at the
	// same moment. It is short: the copy may be 0.6 of the time old in which a configuration
	// must be in force.
	fewSharing = 16
	firstTry   = 200 * time.Millisecond
	// manyRelays are never cut off all at once while the store serves others, standbys
	// included: then the first try is as rare as the next ones. Of eight, each turned away
	// with a chance of a third, all are so once in 6,500 outages.
	manyRelays = 8
)

// restraint decides when a daemon may ask the store itself. Its owner guards it; the
// zero value lets it ask.
type restraint struct {
	// failedAt is when the store last failed a call, directAt when it was last asked.
	failedAt time.Time
	directAt time.Time
	// noCopyAt is when a relay last said that it has no copy. Meanwhile the store may be
	// asked from nextTry on, zero: not drawn yet, until a call fails: isOpen tells that
	// none has. A feed that waits for changes has not failed, so the other tables need
	// not wait for its end. tryAgain is the time from a failed call to the next one.
	noCopyAt time.Time
	nextTry  time.Time
	tryAgain time.Duration
	isOpen   bool
}

// surroundings is what restraint goes by.
type surroundings struct {
	// isLimited tells that the age of the table is bounded.
	isLimited bool
	// relays and standbys are how many of them the daemon has, sharing how many daemons
	// would ask the store like this one where these have no copy.
	relays   int
	standbys int
	sharing  int
}

// gap returns the time between two calls of a daemon while the store fails.
func (s surroundings) gap() time.Duration {
	gap := gapOther
	if s.isLimited {
		gap = gapLimited
	}
	if s.relays > 0 {
		gap *= behind
	}
	return gap
}

// mayAsk tells whether the store may be asked now, and notes that it is.
func (r *restraint) mayAsk(now time.Time, around surroundings) bool {
	if !r.isTime(now, around) {
		return false
	}
	r.directAt = now
	return true
}

// isTime tells whether it is time to ask the store.
func (r *restraint) isTime(now time.Time, around surroundings) bool {
	if r.lacksCopies(now) {
		return r.isTurn(now, around)
	}
	return now.Sub(r.failedAt) >= failedFor || now.Sub(r.directAt) >= around.gap()
}

// isTurn tells whether it is this daemon's turn while relays have no copy.
func (r *restraint) isTurn(now time.Time, around surroundings) bool {
	// One schedule for all tables: that of those whose age is bounded.
	r.tryAgain = max(behind*gapLimited, time.Duration(around.sharing)*sharedGap)
	if r.nextTry.IsZero() {
		r.nextTry = now.Add(around.firstWait(r.tryAgain))
	}
	r.isOpen = r.isOpen || !now.Before(r.nextTry)
	return r.isOpen
}

// firstWait draws how long the first try is put off.
func (s surroundings) firstWait(shared time.Duration) time.Duration {
	switch {
	case s.sharing <= fewSharing:
		return 0
	case s.relays+s.standbys >= manyRelays:
		return rand.N(shared)
	default:
		return rand.N(firstTry)
	}
}

// lacksCopies tells whether a relay answered lately that it has no copy.
func (r *restraint) lacksCopies(now time.Time) bool {
	return now.Sub(r.noCopyAt) < noCopyFor
}

// observeNoCopy records that a relay has no copy.
func (r *restraint) observeNoCopy(now time.Time) {
	if !r.lacksCopies(now) {
		r.nextTry = time.Time{}
		r.isOpen = false
	}
	r.noCopyAt = now
}

// answered notes that the store answered: calls for other tables that failed meanwhile
// were not the store's fault.
func (r *restraint) answered() {
	r.failedAt = time.Time{}
	r.isOpen = true
}

// failed notes that the store failed a call.
func (r *restraint) failed(now time.Time) {
	r.failedAt = now
	r.isOpen = false
	r.nextTry = now.Add(r.tryAgain)
}

// hasFailed tells whether the store failed lately.
func (r *restraint) hasFailed(now time.Time) bool {
	return now.Sub(r.failedAt) < failedFor
}
