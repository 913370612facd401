package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/directive"
	"headcourse/core/fleet"
)

// countPauses counts the answers by which servers asked for a pause.
const countPauses = "server_pauses_asked"

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

// serving returns the servers that may be sent a request of a service and model now: those
// of the view without those that said that they want none. The caller must not change it.
func (s *Server) serving(service, model string) []fleet.Server {
	known := s.source.View().Fleet.Serving(service, model)
	if s.directives.IsEmpty() {
		return known
	}
	var allowed []fleet.Server
	for _, server := range known {
		if !s.directives.Forbids(server.Start()) {
			allowed = append(allowed, server)
		}
	}
	return allowed
}

// firstPauseEnd returns in how long the first server of a service and model takes requests
// again; 0 where one does so now, or where there is none.
func (s *Server) firstPauseEnd(service, model string) time.Duration {
	var first time.Duration
	for _, server := range s.source.View().Fleet.Serving(service, model) {
		left := s.directives.PauseLeft(server.Start())
		if left == 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}
