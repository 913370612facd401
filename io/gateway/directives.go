package gateway

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/directive"
	"headcourse/core/fleet"
)

// Counters of what servers say about further requests.
const (
	countPauses      = "server_pauses_asked"
	countSentInPause = "requests_sent_in_pause."
)

// Why a server was sent a request in the pause that it had asked for, by what the tracker
// made of its refusal.
const (
	restOver    = "rest_over"
	restCleared = "rest_cleared"
	restPassed  = "rest_passed_over"
)

// heed notes what a server's answer says about further requests.
func (s *Server) heed(server fleet.Server, said directive.Directive) {
	if !said.IsAny() {
		return
	}
	metrics.GetOrRegisterCounter(countPauses, s.registry).Inc(1)
	if s.directives.Note(server.Start(), said) {
		s.log.Info("servers: asked for a pause",
			zap.String("server", server.ID),
			zap.String("group", server.Membership.Group),
			zap.Int64("pause_ms", said.Pause.Milliseconds()))
	}
}

// noteSendInPause notes that the request is about to be sent to a server in the pause that
// it had asked for.
func (j *job) noteSendInPause(server fleet.Server) {
	left := j.server.directives.PauseLeft(server.Start())
	if left == 0 {
		return
	}
	why := restOver
	switch {
	case j.server.tracker.IsResting(server.ID):
		why = restPassed
	case j.server.tracker.WasCleared(server.ID):
		why = restCleared
	}
	metrics.GetOrRegisterCounter(countSentInPause+why, j.server.registry).Inc(1)
	j.server.log.Info("clients: sent to a server that asked for a pause",
		zap.String("request_id", j.request.ID),
		zap.String("server", server.ID),
		zap.Int64("pause_left_ms", left.Milliseconds()),
		zap.String("why", why))
}
