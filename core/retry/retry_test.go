package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/boottime"
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

// fixedLimits returns limits that stay the same, with a share of 0.2 and a window
// of 10 s.
func fixedLimits(burst float64) func() retry.Limits {
	return func() retry.Limits {
		return retry.Limits{
			Share:  0.2,
			Burst:  burst,
			Window: 10 * time.Second,
		}
	}
}

// spendAll spends all retries of a budget and returns their number.
func spendAll(budget *retry.Budget) int {
	spent := 0
	for budget.TrySpend() {
		spent++
	}
	return spent
}

// Requests that were not retried leave a part of their share for a window. The burst is earned
// again within a window, and one half of it can be stored.
func TestStoredRetriesExpireWithTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := retry.Budget{
			Limits: fixedLimits(4),
		}
		qt.Assert(t, spendAll(&budget), qt.Equals, 0)
		for range 101 {
			budget.RecordRequest()
		}
		qt.Assert(t, spendAll(&budget), qt.Equals, 10)
		time.Sleep(5 * time.Second)
		qt.Assert(t, spendAll(&budget), qt.Equals, 1)
		for range 100 {
			budget.RecordRequest()
		}
		time.Sleep(11 * time.Second)
		qt.Assert(t, spendAll(&budget), qt.Equals, 2)
		qt.Assert(t, spendAll(&budget), qt.Equals, 0)
	})
}

// Guards against requests and retries that are dated by the time of day or by a clock that stops:
// while the VM is suspended, stored retries expire.
func TestStoredRetriesExpireDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		budget := retry.Budget{
			Limits: fixedLimits(0),
			Clock: boottime.Clock{
				Suspended: func() time.Duration { return suspended },
			},
		}
		for range 100 {
			budget.RecordRequest()
		}
		suspended = time.Minute
		qt.Assert(t, spendAll(&budget), qt.Equals, 0)
	})
}

// Guards against requests for one service that pay for the retries of another. Found by a
// randomised run (BUDGET, valdeserna-riego-grown, trouble-2 with seed 436711837917).
func TestServicesHaveSeparateBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budgets := retry.Budgets{
			Limits:    fixedLimits(2),
			StartedAt: time.Now(),
		}
		time.Sleep(10 * time.Second)
		for range 100 {
			budgets.ForName("board").RecordRequest()
		}
		qt.Assert(t, spendAll(budgets.ForName("engines")), qt.Equals, 1)
		qt.Assert(t, spendAll(budgets.ForName("board")) > 1, qt.IsTrue)
	})
}

func TestRetriesInAnyWindowStayWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := retry.Budget{
			Limits: fixedLimits(5),
		}
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
			qt.Assert(t, inWindow(retries) <= 0.2*inWindow(requests)+5, qt.IsTrue)
		}
	})
}
