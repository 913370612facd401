package ratelimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/ratelimit"
)

// Nine daemons that hear of a limit at every answer would write a row each time. What is known
// is told again only so often that the others see that it holds.
func TestOnlyNewsIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notices ratelimit.Notices
		none := ratelimit.Limit{}
		qt.Assert(t, notices.Wants(start, none), qt.IsFalse)
		qt.Assert(t, notices.Speak(start, ratelimit.Named(2)), qt.IsTrue)
		// The word is on its way.
		qt.Assert(t, notices.Wants(start, ratelimit.Named(2)), qt.IsFalse)
		qt.Assert(t, notices.Speak(start, ratelimit.Named(2)), qt.IsFalse)
		time.Sleep(2 * time.Second)
		qt.Assert(t, notices.Wants(start, ratelimit.Named(2)), qt.IsTrue)

		notices.Take(start, ratelimit.Named(2))
		qt.Assert(t, notices.Wants(start, ratelimit.Named(2)), qt.IsFalse)
		// Where a limit changes with each answer, one word of all daemons in a while will do.
		qt.Assert(t, notices.Wants(start, ratelimit.Named(1)), qt.IsFalse)
		time.Sleep(2 * time.Second)
		qt.Assert(t, notices.Wants(start, ratelimit.Named(2.1)), qt.IsFalse)
		qt.Assert(t, notices.Wants(start, ratelimit.Named(1)), qt.IsTrue)
		qt.Assert(t, notices.Wants(start, ratelimit.Named(3)), qt.IsTrue)
		qt.Assert(t, notices.Wants(start, none), qt.IsTrue)
		time.Sleep(15 * time.Second)
		qt.Assert(t, notices.Wants(start, ratelimit.Named(2)), qt.IsTrue)

		qt.Assert(t, notices.Speak(start, none), qt.IsTrue)
		notices.Remove(start)
		time.Sleep(2 * time.Second)
		notices.Sweep()
		qt.Assert(t, notices.Wants(start, none), qt.IsFalse)
		qt.Assert(t, notices.Wants(start, ratelimit.Named(2)), qt.IsTrue)
	})
}

func TestNoticesThatAreNotInTheTableOrOldAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notices ratelimit.Notices
		notices.Take("i-1", ratelimit.Named(2))
		time.Sleep(9 * time.Minute)
		notices.Take("i-2", ratelimit.Named(2))
		qt.Assert(t, notices.Others(map[string]bool{"i-2": true}), qt.DeepEquals, []string{"i-1"})
		qt.Assert(t, notices.Old(), qt.HasLen, 0)
		time.Sleep(2 * time.Minute)
		qt.Assert(t, notices.Old(), qt.DeepEquals, []string{"i-1"})
	})
}
