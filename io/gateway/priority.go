package gateway

import (
	"time"

	"headcourse/core/config"
	"headcourse/core/urgency"
)

// serverPriority returns the request's priority at a server, or noPriority if the operator set
// none. lastEventAt is when the client received the last event; zero: none.
func (j *job) serverPriority(lastEventAt time.Time) int {
	if j.priority < 0 {
		return noPriority
	}
	isLate := j.isLate(lastEventAt)
	if j.config.HasOrganisationPriorities() {
		return urgency.RankedLevel(j.priority, isLate, j.route.Priority > j.priority)
	}
	return urgency.Level(j.priority, isLate)
}

// isLate reports whether the request is ordered after others of its priority. Of a stream that is resumed only
// the gap since its last event counts.
func (j *job) isLate(lastEventAt time.Time) bool {
	if !lastEventAt.IsZero() {
		return j.route.EventGapGoal > 0 && time.Since(lastEventAt) > j.route.EventGapGoal
	}
	return j.yields || !j.isInTime(time.Now())
}

// isInTime reports whether an answer that starts at startedAt meets the route's goal.
func (j *job) isInTime(startedAt time.Time) bool {
	return urgency.MeetsGoal(j.firstAttemptAt, startedAt, j.route.LatencyGoal)
}

// recordTimeliness records for overload detection whether the request's answer, which starts
// now, is in time. Only streams are counted, and of these neither the ones that yield nor those
// that were late on arrival. It is called at most once: at the first event, or at the end if
// there was none and the goal has passed. A request that failed quickly was neither in time nor
// late.
func (j *job) recordTimeliness() {
	wasLate := !j.isInTime(j.request.ReceivedAt)
	if j.yields || wasLate || j.route.Kind != config.Stream {
		return
	}
	isInTime := j.isInTime(time.Now())
	j.server.yieldController.Record(j.requestClass(), isInTime)
	j.server.meter.RecordTimeliness(j.kind(), isInTime)
}
