// Package quarantine decides which requests may be sent to backend servers, where servers
// end under them.
//
// A request may crash each server that begins to run it, and its client sends it again
// under a new id to any daemon. What its repeats share is a Digest. The Ledger of a daemon
// notes which starts of servers ended while a request with a digest was under way: of this
// daemon's own, and, by the store, of all others'.
//
// Requests that merely ran beside one that crashes a server end with it and look the same
// at first, most of all those whose content many callers share. They are told apart by
// their answers: a request that crashes each server is never answered whole. So one that
// was is not suspected, whatever ends under it; and one that is suspected gets a trial, as
// a circuit breaker that is half open: one send at a time, agreed by all daemons. It is
// cleared if that is answered, and held if that server ends too.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"headcourse/core/rowstore"
)

// Figures of a ledger.
const (
	// suspectedFrom is how many starts of servers may end under a request before it is
	// sent only on trial. One costs a group and all that runs in it, some 30 requests;
	// but one alone happens to 30 requests for each that crashes a server.
	suspectedFrom = 2
	// endsCounted is how many servers may end under a request before each further send
	// counts, by the users' rule.
	endsCounted = 3
	// mostTrials bounds the trials of a request: the users allow it three more sends when
	// three servers have ended under it.
	mostTrials = 3
	// trialTime is how long a trial may take before the next one, where nothing is known
	// of its end: a stream's whole length.
	trialTime = 2 * time.Second
	// HeldFor is how long a request is held after a server ended under its last trial,
	// suspectFor how long an end counts without one.
	HeldFor    = 24 * time.Hour
	suspectFor = 10 * time.Minute
	// mostSuspects bounds the digests that are noted, held ones included: 1.7 MB of heap
	// with two ends each. It takes the end of a server to add some, 30 to 80 with each.
	mostSuspects = 4096
)

// pauses are how long a request is held after a failed trial, by its number: a server may
// have ended for another reason during the trial.
var pauses = [mostTrials]time.Duration{10 * time.Minute, time.Hour, HeldFor}

// End is the end of one start of a backend server while a request with the digest was
// under way there.
type End struct {
	Digest Digest
	Start  string
	// Trial is the number of the trial that the request was on there; 0: none.
	Trial int
}

// Cleared is what the store tells of a request and is to be removed there.
type Cleared struct {
	Digest   Digest
	Starts   []string
	HasTrial bool
}

// IsAny tells whether there is anything to be removed.
func (c Cleared) IsAny() bool {
	return len(c.Starts) > 0 || c.HasTrial
}

// Trial is one send of a suspected request. All daemons agree on it by a row of the store:
// After is the revision of the row of the trial before, zero where there was none.
type Trial struct {
	Digest Digest
	Number int
	After  rowstore.Revision
}

// Step is what may be done with a request.
type Step int

// The steps: Send it; Try it, if the other daemons agree; Hold it back.
const (
	Send Step = iota
	Try
	Hold
)

// Decision is what may be done with a request. Trial is set where it may be tried, and
// Pause tells for how long it is held back.
type Decision struct {
	Step  Step
	Trial Trial
	Pause time.Duration
}

// suspect is what is known of one digest.
type suspect struct {
	// ends has the ends, by the starts of servers.
	ends map[string]endKnown
	// last is when an end or a trial became known last.
	last time.Time
	// trials is the number of the last trial, at its row's revision, triedAt when it became
	// known; failed is the number of the last one under which a server ended.
	trials  int
	at      rowstore.Revision
	triedAt time.Time
	failed  int
}

// endKnown is when the end of a start became known, and whether the store has told of it.
type endKnown struct {
	at     time.Time
	isTold bool
}

// endedBeforeTrial tells whether a start's end was known before the last trial began.
func (s *suspect) endedBeforeTrial(start string) bool {
	known, ok := s.ends[start]
	return ok && known.at.Before(s.triedAt)
}

// hasTrial tells whether the store tells of a trial.
func (s *suspect) hasTrial() bool {
	return s.at != rowstore.Revision{}
}

// hasFailed tells whether a server ended under the last trial. Words of both may come in
// any order.
func (s *suspect) hasFailed() bool {
	return s.failed > 0 && s.failed >= s.trials
}

// decide returns what may be done with the request.
func (s *suspect) decide(digest Digest, now time.Time) Decision {
	if len(s.ends) < suspectedFrom {
		return Decision{}
	}
	pause := s.nextTrial().Sub(now)
	if pause > 0 {
		return Decision{
			Step:  Hold,
			Pause: pause,
		}
	}
	return Decision{
		Step: Try,
		Trial: Trial{
			Digest: digest,
			Number: max(s.trials, s.failed) + 1,
			After:  s.at,
		},
	}
}

// nextTrial returns when the next trial may begin.
func (s *suspect) nextTrial() time.Time {
	switch {
	case s.hasFailed():
		return s.last.Add(pauses[min(s.failed, mostTrials)-1])
	case s.trials == 0:
		return time.Time{}
	case s.trials >= mostTrials:
		return s.last.Add(suspectFor)
	default:
		return s.triedAt.Add(trialTime)
	}
}

