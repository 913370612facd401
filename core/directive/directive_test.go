package directive_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/boottime"
	"headcourse/core/directive"
)

// pause returns a directive that asks for a pause.
func pause(length time.Duration) directive.Directive {
	return directive.Directive{
		Pause: length,
	}
}

func TestPauseIsOverWhenItsTimeIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book directive.Book
		qt.Assert(t, book.PauseLeft("i-1"), qt.Equals, time.Duration(0))
		qt.Assert(t, book.Note("i-1", pause(3*time.Second)).IsAny(), qt.IsTrue)
		time.Sleep(2900 * time.Millisecond)
		qt.Assert(t, book.PauseLeft("i-1"), qt.Equals, 100*time.Millisecond)
		qt.Assert(t, book.PauseLeft("i-2"), qt.Equals, time.Duration(0))
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, book.PauseLeft("i-1"), qt.Equals, time.Duration(0))
		qt.Assert(t, book.Note("i-1", pause(time.Second)).IsAny(), qt.IsTrue)
	})
}

// Each answer was given for its own time, so a later, shorter word ends none.
func TestPauseThatEndsLastHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book directive.Book
		book.Note("i-1", pause(3*time.Second))
		qt.Assert(t, book.Note("i-1", pause(time.Second)).IsAny(), qt.IsFalse)
		qt.Assert(t, book.PauseLeft("i-1"), qt.Equals, 3*time.Second)
		book.Note("i-1", pause(5*time.Second))
		qt.Assert(t, book.PauseLeft("i-1"), qt.Equals, 5*time.Second)
		book.Note("i-1", directive.Directive{})
		qt.Assert(t, book.PauseLeft("i-1"), qt.Equals, 5*time.Second)
	})
}

func TestPauseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book directive.Book
		book.Note("i-1", pause(1<<62))
		qt.Assert(t, book.PauseLeft("i-1"), qt.Equals, directive.MaxPause)
	})
}

// A suspended machine wakes with the pause over for as long as it slept.
func TestPauseGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		book := directive.Book{
			Clock: boottime.Clock{
				Suspended: func() time.Duration { return suspended },
			},
		}
		book.Note("i-1", pause(10*time.Second))
		time.Sleep(time.Second)
		suspended = 4 * time.Second
		qt.Assert(t, book.PauseLeft("i-1"), qt.Equals, 5*time.Second)
	})
}

// nobody knows no start.
func nobody(string) bool { return false }

// A leave has no end: the entry of a server that leaves may go and come back, as it does
// when the store was away, while the server still works.
func TestLeaveIsKeptForLongAfterTheServerWasLastKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book directive.Book
		leave := directive.Directive{
			IsLeaving: true,
		}
		qt.Assert(t, book.IsEmpty(), qt.IsTrue)
		qt.Assert(t, book.Note("i-1@7", leave).IsAny(), qt.IsTrue)
		qt.Assert(t, book.Note("i-1@7", leave).IsAny(), qt.IsFalse)
		qt.Assert(t, book.Forbids("i-1@8"), qt.IsFalse)
		for range 3 {
			time.Sleep(directive.LeaveKept)
			book.Sweep(func(start string) bool { return start == "i-1@7" })
			qt.Assert(t, book.Forbids("i-1@7"), qt.IsTrue)
		}
		// Pauses end, but none ends a leave.
		book.Note("i-1@7", pause(time.Second))
		time.Sleep(2 * time.Second)
		book.Sweep(nobody)
		qt.Assert(t, book.Forbids("i-1@7"), qt.IsTrue)
		qt.Assert(t, book.PauseLeft("i-1@7"), qt.Equals, time.Duration(0))
		time.Sleep(directive.LeaveKept)
		book.Sweep(nobody)
		qt.Assert(t, book.IsEmpty(), qt.IsTrue)
	})
}

func TestSweepForgetsOnlyWhatIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book directive.Book
		book.Note("i-1", pause(time.Second))
		book.Note("i-2", pause(3*time.Second))
		time.Sleep(2 * time.Second)
		book.Sweep(nobody)
		qt.Assert(t, book.PauseLeft("i-2"), qt.Equals, time.Second)
		qt.Assert(t, book.Note("i-2", pause(time.Second)).IsAny(), qt.IsFalse)
		qt.Assert(t, book.Note("i-1", pause(time.Second)).IsAny(), qt.IsTrue)
	})
}

// A server started again under its ID and asked for a pause before its new entry was read:
// the word was kept for the start before. A leave of that one is void.
func TestPauseOutlivesAStartUnderTheSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book directive.Book
		book.Note("i-1@7", pause(3*time.Second))
		book.Note("i-1@7", directive.Directive{
			IsLeaving: true,
		})
		book.Restarted("i-1@7", "i-1@9")
		qt.Assert(t, book.PauseLeft("i-1@9"), qt.Equals, 3*time.Second)
		time.Sleep(3 * time.Second)
		qt.Assert(t, book.Forbids("i-1@9"), qt.IsFalse)

		// A longer word of the new start itself stays.
		book.Note("i-2@9", pause(5*time.Second))
		book.Note("i-2@7", pause(time.Second))
		book.Restarted("i-2@7", "i-2@9")
		qt.Assert(t, book.PauseLeft("i-2@9"), qt.Equals, 5*time.Second)

		book.Restarted("i-3@7", "i-3@9")
		qt.Assert(t, book.Forbids("i-3@9"), qt.IsFalse)
	})
}
