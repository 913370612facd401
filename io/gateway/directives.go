package gateway

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/directive"
	"headcourse/core/fleet"
	"headcourse/core/request"
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

// sweepSaid forgets what servers said that holds no longer.
func (s *Server) sweepSaid() {
	if s.directives.IsEmpty() && s.limits.IsEmpty() {
		return
	}
	starts := map[string]bool{}
	for _, server := range s.source.View().Fleet.Servers() {
		starts[server.Start()] = true
	}
	isKnown := func(start string) bool { return starts[start] }
	s.directives.Sweep(isKnown)
	s.limits.Sweep(isKnown)
}

// serving returns the servers that may be sent a request of a service and model now: those
// of the view without those that said that they want none, get no more than they take, or are
// in an evacuated zone. The caller must not change it.
func (s *Server) serving(service, model string) []fleet.Server {
	view := s.source.View()
	known := view.Fleet.Serving(service, model)
	if s.directives.IsEmpty() && s.limits.IsEmpty() && view.Evacuated.IsEmpty() {
		return known
	}
	getsNone := func(server fleet.Server) bool {
		return s.isLeft(view, server) || s.wantsNone(server)
	}
	if !slices.ContainsFunc(known, getsNone) {
		return known
	}
	return slices.DeleteFunc(slices.Clone(known), getsNone)
}

// isLeft tells whether a server's zone is evacuated, so that it gets no more requests.
func (s *Server) isLeft(view View, server fleet.Server) bool {
	return !view.Evacuated.IsEmpty() && view.Evacuated.IsLeft(server.Zone, s.clock.Now())
}

// wantsNone tells whether a server has said that it wants no request of this daemon now.
func (s *Server) wantsNone(server fleet.Server) bool {
	return s.directives.Forbids(server.Start()) || !s.hasRoom(server)
}

// withheld tells why no server of a service and model is sent a request now, though there
// are some.
type withheld struct {
	// reason is ReasonPaused, ReasonLimited or ReasonEvacuated; none where a server takes
	// requests.
	reason request.Reason
	// left is when the first one takes requests of this daemon again; 0: not known.
	left time.Duration
}

// whyWithheld returns why the servers of a service and model are sent none, by the one that
// takes requests again first.
func (s *Server) whyWithheld(service, model string) withheld {
	var first withheld
	if len(s.serving(service, model)) > 0 {
		return first
	}
	view := s.source.View()
	for _, server := range view.Fleet.Serving(service, model) {
		one := s.whyNone(view, server)
		if isLeaving := one.reason == request.ReasonPaused && one.left == 0; isLeaving {
			continue
		}
		if first.reason == request.ReasonNone || first.left == 0 || (one.left > 0 && one.left < first.left) {
			first = one
		}
	}
	return first
}

// whyNone returns why a server is sent no request now.
func (s *Server) whyNone(view View, server fleet.Server) withheld {
	switch {
	case s.isLeft(view, server):
		return withheld{
			reason: request.ReasonEvacuated,
		}
	case s.directives.Forbids(server.Start()):
		return withheld{
			reason: request.ReasonPaused,
			left:   s.directives.PauseLeft(server.Start()),
		}
	default:
		left, _ := s.limits.Wait(server.Start(), s.source.LimitPlace(server))
		return withheld{
			reason: request.ReasonLimited,
			left:   left,
		}
	}
}
