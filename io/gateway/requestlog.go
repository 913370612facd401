package gateway

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/request"
)

// attemptTrail is the attempts of a request as its log line names them. The zero value is empty. It is safe for
// concurrent use.
type attemptTrail struct {
	mutex   sync.Mutex
	entries []string
	// breakTimes holds, for each attempt that the server broke off, the time from the attempt to the break.
	breakTimes []time.Duration
}

// add adds an attempt and its result. ReasonNone means that the answer began or is complete.
func (t *attemptTrail) add(a *attempt, reason request.Reason) {
	entry := a.server.ID
	if a.server.Membership.Group != "" {
		entry += "/" + a.server.Membership.Group
	}
	if a.peer != "" {
		entry += "@" + a.peer
	}
	if reason != request.ReasonNone {
		entry += ":" + string(reason)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.entries = append(t.entries, entry)
	if reason == request.ReasonConnectionBroken || reason == request.ReasonAnswerTruncated {
		t.breakTimes = append(t.breakTimes, time.Since(a.sentAt))
	}
}

// String returns the attempts so far, in their order.
func (t *attemptTrail) String() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return strings.Join(t.entries, " ")
}

// milliseconds returns durations in whole milliseconds.
func milliseconds(times []time.Duration) []int64 {
	var rounded []int64
	for _, one := range times {
		rounded = append(rounded, one.Milliseconds())
	}
	return rounded
}

// finish records the request's metrics, writes its log line and releases its resources. Attempts that are still
// in flight are aborted. Only the first call has an effect.
func (j *job) finish(status int, reason request.Reason) {
	if j.isFinished.Swap(true) {
		return
	}
	if j.stopClientWatch != nil {
		j.stopClientWatch()
	}
	j.cancel()
	if j.history.Begun() > 0 && j.eventCount == 0 && !j.isInTime(time.Now()) {
		j.recordTimeliness()
	}
	j.server.inFlight.remove(j)
	j.endRun(status, reason)
	took := time.Since(j.request.ReceivedAt)
	j.afterHedges(func() { j.recordEnding(status, reason, took) })
}

// afterHedges calls report at once if the request has no hedges, and else in the background once they have ended: one
// that connects does not end at once, and the client waits for the end of its answer.
func (j *job) afterHedges(report func()) {
	if !j.hasHedged.Load() {
		report()
		return
	}
	go func() {
		j.hedges.Wait()
		report()
	}()
}

// recordEnding records a request that has no attempt in flight any more.
func (j *job) recordEnding(status int, reason request.Reason, took time.Duration) {
	j.server.inFlightByDigest.remove(j)
	j.releaseTrials()
	if !j.isBodyHeld {
		j.releaseMemory()
	}
	isSuccess := reason == request.ReasonNone && status < fasthttp.StatusInternalServerError
	if isSuccess {
		j.server.count(countSucceeded, "whole")
		j.server.observe(timeCompleteAnswer, took)
		if j.eventCount > 0 {
			j.server.observe(timeFirstEvent, j.timeToFirstEvent)
			j.server.observe(timeLongestEventGap, j.longestEventGap)
		}
	}
	mayWrite, suppressed := true, 0
	if isSuccess {
		mayWrite, suppressed = j.server.successThrottle.allow()
	}
	if mayWrite {
		j.writeLogLine(status, reason, took, suppressed)
	}
}

// loggedAge returns an age in milliseconds, or -1 if it is unknown.
func loggedAge(age time.Duration) int64 {
	if age == math.MaxInt64 {
		return -1
	}
	return age.Milliseconds()
}

// writeLogLine writes the request's log line.
func (j *job) writeLogLine(status int, reason request.Reason, took time.Duration, suppressed int) {
	fields := []zap.Field{
		zap.String("request_id", j.request.ID),
		zap.Int("status", status),
		zap.String("reason", string(reason)),
		zap.Int64("took_ms", took.Milliseconds()),
		zap.String("sent_to", j.trail.String()),
		zap.Int("runs", j.history.Runs()),
		zap.Int64("view_age_ms", loggedAge(j.server.source.Confirmation().age(j.server.clock))),
	}
	fields = append(fields, zap.Int64("servers_version", j.server.source.View().Fleet.Version))
	if j.config != nil {
		fields = append(fields,
			zap.Int64("config_version", j.config.Version),
			zap.Int64("decided_view_age_ms", loggedAge(j.decidedAge)),
			zap.String("view_source", j.confirmation.Source))
	}
	if j.route != nil {
		fields = append(fields, zap.String("route", j.route.Name), zap.String("organisation", j.organisation))
	}
	if since, isDuringStop := j.sinceStop(); isDuringStop {
		fields = append(fields, zap.Int64("taken_after_stop_ms", since.Milliseconds()),
			zap.Int64("expected_ms", time.Duration(j.expectedDuration.Load()).Milliseconds()))
	}
	if j.isRetryBudgetSpent {
		fields = append(fields, zap.Bool("retry_budget_spent", true))
	}
	if j.yields {
		fields = append(fields, zap.Bool("yields", true))
	}
	if j.overload.IsOverloaded {
		fields = append(fields,
			zap.String("decision", j.decision(reason)),
			zap.Int64("held_ms", j.deferredFor.Milliseconds()),
			zap.Float64("fraction", j.overload.PriorityFraction),
			zap.Float64("share", j.overload.OrganisationFraction),
			zap.Int64("backlog_ms", j.overload.Backlog.Milliseconds()),
			zap.Int64("state_age_ms", j.overload.Age.Milliseconds()))
	}
	if j.eventCount > 0 {
		fields = append(fields,
			zap.Int("events", j.eventCount),
			zap.Int64("first_event_ms", j.timeToFirstEvent.Milliseconds()),
			zap.Int64("longest_pause_ms", j.longestEventGap.Milliseconds()))
	}
	if len(j.trail.breakTimes) > 0 || reason == request.ReasonCrashesServers {
		fields = append(fields, zap.Stringer("content", j.contentDigest()), zap.Strings("parts", j.loggedParts()))
	}
	if j.quarantineLeft > 0 {
		fields = append(fields, zap.Stringer("held_by", j.heldBy), zap.Int64("held_for_ms", j.quarantineLeft.Milliseconds()))
	}
	if len(j.trail.breakTimes) > 0 {
		fields = append(fields, zap.Int64s("broke_after_ms", milliseconds(j.trail.breakTimes)))
	}
	if suppressed > 0 {
		fields = append(fields, zap.Int("successes_not_logged", suppressed))
	}
	j.server.log.Info("clients: request ended", fields...)
}
