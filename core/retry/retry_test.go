package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/retry"
)

// Every request fails, and is retried as often as the budget allows.
func TestRetriesStayWithinTheirShareOfTraffic(t *testing.T) {
	var budget retry.Budget
	retries := 0
	const requests = 10000
	for range requests {
		budget.RecordRequest()
		for range 3 {
			if budget.TrySpend() {
				retries++
			}
		}
	}
	maximum := retry.DefaultShare*requests + retry.DefaultBurst + 1
	qt.Assert(t, float64(retries) <= maximum, qt.IsTrue, qt.Commentf("%d", retries))
	qt.Assert(t, float64(retries) >= retry.DefaultShare*requests-1, qt.IsTrue, qt.Commentf("%d", retries))
}

func TestRequestsAndRetriesExpireWithTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var budget retry.Budget
		budget.SetLimits(0.2, 2, 10*time.Second)
		for range 100 {
			budget.RecordRequest()
		}
		spent := 0
		for budget.TrySpend() {
			spent++
		}
		qt.Assert(t, spent, qt.Equals, 22)

		// Requests expire with the window, and so do retries.
		time.Sleep(11 * time.Second)
		spent = 0
		for budget.TrySpend() {
			spent++
		}
		qt.Assert(t, spent, qt.Equals, 2)
	})
}

// Guards against requests for one service that pay for the retries of another. Found by a
// randomised run (BUDGET, valdeserna-riego-grown, trouble-2 with seed 436711837917).
func TestServicesHaveSeparateBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var budgets retry.Budgets
		budgets.SetLimits(0.2, 1, 10*time.Second)
		for range 100 {
			budgets.ForName("board").RecordRequest()
		}
		spent := 0
		for budgets.ForName("engines").TrySpend() {
			spent++
		}
		qt.Assert(t, spent, qt.Equals, 1)
		budgets.SetLimits(0.2, 5, 10*time.Second)
		for budgets.ForName("engines").TrySpend() {
			spent++
		}
		qt.Assert(t, spent, qt.Equals, 5)
	})
}

func TestRetriesInAnyWindowStayWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var budget retry.Budget
		budget.SetLimits(0.2, 5, 10*time.Second)
		var requests, retries []time.Time
		for range 3000 {
			time.Sleep(10 * time.Millisecond)
			budget.RecordRequest()
			requests = append(requests, time.Now())
			for budget.TrySpend() {
				retries = append(retries, time.Now())
			}
		}
		for _, end := range retries {
			inWindow := func(times []time.Time) float64 {
				count := 0.0
				for _, at := range times {
					if !at.After(end) && end.Sub(at) <= 10*time.Second {
						count++
					}
				}
				return count
			}
			qt.Assert(t, inWindow(retries) <= 0.2*inWindow(requests)+5+1, qt.IsTrue)
		}
	})
}

// Guards against a burst of at least one retry for each daemon: hundreds of daemons made 300
// retries at once, where all together may make 136.
func TestBurstsOfAllDaemonsStayWithinTheTotal(t *testing.T) {
	for _, daemons := range []int{1, 9, 89, 360, 2484} {
		synctest.Test(t, func(t *testing.T) {
			const share, burst, window = 0.2, 136.0, 10 * time.Second
			var budgets []*retry.Budget
			for range daemons {
				budget := &retry.Budget{}
				budget.SetLimits(share, retry.BurstPerDaemon(burst, daemons), window)
				budgets = append(budgets, budget)
			}
			retries, requests := 0, 0
			for _, budget := range budgets {
				for budget.TrySpend() {
					retries++
				}
			}
			qt.Check(t, float64(retries) <= burst, qt.IsTrue, qt.Commentf("%d daemons: %d", daemons, retries))
			// Fractions of a retry add up.
			for _, budget := range budgets {
				for range 20 {
					budget.RecordRequest()
					requests++
				}
				for budget.TrySpend() {
					retries++
				}
			}
			qt.Check(t, float64(retries) <= share*float64(requests)+burst, qt.IsTrue)
			qt.Check(t, retries >= daemons, qt.IsTrue)
		})
	}
}
