package comparison_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/lab/comparison"
)

// day returns a run of one day at a fixed site.
func day(name string, seed int64, score float64) comparison.DayRun {
	return comparison.DayRun{
		Site:     "river",
		Name:     name,
		Seed:     seed,
		NetValue: score,
	}
}

func TestPairsMatchOnlySameDayAndSeed(t *testing.T) {
	before := []comparison.DayRun{
		day("quiet", 1, 0.8),
		day("quiet", 1, 0.9),
		day("quiet", 2, 0.5),
		day("storm", 1, 0.4),
	}
	after := []comparison.DayRun{
		day("storm", 1, 0.6),
		day("quiet", 1, 0.9),
		day("quiet", 3, 0.1),
	}
	pairs := comparison.Pairs(before, after)
	qt.Assert(t, pairs, qt.HasLen, 2)
	qt.Assert(t, pairs[0].Name, qt.Equals, "quiet")
	qt.Assert(t, math.Abs(pairs[0].Before-0.85) < 1e-9, qt.IsTrue)
	qt.Assert(t, math.Abs(pairs[1].Difference()-0.2) < 1e-9, qt.IsTrue)
}

func TestVerdictIsInconclusiveWithinTwoStandardErrors(t *testing.T) {
	pairs := func(differences ...float64) []comparison.Pair {
		var all []comparison.Pair
		for i, difference := range differences {
			all = append(all, comparison.Pair{
				Seed:   int64(i),
				Before: 0.5,
				After:  0.5 + difference,
			})
		}
		return all
	}
	summary := comparison.Summarise(pairs(0.02, 0.04, 0.03, 0.03))
	qt.Assert(t, summary.Verdict(), qt.Equals, comparison.Better)
	qt.Assert(t, math.Abs(summary.Difference-0.03) < 1e-9, qt.IsTrue)
	// The standard deviation of the four differences is 0.0082, and the standard error of
	// their mean is half of it.
	qt.Assert(t, math.Abs(summary.Error-0.00408) < 1e-5, qt.IsTrue, qt.Commentf("%v", summary.Error))
	qt.Assert(t, comparison.Summarise(pairs(-0.02, -0.04)).Verdict(), qt.Equals, comparison.Worse)
	qt.Assert(t, comparison.Summarise(pairs(0.1, -0.08, 0.03)).Verdict(), qt.Equals, comparison.Inconclusive)
	qt.Assert(t, comparison.Summarise(pairs(0.4)).Verdict(), qt.Equals, comparison.Inconclusive)
	qt.Assert(t, comparison.Summarise(nil).Verdict(), qt.Equals, comparison.Inconclusive)
	qt.Assert(t, comparison.Summarise(pairs(0, 0)).Verdict(), qt.Equals, comparison.Inconclusive)
}
