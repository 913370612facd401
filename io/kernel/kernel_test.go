package kernel_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/io/kernel"
)

func TestSuspendedTimeNeverDecreases(t *testing.T) {
	var clock kernel.SuspendClock
	previous := clock.Suspended()
	qt.Assert(t, previous >= 0, qt.IsTrue)
	for range 1000 {
		next := clock.Suspended()
		qt.Assert(t, next >= previous, qt.IsTrue)
		previous = next
	}
}

func BenchmarkSuspended(b *testing.B) {
	var clock kernel.SuspendClock
	for b.Loop() {
		clock.Suspended()
	}
}
