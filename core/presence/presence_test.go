package presence_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/presence"
)

// completeEvidence returns evidence, observed now, of a whole group at a generation.
func completeEvidence(generation uint64) presence.Evidence {
	return presence.Evidence{
		Group:      "g",
		Generation: generation,
		IsWhole:    true,
		ObservedAt: time.Now(),
	}
}

func TestEvidenceOfOtherGenerationIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Assert(t, completeEvidence(2).IsFresh(2, time.Now()), qt.IsTrue)
		qt.Assert(t, completeEvidence(1).IsFresh(2, time.Now()), qt.IsFalse)
		qt.Assert(t, completeEvidence(3).IsFresh(2, time.Now()), qt.IsFalse)
	})
}

func TestEvidenceOlderThanMaxAgeIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		evidence := completeEvidence(1)
		time.Sleep(presence.MaxAge)
		qt.Assert(t, evidence.IsFresh(1, time.Now()), qt.IsTrue)
		time.Sleep(time.Millisecond)
		qt.Assert(t, evidence.IsFresh(1, time.Now()), qt.IsFalse)
	})
}

func TestOlderEvidenceDoesNotReplaceNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := completeEvidence(1)
		time.Sleep(time.Second)
		incomplete := presence.Evidence{
			Group:      "g",
			Generation: 1,
			ObservedAt: time.Now(),
		}
		evidenceSet := presence.EvidenceSet{}.WithEvidence(incomplete).WithEvidence(early)
		newest, ok := evidenceSet.Newest("g")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, newest.IsWhole, qt.IsFalse)
		newest, _ = evidenceSet.WithEvidence(completeEvidence(2)).Newest("g")
		qt.Assert(t, newest.Generation, qt.Equals, uint64(2))
	})
}
