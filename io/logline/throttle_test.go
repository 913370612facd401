package logline_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/io/logline"
)

// During an outage 295 daemons wrote 4,700 lines per second about failed calls.
func TestRepeatedLinesAreThrottledAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttle := logline.Rarely{
			Every: 5 * time.Second,
		}
		const failures = 90
		written, suppressed := 0, 0
		for range failures {
			mayWrite, newlySuppressed := throttle.Pass("op")
			if mayWrite {
				written++
				suppressed += newlySuppressed
			}
			time.Sleep(100 * time.Millisecond)
		}
		qt.Assert(t, written, qt.Equals, 2)
		qt.Assert(t, suppressed+throttle.End("op"), qt.Equals, failures-written)

		// The next outage is logged at once, and so is one of another table.
		mayWrite, newlySuppressed := throttle.Pass("op")
		qt.Assert(t, mayWrite, qt.IsTrue)
		qt.Assert(t, newlySuppressed, qt.Equals, 0)
		mayWrite, _ = throttle.Pass("servers")
		qt.Assert(t, mayWrite, qt.IsTrue)
	})
}
