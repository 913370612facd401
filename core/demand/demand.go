// Package demand gives all daemons the total demand in each availability zone.
//
// A daemon receives only some of the requests, and the load balancer's distribution of
// callers over daemons hardly reflects the demand in each zone. Each daemon therefore
// measures its own requests (Meter) and reports them, four times a second, to the daemon through
// which it follows the store's tables. That daemon adds up the reports that it receives and reports
// the sums in the same way; the answer contains the totals of all daemons (Aggregator). The store
// carries none of this data. The totals are used to derive how many groups a model needs
// (core/assembly), to divide requests over zones (core/locality) and to detect overload
// (core/overload). Since all daemons have the totals, a new leader has them immediately.
//
// Every fourth report also has details: the work of each organisation, and the daemons' votes on the
// pace of servers.
package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"

	"headcourse/core/usage"
)

// Kind is the kind of a request: its service and, for model engines, its model.
type Kind struct {
	Service string
	Model   string
}

// Demand is the demand for a kind in a zone.
type Demand struct {
	Kind Kind
	Zone string
	// WorkRate is in units of work per second, TokenRates in tokens per second. FastWorkRate is the
	// work rate over a shorter time, for routing; 0 if the daemon that reports it does not measure it.
	WorkRate     float64
	FastWorkRate float64
	TokenRates   usage.Rate
	// InTimeRate and LateRate are in answers per second that began in time or late, of requests that
	// had priority.
	InTimeRate float64
	LateRate   float64
}

// enoughRequests is the number of requests within fastDecayTime at which the fast rate counts as much as
// the slow one. The requests of a short time vary by chance: 13 of them by more than a quarter.
const enoughRequests = 25

// recentWorkRate returns the work rate over the shortest time within which there were enough requests. It
// weighs the fast rate by the number of requests that it is based on. If that is not known, it is the
// slow rate.
func (d Demand) recentWorkRate() float64 {
	if d.FastWorkRate <= 0 || d.WorkRate <= 0 {
		return d.WorkRate
	}
	requests := fastDecayTime.Seconds() * d.TokenRates.Requests * d.fastRatio()
	weight := requests / (requests + enoughRequests)
	return d.WorkRate + weight*(d.FastWorkRate-d.WorkRate)
}

// recentTokenRates returns the token rates over the shortest time for which the work rate is known. The
// mean request changes slowly, so the tokens follow the work.
func (d Demand) recentTokenRates() usage.Rate {
	if d.FastWorkRate <= 0 || d.WorkRate <= 0 {
		return d.TokenRates
	}
	return d.TokenRates.Scale(d.fastRatio())
}

// maxFastRatio bounds the ratio of the fast to the slow work rate. That of a single request is decayTime /
// fastDecayTime, or 3.3, and later it is lower. Reports of other daemons may contain any ratio.
const maxFastRatio = 4

// fastRatio returns the ratio of the fast to the slow work rate, which must be above 0.
func (d Demand) fastRatio() float64 {
	return min(maxFastRatio, d.FastWorkRate/d.WorkRate)
}

// maxRate limits rates, so that sums remain finite. Load sections (io/relay) cannot represent higher ones.
const maxRate = 1 << 50

// limited returns the entry with its rates limited to maxRate.
func (d Demand) limited() Demand {
	for _, rate := range []*float64{
		&d.WorkRate,
		&d.FastWorkRate,
		&d.TokenRates.Requests,
		&d.TokenRates.Prompt,
		&d.TokenRates.Answer,
		&d.TokenRates.PromptSquares,
		&d.TokenRates.GoalPromptSeconds,
		&d.InTimeRate,
		&d.LateRate,
	} {
		*rate = min(*rate, maxRate)
	}
	return d
}

// maxEntries limits the entries of one report. The ones with the most work are kept. It is well above the
// usual number of zones times the number of kinds.
const maxEntries = 1024

// CheckDemand returns an error if the entries of another daemon's report are invalid.
func CheckDemand(entries []Demand) error {
	if len(entries) > maxEntries {
		return errors.Errorf("check demand: %d entries, more than %d", len(entries), maxEntries)
	}
	for i, entry := range entries {
		switch {
		case entry.Zone == "":
			return errors.Errorf("check demand: entry %d has no zone", i)
		case entry.Kind.Service == "":
			return errors.Errorf("check demand: entry %d of zone %q has no service", i, entry.Zone)
		}
		for _, rate := range []float64{entry.WorkRate, entry.FastWorkRate, entry.TokenRates.Requests, entry.TokenRates.Prompt, entry.TokenRates.Answer, entry.TokenRates.PromptSquares, entry.TokenRates.GoalPromptSeconds, entry.InTimeRate, entry.LateRate} {
			if !isValidRate(rate) {
				return errors.Errorf("check demand: entry %d of zone %q: rate %v is invalid", i, entry.Zone, rate)
			}
		}
	}
	return nil
}

// isValidRate reports whether a rate is a finite number that is not negative.
func isValidRate(rate float64) bool {
	return !math.IsNaN(rate) && !math.IsInf(rate, 0) && rate >= 0
}

// sumEntries adds up entries of the same kind and zone, and returns those with the most work, at most
// maxEntries. They are ordered by zone, service and model.
func sumEntries(lists ...[]Demand) []Demand {
	type key struct {
		kind Kind
		zone string
	}
	sums := map[key]Demand{}
	for _, entries := range lists {
		for _, entry := range entries {
			entryKey := key{
				kind: entry.Kind,
				zone: entry.Zone,
			}
			entry.WorkRate += sums[entryKey].WorkRate
			entry.FastWorkRate += sums[entryKey].FastWorkRate
			entry.TokenRates = entry.TokenRates.Add(sums[entryKey].TokenRates)
			entry.InTimeRate += sums[entryKey].InTimeRate
			entry.LateRate += sums[entryKey].LateRate
			sums[entryKey] = entry.limited()
		}
	}
	byName := func(a, b Demand) int {
		return cmp.Or(
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Kind.Service, b.Kind.Service),
			cmp.Compare(a.Kind.Model, b.Kind.Model),
		)
	}
	sorted := slices.Collect(maps.Values(sums))
	if len(sorted) > maxEntries {
		slices.SortFunc(sorted, func(a, b Demand) int {
			return cmp.Or(cmp.Compare(b.WorkRate, a.WorkRate), byName(a, b))
		})
		sorted = sorted[:maxEntries]
	}
	slices.SortFunc(sorted, byName)
	return sorted
}
