package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/config"
	"headcourse/core/request"
)

// writeSlack is how much longer than its client waits an answer may take to be written: one that
// is ready is delivered also when late.
const writeSlack = 2 * time.Second

// limitWriting ends the connection of a client that does not read its answer. Until then the
// server's stream is held up by what the connection holds, and neither grows.
func limitWriting(ctx *fasthttp.RequestCtx, wait time.Duration) {
	// It fails on a closed connection only.
	_ = ctx.Conn().SetWriteDeadline(time.Now().Add(wait + writeSlack))
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	came := s.clock.Now()
	read, err := s.dialect.ReadRequest(ctx)
	s.open.Add(1)
	s.hadAny.Store(true)
	j := &job{
		server:   s,
		request:  read,
		excluded: map[string]bool{},
		priority: noPriority,
		came:     came,
		last:     read.LastEvent,
	}
	limitWriting(ctx, read.Wait)
	if s.leaving.Load() {
		ctx.SetConnectionClose()
	}
	if err != nil {
		j.refuse(ctx, fasthttp.StatusBadRequest, request.ReasonBadRequest)
		return
	}
	j.awaitView()
	status, reason := j.admit()
	if reason != request.ReasonNone {
		j.refuse(ctx, status, reason)
		return
	}
	j.forget = s.gone.Watch(ctx.Conn(), j.clientGone)
	s.budgets.Of(j.service).Earn()
	j.serve(ctx)
}

// handleBadRequest answers what is no request.
func (s *Server) handleBadRequest(ctx *fasthttp.RequestCtx, err error) {
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

// admit finds the route, the organisation and the service of a request, and how
// urgent it is, or returns the status and the reason of its refusal.
func (j *job) admit() (int, request.Reason) {
	view := j.server.source.View()
	if view.Config == nil {
		return fasthttp.StatusServiceUnavailable, request.ReasonNotConfigured
	}
	j.config = view.Config
	if limit := view.Config.Limits.MaxBodyBytes; limit > 0 && len(j.request.Body) > limit {
		return fasthttp.StatusRequestEntityTooLarge, request.ReasonBadRequest
	}
	j.route = view.Config.Route(j.request.Host, j.request.Path())
	if j.route == nil {
		return j.deny(fasthttp.StatusNotFound, request.ReasonNoRoute)
	}
	j.priority = j.route.Priority
	if status, reason := j.admitKey(); reason != request.ReasonNone {
		return status, reason
	}
	j.service = pickService(j.route)
	j.setTimes()
	j.drawYielding()
	return 0, request.ReasonNone
}

// admitKey finds the organisation of a request whose route needs a key, or returns
// the status and the reason of its refusal.
func (j *job) admitKey() (int, request.Reason) {
	if !j.config.NeedsKey(j.route) {
		return 0, request.ReasonNone
	}
	if !j.server.source.MayAcceptKeys() {
		return fasthttp.StatusServiceUnavailable, request.ReasonStale
	}
	organisation := j.config.Organisation(j.request.Key)
	if organisation == nil {
		return j.deny(fasthttp.StatusUnauthorized, request.ReasonNoKey)
	}
	j.organisation = organisation.Name
	if organisation.HasPriority {
		j.priority = organisation.Priority
	}
	return 0, request.ReasonNone
}

// deny returns how a request is refused for which the view holds no route or no key;
// where the view is not current, one may have been added since.
func (j *job) deny(status int, reason request.Reason) (int, request.Reason) {
	if !j.server.source.IsCurrent() {
		return fasthttp.StatusServiceUnavailable, request.ReasonStale
	}
	return status, reason
}

// setTimes works out until when the client waits, and since when.
func (j *job) setTimes() {
	wait := j.request.Wait
	if j.route.Timeout > 0 {
		wait = min(wait, j.route.Timeout)
	}
	waited := j.server.patience.Waited(j.route.Name, wait)
	j.asked = j.request.Arrived.Add(-waited)
	j.deadline = j.came.Add(wait)
}

// pickService draws one of a route's services by weight.
func pickService(route *config.Route) string {
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
	drawn := rand.IntN(total)
	for _, backend := range route.Backends {
		drawn -= max(0, backend.Weight)
		if drawn < 0 {
			return backend.Service
		}
	}
	return route.Backends[0].Service
}

// refuse answers a request that was not run, and ends it.
func (j *job) refuse(ctx *fasthttp.RequestCtx, status int, reason request.Reason) {
	j.server.count(countRefused, reason)
	j.answerOwn(ctx, status, reason)
}

// answerOwn answers with a status of the system's own, and ends the request.
func (j *job) answerOwn(ctx *fasthttp.RequestCtx, status int, reason request.Reason) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain")
	j.server.dialect.Name(ctx, j.request.ID)
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(j.comeBack(reason).Seconds(), 'f', -1, 64))
	}
	ctx.SetBodyString(string(reason) + "\n")
	j.end(status, reason)
}
