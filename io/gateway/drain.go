package gateway

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/config"
	"headcourse/core/request"
	"headcourse/core/shutdown"
	"headcourse/io/tcp"
)

// Counters of requests that were complete after the daemon had begun to stop, and of those that were in flight when it
// ended.
const (
	countDuringStop = "requests_during_stop"
	countCutOff     = "requests_cut_off"
)

const (
	// maxCutOffLines bounds the log lines about requests that are cut off.
	maxCutOffLines = 100
	// maxEndTime is how long the clients of requests that are cut off may take to get the end.
	maxEndTime      = 200 * time.Millisecond
	endPollInterval = 5 * time.Millisecond
)

// Drain begins a planned stop, after which the process is killed once the timeout has passed. Further answers have
// "Connection: close", so that clients move to other connections. Deferred requests are sent at once, and no more are held.
// Requests that are not expected to end in time are refused. It returns the schedule.
func (s *Server) Drain(timeout time.Duration) shutdown.Schedule {
	schedule := shutdown.Schedule{}.WithStart(s.clock.Now(), timeout)
	s.schedule.Store(&schedule)
	s.disableKeepAlive()
	// Bodies that are already arriving were not seen by limitBody.
	s.conns.SetReadDeadline(time.Now().Add(s.clock.Until(schedule.BodyDeadline(shutdown.Work{}))))
	return schedule
}

// disableKeepAlive makes clients move to other connections, and sends deferred requests.
func (s *Server) disableKeepAlive() {
	s.isDraining.Store(true)
	s.deferred.Retain(nil)
}

// Close stops accepting requests and waits until those in flight have finished, or ctx ends. It then ends the others, each
// with a status or a visible break, and returns an error if there were any.
func (s *Server) Close(ctx context.Context) error {
	s.disableKeepAlive()
	err := s.http.ShutdownWithContext(ctx)
	if err != nil {
		err = s.cutOffRequests()
	}
	s.stop()
	return errors.Wrap(err, "stop HTTP server for clients")
}

// cutOffRequests ends all requests in flight and returns an error if there were any. It waits shortly until the clients have
// what was still being written to them.
func (s *Server) cutOffRequests() error {
	s.isCutOff.Store(true)
	cutOff := s.inFlight.all()
	s.logCutOffs(cutOff)
	for _, j := range cutOff {
		j.abortForStop()
	}
	// A request that has ended is no longer in flight, but its answer may still have to be written.
	for deadline := time.Now().Add(maxEndTime); s.conns.Count().Active > 0 && time.Now().Before(deadline); {
		time.Sleep(endPollInterval)
	}
	if len(cutOff) == 0 {
		return nil
	}
	return errors.Errorf("%d requests were in flight", len(cutOff))
}

// logCutOffs counts and logs the connections and requests that are left at the end of the stop.
func (s *Server) logCutOffs(cutOff []*job) {
	metrics.GetOrRegisterCounter(countCutOff, s.registry).Inc(int64(len(cutOff)))
	if conns := s.conns.Count(); conns != (tcp.Counts{}) {
		s.log.Warn("clients: connections left at the end of the stop",
			zap.Int("requests", len(cutOff)),
			zap.Int("without_request", conns.New),
			zap.Int("in_use", conns.Active),
			zap.Int("idle", conns.Idle))
	}
	for _, j := range cutOff[:min(len(cutOff), maxCutOffLines)] {
		j.logCutOff()
	}
}

// abortForStop ends a request at the end of the stop.
func (j *job) abortForStop() {
	j.isCutOff.Store(true)
	j.cancel()
}

// mayFinish reports whether the request is expected to end before the daemon does.
func (j *job) mayFinish() bool {
	s := j.server
	schedule := s.schedule.Load()
	if s.isCutOff.Load() {
		return false
	}
	if schedule == nil {
		return true
	}
	expected := s.durations.Expected(shutdownRequest(j.config, j.route, j.request))
	j.expectedDuration.Store(int64(expected))
	return schedule.Admits(s.clock.Now(), shutdown.Work{
		Expected:     expected,
		Limit:        j.timeLeft(),
		IsRepeatable: j.route.Repeatable(),
	})
}

