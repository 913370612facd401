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
		Whole:      true,
		At:         time.Now(),
	}
}

func TestEvidenceOfOtherGenerationIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Assert(t, completeEvidence(2).Fresh(2, time.Now()), qt.IsTrue)
		qt.Assert(t, completeEvidence(1).Fresh(2, time.Now()), qt.IsFalse)
		qt.Assert(t, completeEvidence(3).Fresh(2, time.Now()), qt.IsFalse)
	})
}

func TestEvidenceOlderThanMaxAgeIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		evidence := completeEvidence(1)
		time.Sleep(presence.MaxAge)
		qt.Assert(t, evidence.Fresh(1, time.Now()), qt.IsTrue)
		time.Sleep(time.Millisecond)
		qt.Assert(t, evidence.Fresh(1, time.Now()), qt.IsFalse)
	})
}

func TestOlderEvidenceDoesNotReplaceNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := completeEvidence(1)
		time.Sleep(time.Second)
		incomplete := presence.Evidence{
			Group:      "g",
			Generation: 1,
			At:         time.Now(),
		}
		book := presence.Book{}.WithEvidence(incomplete).WithEvidence(early)
		newest, ok := book.Newest("g")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, newest.Whole, qt.IsFalse)
		newest, _ = book.WithEvidence(completeEvidence(2)).Newest("g")
		qt.Assert(t, newest.Generation, qt.Equals, uint64(2))
	})
}
