package quarantine

import "time"

// evictOldest makes room in a full ledger. It evicts a digest that is not held, if there is one,
// and among these the one whose last change is longest ago. The mutex must be held.
func (l *Ledger) evictOldest() {
	if len(l.suspects) < maxSuspects {
		return
	}
	var oldest *suspect
	var oldestDigest Digest
	for digest, s := range l.suspects {
		if oldest == nil || s.isEvictedBefore(oldest) {
			oldest = s
			oldestDigest = digest
		}
	}
	l.remove(oldestDigest)
	if rows := oldest.storedRows(oldestDigest); rows.HasRows() {
		l.evicted = append(l.evicted, rows)
	}
}

// isEvictedBefore reports whether s is evicted before other.
func (s *suspect) isEvictedBefore(other *suspect) bool {
	if s.hasFailedTrial() != other.hasFailedTrial() {
		return !s.hasFailedTrial()
	}
	return s.lastChange.Before(other.lastChange)
}

// RemoveCrash applies the removal of a crash row from the store: another daemon observed that
// the request was answered, or an operator released it.
func (l *Ledger) RemoveCrash(crash Crash) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.suspects[crash.Digest]
	if s == nil {
		return
	}
	delete(s.crashes, crash.Start)
	l.removeIfEmpty(crash.Digest, s)
}

// RemoveTrial applies the removal of a request's trial row from the store.
func (l *Ledger) RemoveTrial(digest Digest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if s := l.suspects[digest]; s != nil {
		s.clearTrials()
		l.removeIfEmpty(digest, s)
	}
}

// removeIfEmpty discards a suspect without crashes and trials. The mutex must be held.
func (l *Ledger) removeIfEmpty(digest Digest, s *suspect) {
	if len(s.crashes) == 0 && !s.hasTrial() {
		l.remove(digest)
	}
}

// Reconcile applies a snapshot of the store's crashes and trials: it discards stored ones that
// are not in the snapshot. Crashes that have not been stored yet stay.
func (l *Ledger) Reconcile(crashes []Crash, trials []Digest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	type crashKey struct {
		digest Digest
		start  string
	}
	isStored, hasStoredTrial := map[crashKey]bool{}, map[Digest]bool{}
	for _, crash := range crashes {
		isStored[crashKey{
			digest: crash.Digest,
			start:  crash.Start,
		}] = true
	}
	for _, digest := range trials {
		hasStoredTrial[digest] = true
	}
	for digest, s := range l.suspects {
		for _, start := range s.storedRows(digest).Starts {
			if !isStored[crashKey{
				digest: digest,
				start:  start,
			}] {
				delete(s.crashes, start)
			}
		}
		if s.hasTrial() && !hasStoredTrial[digest] {
			s.clearTrials()
		}
		l.removeIfEmpty(digest, s)
	}
}

// Sweep discards requests that have been suspected or held for long enough. It returns their
// rows in the store, and those of requests evicted since the last call, so that the caller can
// remove them.
func (l *Ledger) Sweep() []StoredRows {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	removals := l.evicted
	l.evicted = nil
	for digest, s := range l.suspects {
		retention := suspicionTime
		if s.hasFailedTrial() {
			retention = MaxHoldTime
		}
		if time.Since(s.lastChange) <= retention {
			continue
		}
		l.remove(digest)
		if rows := s.storedRows(digest); rows.HasRows() {
			removals = append(removals, rows)
		}
	}
	return removals
}
