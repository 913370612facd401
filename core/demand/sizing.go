package demand

import (
	"time"

	"headcourse/core/usage"
)

const (
	// sizingWindow is the time over which the lowest totals count for sizing. Demand that is reported by
	// two ways counts twice until the former report expires.
	sizingWindow = reportLifetime
	// sizingDelay is the time after the first totals from which they count for sizing. At first few daemons
	// have reported, and right after an outage all callers return at once. After some seconds, a meter has
	// forgotten them but for a twentieth.
	sizingDelay = 4 * decayTime
)

// totalsHistory holds the totals of the last sizingWindow. The zero value is empty.
type totalsHistory struct {
	samples []totalsSample
	// knownSince is when the totals became known.
	knownSince time.Time
}

// totalsSample is the total demand at a time.
type totalsSample struct {
	demand []Demand
	at     time.Time
}

// record adds the totals of a time, and discards those that are too old. Totals that were unknown for
// sizingWindow begin anew.
func (h *totalsHistory) record(now time.Time, totals []Demand) {
	h.discardBefore(now.Add(-sizingWindow))
	if len(h.samples) == 0 {
		h.knownSince = now
	}
	h.samples = append(h.samples, totalsSample{
		demand: totals,
		at:     now,
	})
}

// discardBefore removes the samples before a time.
func (h *totalsHistory) discardBefore(limit time.Time) {
	first := 0
	for first < len(h.samples) && h.samples[first].at.Before(limit) {
		first++
	}
	h.samples = append([]totalsSample(nil), h.samples[first:]...)
}

// isDue reports whether the last sample is old enough for another one.
func (h *totalsHistory) isDue(now time.Time) bool {
	return len(h.samples) == 0 || now.Sub(h.samples[len(h.samples)-1].at) >= minReportInterval
}

// lowest returns the token rates of a kind in the sample in which it has the fewest requests, and whether
// the totals have been known for sizingDelay.
func (h *totalsHistory) lowest(now time.Time, kind Kind) (usage.Rate, bool) {
	h.discardBefore(now.Add(-sizingWindow))
	if len(h.samples) == 0 || now.Sub(h.knownSince) < sizingDelay {
		return usage.Rate{}, false
	}
	lowest := tokenRates(h.samples[0].demand, kind)
	for _, sample := range h.samples[1:] {
		if rate := tokenRates(sample.demand, kind); rate.Requests < lowest.Requests {
			lowest = rate
		}
	}
	return lowest, true
}

// tokenRates returns the sum of the token rates of a kind over all zones.
func tokenRates(entries []Demand, kind Kind) usage.Rate {
	var rate usage.Rate
	for _, entry := range entries {
		if entry.Kind == kind {
			rate = rate.Add(entry.TokenRates)
		}
	}
	return rate
}

// recordTotals adds the totals to the history. The mutex is held.
func (a *Aggregator) recordTotals() {
	if now := time.Now(); a.history.isDue(now) {
		a.history.record(now, a.totals(""))
	}
}

// SizingRates returns the token rates of a kind by which its model is sized, over all zones, and whether they
// are known. Servers take seconds to load a model, so the rates follow a rising demand late rather than a
// short excess, which most often is demand that counts twice or clients that return together.
func (a *Aggregator) SizingRates(kind Kind) (rate usage.Rate, isKnown bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.isKnown() {
		return usage.Rate{}, false
	}
	return a.history.lowest(time.Now(), kind)
}
