package quarantine

import "time"

// A part of a prompt may be in many requests at once, so that several servers crash under it
// within moments although another part or a power failure is the cause. What counts as evidence
// depends on whether the part was answered lately:
//
//   - If it was not, each crash counts.
//   - If it was, its next answer is awaited: a crash counts only if no request that was sent after
//     it was answered within AnswerWait, and only together with one of a request that was sent after
//     another crash. Servers that lose power together are no such sequence, unless there are many
//     and none of those that are left answers.
//
// Crashes do not count if a part with stronger evidence against it explains all of them, so that
// one harmful part does not hold the requests in flight beside it, or the parts that are in the
// same requests.

// AnswerWait is how long an answer that clears a part is awaited. It covers most whole answers.
const AnswerWait = time.Second

// maxUnorderedCrashes is the number of crashes that count even if they are no sequence. The
// requirements count each further send some time after that.
const maxUnorderedCrashes = 5

// sequenceMargin is how long after a crash a request must have been sent to count as sent after it.
// It covers the differences between the times at which reports of two crashes arrive.
const sequenceMargin = 500 * time.Millisecond

// countEvidence returns how many crashes count against a digest. The mutex must be held.
func (l *Ledger) countEvidence(digest Digest, s *suspect, now time.Time) int {
	if s.failedTrial > 0 {
		return len(s.crashes)
	}
	if len(s.crashes) < minCrashesForTrial {
		return 0
	}
	wasAnswered := l.answeredParts.contains(digest, now)
	if l.isExplained(digest, s, wasAnswered, now) {
		return 0
	}
	if !wasAnswered {
		return len(s.crashes)
	}
	return s.countUnanswered(now)
}

// countUnanswered returns how many crashes are older than AnswerWait, or 0 if they are few and none
// of the crashes is that of a request that was sent after the first of these.
func (s *suspect) countUnanswered(now time.Time) int {
	count := 0
	var firstCrashAt, lastSentAt time.Time
	for _, known := range s.crashes {
		if known.sentAt.After(lastSentAt) {
			lastSentAt = known.sentAt
		}
		if now.Sub(known.learnedAt) < AnswerWait {
			continue
		}
		if count == 0 || known.learnedAt.Before(firstCrashAt) {
			firstCrashAt = known.learnedAt
		}
		count++
	}
	isSequence := lastSentAt.Sub(firstCrashAt) >= sequenceMargin
	if !isSequence && count < maxUnorderedCrashes {
		return 0
	}
	return count
}

// isExplained reports whether another part has all crashes of a digest, and stronger evidence
// against it. A content is explained by a part whose trial failed. A part is explained only by one
// that was not answered lately while it was itself: a trial may fail by another request, and a
// part that many share must not explain the harmful one. The mutex must be held.
func (l *Ledger) isExplained(digest Digest, s *suspect, wasAnswered bool, now time.Time) bool {
	for otherDigest, other := range l.parts {
		if otherDigest == digest || !other.hasAllCrashesOf(s) {
			continue
		}
		isStronger := wasAnswered && !l.answeredParts.contains(otherDigest, now)
		if digest.Kind() == Content {
			isStronger = other.failedTrial > 0
		}
		if isStronger {
			return true
		}
	}
	return false
}

// nextTrialAt returns when the next trial of a digest may begin. The mutex must be held.
func (l *Ledger) nextTrialAt(digest Digest, s *suspect, now time.Time) time.Time {
	isExcused := digest.Kind() == Part && s.hasFailedTrial() && l.isFailureExplained(digest, s, now)
	return s.nextTrialAt(digest, isExcused)
}

// isFailureExplained reports whether the trial of another part failed by the same crash, with
// stronger evidence against that part. The mutex must be held.
func (l *Ledger) isFailureExplained(digest Digest, s *suspect, now time.Time) bool {
	for otherDigest, other := range l.parts {
		isSameCrash := otherDigest != digest && other.failedTrial > 0 && other.failedStart == s.failedStart
		if !isSameCrash || len(other.crashes) < len(s.crashes) {
			continue
		}
		isUnanswered := l.answeredParts.contains(digest, now) && !l.answeredParts.contains(otherDigest, now)
		if len(other.crashes) > len(s.crashes) || isUnanswered {
			return true
		}
	}
	return false
}

// hasAllCrashesOf reports whether each crash of another suspect is also one of this.
func (s *suspect) hasAllCrashesOf(other *suspect) bool {
	for start := range other.crashes {
		if _, ok := s.crashes[start]; !ok {
			return false
		}
	}
	return true
}

// AwaitsAnswer reports whether a crash under a part that was answered before is not written to the
// store yet, since a further answer may clear it.
func (l *Ledger) AwaitsAnswer(crash Crash) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.suspects[crash.Digest]
	if s == nil {
		return false
	}
	known, ok := s.crashes[crash.Start]
	return ok && !known.isStored && l.answeredParts.contains(crash.Digest, time.Now())
}