// Ledger knows under which requests servers have ended. The zero value works and is safe
// for concurrent use.
type Ledger struct {
	mutex    sync.Mutex
	suspects map[Digest]*suspect
	answered memory
	onHeld   func(Digest)
	// dropped were forgotten for want of room, and the store still tells of them.
	dropped []Cleared
}

// Listen has held called for each request under whose trial a server ended.
func (l *Ledger) Listen(held func(Digest)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.onHeld = held
}

// Note notes an end that this daemon saw, and tells whether others must be told: it is
// new, and the request was not answered whole lately.
func (l *Ledger) Note(end End) bool {
	const isTold = false
	return l.add(end, isTold) == isNew
}

// Told notes an end that the store tells of. It returns false where this daemon knows
// better, since the request was answered whole lately: then the others must be told.
func (l *Ledger) Told(end End) bool {
	const isTold = true
	return l.add(end, isTold) != isCleared
}

// added is what became of an end.
type added int

const (
	isNew added = iota
	isKnown
	isCleared
)

// add adds an end.
func (l *Ledger) add(end End, isTold bool) added {
	l.mutex.Lock()
	now := time.Now()
	if l.answered.has(end.Digest, now) {
		l.mutex.Unlock()
		return isCleared
	}
	one := l.suspect(end.Digest)
	if !isTold && end.Trial > 0 && one.endedBeforeTrial(end.Start) {
		// The trial went to a server that had ended, but for its entry: it tells nothing of
		// the request, which was held for minutes by it. Others are not told.
		l.mutex.Unlock()
		return isKnown
	}
	known, wasThere := one.ends[end.Start]
	if !wasThere {
		known.at = now
	}
	known.isTold = known.isTold || isTold
	one.ends[end.Start] = known
	one.last = now
	isHeldNow := end.Trial > one.failed
	one.failed = max(one.failed, end.Trial)
	onHeld := l.onHeld
	l.mutex.Unlock()
	if isHeldNow && onHeld != nil {
		onHeld(end.Digest)
	}
	if wasThere && !isHeldNow {
		return isKnown
	}
	return isNew
}

// suspect returns what is known of a digest, noting it if it is new. The mutex is held.
func (l *Ledger) suspect(digest Digest) *suspect {
	one := l.suspects[digest]
	if one != nil {
		return one
	}
	if l.suspects == nil {
		l.suspects = map[Digest]*suspect{}
	}
	l.makeRoom()
	one = &suspect{
		ends: map[string]endKnown{},
		last: time.Now(),
	}
	l.suspects[digest] = one
	return one
}

// Tried notes a trial, of this daemon or, by the store, of another, with the revision of
// its row. Like Told, it returns false where this daemon knows better.
func (l *Ledger) Tried(trial Trial, at rowstore.Revision) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.answered.has(trial.Digest, time.Now()) {
		return false
	}
	one := l.suspect(trial.Digest)
	if at.Compare(one.at) > 0 {
		one.at = at
		one.trials = trial.Number
		one.triedAt = time.Now()
		one.last = one.triedAt
	}
	return true
}

// Answered notes that a server answered a request whole and lives, which clears it. It
// returns what the store tells of it.
func (l *Ledger) Answered(digest Digest) Cleared {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answered.add(digest, time.Now())
	one := l.suspects[digest]
	if one == nil {
		return Cleared{}
	}
	delete(l.suspects, digest)
	return one.told(digest)
}

// told returns what the store tells of the suspect, in the order of the starts.
func (s *suspect) told(digest Digest) Cleared {
	cleared := Cleared{
		Digest:   digest,
		HasTrial: s.hasTrial(),
	}
	for _, start := range slices.Sorted(maps.Keys(s.ends)) {
		if s.ends[start].isTold {
			cleared.Starts = append(cleared.Starts, start)
		}
	}
	return cleared
}

// Decide returns what may be done with a request, right before it would be sent.
func (l *Ledger) Decide(digest Digest) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	one := l.suspects[digest]
	if one == nil {
		return Decision{}
	}
	return one.decide(digest, time.Now())
}

// MayGoOn tells whether a request that is on trial may be sent to another server, since
// nothing is known of the first: it was full or stood still. Once as many servers have ended
// under it as the rule on retries speaks of, each send counts.
func (l *Ledger) MayGoOn(digest Digest, trial int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	one := l.suspects[digest]
	return one == nil || (one.trials == trial && one.failed < trial && len(one.ends) < endsCounted)
}

// Ends returns the starts of servers that ended under a request, in order.
func (l *Ledger) Ends(digest Digest) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	one := l.suspects[digest]
	if one == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(one.ends))
}

// Counts returns how many requests servers ended under, and how many of these are held
// after a trial.
func (l *Ledger) Counts() (suspected, held int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, one := range l.suspects {
		if one.hasFailed() {
			held++
		}
	}
	return len(l.suspects), held
}
