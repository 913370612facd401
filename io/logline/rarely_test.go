package logline_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/io/logline"
)

// During an outage 295 daemons wrote 4,700 lines a second about calls that failed.
func TestFailedCallsAreWrittenRarelyAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rarely := logline.Rarely{
			Every: 5 * time.Second,
		}
		const failures = 90
		written, leftOut := 0, 0
		for range failures {
			mayWrite, left := rarely.Pass("op")
			if mayWrite {
				written++
				leftOut += left
			}
			time.Sleep(100 * time.Millisecond)
		}
		qt.Assert(t, written, qt.Equals, 2)
		qt.Assert(t, leftOut+rarely.End("op"), qt.Equals, failures-written)

		// The next outage is told at once, and so is that of another table.
		mayWrite, left := rarely.Pass("op")
		qt.Assert(t, mayWrite, qt.IsTrue)
		qt.Assert(t, left, qt.Equals, 0)
		mayWrite, _ = rarely.Pass("servers")
		qt.Assert(t, mayWrite, qt.IsTrue)
	})
}
