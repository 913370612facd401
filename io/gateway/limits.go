package gateway

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/ratelimit"
)

// Counters of limits that servers name, and of requests that are sent to such servers.
const (
	countLimits      = "server_limits_named"
	countSentLimited = "requests_sent_to_limited"
)

// heedLimit notes what a server's answer says of its limit.
func (s *Server) heedLimit(server fleet.Server, said ratelimit.Limit) {
	if said.IsNamed {
		metrics.GetOrRegisterCounter(countLimits, s.registry).Inc(1)
	}
	if !s.limits.Heard(server.Start(), said) {
		return
	}
	mayWrite, leftOut := s.limitLines.Pass(server.Service)
	if !mayWrite {
		return
	}
	s.log.Info("servers: limit changed",
		zap.String("server", server.ID),
		zap.String("group", server.Membership.Group),
		zap.Bool("is_named", said.IsNamed),
		zap.Float64("per_second", said.PerSecond),
		zap.Int("lines_left_out", leftOut))
}

// noteLimited notes a send to a server that has named a limit, right before the first byte.
func (j *job) noteLimited(server fleet.Server) {
	limit, since := j.server.limits.Known(server.Start())
	if !limit.IsNamed {
		return
	}
	metrics.GetOrRegisterCounter(countSentLimited, j.server.registry).Inc(1)
	mayWrite, leftOut := j.server.limitLines.Pass(server.ID)
	if !mayWrite {
		return
	}
	j.server.log.Info("clients: sent to a server that named a limit",
		zap.String("request_id", j.request.ID),
		zap.String("server", server.ID),
		zap.Float64("per_second", limit.PerSecond),
		zap.Int64("known_for_ms", since.Milliseconds()),
		zap.Int("daemons", j.server.source.Daemons()),
		zap.Int("lines_left_out", leftOut))
}
