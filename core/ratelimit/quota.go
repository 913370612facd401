package ratelimit

import (
	"math"
	"time"
)

// The excess that the requirements tolerate over all daemons: in any window, a multiple of what
// the limit allows plus some extra requests.
const (
	excessWindow    = 4 * time.Second
	toleratedFactor = 1.5
	toleratedExtra  = 5
)

const (
	// burstFraction is the fraction of the tolerated excess that bursts may use. The rest
	// covers daemons that have another list or another limit for a while, when old and new
	// quotas are both in use.
	burstFraction = 0.5
	// minPerSecond is the rate of all daemons together for a server with a lower limit or 0.
	// Without any request no daemon would observe that the limit is over.
	minPerSecond = 0.05
	// sameZoneWeight is the quota of a daemon in the server's availability zone relative to one
	// in another zone. Most requests stay in their zone.
	sameZoneWeight = 3
)

// Position is a daemon's position among those that may share a server's limit. The zero value
// is the position of a daemon without a list; it has no quota.
type Position struct {
	// Rank is the daemon's number, from 0, in an order that is the same at all daemons and
	// begins with those in the server's availability zone.
	Rank int
	// SameZone is the number of daemons in that zone, Total the number of all daemons.
	SameZone int
	Total    int
}

// Quota is one daemon's quota of a limit. The zero value allows nothing.
type Quota struct {
	PerSecond float64
	// Burst is how many requests may be sent at once after an idle time.
	Burst int
}

// Quota returns the quota of the daemon at a position. Each daemon sends whole requests, so all
// daemons together may send up to the window times the limit, plus one request for each daemon.
// With quotas for hundreds of daemons, their first requests alone would exceed the limit. So
// only as many daemons have a quota as burstFraction of the excess has requests; the others
// send nothing to the server.
func (l Limit) Quota(position Position) Quota {
	rate := max(l.PerSecond, minPerSecond)
	bursts := max(1, int(burstFraction*l.maxExcess()))
	sharers := min(bursts, position.Total)
	if position.Rank >= sharers {
		return Quota{}
	}
	sameZone := min(position.SameZone, sharers)
	weight := 1.0
	if position.Rank < sameZone {
		weight = sameZoneWeight
	}
	return Quota{
		PerSecond: rate * weight / float64(sameZoneWeight*sameZone+sharers-sameZone),
		Burst:     int(math.Floor(float64(bursts) / float64(sharers))),
	}
}
