package gateway

import (
	"time"

	"headcourse/core/config"
)

const (
	// lateShare is the fraction of the engines' capacity that late requests may use in the
	// lateLimitDuration after a start. That duration is longer than a backlog of clients takes
	// to be served.
	lateShare         = 0.3
	lateLimitDuration = 4 * time.Second
	// maxLateWait bounds the wait of one late stream for a slot, which is also at most
	// 1/lateWaitDivisor of its remaining time. A client gives up a stream after two seconds of
	// silence.
	maxLateWait     = 450 * time.Millisecond
	lateWaitDivisor = 4
)

// waitForLateSlot delays a stream that is already late while too many late streams are in flight, so
// that capacity remains for requests that arrive next. The caller must call release when the answer
// begins or fails.
func (j *job) waitForLateSlot() (release func()) {
	if !j.mustWaitForLateSlot() {
		return func() {}
	}
	j.recordDemand()
	maxWait := min(maxLateWait, j.timeLeft()/lateWaitDivisor)
	startedAt := time.Now()
	release = j.server.lateStreams.Acquire(kindName(j.kind()), j.lateLimit(), maxWait)
	j.deferredFor = time.Since(startedAt)
	j.server.observe(timeDeferred, j.deferredFor)
	return release
}

// mustWaitForLateSlot reports whether the request is a late stream after a start, when all clients return
// at once. In a lasting overload late requests would wait for each other until their clients give up.
// If the totals of all daemons decide about the kind, late requests are sent at once.
func (j *job) mustWaitForLateSlot() bool {
	isRecentStart := j.server.source.SinceViewReady() < lateLimitDuration
	return isRecentStart && !j.overload.IsKnown && !j.server.isDraining.Load() &&
		j.route.Kind == config.Stream && !j.isInTime(j.request.ReceivedAt)
}

// lateLimit returns how many late requests of the model this daemon may have in flight: its
// share of the capacity for late requests.
func (j *job) lateLimit() int {
	capacity := 0
	for _, server := range j.server.availableServers(j.service, j.request.Model) {
		capacity += server.Capacity
	}
	return max(1, int(lateShare*float64(capacity)/float64(max(1, j.server.source.DaemonCount()))))
}
