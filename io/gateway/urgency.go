package gateway

import (
	"math/rand/v2"
	"time"

	"headcourse/core/config"
	"headcourse/core/request"
	"headcourse/core/urgency"
)

// drawYielding decides whether the request yields to others of its kind.
func (j *job) drawYielding() {
	j.yields = rand.Float64() < j.server.overload.Part(j.kind())
	if j.yields {
		j.server.count(countYielding, request.ReasonOverload)
	}
}

// level returns how urgent the request is at a server, or noPriority where the
// operator gave none.
func (j *job) level() int {
	if j.priority < 0 {
		return noPriority
	}
	return urgency.Level(j.priority, j.isLate())
}

// isLate tells whether the request goes after others of its priority.
func (j *job) isLate() bool {
	if j.events > 0 {
		// It goes on after a break; the pause decides.
		return j.route.PauseGoal > 0 && time.Since(j.lastEventAt) > j.route.PauseGoal
	}
	return j.yields || !j.isInTime(time.Now())
}

// isInTime tells whether an answer that begins at a time is within the route's goal.
func (j *job) isInTime(began time.Time) bool {
	return urgency.InTime(j.asked, began, j.route.Goal)
}

// tellOverload tells the overload whether the request's answer, which begins now, is
// in time. One that yields, or was late when it came, says nothing about it. It is
// called once: at the first event, or at the end where there was none and the goal has
// passed; a request that failed quickly was neither in time nor late.
func (j *job) tellOverload() {
	wasLate := !j.isInTime(j.request.Arrived)
	if j.yields || wasLate || j.route.Kind != config.Stream {
		return
	}
	j.server.overload.Note(j.kind(), j.isInTime(time.Now()))
}
