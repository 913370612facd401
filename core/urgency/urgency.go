// Package urgency decides which of the requests that wait at a server is served first.
//
// The operator's priority decides first. With equal priority, a request that can still meet its
// goal goes before one that cannot. After an outage all clients come back at once; serving the
// longest-waiting first would make every answer late until the backlog is gone. A request that
// is late already loses little by a longer wait.
//
// A request does not carry the time of its client's first attempt, only how long the client
// will still wait. Clients of a route start with the same timeout, so a client with a shorter
// remaining wait than others has been waiting for the difference.
//
// If not all requests can be in time although none has waited before, a random fraction of them
// yields so that the others are in time. YieldController decides how large that fraction is.
package urgency

import (
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
)

// WaitEstimator records the longest wait of each route's clients, which is their initial timeout.
// The zero value is empty. It is safe for concurrent use.
type WaitEstimator struct {
	mutex        sync.Mutex
	longestWaits map[string]time.Duration
}

// TimeWaited records how long a client of a route will still wait, and returns how long it has been
// waiting.
func (e *WaitEstimator) TimeWaited(route string, wait time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, isKnown := e.longestWaits[route]
	if e.longestWaits == nil || (!isKnown && len(e.longestWaits) >= maxRoutes) {
		e.longestWaits = map[string]time.Duration{}
	}
	longestWait := max(wait, e.longestWaits[route])
	e.longestWaits[route] = longestWait
	return longestWait - wait
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

// MeetsGoal reports whether an answer began within the goal. A goal of 0 is always met.
func MeetsGoal(requestedAt, answeredAt time.Time, goal time.Duration) bool {
	return goal <= 0 || answeredAt.Sub(requestedAt) <= goal
}
