package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/retry"
)

// seldom is a service that each of hundreds of daemons is asked for every 17 s.
const seldom = "board"

// spendAll returns how many retries of a service daemons make that each got some requests.
func spendAll(daemons []*retry.Budgets, requests int) int {
	retries := 0
	for _, one := range daemons {
		for range requests {
			one.Of(seldom).Earn()
		}
		for one.Of(seldom).Spend() {
			retries++
		}
	}
	return retries
}

// restarted returns so many daemons that have just started, with their parts of a burst.
func restarted(count int, burst float64) []*retry.Budgets {
	daemons := make([]*retry.Budgets, count)
	for i := range daemons {
		daemons[i] = &retry.Budgets{}
		daemons[i].SetFigures(0.2, retry.BurstPart(burst, count), 10*time.Second)
	}
	return daemons
}

// Each of hundreds of daemons is rarely asked for a service, and has less than one retry. Were
// every part rounded down, no request for it would be sent again: 0 of the 468 retries that the
// parts of 984 daemons add up to.
func TestPartsBelowOneAreUsed(t *testing.T) {
	for _, count := range []int{9, 89, 360, 984, 1968, 2484} {
		synctest.Test(t, func(t *testing.T) {
			const burst = 1040.0
			retries := spendAll(restarted(count, burst), 0)
			parts := retry.BurstPart(burst, count) * float64(count)
			qt.Check(t, float64(retries) >= 0.75*parts, qt.IsTrue, qt.Commentf("%d daemons: %d retries of %v", count, retries, parts))
			// All start anew within the window.
			retries += spendAll(restarted(count, burst), 0)
			qt.Check(t, float64(retries) <= burst, qt.IsTrue, qt.Commentf("%d daemons: %d retries of %v", count, retries, burst))
		})
	}
}

// The sum stays within what requests earn and the burst, also where each daemon has few.
func TestRoundedPartsStayWithinTheBound(t *testing.T) {
	for _, count := range []int{984, 1968} {
		for _, requests := range []int{0, 1, 3} {
			synctest.Test(t, func(t *testing.T) {
				const burst = 1040.0
				daemons := restarted(count, burst)
				most := burst + 0.2*float64(count*requests)
				for range 4 {
					retries := spendAll(daemons, requests)
					qt.Check(t, float64(retries) <= most, qt.IsTrue, qt.Commentf("%d daemons: %d retries of %v", count, retries, most))
					time.Sleep(11 * time.Second)
				}
			})
		}
	}
}
