package presence_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/presence"
)

// whole is evidence of a generation observed now.
func whole(generation uint64) presence.Evidence {
	return presence.Evidence{
		Group:      "g",
		Generation: generation,
		Whole:      true,
		At:         time.Now(),
	}
}

func TestEvidenceOfAnotherGenerationCountsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Assert(t, whole(2).Fresh(2, time.Now()), qt.IsTrue)
		qt.Assert(t, whole(1).Fresh(2, time.Now()), qt.IsFalse)
		qt.Assert(t, whole(3).Fresh(2, time.Now()), qt.IsFalse)
	})
}

func TestOldEvidenceCountsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := whole(1)
		time.Sleep(presence.MaxAge)
		qt.Assert(t, seen.Fresh(1, time.Now()), qt.IsTrue)
		time.Sleep(time.Millisecond)
		qt.Assert(t, seen.Fresh(1, time.Now()), qt.IsFalse)
	})
}

func TestLateEvidenceDoesNotReplaceNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := whole(1)
		time.Sleep(time.Second)
		against := presence.Evidence{
			Group:      "g",
			Generation: 1,
			At:         time.Now(),
		}
		book := presence.Book{}.WithEvidence(against).WithEvidence(early)
		newest, ok := book.Newest("g")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, newest.Whole, qt.IsFalse)
		newest, _ = book.WithEvidence(whole(2)).Newest("g")
		qt.Assert(t, newest.Generation, qt.Equals, uint64(2))
	})
}
