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

// Counters of server directives: countPauseRequests counts answers that request a pause,
// countDrainNotices counts server starts that announce that they drain.
const (
	countPauseRequests = "server_pauses_asked"
	countDrainNotices  = "server_leaves_said"
)

// throttledLogInterval is the minimum interval between log lines about the directives or limits
// of one service's servers. Tens of servers may request pauses of some tenths of a second at
// the same time.
const throttledLogInterval = 200 * time.Millisecond

// recordDirective records the directive in a server's answer: a pause, or the notice that the
// server drains.
func (s *Server) recordDirective(server fleet.Server, received directive.Directive) {
	if !received.IsSet() {
		return
	}
	change := s.directives.Record(server.StartID(), received)
	if received.Pause > 0 {
		metrics.GetOrRegisterCounter(countPauseRequests, s.registry).Inc(1)
	}
	if change.IsDraining {
		metrics.GetOrRegisterCounter(countDrainNotices, s.registry).Inc(1)
	}
	if !change.IsSet() {
		return
	}
	mayWrite, suppressed := s.directiveThrottle.Allow(server.Service)
	if !mayWrite {
		return
	}
	s.log.Info("servers: wants no request",
		zap.String("server", server.ID),
		zap.String("group", server.Membership.Group),
		zap.Int64("pause_ms", change.Pause.Milliseconds()),
		zap.Bool("is_leaving", change.IsDraining),
		zap.Int("lines_left_out", suppressed))
}

// sweepDirectives removes expired directives and limits, and those of server starts that are
// not in the view any more.
func (s *Server) sweepDirectives() {
	if s.directives.IsEmpty() && s.limits.IsEmpty() {
		return
	}
	starts := map[string]bool{}
	for _, server := range s.source.View().Fleet.Servers() {
		starts[server.StartID()] = true
	}
	isKnown := func(start string) bool { return starts[start] }
	s.directives.Sweep(isKnown)
	s.limits.Sweep(isKnown)
}

// availableServers returns the servers that may receive a request for a service and model now:
// those of the view that are not paused, draining, at their rate limit or in an evacuated zone.
// The caller must not modify the slice.
func (s *Server) availableServers(service, model string) []fleet.Server {
	view := s.source.View()
	listed := view.Fleet.Serving(service, model)
	if s.directives.IsEmpty() && s.limits.IsEmpty() && view.Evacuated.IsEmpty() {
		return listed
	}
	isUnavailable := func(server fleet.Server) bool {
		return s.isEvacuated(view, server) || s.isPausedOrLimited(server)
	}
	if !slices.ContainsFunc(listed, isUnavailable) {
		return listed
	}
	return slices.DeleteFunc(slices.Clone(listed), isUnavailable)
}

// isEvacuated reports whether the server is in an evacuated zone and must receive no requests.
func (s *Server) isEvacuated(view View, server fleet.Server) bool {
	return !view.Evacuated.IsEmpty() && view.Evacuated.HasLeft(server.Zone, s.clock.Now())
}

// isPausedOrLimited reports whether the server is paused, draining, or at this daemon's quota of
// its rate limit.
func (s *Server) isPausedOrLimited(server fleet.Server) bool {
	return s.directives.IsExcluded(server.StartID()) || !s.isWithinLimit(server)
}

// unavailability is why all servers of a service and model, or one of them, receive no
// requests.
type unavailability struct {
	// reason is ReasonServersPaused, ReasonServersLimited or ReasonZoneEvacuated. It is ReasonNone
	// if a server is available, or if there is none that does not drain.
	reason request.Reason
	// remaining is the time until the server accepts requests from this daemon again; 0 if
	// unknown.
	remaining time.Duration
}

// soonestUnavailability returns why no server of a service and model is available, with the
// reason of the server that becomes available first. Draining servers are ignored.
func (s *Server) soonestUnavailability(service, model string) unavailability {
	var first unavailability
	if len(s.availableServers(service, model)) > 0 {
		return first
	}
	view := s.source.View()
	for _, server := range view.Fleet.Serving(service, model) {
		current := s.unavailabilityOf(view, server)
		if isDraining := current.reason == request.ReasonServersPaused && current.remaining == 0; isDraining {
			continue
		}
		if first.reason == request.ReasonNone || first.remaining == 0 || (current.remaining > 0 && current.remaining < first.remaining) {
			first = current
		}
	}
	return first
}

// unavailabilityOf returns why one server receives no requests now.
func (s *Server) unavailabilityOf(view View, server fleet.Server) unavailability {
	switch {
	case s.isEvacuated(view, server):
		return unavailability{
			reason: request.ReasonZoneEvacuated,
		}
	case s.directives.IsExcluded(server.StartID()):
		return unavailability{
			reason:    request.ReasonServersPaused,
			remaining: s.directives.RemainingPause(server.StartID()),
		}
	default:
		remaining, _ := s.limits.Delay(server.StartID(), s.source.LimitPosition(server))
		return unavailability{
			reason:    request.ReasonServersLimited,
			remaining: remaining,
		}
	}
}
