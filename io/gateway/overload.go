package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"headcourse/core/config"
	"headcourse/core/deferral"
	"headcourse/core/demand"
	"headcourse/core/overload"
	"headcourse/core/request"
)

const (
	// maxDeferral bounds the time that a request is deferred, which is also at most
	// 1/deferralDivisor of its remaining time. Clients give up a stream after two seconds of silence,
	// and the server needs the rest of them.
	maxDeferral     = 900 * time.Millisecond
	deferralDivisor = 4
	// minDeferralOverload is the part of the requests that must be without priority before any are
	// deferred or refused. Up to there the servers' own order serves those without priority in the
	// gaps, and most of them in time.
	minDeferralOverload = 0.1
	// heldRequestOverhead is what a held request takes in memory besides its body, in bytes.
	heldRequestOverhead = 16 << 10
)

// Decisions about a request, as they appear in its log line.
const (
	decisionPriority = "priority"
	decisionYields   = "yields"
	decisionDeferred = "deferred"
	decisionRefused  = "refused"
)

// OverloadState is the decision about the requests of one kind and organisation.
type OverloadState struct {
	overload.Decision
	// OrganisationFraction is the part of the organisation's requests that may have priority.
	OrganisationFraction float64
}

// kind returns the kind of the request.
func (j *job) kind() demand.Kind {
	return demand.Kind{
		Service: j.service,
		Model:   j.request.Model,
	}
}

// kindName returns the name of a kind in queues and metrics.
func kindName(kind demand.Kind) string {
	return kind.Service + "/" + kind.Model
}

// decideYielding decides at random whether the request yields to others of its kind, by the demand of
// all daemons and the capacity of the servers. If these are not known, it decides by the timeliness of
// this daemon's own requests.
func (j *job) decideYielding() {
	if j.route.Kind != config.Stream {
		return
	}
	j.overload = j.server.source.Overload(j.kind(), j.organisation)
	j.priorityFraction = 1 - j.server.yieldController.YieldFraction(j.requestClass())
	if j.overload.IsKnown {
		j.priorityFraction = j.overload.OrganisationFraction
	}
	j.yields = rand.Float64() >= j.priorityFraction
	if j.yields {
		j.server.count(countYielding, request.ReasonOverload)
	}
}

// mayBeDeferred reports whether the request may be held or refused: it has no priority, and servers
// cannot serve all requests of its kind. A request that is late on arrival has mostly been refused
// before; it is sent at once, behind others, since a second refusal would leave its client without an
// answer.
func (j *job) mayBeDeferred() bool {
	isSevere := j.overload.IsOverloaded && j.overload.PriorityFraction <= 1-minDeferralOverload
	return isSevere && j.yields && j.route.Kind == config.Stream && !j.server.isDraining.Load() &&
		j.request.LastEventID == 0 && j.isInTime(j.request.ReceivedAt)
}

// waitWhileDeferred holds a stream without priority during an overload until the servers can take it, so
// that their slots stay free for requests that can be in time. If that would take longer than the
// request can wait, it is refused at once: its client returns when there is capacity. It returns the
// status and the reason of a refusal, or ReasonNone.
func (j *job) waitWhileDeferred() (int, request.Reason) {
	if !j.mayBeDeferred() {
		return 0, request.ReasonNone
	}
	startedAt := time.Now()
	result := j.server.deferred.Acquire(j.ctx, kindName(j.kind()), deferral.Ticket{
		Priority:     max(0, j.priority),
		Deadline:     j.firstEventDeadline(),
		Organisation: j.organisation,
		Bytes:        len(j.request.Body) + heldRequestOverhead,
		MaxWait:      min(maxDeferral, j.timeLeft()/deferralDivisor),
		MayRefuse:    true,
	})
	if result == deferral.Refused {
		return fasthttp.StatusServiceUnavailable, request.ReasonOverload
	}
	j.deferredFor = time.Since(startedAt)
	j.server.observe(timeDeferred, j.deferredFor)
	return j.admitAgain()
}

// firstEventDeadline returns when the answer has to begin to meet the route's goal, or the zero time if the
// route has none.
func (j *job) firstEventDeadline() time.Time {
	if j.route.LatencyGoal <= 0 {
		return time.Time{}
	}
	return j.firstAttemptAt.Add(j.route.LatencyGoal)
}

// admitAgain checks the route and the key of a request that was held, since the operator may have changed
// them meanwhile. It returns the status and the reason of its refusal, or ReasonNone.
func (j *job) admitAgain() (int, request.Reason) {
	view := j.server.source.View()
	if view.Config == j.config {
		return 0, request.ReasonNone
	}
	status, reason := j.findRoute(view.Config)
	if reason == request.ReasonNone && !j.route.HasBackend(j.service) {
		j.service = selectService(j.route)
	}
	return status, reason
}

// decision returns what was decided about the request, for its log line.
func (j *job) decision(reason request.Reason) string {
	switch {
	case reason == request.ReasonOverload:
		return decisionRefused
	case j.deferredFor > 0:
		return decisionDeferred
	case j.yields:
		return decisionYields
	default:
		return decisionPriority
	}
}

// SetDeferredRate sets how many deferred requests of a kind this daemon sends in a second. A daemon that
// stops sends all that it has read.
func (s *Server) SetDeferredRate(kind demand.Kind, perSecond float64) {
	if s.isDraining.Load() {
		perSecond = math.Inf(1)
	}
	s.deferred.SetRate(kindName(kind), perSecond)
}

// RetainDeferredRates removes the limits on deferred requests of all kinds but the given ones, so that a kind
// that was removed from the configuration does not stay limited.
func (s *Server) RetainDeferredRates(kinds []demand.Kind) {
	names := make(map[string]bool, len(kinds))
	for _, kind := range kinds {
		names[kindName(kind)] = true
	}
	s.deferred.Retain(names)
}

// HeldRequests returns the number of deferred requests that wait.
func (s *Server) HeldRequests() int {
	requests, _ := s.deferred.Waiting()
	return requests
}

// HeldRequestsOf returns the number of deferred requests of a kind that wait.
func (s *Server) HeldRequestsOf(kind demand.Kind) int {
	return s.deferred.WaitingOf(kindName(kind))
}
