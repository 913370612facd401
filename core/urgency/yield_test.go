package urgency_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/urgency"
)

func TestYieldFractionFollowsLateRequests(t *testing.T) {
	var controller urgency.YieldController
	qt.Assert(t, controller.YieldFraction("engines/large"), qt.Equals, 0.0)
	for range 20 {
		controller.Record("engines/large", false)
	}
	fraction := controller.YieldFraction("engines/large")
	qt.Assert(t, fraction > 0.5 && fraction < 1, qt.IsTrue, qt.Commentf("%v", fraction))
	// Each kind has a yield fraction of its own.
	qt.Assert(t, controller.YieldFraction("engines/small"), qt.Equals, 0.0)
	for range 100 {
		controller.Record("engines/large", true)
	}
	qt.Assert(t, controller.YieldFraction("engines/large"), qt.Equals, 0.0)
}

func TestFewLateRequestsKeepTheYieldFractionLow(t *testing.T) {
	var controller urgency.YieldController
	for i := range 200 {
		controller.Record("engines/large", i%20 != 0)
	}
	qt.Assert(t, controller.YieldFraction("engines/large") < 0.1, qt.IsTrue)
}

// An engine that can serve 10 requests a second in time gets 15. While a fraction of them
// yields, most of the others are in time.
func TestMostRequestsMeetTheGoalWhileOthersYield(t *testing.T) {
	const served, sent = 10, 15
	var controller urgency.YieldController
	inTime, late := 0, 0
	for second := range 60 {
		fraction := controller.YieldFraction("engines/large")
		urgent := int(float64(sent) * (1 - fraction))
		for i := range urgent {
			isInTime := i < served && urgent <= served+1
			controller.Record("engines/large", isInTime)
			if second >= 30 && isInTime {
				inTime++
			} else if second >= 30 {
				late++
			}
		}
	}
	qt.Assert(t, inTime > 3*late, qt.IsTrue, qt.Commentf("%d in time, %d late", inTime, late))
}

func TestZeroGoalIsAlwaysMet(t *testing.T) {
	requestedAt := time.Now()
	qt.Assert(t, urgency.MeetsGoal(requestedAt, requestedAt.Add(time.Hour), 0), qt.IsTrue)
	qt.Assert(t, urgency.MeetsGoal(requestedAt, requestedAt.Add(300*time.Millisecond), 300*time.Millisecond), qt.IsTrue)
	qt.Assert(t, urgency.MeetsGoal(requestedAt, requestedAt.Add(301*time.Millisecond), 300*time.Millisecond), qt.IsFalse)
}
