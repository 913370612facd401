package boottime_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/boottime"
)

func TestClockIncludesSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		clock := boottime.Clock{
			Suspended: func() time.Duration { return suspended },
		}
		start := clock.Now()
		time.Sleep(time.Second)
		suspended += 7 * time.Second
		qt.Assert(t, clock.Since(start), qt.Equals, 8*time.Second)
		qt.Assert(t, clock.Until(start.Add(time.Minute)), qt.Equals, 52*time.Second)

		var plain boottime.Clock
		start = plain.Now()
		time.Sleep(time.Second)
		qt.Assert(t, plain.Since(start), qt.Equals, time.Second)
	})
}
