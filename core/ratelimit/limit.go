// Package ratelimit keeps the rate limits of backend servers. A server announces how many
// requests a second it accepts from all daemons together; the limit holds for as long as its
// answers contain it.
package ratelimit

import (
	"encoding/json"
	"math"

	"github.com/pkg/errors"
)

// MaxPerSecond caps the limits that are kept. A higher limit has no effect.
const MaxPerSecond = 1e6

// Limit is the rate limit in one answer of a server. The zero value is no limit.
type Limit struct {
	// PerSecond is how many requests a second the server accepts, from 0 to MaxPerSecond. It is
	// valid only if IsSet.
	PerSecond float64
	IsSet     bool
	// IsInvalid reports that the answer has an invalid limit. It sets no limit and does not
	// end the previous one.
	IsInvalid bool
	// MaxExcess is how many requests beyond the limit all daemons together may send in a window; 0
	// selects the excess that is tolerated for announced limits.
	MaxExcess float64
}

// NewLimit returns a limit in requests a second. It is invalid if the number is negative or NaN.
func NewLimit(perSecond float64) Limit {
	if math.IsNaN(perSecond) || perSecond < 0 {
		return Limit{
			IsInvalid: true,
		}
	}
	return Limit{
		PerSecond: min(perSecond, MaxPerSecond),
		IsSet:     true,
	}
}

// coldFraction is the fraction of a cold server's capacity that daemons use. A cold server
// fails at a load well above its capacity, and daemons that have not yet observed that it is
// cold send more than their quota.
const coldFraction = 0.9

// NewColdLimit returns the limit of a cold server that can serve perSecond requests a second.
// In any second it may get factor times as many plus extra, from all daemons together.
func NewColdLimit(perSecond, factor, extra float64) Limit {
	limit := NewLimit(coldFraction * perSecond)
	limit.MaxExcess = max(1, factor*perSecond+extra-limit.PerSecond)
	return limit
}

// maxExcess returns how many requests beyond the limit may arrive in a window.
func (l Limit) maxExcess() float64 {
	if l.MaxExcess > 0 {
		return l.MaxExcess
	}
	rate := max(l.PerSecond, minPerSecond)
	return (toleratedFactor-1)*rate*excessWindow.Seconds() + toleratedExtra
}

// Strictest returns the strictest of the limits in one answer. An invalid limit counts only if no
// other is given.
func Strictest(limits ...Limit) Limit {
	var lowest Limit
	for _, limit := range limits {
		switch {
		case limit.IsSet && (!lowest.IsSet || limit.PerSecond < lowest.PerSecond):
			lowest = limit
		case limit.IsInvalid && !lowest.IsSet:
			lowest = limit
		}
	}
	return lowest
}

// limitReport is a limit as one daemon reports it to the others. By is the reporting daemon and
// is informational.
type limitReport struct {
	By        string   `json:"by"`
	PerSecond *float64 `json:"per_second"`
}

// Encode returns the limit as a report of the daemon by.
func (l Limit) Encode(by string) ([]byte, error) {
	value, err := json.Marshal(limitReport{
		By:        by,
		PerSecond: &l.PerSecond,
	})
	return value, errors.Wrap(err, "encode limit")
}

// Decode returns the limit of a report. It fails if the report has no valid limit.
func Decode(value []byte) (Limit, error) {
	var report limitReport
	if err := json.Unmarshal(value, &report); err != nil {
		return Limit{}, errors.Wrap(err, "decode limit")
	}
	if report.PerSecond == nil {
		return Limit{}, errors.New("decode limit: per_second is missing")
	}
	limit := NewLimit(*report.PerSecond)
	if !limit.IsSet {
		return Limit{}, errors.Errorf("decode limit: per_second %v is below 0", *report.PerSecond)
	}
	return limit, nil
}
