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
func (j *job) recordLimit(server fleet.Server, answer request.Answer) {
	s := j.server
	limit := answer.Limit
	if !limit.IsNamed && (s.limits.IsEmpty() || answer.Status == fasthttp.StatusMisdirectedRequest) {
		// An answer with this status comes from another process, which knows nothing of the
		// server's limit.
		return
	}
	var sentAt time.Time
	if isOwnAnswer := answer.ID == j.request.ID && (answer.Signed || answer.NotRun); isOwnAnswer {
		sentAt = j.limitSentAt
	}
	isChanged := s.limits.Observed(server.Start(), limit, sentAt)
	if limit.IsNamed {
		metrics.GetOrRegisterCounter(countLimitsNamed, s.registry).Inc(1)
	}
	if limit.IsNamed || isChanged {
		s.source.LimitObserved(server, limit)
	}
	if !isChanged {
		return
	}
	mayWrite, suppressed := s.limitThrottle.Pass(server.Service)
	if !mayWrite {
		return
	}
	place := s.source.LimitPlace(server)
	s.log.Info("servers: limit changed",
		zap.String("server", server.ID),
		zap.String("group", server.Membership.Group),
		zap.Bool("is_named", limit.IsNamed),
		zap.Float64("per_second", limit.PerSecond),
		zap.Float64("part_per_second", limit.Part(place).PerSecond),
		zap.Int("rank", place.Rank),
		zap.Int("daemons", place.Of),
		zap.Int("lines_left_out", suppressed))
}

// recordCold reports a server whose answer says that it is cold.
func (s *Server) recordCold(server fleet.Server, coldFor time.Duration) {
	if coldFor > 0 {
		server.ColdFor = coldFor
		s.source.ServerCold(server)
	}
}

// isWithinLimit reports whether the server's rate limit allows a request from this daemon now.
func (s *Server) isWithinLimit(server fleet.Server) bool {
	start := server.Start()
	return !s.limits.Has(start) || s.limits.HasRoom(start, s.source.LimitPlace(server))
}

// limitPlace returns this daemon's place for a server's rate limit. For servers without a
// limit, which are nearly all, the place is not computed: if such a server names a limit in the
// meantime, the zero place allows no request.
func (s *Server) limitPlace(server fleet.Server) ratelimit.Place {
	if !s.limits.Has(server.Start()) {
		return ratelimit.Place{}
	}
	return s.source.LimitPlace(server)
}

// useReservation uses the reservation of the server's rate limit right before the first byte is
// sent, and reports whether the request may be sent.
func (j *job) useReservation(selected selection) bool {
	sent, ok := selected.reservation.Take(j.server.limitPlace(selected.server))
	if !ok {
		return false
	}
	j.limitSentAt = sent
	if j.server.limits.Has(selected.server.Start()) {
		metrics.GetOrRegisterCounter(countSentToLimited, j.server.registry).Inc(1)
	}
	return true
}
