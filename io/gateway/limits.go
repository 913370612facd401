package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/ratelimit"
	"headcourse/core/request"
)

// Counters of answers that name rate limits, and of requests sent to servers with a limit.
const (
	countLimitsNamed   = "server_limits_named"
	countSentToLimited = "requests_sent_to_limited"
)

// recordLimit records the rate limit in a server's answer.
func (a *attempt) recordLimit(answer request.Answer) {
	j, s, server := a.job, a.job.server, a.server
	limit := answer.Limit
	if !limit.IsSet && (s.limits.IsEmpty() || answer.Status == fasthttp.StatusMisdirectedRequest) {
		// An answer with this status comes from another process in place of the server, so it
		// does not show that the server's limit has ended.
		return
	}
	var sentAt time.Time
	if isOwnAnswer := answer.ID == j.request.ID && (answer.IsSigned || answer.IsNotExecuted); isOwnAnswer {
		sentAt = a.limitSentAt
	}
	isChanged := s.limits.Observe(server.StartID(), limit, sentAt)
	if limit.IsSet {
		metrics.GetOrRegisterCounter(countLimitsNamed, s.registry).Inc(1)
	}
	if limit.IsSet || isChanged {
		s.source.ObserveLimit(server, limit)
	}
	if !isChanged {
		return
	}
	mayWrite, suppressed := s.limitThrottle.Allow(server.Service)
	if !mayWrite {
		return
	}
	position := s.source.LimitPosition(server)
	s.log.Info("servers: limit changed",
		zap.String("server", server.ID),
		zap.String("group", server.Membership.Group),
		zap.Bool("is_named", limit.IsSet),
		zap.Float64("per_second", limit.PerSecond),
		zap.Float64("part_per_second", limit.Quota(position).PerSecond),
		zap.Int("rank", position.Rank),
		zap.Int("daemons", position.Total),
		zap.Int("lines_left_out", suppressed))
}

// recordCold reports a server whose answer marks it as cold.
func (s *Server) recordCold(server fleet.Server, coldFor time.Duration) {
	if coldFor > 0 {
		server.ColdFor = coldFor
		s.source.ObserveColdServer(server)
	}
}

// isWithinLimit reports whether the server's rate limit allows a request from this daemon now.
func (s *Server) isWithinLimit(server fleet.Server) bool {
	start := server.StartID()
	return !s.limits.IsLimited(start) || s.limits.HasCapacity(start, s.source.LimitPosition(server))
}

// limitPosition returns this daemon's position for a server's rate limit. For servers without a
// limit, which are nearly all, the position is not computed: if such a server names a limit in
// the meantime, the zero position allows no request.
func (s *Server) limitPosition(server fleet.Server) ratelimit.Position {
	if !s.limits.IsLimited(server.StartID()) {
		return ratelimit.Position{}
	}
	return s.source.LimitPosition(server)
}

// useReservation uses the reservation of the server's rate limit right before the first byte is
// sent, and reports whether the request may be sent.
func (a *attempt) useReservation(reservation *ratelimit.Reservation) bool {
	s := a.job.server
	sent, ok := reservation.Take(s.limitPosition(a.server))
	if !ok {
		return false
	}
	a.limitSentAt = sent
	if s.limits.IsLimited(a.server.StartID()) {
		metrics.GetOrRegisterCounter(countSentToLimited, s.registry).Inc(1)
	}
	return true
}
