package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Counters of requests that were complete after the daemon had begun to stop, and of those that were in flight when it
// ended.
const (
	countDuringStop = "requests_during_stop"
	countCutOff     = "requests_cut_off"
)

// maxCutOffLines bounds the log lines about requests that are cut off.
const maxCutOffLines = 100

// DisableKeepAlive adds "Connection: close" to every further answer, so that clients move to
// other connections. Deferred requests are sent at once, and no more are held.
func (s *Server) DisableKeepAlive() {
	if !s.isDraining.Swap(true) {
		now := s.clock.Now()
		s.drainStartedAt.Store(&now)
	}
	s.deferred.Retain(nil)
}

// Close stops accepting requests and waits until those in flight have finished, or ctx ends.
func (s *Server) Close(ctx context.Context) error {
	s.DisableKeepAlive()
	err := s.http.ShutdownWithContext(ctx)
	s.stop()
	if err == nil {
		return nil
	}
	conns := s.conns.Count()
	cutOff := s.inFlight.all()
	s.log.Warn("clients: connections left at the end of the stop",
		zap.Int("requests", len(cutOff)),
		zap.Int("without_request", conns.New),
		zap.Int("in_use", conns.Active),
		zap.Int("idle", conns.Idle))
	metrics.GetOrRegisterCounter(countCutOff, s.registry).Inc(int64(len(cutOff)))
	for _, j := range cutOff[:min(len(cutOff), maxCutOffLines)] {
		j.logCutOff()
	}
	return errors.Wrapf(err, "stop HTTP server for clients with %d requests in flight", len(cutOff))
}

// sinceStop returns how long after the begin of the stop the request was complete. ok is false if it was before.
func (j *job) sinceStop() (since time.Duration, ok bool) {
	startedAt := j.server.drainStartedAt.Load()
	if startedAt == nil || j.acceptedAt.Before(*startedAt) {
		return 0, false
	}
	return j.acceptedAt.Sub(*startedAt), true
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
