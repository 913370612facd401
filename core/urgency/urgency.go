// Package urgency decides which of the requests that wait at a server goes first.
//
// The operator's priority decides first. Among equals, a request that can still
// be answered within its goal goes before one that cannot: after an outage all
// clients come back at once, and if those who have waited longest are served
// first, everybody's answer is late until the backlog is gone. A request that is
// late already loses nothing by waiting a little longer for its answer.
//
// A client does not tell when it first asked. It tells how long it will still
// wait, and clients of a route start with the same patience; so one that will wait
// less than others do has been waiting for the difference.
//
// Where not all can be in time although none waited before, a part of them yields,
// drawn by chance, so that the others are in time: Overload decides how large a part.
package urgency

import (
	"sync"
	"time"
)

// Figures of levels.
const (
	// leastUrgent is the last of the ten levels that servers know; 0 goes first.
	leastUrgent = 9
	// levelsPerPriority leaves room for late requests between two priorities.
	levelsPerPriority = 2
	// mostRoutes bounds the routes that are remembered; beyond it all are learned
	// anew.
	mostRoutes = 4096
)

// Patience learns how long clients of each route wait at first. The zero value
// knows nothing; it is safe for concurrent use.
type Patience struct {
	mutex   sync.Mutex
	longest map[string]time.Duration
}

// Waited notes how long a client of a route will still wait, and returns how long
// it has been waiting.
func (p *Patience) Waited(route string, wait time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, isKnown := p.longest[route]
	if p.longest == nil || (!isKnown && len(p.longest) >= mostRoutes) {
		p.longest = map[string]time.Duration{}
	}
	longest := max(wait, p.longest[route])
	p.longest[route] = longest
	return longest - wait
}

// Level returns the level of a request at its server, 0 the most urgent, by the
// operator's priority and whether the goal can still be met.
func Level(priority int, isLate bool) int {
	level := levelsPerPriority * priority
	if isLate {
		level++
	}
	return min(level, leastUrgent)
}

// InTime tells whether an answer that began at a time is within a goal; a goal of 0
// is always met.
func InTime(asked, began time.Time, goal time.Duration) bool {
	return goal <= 0 || began.Sub(asked) <= goal
}
