package retry

import (
	"math"
	"time"
)

// Part is a daemon's part of limits that all daemons share, by a list of the daemons. Each daemon
// may use the whole share for its own requests. The burst is divided, so that the parts of all
// daemons never add up to more than the whole, whatever lists they have:
//
//   - A list never loses a daemon, and a longer list never gives a daemon a larger part.
//   - A daemon uses its part only with a list that is at most a window old, and only after it has
//     seen itself in the list for a window. So the list of any daemon that uses its part contains
//     all others that do.
//
// The zero value has no burst. A Part is immutable.
type Part struct {
	// Total are the limits of all daemons together.
	Total Limits

	// daemons is the highest known number of daemons, and position this daemon's position, from 0,
	// in an order of all daemons that does not depend on the list.
	daemons  int
	position int
	// listedSince is when this start of the daemon first saw itself in the list; the zero value
	// means that it has not. listAsOf is the time as of which the list is valid.
	listedSince time.Time
	listAsOf    time.Time
}

// WithList returns the part after a list was read: its number of daemons, this daemon's position in
// it and the time as of which it is valid. A daemon that the list does not contain has a negative
// position.
func (p Part) WithList(daemons, position int, asOf, now time.Time) Part {
	next := p
	next.listAsOf = asOf
	next.daemons = max(p.daemons, daemons)
	next.position = max(p.position, position)
	if position >= 0 && p.listedSince.IsZero() {
		next.listedSince = now
	}
	return next
}

// Daemons returns the highest known number of daemons.
func (p Part) Daemons() int {
	return p.daemons
}

// Limits returns the daemon's limits at a time.
func (p Part) Limits(now time.Time) Limits {
	limits := p.Total
	limits.BurstSince = p.listedSince.Add(p.Total.Window)
	isListed := !p.listedSince.IsZero() && !now.Before(limits.BurstSince)
	if !isListed || now.Sub(p.listAsOf) > p.Total.Window {
		limits.Burst = 0
		return limits
	}
	limits.Burst = burstPart(p.Total.Burst, p.daemons, p.position)
	return limits
}

// burstPart returns the part of a burst for a daemon. If even parts are too small to be of use, the
// first daemons have minBurst each and the others nothing.
func burstPart(burst float64, daemons, position int) float64 {
	even := burst / float64(daemons)
	if even >= minBurst {
		return even
	}
	if float64(position) < math.Floor(burst/minBurst) {
		return minBurst
	}
	return 0
}
