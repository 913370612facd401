package balancer

import "time"

// Slow servers get a small share of the requests, independent of scores. Without it, a daemon among
// hundreds would send them nothing, and their votes would expire. They would then count as healthy,
// get their full share, be found slow again, and so on. With it, some daemons always have a request
// in flight there, and vote.

const (
	// trickleFraction is the fraction of its capacity that a slow server gets. Requests there are
	// probably late, so that it should be small. But at least three daemons must have a request in
	// flight there: a head that gets an eighth of the requests of a healthy one with twelve in
	// flight, and takes six times as long, has about nine.
	trickleFraction = 0.5
	// maxExcess is the fraction of their own capacity by which the other servers of the zone may
	// carry requests of the slow ones. Beyond it, slow servers get more.
	maxExcess = 0.15
)

// drawTrickle draws whether the request goes to a slow server of the drawn zone, and returns its
// index, or -1. A request that was already sent to another server is not drawn. The mutex must be
// held.
func (t *Tracker) drawTrickle(now time.Time, candidates []Candidate, suspects map[string]bool) int {
	healthy, slow := trickleCapacities(candidates)
	if healthy <= 0 || slow <= 0 {
		return -1
	}
	share := max(trickleFraction*slow, slow-maxExcess*healthy) / (healthy + slow)
	point := t.random() / share
	if point >= 1 {
		return -1
	}
	remaining := point * slow
	for i, candidate := range candidates {
		if !candidate.isSlow() || !candidate.mayTrickle() {
			continue
		}
		remaining -= candidate.weight()
		if remaining >= 0 {
			continue
		}
		if suspects[candidate.Domain] || !t.stateOf(candidate.ID).isAvailable(now, candidate) {
			return -1
		}
		return i
	}
	return -1
}

// trickleCapacities returns the capacity of the healthy and of the slow servers in the drawn zone.
func trickleCapacities(candidates []Candidate) (healthy, slow float64) {
	for _, candidate := range candidates {
		switch {
		case !candidate.mayTrickle():
		case candidate.isSlow():
			slow += candidate.weight()
		default:
			healthy += candidate.weight()
		}
	}
	return healthy, slow
}

// mayTrickle reports whether the candidate counts for the requests that slow servers get.
func (c Candidate) mayTrickle() bool {
	return c.countsAsCapacity() && c.tier != tierOtherZone && !c.isCrossZone
}

// isAvailable reports that the server is neither ejected nor filled by this daemon's requests.
func (s *serverState) isAvailable(now time.Time, candidate Candidate) bool {
	isFull := candidate.Capacity > 0 && s.inFlight >= candidate.Capacity
	return !isFull && !now.Before(s.ejectedUntil)
}
