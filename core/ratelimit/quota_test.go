package ratelimit_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/ratelimit"
)

// The quotas of all daemons add up to the limit, and daemons in the server's zone have the
// larger ones.
func TestQuotasAddUpToTheLimit(t *testing.T) {
	for _, perSecond := range testedLimits {
		for _, total := range []int{1, 2, 9, 89, 2484} {
			for _, sameZone := range []int{0, 1, (total + 2) / 3, total} {
				sum, sharers := 0.0, 0
				minimum := math.Inf(1)
				for rank := range total {
					quota := ratelimit.NewLimit(perSecond).Quota(ratelimit.Position{
						Rank:     rank,
						SameZone: sameZone,
						Total:    total,
					})
					sum += quota.PerSecond
					if quota.PerSecond > 0 {
						sharers++
						qt.Assert(t, quota.PerSecond <= minimum, qt.IsTrue)
						qt.Assert(t, quota.Burst >= 1, qt.IsTrue)
						minimum = quota.PerSecond
					}
				}
				comment := qt.Commentf("%v a second, %d daemons, %d in the zone", perSecond, total, sameZone)
				// A server that accepts almost nothing is still probed now and then.
				const probeRate = 0.05
				qt.Check(t, math.Abs(sum-max(perSecond, probeRate)) < 1e-6, qt.IsTrue, comment)
				qt.Check(t, sharers >= 1, qt.IsTrue, comment)
			}
		}
	}
	// A daemon without a list, or missing from it, has no quota.
	qt.Assert(t, ratelimit.NewLimit(5).Quota(ratelimit.Position{}), qt.Equals, ratelimit.Quota{})
	qt.Assert(t, ratelimit.NewLimit(5).Quota(ratelimit.Position{
		Rank:  9,
		Total: 9,
	}), qt.Equals, ratelimit.Quota{})
}
