package urgency_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/urgency"
)

func TestShorterRemainingWaitCountsAsTimeWaited(t *testing.T) {
	var estimator urgency.WaitEstimator
	qt.Assert(t, estimator.TimeWaited("plans", 6*time.Second), qt.Equals, time.Duration(0))
	qt.Assert(t, estimator.TimeWaited("plans", 4500*time.Millisecond), qt.Equals, 1500*time.Millisecond)
	qt.Assert(t, estimator.TimeWaited("plans", 6*time.Second), qt.Equals, time.Duration(0))
	// Each route has an initial wait of its own.
	qt.Assert(t, estimator.TimeWaited("meters", time.Second), qt.Equals, time.Duration(0))
}

func TestLongerWaitRaisesTheInitialWait(t *testing.T) {
	var estimator urgency.WaitEstimator
	estimator.TimeWaited("plans", 2*time.Second)
	qt.Assert(t, estimator.TimeWaited("plans", 8*time.Second), qt.Equals, time.Duration(0))
	qt.Assert(t, estimator.TimeWaited("plans", 2*time.Second), qt.Equals, 6*time.Second)
}

func TestNewRouteClearsAFullMap(t *testing.T) {
	var estimator urgency.WaitEstimator
	estimator.TimeWaited("plans", 8*time.Second)
	for i := range 5000 {
		estimator.TimeWaited(fmt.Sprint(i), time.Second)
	}
	// The route was discarded and is recorded anew; no request counts as late.
	qt.Assert(t, estimator.TimeWaited("plans", 2*time.Second), qt.Equals, time.Duration(0))
}

func TestKnownRoutesDoNotClearAFullMap(t *testing.T) {
	const maxRoutes = 4096
	var estimator urgency.WaitEstimator
	for i := range maxRoutes {
		estimator.TimeWaited(fmt.Sprint(i), 8*time.Second)
	}
	for i := range maxRoutes {
		qt.Assert(t, estimator.TimeWaited(fmt.Sprint(i), 2*time.Second), qt.Equals, 6*time.Second)
	}
}

func TestLateRequestsStayWithinTheirPriority(t *testing.T) {
	qt.Assert(t, urgency.Level(0, false), qt.Equals, 0)
	qt.Assert(t, urgency.Level(0, true) < urgency.Level(1, false), qt.IsTrue)
	qt.Assert(t, urgency.Level(1, false) < urgency.Level(1, true), qt.IsTrue)
	qt.Assert(t, urgency.Level(9, true), qt.Equals, 9)
}
