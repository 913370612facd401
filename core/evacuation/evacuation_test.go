package evacuation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/evacuation"
)

// within is the operator's bound in the tests.
const within = 5 * time.Second

// Daemons leave one after the other, the last of them well within the bound.
func TestDaemonsLeaveGraduallyWithinTheBound(t *testing.T) {
	known := time.Now()
	leaveAt := func(draw float64) time.Time {
		bound := evacuation.Bound{
			Within: within,
			Draw:   draw,
		}
		return bound.LeaveAt(known)
	}
	qt.Assert(t, leaveAt(0).After(known), qt.IsTrue)
	qt.Assert(t, leaveAt(1).Sub(leaveAt(0)) >= time.Second, qt.IsTrue)
	const slack = 1500 * time.Millisecond
	qt.Assert(t, leaveAt(1).Before(known.Add(within-slack)), qt.IsTrue)
}

// A daemon that starts does not know since when a zone is evacuated, and one without a bound
// has no time.
func TestZoneIsLeftAtOnceWhereTheTimeIsNotKnown(t *testing.T) {
	bound := evacuation.Bound{
		Within: within,
		Draw:   1,
	}
	var zones evacuation.Zones
	zones = zones.With("a", evacuation.Evacuation{
		LeaveAt: bound.LeaveAt(time.Time{}),
	})
	qt.Assert(t, zones.IsLeft("a", time.Now()), qt.IsTrue)
	now := time.Now()
	zones = zones.With("b", evacuation.Evacuation{
		LeaveAt: evacuation.Bound{}.LeaveAt(now),
	})
	qt.Assert(t, zones.IsLeft("b", now), qt.IsTrue)
	qt.Assert(t, zones.IsLeft("c", now), qt.IsFalse)
}

// A row that is removed and written again between two reads shows as one write: the daemon
// does not get more time by it.
func TestEvacuationThatIsWrittenAgainGivesNoMoreTime(t *testing.T) {
	now := time.Now()
	first := evacuation.Zones{}.With("a", evacuation.Evacuation{
		LeaveAt: now.Add(time.Second),
		Version: 7,
	})
	again := first.With("a", evacuation.Evacuation{
		LeaveAt: now.Add(time.Minute),
		Version: 9,
	})
	qt.Assert(t, again.IsLeft("a", now.Add(time.Second)), qt.IsTrue)
	one, ok := again.Of("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, one.Version, qt.Equals, int64(9))
	qt.Assert(t, first.Without("a").IsEmpty(), qt.IsTrue)
	qt.Assert(t, first.Names(), qt.DeepEquals, []string{"a"})
	qt.Assert(t, evacuation.Zones{}.Without("a").IsEmpty(), qt.IsTrue)
}
