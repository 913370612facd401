package kernel_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/io/kernel"
)

func TestSuspendedTimeNeverDecreases(t *testing.T) {
	var sleep kernel.Sleep
	former := sleep.Suspended()
	qt.Assert(t, former >= 0, qt.IsTrue)
	for range 1000 {
		next := sleep.Suspended()
		qt.Assert(t, next >= former, qt.IsTrue)
		former = next
	}
}

func BenchmarkSuspended(b *testing.B) {
	var sleep kernel.Sleep
	for b.Loop() {
		sleep.Suspended()
	}
}
