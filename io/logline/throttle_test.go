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
		throttle := logline.Throttle{
			Interval: 5 * time.Second,
		}
		const failures = 90
		written, suppressed := 0, 0
		for range failures {
			mayWrite, newlySuppressed := throttle.Allow("op")
			if mayWrite {
				written++
				suppressed += newlySuppressed
			}
			time.Sleep(100 * time.Millisecond)
		}
		qt.Assert(t, written, qt.Equals, 2)
		qt.Assert(t, suppressed+throttle.Reset("op"), qt.Equals, failures-written)

		// The next outage is logged at once, and so is one of another table.
		mayWrite, newlySuppressed := throttle.Allow("op")
		qt.Assert(t, mayWrite, qt.IsTrue)
		qt.Assert(t, newlySuppressed, qt.Equals, 0)
		mayWrite, _ = throttle.Allow("servers")
		qt.Assert(t, mayWrite, qt.IsTrue)
	})
}
