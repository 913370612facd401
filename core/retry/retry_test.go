package retry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/retry"
)

// TestRetriesStayAShareOfTheTraffic: every request fails and would be tried
// again as often as allowed.
func TestRetriesStayAShareOfTheTraffic(t *testing.T) {
	var budget retry.Budget
	retries := 0
	const requests = 10000
	for range requests {
		budget.Earn()
		for range 3 {
			if budget.Spend() {
				retries++
			}
		}
	}
	most := retry.Share*requests + retry.Burst + 1
	qt.Assert(t, float64(retries) <= most, qt.IsTrue, qt.Commentf("%d", retries))
	qt.Assert(t, float64(retries) >= retry.Share*requests-1, qt.IsTrue, qt.Commentf("%d", retries))
}
