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

// Counters of answers that name limits, and of requests that are sent to such servers.
const (
	countLimits      = "server_limits_named"
	countSentLimited = "requests_sent_to_limited"
)

// heedLimit notes what a server's answer says of its limit.
func (j *job) heedLimit(server fleet.Server, answer request.Answer) {
	s := j.server
	said := answer.Limit
	if !said.IsNamed && (s.limits.IsEmpty() || answer.Status == fasthttp.StatusMisdirectedRequest) {
		// What answers in place of the server says nothing of its limit.
		return
	}
	var sent time.Time
	if isOwn := answer.ID == j.request.ID && (answer.Signed || answer.NotRun); isOwn {
		sent = j.tookRoom
	}
	isNews := s.limits.Observed(server.Start(), said, sent)
	if said.IsNamed {
		metrics.GetOrRegisterCounter(countLimits, s.registry).Inc(1)
	}
	if said.IsNamed || isNews {
		s.source.LimitObserved(server, said)
	}
	if !isNews {
		return
	}
	mayWrite, leftOut := s.limitLines.Pass(server.Service)
	if !mayWrite {
		return
	}
	place := s.source.LimitPlace(server)
	s.log.Info("servers: limit changed",
		zap.String("server", server.ID),
		zap.String("group", server.Membership.Group),
		zap.Bool("is_named", said.IsNamed),
		zap.Float64("per_second", said.PerSecond),
		zap.Float64("part_per_second", said.Part(place).PerSecond),
		zap.Int("rank", place.Rank),
		zap.Int("daemons", place.Of),
		zap.Int("lines_left_out", leftOut))
}

// heedCold notes that a server's answer says that it is cold.
func (s *Server) heedCold(server fleet.Server, coldFor time.Duration) {
	if coldFor > 0 {
		server.ColdFor = coldFor
		s.source.ServerCold(server)
	}
}

// hasRoom tells whether this daemon may send a server a request by its limit.
func (s *Server) hasRoom(server fleet.Server) bool {
	start := server.Start()
	return !s.limits.Has(start) || s.limits.HasRoom(start, s.source.LimitPlace(server))
}

// limitPlace returns this daemon's place for a server's limit. For one without a limit, as nearly
// all are, it is not worked out: where the server names one meanwhile, there is no room.
func (s *Server) limitPlace(server fleet.Server) ratelimit.Place {
	if !s.limits.Has(server.Start()) {
		return ratelimit.Place{}
	}
	return s.source.LimitPlace(server)
}

// takeRoom spends the room that was kept for the request, right before its first byte, and
// tells whether it may be sent.
func (j *job) takeRoom(chosen choice) bool {
	sent, ok := chosen.room.Take(j.server.limitPlace(chosen.server))
	if !ok {
		return false
	}
	j.tookRoom = sent
	if j.server.limits.Has(chosen.server.Start()) {
		metrics.GetOrRegisterCounter(countSentLimited, j.server.registry).Inc(1)
	}
	return true
}
