package fleet

import "time"

const (
	// removalGrace is how long a server may receive requests after its entry was removed:
	// it may have lost its connection to the platform's store for a moment. The grace is at
	// most removalGraceFraction of the drain bound; daemons need the rest of that time to
	// learn of the removal.
	removalGrace         = 800 * time.Millisecond
	removalGraceFraction = 0.4
	// expiryGrace is the grace after an outage of the store during which entries can expire,
	// counted from the end of the outage. Running servers rewrite their entries within about
	// two seconds of it.
	expiryGrace = 2500 * time.Millisecond
	// backlogTime is how long after the end of an outage the store may still report changes
	// that happened during it. The grace of entries removed later is at most
	// lateGraceFraction of the drain bound.
	backlogTime       = 200 * time.Millisecond
	lateGraceFraction = 0.8
	// minExpiryHeartbeats is the duration, in heartbeat intervals, of the shortest outage
	// after which entries count as possibly expired. An entry expires after three missed
	// heartbeats, which takes little more than two intervals; the value leaves a margin.
	minExpiryHeartbeats = 1.6
	// rewriteHeartbeats is the number of heartbeat intervals after a restore of the store
	// within which all running servers have rewritten their entries and the entries of all
	// others have expired.
	rewriteHeartbeats = 3
	// defaultExpiryOutage is used, both as the shortest such outage and as the heartbeat
	// interval, if the heartbeat interval is unknown.
	defaultExpiryOutage = 2 * time.Second
)

// Grace determines how long servers may receive requests after their entry was removed.
// The zero value has default times.
type Grace struct {
	// DrainBound is the time within which a draining server must get no new requests;
	// 0: unknown.
	DrainBound time.Duration
	// HeartbeatInterval is the heartbeat interval of the servers; 0: unknown.
	HeartbeatInterval time.Duration
}

// afterRemoval returns the grace of entries removed while the store is available.
func (g Grace) afterRemoval() time.Duration {
	if g.DrainBound == 0 {
		return removalGrace
	}
	return min(removalGrace, time.Duration(removalGraceFraction*float64(g.DrainBound)))
}

// afterOutage returns the maximum grace of entries removed more than backlogTime after the
// end of an outage, which may be those of servers that have just left.
func (g Grace) afterOutage() time.Duration {
	return max(g.afterRemoval(), time.Duration(lateGraceFraction*float64(g.DrainBound)))
}

// minExpiryOutage returns the duration of the shortest outage after which entries count as
// possibly expired.
func (g Grace) minExpiryOutage() time.Duration {
	if g.HeartbeatInterval == 0 {
		return defaultExpiryOutage
	}
	return time.Duration(minExpiryHeartbeats * float64(g.HeartbeatInterval))
}

// RewriteTime returns how long after a restore of the store entries may still be those of
// the older copy.
func (g Grace) RewriteTime() time.Duration {
	if g.HeartbeatInterval == 0 {
		return rewriteHeartbeats * defaultExpiryOutage
	}
	return rewriteHeartbeats * g.HeartbeatInterval
}

// Outage is the last outage of the store. The zero value means that there was none.
type Outage struct {
	Began time.Time
	// Ended is zero while the outage lasts.
	Ended time.Time
}

// IsOngoing reports whether the store is unavailable now.
func (o Outage) IsOngoing() bool {
	return !o.Began.IsZero() && o.Ended.IsZero()
}

// GraceUntil returns the end of the grace of a server whose entry is removed now. The
// longer grace after an outage counts from the end of the outage, not from the
// removal, so that it does not apply to a server that leaves later.
func (o Outage) GraceUntil(grace Grace) time.Time {
	until := time.Now().Add(grace.afterRemoval())
	if o.Ended.IsZero() || o.Ended.Sub(o.Began) < grace.minExpiryOutage() {
		return until
	}
	expiryUntil := o.Ended.Add(expiryGrace)
	if time.Since(o.Ended) > backlogTime {
		expiryUntil = earlier(expiryUntil, time.Now().Add(grace.afterOutage()))
	}
	if expiryUntil.After(until) {
		return expiryUntil
	}
	return until
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// IsSettled reports whether the store has been available for long enough that a missing
// entry means a missing server.
func (o Outage) IsSettled() bool {
	if o.Began.IsZero() {
		return true
	}
	return !o.Ended.IsZero() && time.Since(o.Ended) > expiryGrace
}
