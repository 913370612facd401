package assembly_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
)

// With requests of the smaller model at 1.6 times its share, its six groups were full
// for 14 s while twelve servers were free.
func TestOverloadedModelGetsGroupsFromFreeServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newWarmFleet(6)
		s.setDemandPerGroup("large", 6)
		s.setDemandPerGroup("small", 26)
		runFor(s, c, false, 6*time.Second)
		qt.Assert(t, s.countServing("large"), qt.Equals, 6)
		qt.Assert(t, s.countServing("small") >= 9, qt.IsTrue, qt.Commentf("%d", s.countServing("small")))
		qt.Assert(t, s.violations, qt.HasLen, 0)
	})
}

func TestOverloadedModelTakesServersFromIdleModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newWarmFleet(6)
		for range 30 {
			s.setDemandPerGroup("small", 0)
			s.setDemandPerGroup("large", 26)
			runFor(s, c, false, time.Second)
		}
		qt.Assert(t, s.violations, qt.HasLen, 0)
		qt.Assert(t, s.countServing("large") > 7, qt.IsTrue, qt.Commentf("%d", s.countServing("large")))
		qt.Assert(t, s.countServing("small") >= 1, qt.IsTrue)
	})
}

// With shares of 0.3 and 0.7 but work of 0.6 and 0.4, groups of the smaller model that
// nobody needed were formed again and again of spares that the larger one lacked later:
// scale-1 of a deployment of our own earned 0.67, and 0.73 and 0.77 since.
func TestAllocationFollowsMeasuredDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newWarmFleet(6)
		runWithDemandFor(s, c, 20*time.Second, 4, 0.8)
		s.killMemberIn(c, "d0", "small")
		runWithDemandFor(s, c, 10*time.Second, 4, 0.8)
		// Four groups' work of the larger model keeps its six; the smaller one does not
		// get back what nobody asks for.
		qt.Assert(t, s.countServing("large") >= 6, qt.IsTrue, qt.Commentf("%d", s.countServing("large")))
		qt.Assert(t, s.countServing("small"), qt.Equals, 5)
		qt.Assert(t, s.violations, qt.HasLen, 0)
	})
}

// runWithDemandFor runs a fleet for a time while so many groups' work is asked of each model,
// and shared by its groups.
func runWithDemandFor(s *simFleet, c *assembly.Controller, duration time.Duration, large, small float64) {
	const capacity = 26
	s.setDemand("large", capacity*large)
	s.setDemand("small", capacity*small)
	runFor(s, c, false, duration)
}

func TestIdleFleetKeepsGroupsAndSpares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newWarmFleet(6)
		// Work in proportion to the shares.
		s.setDemandPerGroup("large", 9)
		s.setDemandPerGroup("small", 9)
		runFor(s, c, false, 30*time.Second)
		s.setDemandPerGroup("large", 0)
		s.setDemandPerGroup("small", 0)
		runFor(s, c, false, 60*time.Second)
		qt.Assert(t, s.countServing("large"), qt.Equals, 6)
		qt.Assert(t, s.countServing("small"), qt.Equals, 6)
		qt.Assert(t, s.orderCounts["close"], qt.Equals, 0)
	})
}

// Heads are looked at anyway; a sign of life from before a suspicion must not end it.
func TestProbeBeforeSuspicionDoesNotClearIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newWarmFleet(6)
		runFor(s, c, false, 3*time.Second)
		head := openHeadOf(s, "large")
		s.kill(head.id)
		c.Suspect(head.group, head.epoch, "")
		runFor(s, c, false, time.Second)
		qt.Assert(t, s.clearedCounts[head.group], qt.Equals, 0)
		_, isThere := s.records[head.group]
		qt.Assert(t, isThere && s.countServing("large") == 6, qt.IsFalse)
	})
}

// After an outage all callers come back at once and all groups are full, whose number
// then decided who was thought to need more: the smaller model's groups grew from 19 to
// 28 while four of twelve of the larger one were left. Free servers may be used, but no
// model grows at the cost of the other.
func TestNoModelLosesGroupsWhenAllModelsAreOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newWarmFleet(6)
		next := s.restartDaemons()
		for range 40 {
			s.setDemandPerGroup("large", 60)
			s.setDemandPerGroup("small", 60)
			runFor(s, next, false, 100*time.Millisecond)
			qt.Assert(t, s.countServing("large") >= 6, qt.IsTrue, qt.Commentf("%d", s.countServing("large")))
			qt.Assert(t, s.countServing("small") >= 6, qt.IsTrue, qt.Commentf("%d", s.countServing("small")))
		}
		qt.Assert(t, s.orderCounts["close"], qt.Equals, 0)
	})
}
