package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/retry"
)

// Guards against a burst of at least one retry for each daemon: hundreds of daemons made 300
// retries at once, where all together may make 136.
func TestBurstsOfAllDaemonsStayWithinTheTotal(t *testing.T) {
	for _, daemons := range []int{1, 9, 89, 360, 2484} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newBudgetFleet(daemons, 136)
			fleet.settle()
			retries := 0
			for daemon := range daemons {
				retries += fleet.spendAll(daemon)
			}
			qt.Check(t, retries <= 136, qt.IsTrue, qt.Commentf("%d daemons: %d", daemons, retries))
			// Fractions of a retry add up.
			for daemon := range daemons {
				fleet.send(daemon, 20, 0)
				retries += fleet.spendAll(daemon)
			}
			fleet.checkBound(t)
			qt.Check(t, retries >= daemons, qt.IsTrue)
		})
	}
}

// Guards against rounding down a burst below one retry. With hundreds of daemons no request for
// a service with few requests at each would be retried.
func TestBurstsBelowOneRetryAreUsed(t *testing.T) {
	for _, daemons := range []int{9, 89, 360, 984, 1968, 2484} {
		synctest.Test(t, func(t *testing.T) {
			const burst = 1040
			const minimum = 0.33 * burst
			fleet := newBudgetFleet(daemons, burst)
			fleet.settle()
			retries := 0
			for daemon := range daemons {
				retries += fleet.spendAll(daemon)
			}
			qt.Check(t, float64(retries) >= minimum, qt.IsTrue, qt.Commentf("%d daemons: %d retries", daemons, retries))
			// All daemons restart within the window.
			for daemon := range daemons {
				fleet.restart(daemon)
				fleet.spendAll(daemon)
			}
			fleet.checkBound(t)
		})
	}
}

// All retries together stay within the share of the requests plus the burst, even if each
// daemon has few requests.
func TestBurstsBelowOneRetryStayWithinTheBound(t *testing.T) {
	for _, daemons := range []int{984, 1968} {
		for _, requests := range []int{0, 1, 3} {
			synctest.Test(t, func(t *testing.T) {
				fleet := newBudgetFleet(daemons, 1040)
				fleet.settle()
				for range 4 {
					for daemon := range daemons {
						fleet.send(daemon, requests, 0)
						fleet.spendAll(daemon)
					}
					time.Sleep(3 * time.Second)
					fleet.observeLists()
				}
				fleet.checkBound(t)
			})
		}
	}
}

// Guards against a number of daemons that is guessed before the list is known, and against lists
// that are shorter than those of others: the bursts of all daemons would add up to more than the
// total.
func TestBurstNeedsARecentListThatContainsTheDaemon(t *testing.T) {
	const window = 10 * time.Second
	total := retry.Limits{
		Share:  0.2,
		Burst:  90,
		Window: window,
	}
	start := time.Now()
	unknown := retry.Part{
		Total: total,
	}
	qt.Check(t, unknown.Limits(start).Burst, qt.Equals, 0.0)
	qt.Check(t, unknown.Limits(start).Share, qt.Equals, 0.2)

	unlisted := unknown.WithList(9, -1, start, start)
	qt.Check(t, unlisted.Limits(start.Add(window)).Burst, qt.Equals, 0.0)

	listed := unlisted.WithList(10, 9, start, start)
	qt.Check(t, listed.Limits(start.Add(window-1)).Burst, qt.Equals, 0.0)
	qt.Check(t, listed.Limits(start.Add(window)).Burst, qt.Equals, 9.0)
	// The list is older than a window.
	qt.Check(t, listed.Limits(start.Add(window+1)).Burst, qt.Equals, 0.0)

	later := start.Add(window)
	shorter := listed.WithList(2, 1, later, later)
	qt.Check(t, shorter.Limits(later).Burst, qt.Equals, 9.0)
	qt.Check(t, shorter.Daemons(), qt.Equals, 10)
	longer := listed.WithList(15, 9, later, later)
	qt.Check(t, longer.Limits(later).Burst, qt.Equals, 6.0)
}
