// Package fairshare divides the capacity for a kind of request between organisations during an overload.
//
// The share of an organisation is in proportion to its usual demand. An organisation whose demand rises
// far above its usual one, or whose clients repeat requests at once, therefore displaces hardly any
// requests of others, and a large organisation is not cut more than others. All daemons derive the same
// shares, since they use the demand of all daemons (core/demand).
package fairshare

import "math"

// Demand is the demand of an organisation for a kind of request, over all daemons.
type Demand struct {
	Organisation string
	// Rate and Usual are the present and the usual demand, in units of work per second. Usual is 0 if it
	// is unknown.
	Rate  float64
	Usual float64
	// Weight multiplies the organisation's share; 0 counts as 1.
	Weight float64
}

const (
	// minFraction is the minimum fraction of an organisation relative to the mean over all demand, so
	// that none starves.
	minFraction = 0.25
	// minRelativeShare is the minimum share relative to the largest one. It only keeps quotients finite.
	minRelativeShare = 1e-12
	// bisectionSteps is the number of steps after which the level is exact, for any range of shares.
	bisectionSteps = 128
)

// Allot divides a capacity, in units of work per second, between organisations, each of which is in the
// list once. It returns the fraction of each organisation's demand that is served, from 0 to 1. If the
// demand exceeds the capacity, the fractions times the demands add up to the capacity.
//
// It is weighted max-min fairness: every organisation is served up to the same multiple of its usual demand
// times its weight, and what some don't use is lent to the others. An organisation whose usual demand is
// unknown counts with the smallest known one; if none is known, all get the same fraction. No fraction is
// below a quarter of the capacity relative to the total demand.
func Allot(capacity float64, demands []Demand) map[string]float64 {
	claims := newClaims(demands)
	fractions := make(map[string]float64, len(claims))
	total := 0.0
	for _, one := range claims {
		fractions[one.organisation] = 1
		total += one.rate
	}
	if total <= capacity {
		return fractions
	}
	capacity = positive(capacity)
	floor := minFraction * capacity / total
	level := levelFor(capacity, floor, claims)
	for _, one := range claims {
		fractions[one.organisation] = one.fraction(level, floor)
	}
	return fractions
}

// claim is the demand of an organisation and its share in proportion to those of others.
type claim struct {
	organisation string
	rate         float64
	share        float64
}

// newClaims derives the claims of organisations from their demands. All shares are positive.
func newClaims(demands []Demand) []claim {
	minUsual := math.Inf(1)
	for _, one := range demands {
		if usual := positive(one.Usual); usual > 0 {
			minUsual = min(minUsual, usual)
		}
	}
	claims := make([]claim, 0, len(demands))
	maxShare := 0.0
	for _, one := range demands {
		usual := positive(one.Usual)
		switch {
		case usual == 0 && math.IsInf(minUsual, 1):
			usual = positive(one.Rate)
		case usual == 0:
			usual = minUsual
		}
		if weight := positive(one.Weight); weight > 0 {
			usual *= weight
		}
		maxShare = max(maxShare, usual)
		claims = append(claims, claim{
			organisation: one.Organisation,
			rate:         positive(one.Rate),
			share:        usual,
		})
	}
	for i := range claims {
		claims[i].share = max(claims[i].share, minRelativeShare*maxShare)
	}
	return claims
}

// positive returns a rate, or 0 if it is negative or not a finite number.
func positive(rate float64) float64 {
	if rate > 0 && !math.IsInf(rate, 1) {
		return rate
	}
	return 0
}

// fraction returns the fraction that is served if every organisation is served up to a multiple (level) of
// its share, but at least the floor.
func (c claim) fraction(level, floor float64) float64 {
	if c.rate <= level*c.share {
		return 1
	}
	return max(floor, level*c.share/c.rate)
}

// levelFor returns the level at which the claims, which exceed the capacity together, use the capacity.
func levelFor(capacity, floor float64, claims []claim) float64 {
	low, high := 0.0, 0.0
	for _, one := range claims {
		if one.rate > 0 {
			high = max(high, one.rate/one.share)
		}
	}
	for range bisectionSteps {
		middle := low + (high-low)/2
		used := 0.0
		for _, one := range claims {
			used += one.rate * one.fraction(middle, floor)
		}
		if used > capacity {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}
