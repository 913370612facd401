package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"headcourse/core/config"
	"headcourse/core/request"
)

// writeGrace is how long after the client's timeout an answer may still be written, so that an
// answer that is ready is delivered even if it is late.
const writeGrace = 2 * time.Second

// setWriteDeadline makes the connection of a client that does not read its answer fail writeGrace
// after the client's timeout. Until then the backend stream is blocked once the connection's
// buffers are full, so memory does not grow.
func setWriteDeadline(ctx *fasthttp.RequestCtx, wait time.Duration) {
	// SetWriteDeadline fails only on a closed connection.
	_ = ctx.Conn().SetWriteDeadline(time.Now().Add(wait + writeGrace))
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	acceptedAt := s.clock.Now()
	parsed, err := s.codec.ReadRequest(ctx)
	s.hadRequests.Store(true)
	j := &job{
		server:      s,
		request:     parsed,
		priority:    noPriority,
		acceptedAt:  acceptedAt,
		lastEventID: parsed.LastEventID,
	}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	s.inFlight.add(j)
	setWriteDeadline(ctx, parsed.ClientTimeout)
	if s.isDraining.Load() {
		metrics.GetOrRegisterCounter(countDuringStop, s.registry).Inc(1)
	}
	if s.isDraining.Load() || s.hasManyClients() {
		ctx.SetConnectionClose()
	}
	if err != nil {
		j.refuse(ctx, fasthttp.StatusBadRequest, request.ReasonBadRequest)
		return
	}
	j.waitForView()
	status, reason := j.admit()
	if reason != request.ReasonNone {
		j.refuse(ctx, status, reason)
		return
	}
	if !j.mayFinish() {
		j.refuse(ctx, fasthttp.StatusServiceUnavailable, request.ReasonDaemonStopping)
		return
	}
	j.run = s.durations.Begin(shutdownRequest(j.config, j.route, parsed))
	j.stopClientWatch = s.clientWatcher.Watch(ctx.Conn(), j.abortForClient)
	s.budgets.ForName(j.service).RecordRequest()
	release := j.waitForLateSlot()
	defer release()
	j.serve(ctx)
}

// handleBadRequest answers input that cannot be parsed as a request.
func (s *Server) handleBadRequest(ctx *fasthttp.RequestCtx, err error) {
	lingerOnClose(ctx.Conn())
	if s.isBodyLate(err) {
		s.refuseForStop(ctx)
		return
	}
	status := fasthttp.StatusBadRequest
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	s.count(countRefused, request.ReasonBadRequest)
	ctx.SetConnectionClose()
	ctx.SetStatusCode(status)
}

// admit determines the route, organisation, service and priority of a request, or returns the
// status and the reason of its refusal.
func (j *job) admit() (int, request.Reason) {
	status, reason := j.judge()
	if j.needsConfirmation(reason) {
		j.awaitConfirmation()
		status, reason = j.judge()
	}
	if reason != request.ReasonNone {
		return status, reason
	}
	j.service = selectService(j.route)
	j.estimateAnswer()
	j.setDeadline()
	j.decideYielding()
	return 0, request.ReasonNone
}

// judge determines the route, organisation and priority of a request by the current view, or returns the status and
// the reason of its refusal.
func (j *job) judge() (int, request.Reason) {
	// The view that is loaded after its confirmation contains at least what was confirmed.
	j.confirmation = j.server.source.Confirmation()
	return j.findRoute(j.server.source.View().Config)
}

// findRoute determines the route, organisation and priority of a request by a configuration, or returns the
// status and the reason of its refusal.
func (j *job) findRoute(current *config.Config) (int, request.Reason) {
	if current == nil {
		return fasthttp.StatusServiceUnavailable, request.ReasonNotConfigured
	}
	j.config = current
	if limit := current.Limits.MaxBodyBytes; limit > 0 && len(j.request.Body) > limit {
		return fasthttp.StatusRequestEntityTooLarge, request.ReasonBadRequest
	}
	j.route = current.Route(j.request.Host, j.request.Path())
	if j.route == nil {
		return j.deny(fasthttp.StatusNotFound, request.ReasonNoRoute)
	}
	j.priority = j.route.Priority
	j.organisation = ""
	return j.authenticate()
}

// authenticate determines the organisation of a request whose route requires a key, or returns
// the status and the reason of its refusal.
func (j *job) authenticate() (int, request.Reason) {
	if !j.config.NeedsKey(j.route) {
		return 0, request.ReasonNone
	}
	if !j.server.source.ConfirmationPolicy().MayAcceptKeys(j.viewAge()) {
		return fasthttp.StatusServiceUnavailable, request.ReasonConfigurationStale
	}
	organisation := j.config.Organisation(j.request.APIKey)
	if organisation == nil {
		return j.deny(fasthttp.StatusUnauthorized, request.ReasonUnknownKey)
	}
	j.organisation = organisation.Name
	if organisation.HasPriority {
		j.priority = organisation.Priority
	}
	return 0, request.ReasonNone
}

// viewAge determines and returns the age of the configuration by which the request is judged.
func (j *job) viewAge() time.Duration {
	j.decidedAge = j.confirmation.age(j.server.clock)
	return j.decidedAge
}

// deny returns the refusal of a request whose route or key is not in the view. If the view is too old, the refusal is
// 503, since the route or key may have been added since.
func (j *job) deny(status int, reason request.Reason) (int, request.Reason) {
	age := j.viewAge()
	if !j.server.source.ConfirmationPolicy().MayRefuse(age) {
		return fasthttp.StatusServiceUnavailable, request.ReasonConfigurationStale
	}
	j.server.observe(timeViewAgeAtRefusal, age)
	return status, reason
}

// setDeadline sets the request's deadline and the estimated time of the client's first attempt.
func (j *job) setDeadline() {
	wait := j.request.ClientTimeout
	if j.route.Timeout > 0 {
		wait = min(wait, j.route.Timeout)
	}
	timeWaited := j.server.waitEstimator.TimeWaited
	if j.request.LastEventID > 0 {
		timeWaited = j.server.waitEstimator.RetryTimeWaited
	}
	j.firstAttemptAt = j.request.ReceivedAt.Add(-timeWaited(j.route.Name, wait))
	j.deadline = j.acceptedAt.Add(wait)
}

// selectService selects one of a route's services at random, by weight.
func selectService(route *config.Route) string {
	total := 0
	for _, backend := range route.Backends {
		total += max(0, backend.Weight)
	}
	if total == 0 {
		if len(route.Backends) == 0 {
			return ""
		}
		return route.Backends[0].Service
	}
	remainder := rand.IntN(total)
	for _, backend := range route.Backends {
		remainder -= max(0, backend.Weight)
		if remainder < 0 {
			return backend.Service
		}
	}
	return route.Backends[0].Service
}

// refuse answers a request that was not run, and finishes it.
func (j *job) refuse(ctx *fasthttp.RequestCtx, status int, reason request.Reason) {
	j.server.count(countRefused, reason)
	j.answerWithStatus(ctx, status, reason)
}

// answerWithStatus writes an answer that the gateway itself generates, and finishes the
// request.
func (j *job) answerWithStatus(ctx *fasthttp.RequestCtx, status int, reason request.Reason) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain")
	j.server.codec.SetRequestID(ctx, j.request.ID)
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(j.retryAfter(reason).Seconds(), 'f', -1, 64))
	}
	ctx.SetBodyString(string(reason) + "\n")
	j.finish(status, reason)
}
