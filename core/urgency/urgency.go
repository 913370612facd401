// Package urgency decides which of the requests that wait at a server is served first.
//
// The operator's priority decides first. With equal priority, a request that can still meet its
// goal goes before one that cannot. After an outage all clients come back at once; serving the
// longest-waiting first would make every answer late until the backlog is gone. A request that
// is late already loses little by a longer wait.
//
// A request does not carry the time of its client's first attempt, only how long the client
// will still wait. Clients of a route start with timeouts that vary in a range, which
// WaitEstimator estimates. A client with a remaining wait below that range has been waiting for the
// difference.
//
// If not all requests can be in time although none has waited before, a random fraction of them
// yields so that the others are in time. YieldController decides how large that fraction is.
package urgency

import (
	"slices"
	"sync"
	"time"
)

const (
	// lowestLevel is the last of the ten levels of a server; 0 is served first.
	lowestLevel = 9
	// levelsPerPriority leaves a level for late requests between two priorities.
	levelsPerPriority = 2
	// maxRoutes is the limit of recorded routes; a new route beyond it clears the map.
	maxRoutes = 4096
	// waitSamples is the number of recent waits that are kept for each route. Older ones may be from
	// before a change of the route's timeout.
	waitSamples = 32
	// minWaitSamples is the number of waits from which their variation is estimated. With fewer, all
	// clients are assumed to start with the longest wait.
	minWaitSamples = 8
)

// denseWaits is a number of a route's longest waits. If they are minDensity times as dense as the waits
// down to the median, they are first attempts, and the median is a retry's. The fewer they are, the
// more their density varies by chance.
type denseWaits struct {
	count      int
	minDensity int
}

// denseLongest are the numbers of longest waits whose density is compared with that of the waits down to
// the median, from one in denseDivisor of all waits to half of them. Of evenly distributed waits, each number
// is taken for dense in fewer than 4 of 100 cases.
var denseLongest = [...]denseWaits{
	{
		count:      2,
		minDensity: 60,
	},
	{
		count:      3,
		minDensity: 24,
	},
	{
		count:      4,
		minDensity: 10,
	},
	{
		count:      8,
		minDensity: 3,
	},
}

// denseDivisor is the inverse of the smallest part of the waits that can be taken for all first attempts.
const denseDivisor = 8

// WaitEstimator estimates the range of the timeouts with which the clients of each route start,
// from the remaining waits of recent requests. The zero value is empty. It is safe for concurrent
// use.
type WaitEstimator struct {
	mutex  sync.Mutex
	routes map[string]*recentWaits
}

// recentWaits holds the last waits of a route.
type recentWaits struct {
	waits [waitSamples]time.Duration
	// count is the number of waits recorded so far.
	count int
}

// TimeWaited records how long a client of a route will still wait, and returns how long it has been
// waiting: by how much its wait is below the range of initial timeouts.
func (e *WaitEstimator) TimeWaited(route string, wait time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	recent, isKnown := e.routes[route]
	if e.routes == nil || (!isKnown && len(e.routes) >= maxRoutes) {
		e.routes = map[string]*recentWaits{}
	}
	if !isKnown {
		recent = &recentWaits{}
		e.routes[route] = recent
	}
	recent.record(wait)
	return max(0, recent.shortestInitial()-wait)
}

// RetryTimeWaited returns how long a client of a route has been waiting whose request is known to be a
// retry. The wait is not recorded. It returns 0 if nothing is known about the route.
func (e *WaitEstimator) RetryTimeWaited(route string, wait time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	recent, isKnown := e.routes[route]
	if !isKnown {
		return 0
	}
	return max(0, recent.shortestInitial()-wait)
}

// record adds a wait and discards the oldest one.
func (r *recentWaits) record(wait time.Duration) {
	r.waits[r.count%waitSamples] = wait
	r.count++
}

// shortestInitial returns the lower end of the range of initial timeouts. The range is assumed to be
// symmetrical around the median, which a minority of retries with much shorter waits hardly moves,
// unlike the shortest wait or a low quantile. After a loss of power retries may be the majority: the
// longest waits are then much denser than those down to the median, and they alone give the range.
func (r *recentWaits) shortestInitial() time.Duration {
	sorted := slices.Clone(r.waits[:min(r.count, waitSamples)])
	slices.Sort(sorted)
	longest := sorted[len(sorted)-1]
	if len(sorted) < minWaitSamples {
		return longest
	}
	spread := 2 * (longest - sorted[len(sorted)/2])
	for _, dense := range denseLongest {
		if dense.count >= len(sorted)/denseDivisor && dense.count <= len(sorted)/2 {
			spread = min(spread, dense.spread(sorted))
		}
	}
	return longest - spread
}

// spread returns the range of initial timeouts by the longest of the sorted waits alone, if they are dense
// enough, or the longest wait otherwise.
func (d denseWaits) spread(sorted []time.Duration) time.Duration {
	longest := sorted[len(sorted)-1]
	byMedian := 2 * (longest - sorted[len(sorted)/2])
	bySelf := (longest - sorted[len(sorted)-d.count]) * time.Duration(len(sorted)) / time.Duration(d.count)
	if bySelf >= byMedian/time.Duration(d.minDensity) {
		return longest
	}
	// The distance within few waits varies by chance, so that twice of it is allowed.
	return 2 * bySelf
}

// Level returns the level of a request at its server, with 0 the most urgent, by the operator's
// priority and by whether the goal can still be met.
func Level(priority int, isLate bool) int {
	level := levelsPerPriority * priority
	if isLate {
		level++
	}
	return min(level, lowestLevel)
}

// RankedLevel returns the level of a request at its server where the priority of an organisation
// replaces that of the route. Requests of equal priority are then ordered by whether the goal can still
// be met, and among equals by the route: isRouteBelow reports that the route itself is less urgent than
// the priority. Without that order, the less urgent of two routes to the same model was served better,
// since its goal is longer. Only two priorities can be told apart in full; all further ones share the
// last two levels.
func RankedLevel(priority int, isLate, isRouteBelow bool) int {
	const (
		levelsPerRankedPriority = 4
		rankedPriorities        = 2
	)
	if priority >= rankedPriorities {
		return Level(lowestLevel/levelsPerPriority, isLate)
	}
	level := levelsPerRankedPriority * priority
	if isLate {
		level += levelsPerPriority
	}
	if isRouteBelow {
		level++
	}
	return level
}

// MeetsGoal reports whether an answer began within the goal. A goal of 0 is always met.
func MeetsGoal(requestedAt, answeredAt time.Time, goal time.Duration) bool {
	return goal <= 0 || answeredAt.Sub(requestedAt) <= goal
}
