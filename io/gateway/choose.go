package gateway

import (
	"math/rand/v2"
	"slices"

	"headcourse/core/balancer"
	"headcourse/core/demand"
	"headcourse/core/fleet"
	"headcourse/core/ratelimit"
	"headcourse/core/request"
	"headcourse/core/usage"
)

// hasOtherServer tells whether there is a server that was not asked yet.
func (j *job) hasOtherServer() bool {
	for _, server := range j.server.serving(j.service, j.request.Model) {
		if !j.excluded[server.ID] {
			return true
		}
	}
	return false
}

// choice is the server for one send.
type choice struct {
	server fleet.Server
	// done must be called at the end of the exchange.
	done func()
	// room is kept for the send, where the server takes only so many.
	room *ratelimit.Reservation
}

// pick chooses the server for the next send, and keeps room for it there.
func (j *job) pick() (choice, bool) {
	kind := j.noteAsked()
	preference := j.server.source.Preference(kind)
	for {
		serving := j.server.serving(j.service, j.request.Model)
		candidates := preference.WithTiers(j.candidates(serving), rand.Float64())
		chosen, done, ok := j.server.tracker.Pick(candidates, j.excluded, j.request.Cost())
		if !ok {
			return choice{}, false
		}
		at := slices.IndexFunc(serving, func(server fleet.Server) bool {
			return server.ID == chosen.ID
		})
		server := serving[at]
		room, hasRoom := j.server.limits.Reserve(server.Start(), j.server.limitPlace(server))
		if hasRoom {
			return choice{
				server: server,
				done:   done,
				room:   room,
			}, true
		}
		// Another request took the room meanwhile: the server serves no more.
		done()
	}
}

// whyNoServer returns why no server can be chosen.
func (j *job) whyNoServer() request.Reason {
	if reason := j.server.whyWithheld(j.service, j.request.Model).reason; reason != request.ReasonNone {
		return reason
	}
	return request.ReasonNoServer
}

// noteAsked measures a request once, at its first send, and returns its kind.
func (j *job) noteAsked() demand.Kind {
	kind := demand.Kind{
		Service: j.service,
		Model:   j.request.Model,
	}
	if j.sends == 0 {
		j.server.meter.Note(kind, j.request.Cost(), j.tokens())
	}
	return kind
}

// tokens returns what the request asks of a model engine: its answer is as long as those
// to others of its model are on the mean.
func (j *job) tokens() usage.Rate {
	service := j.config.Service(j.service)
	if service == nil || service.Engine == nil {
		return usage.Rate{}
	}
	return usage.Of(usage.Size{
		Prompt: float64(j.request.PromptTokens),
		Answer: j.server.sizes.Of(j.request.Model, service.Engine.Usual).Answer,
	}, j.route.Goal)
}

// candidates returns the servers that may take the request.
func (j *job) candidates(serving []fleet.Server) []balancer.Candidate {
	candidates := make([]balancer.Candidate, len(serving))
	for i, server := range serving {
		candidates[i] = balancer.Candidate{
			ID:         server.ID,
			Capacity:   server.Capacity,
			Zone:       server.Zone,
			Domain:     server.Domain,
			IsTroubled: j.server.source.IsTroubled(server),
			IsLimited:  j.server.limits.Has(server.Start()),
		}
	}
	return candidates
}
