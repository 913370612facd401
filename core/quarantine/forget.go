package quarantine

import (
	"time"

	"headcourse/core/rowstore"
)

// makeRoom forgets the digest under which a server ended longest ago, of those that are
// not held first, where there are too many. The mutex is held.
func (l *Ledger) makeRoom() {
	if len(l.suspects) < mostSuspects {
		return
	}
	var oldest *suspect
	var chosen Digest
	for digest, one := range l.suspects {
		if oldest == nil || one.isBefore(oldest) {
			oldest = one
			chosen = digest
		}
	}
	delete(l.suspects, chosen)
	if cleared := oldest.told(chosen); cleared.IsAny() {
		l.dropped = append(l.dropped, cleared)
	}
}

// isBefore tells whether a suspect is forgotten before another.
func (s *suspect) isBefore(other *suspect) bool {
	if s.hasFailed() != other.hasFailed() {
		return !s.hasFailed()
	}
	return s.last.Before(other.last)
}

// Removed notes that the store does not tell of an end any more: a daemon knows better, or
// an operator has released the request.
func (l *Ledger) Removed(end End) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	one := l.suspects[end.Digest]
	if one == nil {
		return
	}
	delete(one.ends, end.Start)
	l.dropIfEmpty(end.Digest, one)
}

// RemovedTrial notes that the store does not tell of a request's trials any more.
func (l *Ledger) RemovedTrial(digest Digest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if one := l.suspects[digest]; one != nil {
		one.forgetTrials()
		l.dropIfEmpty(digest, one)
	}
}

// forgetTrials forgets the trials and how they ended.
func (s *suspect) forgetTrials() {
	s.trials = 0
	s.at = rowstore.Revision{}
	s.failed = 0
}

// dropIfEmpty forgets a suspect of which nothing is known any more. The mutex is held.
func (l *Ledger) dropIfEmpty(digest Digest, one *suspect) {
	if len(one.ends) == 0 && !one.hasTrial() {
		delete(l.suspects, digest)
	}
}

// Keep forgets what the store had told, but for the ends and the trials that it tells of
// now. Ends that it was not told of yet stay.
func (l *Ledger) Keep(ends []End, trials []Digest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	type place struct {
		digest Digest
		start  string
	}
	isTold, isTried := map[place]bool{}, map[Digest]bool{}
	for _, end := range ends {
		isTold[place{
			digest: end.Digest,
			start:  end.Start,
		}] = true
	}
	for _, digest := range trials {
		isTried[digest] = true
	}
	for digest, one := range l.suspects {
		for _, start := range one.told(digest).Starts {
			if !isTold[place{
				digest: digest,
				start:  start,
			}] {
				delete(one.ends, start)
			}
		}
		if one.hasTrial() && !isTried[digest] {
			one.forgetTrials()
		}
		l.dropIfEmpty(digest, one)
	}
}

// Sweep forgets requests that have been suspected or held for long enough, and returns
// what the store tells of them, and of those that were forgotten for want of room since.
func (l *Ledger) Sweep() []Cleared {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	old := l.dropped
	l.dropped = nil
	for digest, one := range l.suspects {
		limit := suspectFor
		if one.hasFailed() {
			limit = HeldFor
		}
		if time.Since(one.last) <= limit {
			continue
		}
		delete(l.suspects, digest)
		if cleared := one.told(digest); cleared.IsAny() {
			old = append(old, cleared)
		}
	}
	return old
}
