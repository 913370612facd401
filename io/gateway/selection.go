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

// untriedServers returns the available servers that are not excluded from further attempts.
func (j *job) untriedServers() []fleet.Server {
	var untried []fleet.Server
	excluded := j.history.Excluded()
	for _, server := range j.server.availableServers(j.service, j.request.Model) {
		if !excluded[server.ID] {
			untried = append(untried, server)
		}
	}
	return untried
}

// selection is the server selected for one attempt.
type selection struct {
	server fleet.Server
	// done must be called at the end of the exchange.
	done func()
	// reservation reserves one request of the rate limit, if the server has one.
	reservation *ratelimit.Reservation
}

// selectServer selects the server for the next attempt and reserves a request of its rate
// limit.
func (j *job) selectServer(how try) (selection, bool) {
	kind := j.recordDemand()
	preference := j.server.source.Preference(kind)
	for {
		available := j.server.availableServers(j.service, j.request.Model)
		candidates := preference.WithTiers(j.candidates(available), rand.Float64())
		chosen, done, ok := j.server.tracker.Pick(candidates, j.excludedFrom(available, how), j.cost())
		if !ok {
			return selection{}, false
		}
		index := slices.IndexFunc(available, func(server fleet.Server) bool {
			return server.ID == chosen.ID
		})
		server := available[index]
		reservation, isReserved := j.server.limits.Reserve(server.StartID(), j.server.limitPosition(server))
		if isReserved {
			return selection{
				server:      server,
				done:        done,
				reservation: reservation,
			}, true
		}
		// A concurrent request used the last reservation, so this server is no longer
		// available.
		done()
	}
}

// excludedFrom returns the servers that must not get the next attempt.
func (j *job) excludedFrom(available []fleet.Server, how try) map[string]bool {
	excluded := j.history.Excluded()
	if !how.avoidsSuspects {
		return excluded
	}
	for _, server := range available {
		if j.server.tracker.IsSuspect(server.ID) {
			excluded[server.ID] = true
		}
	}
	return excluded
}

// noServerReason returns why no server can be selected.
func (j *job) noServerReason() request.Reason {
	if reason := j.server.soonestUnavailability(j.service, j.request.Model).reason; reason != request.ReasonNone {
		return reason
	}
	return request.ReasonNoServer
}

// recordDemand returns the request's kind and adds the request to the measured demand, once.
func (j *job) recordDemand() demand.Kind {
	kind := j.kind()
	if !j.isDemandRecorded {
		j.isDemandRecorded = true
		j.server.meter.RecordRequest(kind, j.cost(), j.tokenDemand())
		j.server.meter.RecordOrganisation(kind, j.organisation, j.cost())
	}
	return kind
}

// estimateAnswer sets the expected length of the answer from the client's hint and from what was learned
// for the model.
func (j *job) estimateAnswer() {
	learned := j.server.sizes.MeanSize(j.request.Model, usage.Size{}).Answer
	service := j.config.Service(j.service)
	if learned == 0 && j.request.AnswerTokensHint > 0 && service != nil && service.Engine != nil {
		learned = service.Engine.MeanRequestSize.Answer
	}
	j.expectedAnswer = j.server.hints.ExpectedAnswerOf(j.organisation, j.request.Model, j.request.AnswerTokensHint, j.request.MaxTokens, learned)
}

// cost returns the estimated work of the request, in generated tokens.
func (j *job) cost() float64 {
	return j.request.Cost(j.expectedAnswer)
}

// tokenDemand returns the load that the request puts on a model engine. Without a hint, the length of
// its answer counts as the mean of its model, regardless of its maximum: the sum over many requests
// would otherwise be too low.
func (j *job) tokenDemand() usage.Rate {
	service := j.config.Service(j.service)
	if service == nil || service.Engine == nil {
		return usage.Rate{}
	}
	answer := j.expectedAnswer
	if j.request.AnswerTokensHint == 0 {
		answer = j.server.sizes.MeanSize(j.request.Model, service.Engine.MeanRequestSize).Answer
	}
	return usage.PerRequest(usage.Size{
		Prompt: float64(j.request.PromptTokens),
		Answer: answer,
	}, j.route.LatencyGoal)
}

// candidates returns the available servers in the form that the balancer takes.
func (j *job) candidates(available []fleet.Server) []balancer.Candidate {
	candidates := make([]balancer.Candidate, len(available))
	for i, server := range available {
		candidates[i] = balancer.Candidate{
			ID:            server.ID,
			Capacity:      server.Capacity,
			Zone:          server.Zone,
			Domain:        server.Domain,
			IsDegraded:    j.server.source.IsDegraded(server) || j.history.IsZoneUnreachable(server.Zone),
			IsRateLimited: j.server.limits.IsLimited(server.StartID()),
			Slowdown:      j.server.source.Slowdown(server),
			HasIdleConn:   j.server.backends.HasIdle(server.ID, server.Address),
		}
	}
	return candidates
}
