package urgency_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/urgency"
)

func TestPartYieldsWhileRequestsAreLate(t *testing.T) {
	var overload urgency.Overload
	qt.Assert(t, overload.Part("engines/large"), qt.Equals, 0.0)
	for range 20 {
		overload.Note("engines/large", false)
	}
	part := overload.Part("engines/large")
	qt.Assert(t, part > 0.5 && part < 1, qt.IsTrue, qt.Commentf("%v", part))
	// Other kinds have an overload of their own.
	qt.Assert(t, overload.Part("engines/small"), qt.Equals, 0.0)
	for range 100 {
		overload.Note("engines/large", true)
	}
	qt.Assert(t, overload.Part("engines/large"), qt.Equals, 0.0)
}

func TestFewLateRequestsLetNoneYield(t *testing.T) {
	var overload urgency.Overload
	for i := range 200 {
		overload.Note("engines/large", i%20 != 0)
	}
	qt.Assert(t, overload.Part("engines/large") < 0.1, qt.IsTrue)
}

// An engine that serves 10 requests a second in time is sent 15: while a part
// yields, most of the others are in time.
func TestOthersAreInTimeWhileAPartYields(t *testing.T) {
	const served, sent = 10, 15
	var overload urgency.Overload
	inTime, late := 0, 0
	for second := range 60 {
		part := overload.Part("engines/large")
		urgent := int(float64(sent) * (1 - part))
		for i := range urgent {
			isInTime := i < served && urgent <= served+1
			overload.Note("engines/large", isInTime)
			if second >= 30 && isInTime {
				inTime++
			} else if second >= 30 {
				late++
			}
		}
	}
	qt.Assert(t, inTime > 3*late, qt.IsTrue, qt.Commentf("%d in time, %d late", inTime, late))
}

func TestGoalOfNothingIsMet(t *testing.T) {
	asked := time.Now()
	qt.Assert(t, urgency.InTime(asked, asked.Add(time.Hour), 0), qt.IsTrue)
	qt.Assert(t, urgency.InTime(asked, asked.Add(300*time.Millisecond), 300*time.Millisecond), qt.IsTrue)
	qt.Assert(t, urgency.InTime(asked, asked.Add(301*time.Millisecond), 300*time.Millisecond), qt.IsFalse)
}
