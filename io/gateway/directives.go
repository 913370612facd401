package gateway

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/directive"
	"headcourse/core/fleet"
)

// Counters of what servers say about further requests: of answers that ask for a pause, and
// of starts of servers that say that they leave.
const (
	countPauses = "server_pauses_asked"
	countLeaves = "server_leaves_said"
)

// directiveLineEvery bounds the lines about what the servers of a service say: tens may ask
// for pauses of some tenths of a second, all at once.
const directiveLineEvery = 200 * time.Millisecond

// heed notes what a server's answer says about further requests.
func (s *Server) heed(server fleet.Server, said directive.Directive) {
	if !said.IsAny() {
		return
	}
	news := s.directives.Note(server.Start(), said)
	if said.Pause > 0 {
		metrics.GetOrRegisterCounter(countPauses, s.registry).Inc(1)
	}
	if news.IsLeaving {
		metrics.GetOrRegisterCounter(countLeaves, s.registry).Inc(1)
	}
	if !news.IsAny() {
		return
	}
	mayWrite, leftOut := s.directiveLines.Pass(server.Service)
	if !mayWrite {
		return
	}
	s.log.Info("servers: wants no request",
		zap.String("server", server.ID),
		zap.String("group", server.Membership.Group),
		zap.Int64("pause_ms", news.Pause.Milliseconds()),
		zap.Bool("is_leaving", news.IsLeaving),
		zap.Int("lines_left_out", leftOut))
}

// sweepDirectives forgets what servers said that hold no longer.
func (s *Server) sweepDirectives() {
	if s.directives.IsEmpty() {
		return
	}
	starts := map[string]bool{}
	for _, server := range s.source.View().Fleet.Servers() {
		starts[server.Start()] = true
	}
	s.directives.Sweep(func(start string) bool { return starts[start] })
}

// serving returns the servers that may be sent a request of a service and model now: those
// of the view without those that said that they want none. The caller must not change it.
func (s *Server) serving(service, model string) []fleet.Server {
	known := s.source.View().Fleet.Serving(service, model)
	if s.directives.IsEmpty() || !slices.ContainsFunc(known, s.wantsNone) {
		return known
	}
	return slices.DeleteFunc(slices.Clone(known), s.wantsNone)
}

// wantsNone tells whether a server has said that it wants no request now.
func (s *Server) wantsNone(server fleet.Server) bool {
	return s.directives.Forbids(server.Start())
}

// firstPauseEnd returns in how long the first server of a service and model takes requests
// again; 0 where one does so now, or where none will.
func (s *Server) firstPauseEnd(service, model string) time.Duration {
	if len(s.serving(service, model)) > 0 {
		return 0
	}
	var first time.Duration
	for _, server := range s.source.View().Fleet.Serving(service, model) {
		left := s.directives.PauseLeft(server.Start())
		if left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}