// shutdownRequest returns what the duration of a request depends on.
func shutdownRequest(current *config.Config, route *config.Route, r *request.Request) shutdown.Request {
	return shutdown.Request{
		Kind:          route.Name + "/" + r.Model,
		LargestAnswer: current.LargestAnswer(route, r.MaxTokens),
	}
}

// endRun records how long the request has taken. The answer to one that resumes a stream has only a part of the events.
func (j *job) endRun(status int, reason request.Reason) {
	if j.run != nil {
		j.run.End(reason == request.ReasonNone && status < fasthttp.StatusBadRequest && j.request.LastEventID == 0)
	}
}

// workOf returns what is known of a request by its head.
func (s *Server) workOf(header *fasthttp.RequestHeader) shutdown.Work {
	current := s.source.View().Config
	if current == nil {
		return shutdown.Work{}
	}
	read, err := s.codec.ReadHead(header)
	if err != nil {
		return shutdown.Work{}
	}
	route := current.Route(read.Host, read.Path())
	if route == nil {
		return shutdown.Work{}
	}
	return shutdown.Work{
		Expected:     s.durations.Expected(shutdownRequest(current, route, read)),
		IsRepeatable: route.Repeatable(),
	}
}

// limitBody bounds the time in which the body of a request may arrive during a stop.
func (s *Server) limitBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	schedule := s.schedule.Load()
	if schedule == nil {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{
		// A body that has arrived with its head is read even if the time is over.
		ReadTimeout: max(1, min(requestReadTimeout, s.clock.Until(schedule.BodyDeadline(s.workOf(header))))),
	}
}

// expectBody answers a client that asks whether it should send its body.
func (s *Server) expectBody(ctx *fasthttp.RequestCtx) int {
	schedule := s.schedule.Load()
	if schedule == nil || s.clock.Until(schedule.BodyDeadline(s.workOf(&ctx.Request.Header))) > 0 {
		return fasthttp.StatusContinue
	}
	s.refuseForStop(ctx)
	return fasthttp.StatusServiceUnavailable
}

// isBodyLate reports whether an error of reading a request means that the body has not arrived in time for the stop.
func (s *Server) isBodyLate(err error) bool {
	var failed net.Error
	return s.schedule.Load() != nil && errors.As(err, &failed) && failed.Timeout()
}

// refuseForStop answers a request that was not read since the daemon stops.
func (s *Server) refuseForStop(ctx *fasthttp.RequestCtx) {
	s.count(countRefused, request.ReasonDaemonStopping)
	lingerOnClose(ctx.Conn())
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "0")
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(string(request.ReasonDaemonStopping) + "\n")
}

// sinceStop returns how long after the begin of the stop the request was complete. ok is false if it was before.
func (j *job) sinceStop() (since time.Duration, ok bool) {
	schedule := j.server.schedule.Load()
	if schedule == nil || j.acceptedAt.Before(schedule.StartedAt()) {
		return 0, false
	}
	return j.acceptedAt.Sub(schedule.StartedAt()), true
}

// logCutOff writes the log line of a request that is in flight at the end of the stop.
func (j *job) logCutOff() {
	since, isDuringStop := j.sinceStop()
	j.server.log.Warn("clients: request cut off by the stop",
		zap.String("request_id", j.request.ID),
		zap.Bool("taken_during_stop", isDuringStop),
		zap.Int64("taken_after_ms", since.Milliseconds()),
		zap.Int64("age_ms", j.server.clock.Since(j.acceptedAt).Milliseconds()),
		zap.Int64("time_left_ms", (j.request.ClientTimeout-j.server.clock.Since(j.acceptedAt)).Milliseconds()),
		zap.String("sent_to", j.trail.String()),
		zap.Int("runs", j.history.Runs()))
}
