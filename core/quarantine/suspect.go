package quarantine

import (
	"maps"
	"slices"
	"time"

	"headcourse/core/rowstore"
)

// suspect is the state of one digest.
type suspect struct {
	// crashes holds the crashes by server start.
	crashes map[string]knownCrash
	// lastChange is when the last crash or trial was learnt.
	lastChange time.Time
	// lastTrial is the number of the last trial, trialRevision the revision of its row, and
	// trialLearnedAt when it was learnt. failedTrial is the number of the last trial under
	// which a server crashed, failedStart that server's start, and trialFailedAt when it was learnt.
	lastTrial      int
	trialRevision  rowstore.Revision
	trialLearnedAt time.Time
	failedTrial    int
	failedStart    string
	trialFailedAt  time.Time
}

// knownCrash records when a crash was learnt by the first daemon, and whether the store has a row of it. sentAt
// is when the last request with the digest was sent to the server.
type knownCrash struct {
	learnedAt time.Time
	sentAt    time.Time
	isStored  bool
}

// crashedBeforeTrial reports whether a start's crash was known before the last trial began.
func (s *suspect) crashedBeforeTrial(start string) bool {
	known, ok := s.crashes[start]
	return ok && known.learnedAt.Before(s.trialLearnedAt)
}

// hasTrial reports whether the store has a row of a trial.
func (s *suspect) hasTrial() bool {
	return s.trialRevision != rowstore.Revision{}
}

// hasFailedTrial reports whether a server crashed under the last trial. The rows of the crash and
// of the trial may be read in any order.
func (s *suspect) hasFailedTrial() bool {
	return s.failedTrial > 0 && s.failedTrial >= s.lastTrial
}

// addCrash adds a crash. It reports whether the start is new, and whether a trial failed by it.
func (s *suspect) addCrash(crash Crash, isStored bool, learnedAt time.Time) (isNew, isFailure bool) {
	known, wasKnown := s.crashes[crash.Start]
	if !wasKnown {
		known.learnedAt = learnedAt
	}
	known.isStored = known.isStored || isStored
	if sentAt := learnedAt.Add(-crash.Duration); sentAt.After(known.sentAt) {
		known.sentAt = sentAt
	}
	s.crashes[crash.Start] = known
	if crash.Trial <= s.failedTrial {
		return !wasKnown, false
	}
	s.failedTrial = crash.Trial
	s.failedStart = crash.Start
	s.trialFailedAt = learnedAt
	return !wasKnown, true
}

// nextTrial returns the next trial of the digest.
func (s *suspect) nextTrial(digest Digest) Trial {
	return Trial{
		Digest:           digest,
		Number:           max(s.lastTrial, s.failedTrial) + 1,
		PreviousRevision: s.trialRevision,
	}
}

// nextTrialAt returns when the next trial of the digest may begin. isExcused is set if a trial
// failed because of another part, so that it shows nothing.
func (s *suspect) nextTrialAt(digest Digest, isExcused bool) time.Time {
	switch {
	case s.hasFailedTrial() && isExcused:
		return s.lastChange.Add(trialTimeout)
	case s.hasFailedTrial():
		return s.lastChange.Add(digest.holdTime(s.failedTrial))
	case !s.hasTrial() && digest.Kind() == Part:
		return s.lastChange.Add(quietTime)
	case !s.hasTrial():
		return time.Time{}
	case s.lastTrial >= maxTrials:
		return s.lastChange.Add(suspicionTime)
	default:
		return s.trialLearnedAt.Add(trialTimeout)
	}
}

// clearBefore discards the crashes, and the result of a trial, that were learnt before a moment. It
// returns the rows of these in the store.
func (s *suspect) clearBefore(digest Digest, moment time.Time) StoredRows {
	rows := StoredRows{
		Digest: digest,
	}
	for _, start := range slices.Sorted(maps.Keys(s.crashes)) {
		known := s.crashes[start]
		if !known.learnedAt.Before(moment) {
			continue
		}
		if known.isStored {
			rows.Starts = append(rows.Starts, start)
		}
		delete(s.crashes, start)
	}
	if len(s.crashes) == 0 || (s.failedTrial > 0 && s.trialFailedAt.Before(moment)) {
		rows.HasTrial = s.hasTrial()
		s.clearTrials()
	}
	return rows
}

// clearTrials discards the trials and their results.
func (s *suspect) clearTrials() {
	s.lastTrial = 0
	s.trialRevision = rowstore.Revision{}
	s.failedTrial = 0
}

// storedRows returns the suspect's rows in the store, ordered by start.
func (s *suspect) storedRows(digest Digest) StoredRows {
	rows := StoredRows{
		Digest:   digest,
		HasTrial: s.hasTrial(),
	}
	for _, start := range slices.Sorted(maps.Keys(s.crashes)) {
		if s.crashes[start].isStored {
			rows.Starts = append(rows.Starts, start)
		}
	}
	return rows
}
