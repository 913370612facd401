package ratelimit

import (
	"math"
	"time"
)

// The excess over a limit that the users tolerate: in any window so many times what the limit
// allows, and so many requests more, over all daemons.
const (
	window          = 4 * time.Second
	toleratedFactor = 1.5
	toleratedExtra  = 5
)

// Figures of parts.
const (
	// burstPart is the part of the tolerated excess that bursts may use. The rest is for
	// daemons that know another list or another limit for a while: old and new parts are
	// then both in use.
	burstPart = 0.5
	// leastPerSecond is what all daemons together send to a server that takes less, or
	// nothing: without any request nobody would hear that its limit is over.
	leastPerSecond = 0.05
	// nearWeight is how much more of a limit a daemon of the server's availability zone
	// has than one of another: most requests stay in their zone.
	nearWeight = 3
)

// Place is a daemon's place among those that may share a server's limit. The zero value is
// a daemon that knows no others, and has no part.
type Place struct {
	// Rank is its number, from 0, in an order that all daemons know alike: those of the
	// server's availability zone first.
	Rank int
	// Near is how many are in that zone, Of how many there are in all.
	Near int
	Of   int
}

// Part is what one daemon may send of a limit. The zero value is nothing.
type Part struct {
	PerSecond float64
	// Burst is how many requests may come at once after a while without any.
	Burst int
}

// Part divides the limit. A daemon that sends anything sends one whole request at a time, so
// the sum over all daemons in a window is at most window times the limit and one request for
// each of them: parts for hundreds of daemons would break the limit by their first requests
// alone. So only as many daemons have a part as there are such requests in burstPart of the
// excess; the others leave the server to them.
func (l Limit) Part(place Place) Part {
	rate := max(l.PerSecond, leastPerSecond)
	bursts := max(1, int(burstPart*l.excess()))
	sharing := min(bursts, place.Of)
	if place.Rank >= sharing {
		return Part{}
	}
	near := min(place.Near, sharing)
	weight := 1.0
	if place.Rank < near {
		weight = nearWeight
	}
	return Part{
		PerSecond: rate * weight / float64(nearWeight*near+sharing-near),
		Burst:     int(math.Floor(float64(bursts) / float64(sharing))),
	}
}
