package fairshare

import (
	"math"
	"sync"
	"time"
)

const (
	// usualTime is the time constant with which the usual demand follows the demand.
	usualTime = 20 * time.Second
	// maxGap is how long a demand that was observed counts as present. After it the demand counts as 0,
	// since organisations without requests are no longer reported.
	maxGap = 2500 * time.Millisecond
	// maxRise limits the demand that the usual one follows to this multiple of it. While an organisation
	// that usually has three tenths of the load asks for ten times as much, the others keep nine tenths of
	// what they had for 6 s; without the limit, for less than 1 s. With 24 equal organisations it is 27 s.
	maxRise = 2
	// minFollowed is the part of the demand that the usual one follows at least, so that it rises from 0.
	// Up to ten times the usual demand it doesn't exceed maxRise.
	minFollowed = 0.2
	// maxUsual limits the organisations that are stored, well above those that daemons report. Beyond
	// it, a new one replaces the one with the smallest usual demand.
	maxUsual = 1024
)

// Usual follows the demand of organisations for a kind of request slowly: by usualTime, or slower where it
// rises to more than twice the usual one. The zero value knows none. It is safe for concurrent use.
type Usual struct {
	mutex sync.Mutex
	rates map[string]usualRate
}

// usualRate is the usual demand of an organisation as of a time, in units of work per second.
type usualRate struct {
	rate float64
	asOf time.Time
}

// Observe records the present demand of an organisation, in units of work per second. It is called a few
// times a second; the first call only begins the measurement.
func (u *Usual) Observe(organisation string, rate float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now := time.Now()
	known, isKnown := u.rates[organisation]
	if !isKnown {
		if u.rates == nil {
			u.rates = map[string]usualRate{}
		}
		if len(u.rates) >= maxUsual {
			u.dropSmallest(now)
		}
		known.asOf = now
	}
	known = known.following(positive(rate), now)
	u.rates[organisation] = known
}

// Of returns the usual demand of an organisation, in units of work per second; 0 if it is unknown.
func (u *Usual) Of(organisation string) float64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.rates[organisation].at(time.Now())
}

// dropSmallest removes the organisation with the smallest usual demand. The mutex is held.
func (u *Usual) dropSmallest(now time.Time) {
	smallest, smallestRate := "", math.Inf(1)
	for organisation, known := range u.rates {
		if rate := known.at(now); rate < smallestRate {
			smallest, smallestRate = organisation, rate
		}
	}
	delete(u.rates, smallest)
}

// at returns the usual demand at a time. It falls if no demand was observed for longer than maxGap.
func (r usualRate) at(now time.Time) float64 {
	if gap := now.Sub(r.asOf) - maxGap; gap > 0 {
		return r.rate * math.Exp(-gap.Seconds()/usualTime.Seconds())
	}
	return r.rate
}

// following returns the usual demand after it has followed a demand until a time.
func (r usualRate) following(rate float64, now time.Time) usualRate {
	usual := r.at(now)
	elapsed := min(maxGap, now.Sub(r.asOf))
	followed := min(rate, max(maxRise*usual, minFollowed*rate))
	return usualRate{
		rate: usual + (followed-usual)*(1-math.Exp(-elapsed.Seconds()/usualTime.Seconds())),
		asOf: now,
	}
}
