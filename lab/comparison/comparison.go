// Package comparison decides from paired runs whether one of two policies scores better than
// the other.
//
// Scores differ far more between days than between policies, and repeated runs of one day vary
// by 0.03 of its score. Runs are therefore paired by site, day and seed, and the verdict rests
// on the mean of the pairs' differences and its standard error. If the mean is less than two
// standard errors from zero, the comparison is inconclusive.
package comparison

import (
	"cmp"
	"math"
	"slices"
)

// DayRun holds the score of one run of one day.
type DayRun struct {
	Site     string
	Name     string
	Seed     int64
	NetValue float64
}

// pairKey identifies the runs that are paired.
type pairKey struct {
	site string
	name string
	seed int64
}

// pairKey returns the key by which the run is paired.
func (d DayRun) pairKey() pairKey {
	return pairKey{
		site: d.Site,
		name: d.Name,
		seed: d.Seed,
	}
}

// Pair holds the scores of one day before and after a change. Each score is the mean of all
// runs with the same site, name and seed.
type Pair struct {
	Site   string
	Name   string
	Seed   int64
	Before float64
	After  float64
}

// Difference returns the score after the change minus the score before it.
func (p Pair) Difference() float64 {
	return p.After - p.Before
}

// Pairs pairs the runs that exist both before and after, sorted by site, name and seed.
func Pairs(before, after []DayRun) []Pair {
	scoresBefore, scoresAfter := meanScores(before), meanScores(after)
	var pairs []Pair
	for key, scoreBefore := range scoresBefore {
		scoreAfter, inBoth := scoresAfter[key]
		if !inBoth {
			continue
		}
		pairs = append(pairs, Pair{
			Site:   key.site,
			Name:   key.name,
			Seed:   key.seed,
			Before: scoreBefore,
			After:  scoreAfter,
		})
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		return cmp.Or(
			cmp.Compare(a.Site, b.Site),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Seed, b.Seed),
		)
	})
	return pairs
}

// meanScores returns the mean score of each day.
func meanScores(days []DayRun) map[pairKey]float64 {
	sums := map[pairKey]float64{}
	counts := map[pairKey]float64{}
	for _, day := range days {
		sums[day.pairKey()] += day.NetValue
		counts[day.pairKey()]++
	}
	for key := range sums {
		sums[key] /= counts[key]
	}
	return sums
}

// Verdict is the result of a comparison.
type Verdict string

// Verdicts of a comparison.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "not told apart"
)

// minStandardErrors is the distance of the mean from zero, in standard errors, from which a
// difference counts as significant.
const minStandardErrors = 2

// Summary holds the means over all pairs.
type Summary struct {
	Pairs  int
	Before float64
	After  float64
	// Difference is the mean difference of the pairs and Error the standard error of that
	// mean. Error is 0 for a single pair.
	Difference float64
	Error      float64
}

// Summarise returns the summary of the pairs.
func Summarise(pairs []Pair) Summary {
	summary := Summary{
		Pairs: len(pairs),
	}
	if len(pairs) == 0 {
		return summary
	}
	count := float64(len(pairs))
	for _, pair := range pairs {
		summary.Before += pair.Before / count
		summary.After += pair.After / count
		summary.Difference += pair.Difference() / count
	}
	if len(pairs) == 1 {
		return summary
	}
	squares := 0.0
	for _, pair := range pairs {
		squares += math.Pow(pair.Difference()-summary.Difference, 2)
	}
	summary.Error = math.Sqrt(squares / (count - 1) / count)
	return summary
}

// Verdict returns the verdict on the pairs. Fewer than two pairs are always inconclusive.
func (s Summary) Verdict() Verdict {
	switch {
	case s.Pairs < 2 || math.Abs(s.Difference) < minStandardErrors*s.Error || s.Difference == 0:
		return Inconclusive
	case s.Difference > 0:
		return Better
	default:
		return Worse
	}
}
