package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/retry"
)

// rareService gets a request at each of hundreds of daemons every 17 s.
const rareService = "board"

// spendAll gives each daemon some requests for the service and returns the number of retries
// that all daemons make.
func spendAll(daemons []*retry.Budgets, requests int) int {
	retries := 0
	for _, budgets := range daemons {
		for range requests {
			budgets.ForName(rareService).RecordRequest()
		}
		for budgets.ForName(rareService).TrySpend() {
			retries++
		}
	}
	return retries
}

// restartedDaemons returns the budgets of daemons that have just started, with their parts of a
// burst.
func restartedDaemons(count int, burst float64) []*retry.Budgets {
	daemons := make([]*retry.Budgets, count)
	for i := range daemons {
		daemons[i] = &retry.Budgets{}
		daemons[i].SetLimits(0.2, retry.BurstPerDaemon(burst, count), 10*time.Second)
	}
	return daemons
}

// Guards against rounding down a burst below one retry. With hundreds of daemons no request for
// a rare service would be retried: none of the 468 retries that the parts of 984 daemons add up
// to.
func TestBurstsBelowOneRetryAreUsed(t *testing.T) {
	for _, count := range []int{9, 89, 360, 984, 1968, 2484} {
		synctest.Test(t, func(t *testing.T) {
			const burst = 1040.0
			retries := spendAll(restartedDaemons(count, burst), 0)
			total := retry.BurstPerDaemon(burst, count) * float64(count)
			qt.Check(t, float64(retries) >= 0.75*total, qt.IsTrue, qt.Commentf("%d daemons: %d retries of %v", count, retries, total))
			// All daemons restart within the window.
			retries += spendAll(restartedDaemons(count, burst), 0)
			qt.Check(t, float64(retries) <= burst, qt.IsTrue, qt.Commentf("%d daemons: %d retries of %v", count, retries, burst))
		})
	}
}

// All retries together stay within the share of the requests plus the burst, even if each
// daemon has few requests.
func TestRoundedBurstsStayWithinTheBound(t *testing.T) {
	for _, count := range []int{984, 1968} {
		for _, requests := range []int{0, 1, 3} {
			synctest.Test(t, func(t *testing.T) {
				const burst = 1040.0
				daemons := restartedDaemons(count, burst)
				maximum := burst + 0.2*float64(count*requests)
				for range 4 {
					retries := spendAll(daemons, requests)
					qt.Check(t, float64(retries) <= maximum, qt.IsTrue, qt.Commentf("%d daemons: %d retries of %v", count, retries, maximum))
					time.Sleep(11 * time.Second)
				}
			})
		}
	}
}
