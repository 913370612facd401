package ratelimit_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/ratelimit"
)

// The parts of all daemons add up to the limit, and daemons of the server's zone have more.
func TestPartsAddUpToTheLimit(t *testing.T) {
	for _, perSecond := range limits {
		for _, of := range []int{1, 2, 9, 89, 2484} {
			for _, near := range []int{0, 1, (of + 2) / 3, of} {
				sum, holders := 0.0, 0
				least := math.Inf(1)
				for rank := range of {
					part := ratelimit.Named(perSecond).Part(ratelimit.Place{
						Rank: rank,
						Near: near,
						Of:   of,
					})
					sum += part.PerSecond
					if part.PerSecond > 0 {
						holders++
						qt.Assert(t, part.PerSecond <= least, qt.IsTrue)
						qt.Assert(t, part.Burst >= 1, qt.IsTrue)
						least = part.PerSecond
					}
				}
				comment := qt.Commentf("%v a second, %d daemons, %d near", perSecond, of, near)
				// One that takes nothing, or hardly anything, is asked now and then.
				const seldom = 0.05
				qt.Check(t, math.Abs(sum-max(perSecond, seldom)) < 1e-6, qt.IsTrue, comment)
				qt.Check(t, holders >= 1, qt.IsTrue, comment)
			}
		}
	}
	// A daemon that knows no list, or is not in it, has no part.
	qt.Assert(t, ratelimit.Named(5).Part(ratelimit.Place{}), qt.Equals, ratelimit.Part{})
	qt.Assert(t, ratelimit.Named(5).Part(ratelimit.Place{
		Rank: 9,
		Of:   9,
	}), qt.Equals, ratelimit.Part{})
}
