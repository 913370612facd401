package urgency_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/urgency"
)

func TestClientThatWillWaitLessHasBeenWaiting(t *testing.T) {
	var patience urgency.Patience
	qt.Assert(t, patience.Waited("plans", 6*time.Second), qt.Equals, time.Duration(0))
	qt.Assert(t, patience.Waited("plans", 4500*time.Millisecond), qt.Equals, 1500*time.Millisecond)
	qt.Assert(t, patience.Waited("plans", 6*time.Second), qt.Equals, time.Duration(0))
	// Clients of another route have their own patience.
	qt.Assert(t, patience.Waited("meters", time.Second), qt.Equals, time.Duration(0))
}

func TestLongerPatienceIsLearned(t *testing.T) {
	var patience urgency.Patience
	patience.Waited("plans", 2*time.Second)
	qt.Assert(t, patience.Waited("plans", 8*time.Second), qt.Equals, time.Duration(0))
	qt.Assert(t, patience.Waited("plans", 2*time.Second), qt.Equals, 6*time.Second)
}

func TestManyRoutesAreBounded(t *testing.T) {
	var patience urgency.Patience
	patience.Waited("plans", 8*time.Second)
	for i := range 5000 {
		patience.Waited(fmt.Sprint(i), time.Second)
	}
	// The route was forgotten and is learned again; nobody counts as late.
	qt.Assert(t, patience.Waited("plans", 2*time.Second), qt.Equals, time.Duration(0))
}

func TestFullMemoryKeepsTheRoutesItKnows(t *testing.T) {
	const most = 4096
	var patience urgency.Patience
	for i := range most {
		patience.Waited(fmt.Sprint(i), 8*time.Second)
	}
	for i := range most {
		qt.Assert(t, patience.Waited(fmt.Sprint(i), 2*time.Second), qt.Equals, 6*time.Second)
	}
}

func TestLateRequestsStayWithinTheirPriority(t *testing.T) {
	qt.Assert(t, urgency.Level(0, false), qt.Equals, 0)
	qt.Assert(t, urgency.Level(0, true) < urgency.Level(1, false), qt.IsTrue)
	qt.Assert(t, urgency.Level(1, false) < urgency.Level(1, true), qt.IsTrue)
	qt.Assert(t, urgency.Level(9, true), qt.Equals, 9)
}
