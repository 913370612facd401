package directive_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/boottime"
	"headcourse/core/directive"
)

// pause returns a directive with a pause.
func pause(duration time.Duration) directive.Directive {
	return directive.Directive{
		Pause: duration,
	}
}

func TestPauseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var registry directive.Registry
		qt.Assert(t, registry.RemainingPause("i-1"), qt.Equals, time.Duration(0))
		qt.Assert(t, registry.Record("i-1", pause(3*time.Second)).IsSet(), qt.IsTrue)
		time.Sleep(2900 * time.Millisecond)
		qt.Assert(t, registry.RemainingPause("i-1"), qt.Equals, 100*time.Millisecond)
		qt.Assert(t, registry.RemainingPause("i-2"), qt.Equals, time.Duration(0))
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, registry.RemainingPause("i-1"), qt.Equals, time.Duration(0))
		qt.Assert(t, registry.Record("i-1", pause(time.Second)).IsSet(), qt.IsTrue)
	})
}

// Each answer covers its own time, so a later, shorter pause does not end a longer one.
func TestLongestPauseHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var registry directive.Registry
		registry.Record("i-1", pause(3*time.Second))
		qt.Assert(t, registry.Record("i-1", pause(time.Second)).IsSet(), qt.IsFalse)
		qt.Assert(t, registry.RemainingPause("i-1"), qt.Equals, 3*time.Second)
		registry.Record("i-1", pause(5*time.Second))
		qt.Assert(t, registry.RemainingPause("i-1"), qt.Equals, 5*time.Second)
		registry.Record("i-1", directive.Directive{})
		qt.Assert(t, registry.RemainingPause("i-1"), qt.Equals, 5*time.Second)
	})
}

func TestPauseIsCappedAtMaxPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var registry directive.Registry
		registry.Record("i-1", pause(1<<62))
		qt.Assert(t, registry.RemainingPause("i-1"), qt.Equals, directive.MaxPause)
	})
}

// Time in which the VM is suspended counts towards the pause.
func TestPauseElapsesWhileTheVMIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		registry := directive.Registry{
			Clock: boottime.Clock{
				Suspended: func() time.Duration { return suspended },
			},
		}
		registry.Record("i-1", pause(10*time.Second))
		time.Sleep(time.Second)
		suspended = 4 * time.Second
		qt.Assert(t, registry.RemainingPause("i-1"), qt.Equals, 5*time.Second)
	})
}

// neverKnown reports every start as unknown.
func neverKnown(string) bool { return false }

// A drain has no end. The entry of a draining server may disappear and come back, for instance
// in an outage of the store, while the server still works.
func TestDrainOutlivesTheServersEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var registry directive.Registry
		drain := directive.Directive{
			IsDraining: true,
		}
		qt.Assert(t, registry.IsEmpty(), qt.IsTrue)
		qt.Assert(t, registry.Record("i-1@7", drain).IsSet(), qt.IsTrue)
		qt.Assert(t, registry.Record("i-1@7", drain).IsSet(), qt.IsFalse)
		qt.Assert(t, registry.IsExcluded("i-1@8"), qt.IsFalse)
		for range 3 {
			time.Sleep(directive.DrainRetention)
			registry.Sweep(func(start string) bool { return start == "i-1@7" })
			qt.Assert(t, registry.IsExcluded("i-1@7"), qt.IsTrue)
		}
		// A pause expires, but does not end a drain.
		registry.Record("i-1@7", pause(time.Second))
		time.Sleep(2 * time.Second)
		registry.Sweep(neverKnown)
		qt.Assert(t, registry.IsExcluded("i-1@7"), qt.IsTrue)
		qt.Assert(t, registry.RemainingPause("i-1@7"), qt.Equals, time.Duration(0))
		time.Sleep(directive.DrainRetention)
		registry.Sweep(neverKnown)
		qt.Assert(t, registry.IsEmpty(), qt.IsTrue)
	})
}

func TestSweepRemovesOnlyExpiredPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var registry directive.Registry
		registry.Record("i-1", pause(time.Second))
		registry.Record("i-2", pause(3*time.Second))
		time.Sleep(2 * time.Second)
		registry.Sweep(neverKnown)
		qt.Assert(t, registry.RemainingPause("i-2"), qt.Equals, time.Second)
		qt.Assert(t, registry.Record("i-2", pause(time.Second)).IsSet(), qt.IsFalse)
		qt.Assert(t, registry.Record("i-1", pause(time.Second)).IsSet(), qt.IsTrue)
	})
}

// A server restarted under its ID and requested a pause before its new entry was read, so the
// pause was recorded for the previous start. A drain of that start no longer applies.
func TestPauseCarriesOverToTheNextStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var registry directive.Registry
		registry.Record("i-1@7", pause(3*time.Second))
		registry.Record("i-1@7", directive.Directive{
			IsDraining: true,
		})
		registry.CarryPause("i-1@7", "i-1@9")
		qt.Assert(t, registry.RemainingPause("i-1@9"), qt.Equals, 3*time.Second)
		time.Sleep(3 * time.Second)
		qt.Assert(t, registry.IsExcluded("i-1@9"), qt.IsFalse)

		// A longer pause of the new start itself stays.
		registry.Record("i-2@9", pause(5*time.Second))
		registry.Record("i-2@7", pause(time.Second))
		registry.CarryPause("i-2@7", "i-2@9")
		qt.Assert(t, registry.RemainingPause("i-2@9"), qt.Equals, 5*time.Second)

		registry.CarryPause("i-3@7", "i-3@9")
		qt.Assert(t, registry.IsExcluded("i-3@9"), qt.IsFalse)
	})
}
