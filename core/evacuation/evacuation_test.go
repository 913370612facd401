package evacuation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/evacuation"
)

// within is the operator's bound in the tests.
const within = 5 * time.Second

// Daemons leave one after the other, and the last one leaves well before the bound.
func TestDaemonsLeaveZoneGraduallyWithinBound(t *testing.T) {
	lastOpenAt := time.Now()
	leaveAt := func(position float64) time.Time {
		schedule := evacuation.LeaveSchedule{
			Bound:    within,
			Position: position,
		}
		return schedule.LeaveAt(lastOpenAt)
	}
	qt.Assert(t, leaveAt(0).After(lastOpenAt), qt.IsTrue)
	qt.Assert(t, leaveAt(1).Sub(leaveAt(0)) >= time.Second, qt.IsTrue)
	const slack = 1500 * time.Millisecond
	qt.Assert(t, leaveAt(1).Before(lastOpenAt.Add(within-slack)), qt.IsTrue)
}

// For a starting daemon the start of an evacuation is unknown, and a bound of 0 leaves no
// time.
func TestZoneIsLeftAtOnceIfLastOpenTimeIsUnknown(t *testing.T) {
	schedule := evacuation.LeaveSchedule{
		Bound:    within,
		Position: 1,
	}
	var zones evacuation.Zones
	zones = zones.With("a", evacuation.Evacuation{
		LeaveAt: schedule.LeaveAt(time.Time{}),
	})
	qt.Assert(t, zones.HasLeft("a", time.Now()), qt.IsTrue)
	now := time.Now()
	zones = zones.With("b", evacuation.Evacuation{
		LeaveAt: evacuation.LeaveSchedule{}.LeaveAt(now),
	})
	qt.Assert(t, zones.HasLeft("b", now), qt.IsTrue)
	qt.Assert(t, zones.HasLeft("c", now), qt.IsFalse)
}

// Guards against a longer time until the zone is left if a row is removed and written again and
// the daemon observes only the second write.
func TestRewrittenEvacuationDoesNotExtendTime(t *testing.T) {
	now := time.Now()
	first := evacuation.Zones{}.With("a", evacuation.Evacuation{
		LeaveAt: now.Add(time.Second),
		Version: 7,
	})
	again := first.With("a", evacuation.Evacuation{
		LeaveAt: now.Add(time.Minute),
		Version: 9,
	})
	qt.Assert(t, again.HasLeft("a", now.Add(time.Second)), qt.IsTrue)
	entry, ok := again.Get("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, entry.Version, qt.Equals, int64(9))
	qt.Assert(t, first.Without("a").IsEmpty(), qt.IsTrue)
	qt.Assert(t, first.Names(), qt.DeepEquals, []string{"a"})
	qt.Assert(t, evacuation.Zones{}.Without("a").IsEmpty(), qt.IsTrue)
}
