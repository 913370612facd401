// Package balancer chooses the backend server, or the head of a group, that gets a request.
//
// Every daemon chooses on its own, by the requests that it has in flight itself. Load reports
// are not used: each is billed, a report reaches all daemons 0.4 s or more after the load was
// measured, and at that age a choice by it is worse than one without it. The choice has two
// stages: first, locality draws the request's zone in proportion to what the servers of each
// zone can take (core/locality). Then the daemon prefers its own small subset of the servers
// in that zone (core/subset), and spreads its requests evenly over it by cost. Subsets cover
// the servers evenly, so the sum over all daemons is even, with nine daemons as with
// thousands. Random tie-breaking prevents daemons from choosing in lockstep.
//
// A server with observed failures or silence is ejected for a while: it ranks after all others. A
// group that lost a member accepts requests and answers none; the first sign of it is that all its
// streams are silent. After the ejection the server gets requests again. If it fails again, the
// next ejection lasts twice as long. A server that other daemons report as degraded ranks after
// healthy ones. One that all daemons together found slow (core/pace) counts as less capacity, and
// gets a small share of the requests, which shows when it has recovered. These are all preferences.
// In contrast, a paused or draining server (core/directive) is never a candidate.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minEjectionTime is the duration of the first ejection. Each further ejection without a
	// success in between lasts twice as long, up to maxEjectionTime. A group that lost a member
	// breaks after 5 s and is replaced long before that.
	minEjectionTime = 400 * time.Millisecond
	maxEjectionTime = 6 * time.Second
	// toleratedFailures is the number of consecutive common failures that do not eject a
	// server: services fail a small part of their requests by themselves.
	toleratedFailures = 1
	// unitLatencyGain is the weight of a new sample in the moving average of the unit latency.
	unitLatencyGain = 0.2
	// unitLatencyTTL is how long the unit latency of a server without requests is valid. A slow
	// server is avoided, so without an expiry nothing would measure it again.
	unitLatencyTTL = 10 * time.Second
)

// Candidate is a server that may get the request.
type Candidate struct {
	ID       string
	Capacity int
	// Zone is the server's availability zone.
	Zone string
	// Domain is the server's fabric domain; it is empty if there is none.
	Domain string
	// IsDegraded reports that other daemons found the server stalled or slow.
	IsDegraded bool
	// IsRateLimited reports that the server accepts a limited number of requests a second, and can
	// accept one now.
	IsRateLimited bool
	// HasIdleConn reports that the daemon has an idle connection to the server.
	HasIdleConn bool
	// Slowdown is how many times as slow as usual all daemons together found the server (core/pace);
	// 1 if they found it healthy, and 0 if there is no verdict.
	Slowdown float64
	// tier and isCrossZone are set by Preference.WithTiers.
	tier        tier
	isCrossZone bool
}

// Tracker records this daemon's requests in flight, failures and latencies for each server. It
// is safe for concurrent use; the zero value is empty.
type Tracker struct {
	// Random returns random numbers from 0 to 1 for tie-breaking; nil selects the default
	// source. It must be set before first use.
	Random func() float64

	mutex            sync.Mutex
	servers          map[string]*serverState
	silenceEstimates map[silenceKey]*estimate
}

// serverState is the state of one server.
type serverState struct {
	inFlight     int
	inFlightCost float64
	// unitLatency is the moving average of the time that a unit of work takes; 0 if not
	// measured.
	unitLatency float64
	// latencyMeasuredAt is the time of the last unitLatency sample.
	latencyMeasuredAt time.Time
	// lastActivity is the time of the last answer or event.
	lastActivity time.Time
	failures     int
	ejectedUntil time.Time
	ejectionTime time.Duration
	// isSilent reports that the server was ejected for silence and has not answered or sent an
	// event since, which ends such an ejection early. silentSince is when the ejection began, and
	// silentUntil when the last one ended so.
	isSilent    bool
	silentSince time.Time
	silentUntil time.Time
}

// stateOf returns the state of a server and creates it if necessary. The mutex must be held.
func (t *Tracker) stateOf(id string) *serverState {
	if t.servers == nil {
		t.servers = map[string]*serverState{}
	}
	server, ok := t.servers[id]
	if !ok {
		server = &serverState{}
		t.servers[id] = server
	}
	return server
}

// Pick chooses a candidate that is not excluded and records a request of the given cost as in
// flight. The caller must call done when the request ends. ok is false if no candidate is left.
func (t *Tracker) Pick(candidates []Candidate, excluded map[string]bool, cost float64) (chosen Candidate, done func(), ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	best := t.choose(candidates, excluded, cost)
	if best < 0 {
		return Candidate{}, nil, false
	}
	chosen = candidates[best]
	server := t.stateOf(chosen.ID)
	server.inFlight++
	server.inFlightCost += cost
	return chosen, sync.OnceFunc(func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		server.inFlight--
		server.inFlightCost -= cost
	}), true
}

// choose returns the index of the candidate for a request, or -1. The mutex must be held.
func (t *Tracker) choose(candidates []Candidate, excluded map[string]bool, cost float64) int {
	now := time.Now()
	suspects := t.suspectDomains(now, candidates)
	if len(excluded) == 0 {
		if drawn := t.drawTrickle(now, candidates, suspects); drawn >= 0 {
			return drawn
		}
	}
	best, bestScore := -1, 0.0
	latencies := t.unitLatencies(now, candidates)
	for i, candidate := range candidates {
		if excluded[candidate.ID] {
			continue
		}
		score := t.stateOf(candidate.ID).score(now, candidate, cost, latencies, t.random())
		if suspects[candidate.Domain] {
			score += suspectDomainScore
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// random returns a random number from 0 to 1 for tie-breaking.
func (t *Tracker) random() float64 {
	if t.Random != nil {
		return t.Random()
	}
	return rand.Float64()
}

const (
	// domainSuspicionTime is how long a silent server makes its domain suspect. By then the
	// members of its group have been probed.
	domainSuspicionTime = 1200 * time.Millisecond
	// suspectDomainScore ranks servers of a suspect domain after those of other domains, also
	// in other zones, and before full servers.
	suspectDomainScore = 4e6
)

// suspectDomains returns the domains in which a server has just become silent. A whole domain
// may have failed at once, and a request that is rerouted from one of its heads to another one
// misses its client's deadline. The mutex must be held.
func (t *Tracker) suspectDomains(now time.Time, candidates []Candidate) map[string]bool {
	var suspects map[string]bool
	for _, candidate := range candidates {
		server := t.stateOf(candidate.ID)
		if candidate.Domain == "" || !server.isSilent || now.Sub(server.silentSince) > domainSuspicionTime {
			continue
		}
		if suspects == nil {
			suspects = map[string]bool{}
		}
		suspects[candidate.Domain] = true
	}
	return suspects
}

// latencySum is the sum of the unit latencies of the candidates with a valid measurement. A candidate
// without one is treated as average.
type latencySum struct {
	sum   float64
	count int
}

// unitLatencies returns the sum over the candidates. The mutex must be held.
func (t *Tracker) unitLatencies(now time.Time, candidates []Candidate) latencySum {
	var latencies latencySum
	for _, candidate := range candidates {
		server := t.stateOf(candidate.ID)
		server.expireUnitLatency(now)
		if server.unitLatency > 0 {
			latencies.sum += server.unitLatency
			latencies.count++
		}
	}
	return latencies
}

// slowdown returns how many times as slow as the other candidates a server is, and 1 if that may come
// from its load alone.
func (l latencySum) slowdown(unitLatency float64) float64 {
	// maxLoadRatio is the ratio up to which a difference may come from load alone: a token takes an
	// engine up to 2.4 times as long if all its slots are in use. If such differences counted, all
	// daemons would choose the server that had the lowest load a second ago.
	const maxLoadRatio = 2.5
	if unitLatency <= 0 || l.count <= 1 {
		return 1
	}
	ratio := unitLatency / ((l.sum - unitLatency) / float64(l.count-1))
	if ratio < maxLoadRatio {
		return 1
	}
	return ratio
}

// slowdown returns how many times as slow as others a server is. A verdict of all daemons replaces
// the daemon's own latency: daemons that had measured a server slow would otherwise avoid it for
// unitLatencyTTL after it has recovered.
func (s *serverState) slowdown(candidate Candidate, latencies latencySum) float64 {
	if candidate.Slowdown > 0 {
		return candidate.slowdown()
	}
	return latencies.slowdown(s.unitLatency)
}

// expireUnitLatency discards the unit latency of an idle server after unitLatencyTTL.
func (s *serverState) expireUnitLatency(now time.Time) {
	if s.inFlight == 0 && now.Sub(s.latencyMeasuredAt) > unitLatencyTTL {
		s.unitLatency = 0
	}
}

// score returns the rank of a server for one more request; the lowest score wins. Ejected
// servers rank last, in the order in which their ejections end.
func (s *serverState) score(now time.Time, candidate Candidate, cost float64, latencies latencySum, tieBreak float64) float64 {
	const (
		// tieBreakSpread is the fraction of the cost by which tieBreak varies the score.
		tieBreakSpread = 0.5
		// idleConnFactor makes a server with an idle connection win more ties than one without. A much
		// lower factor would make the requests of a server burstier than random arrivals.
		idleConnFactor = 0.15
		// ejectedScore ranks ejected servers after all others.
		ejectedScore = 1e9
		// degradedScore ranks servers that other daemons found degraded after healthy ones, and
		// before those that this daemon ejected itself.
		degradedScore = 1e8
		// fullScore ranks servers that this daemon's requests alone fill after those with free
		// capacity.
		fullScore = 1e7
		// crossZonePenalty is the number of requests by which a server outside the drawn zone
		// must be less loaded to be chosen. It applies to daemons that can compare zones.
		crossZonePenalty = 2.0
		// tierScore ranks each tier after the previous one, whatever is in flight there: a
		// request costs some hundreds, and a server has tens of them.
		tierScore = 1e6
	)
	if candidate.HasIdleConn {
		tieBreak *= idleConnFactor
	}
	score := s.inFlightCost + cost*(1+tieBreakSpread*tieBreak)
	if candidate.isCrossZone {
		score += crossZonePenalty * cost
	}
	score *= s.slowdown(candidate, latencies)
	score += tierScore * float64(candidate.tier)
	if candidate.Capacity > 0 && s.inFlight >= candidate.Capacity {
		score += fullScore
	}
	if candidate.IsDegraded {
		score += degradedScore
	}
	if now.Before(s.ejectedUntil) {
		score += ejectedScore * (1 + s.ejectedUntil.Sub(now).Seconds())
	}
	return score
}

// RecordActivity records that a server answered or sent an event. It ends an ejection for silence.
func (t *Tracker) RecordActivity(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	server := t.stateOf(id)
	server.lastActivity = time.Now()
	if server.isSilent {
		server.isSilent = false
		server.silentUntil = server.lastActivity
		server.ejectionTime = 0
		server.ejectedUntil = time.Time{}
	}
}

// Eject ejects a server with requests in flight that has been silent for unusually long. The
// ejection ends early when the server answers or sends an event. A server that is already ejected
// stays ejected as before.
func (t *Tracker) Eject(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	server := t.stateOf(id)
	now := time.Now()
	if now.Before(server.ejectedUntil) {
		return
	}
	server.isSilent = true
	server.silentSince = now
	server.ejectionTime = min(max(minEjectionTime, 2*server.ejectionTime), maxEjectionTime)
	server.ejectedUntil = now.Add(server.ejectionTime)
}

// SilenceDuration returns the time since the last answer or event of a server. It exceeds any
// threshold if none was recorded.
func (t *Tracker) SilenceDuration(id string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Since(t.stateOf(id).lastActivity)
}

// RecordSuccess records a successful request and ends an ejection. unitLatency is the time that a
// unit of work took, in the same unit for all servers; 0 if not measured. That of a request which was
// sent before the server's last silence ended does not count: it says nothing about the server's
// speed, and would keep further requests away from it for unitLatencyTTL.
func (t *Tracker) RecordSuccess(id string, unitLatency float64, sentAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	server := t.stateOf(id)
	server.failures = 0
	server.ejectionTime = 0
	server.ejectedUntil = time.Time{}
	if unitLatency <= 0 || sentAt.Before(server.silentUntil) {
		return
	}
	server.latencyMeasuredAt = time.Now()
	if server.unitLatency == 0 {
		server.unitLatency = unitLatency
	}
	server.unitLatency += unitLatencyGain * (unitLatency - server.unitLatency)
}

// RecordFailure records a failure that may affect other requests too, and ejects the server.
// Common failures, which healthy servers also have now and then, eject it only from the second
// consecutive one.
func (t *Tracker) RecordFailure(id string, isCommon bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	server := t.stateOf(id)
	server.failures++
	if isCommon && server.failures <= toleratedFailures {
		return
	}
	now := time.Now()
	if now.Before(server.ejectedUntil) {
		return
	}
	server.ejectionTime = min(max(minEjectionTime, 2*server.ejectionTime), maxEjectionTime)
	server.ejectedUntil = now.Add(server.ejectionTime)
}

// IsEjected reports whether a server is ejected.
func (t *Tracker) IsEjected(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Now().Before(t.stateOf(id).ejectedUntil)
}

// IsSuspect reports whether a server is ejected, or has requests in flight and sent nothing since it was ejected for
// silence. The ejection itself may have ended: new requests then show whether the server works.
func (t *Tracker) IsSuspect(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	server := t.stateOf(id)
	return time.Now().Before(server.ejectedUntil) || server.isSilent && server.inFlight > 0
}

// Reset discards the state of a server that has restarted under the same ID.
func (t *Tracker) Reset(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.servers, id)
}

// Sweep discards the state of servers that have no request in flight and are no longer known.
func (t *Tracker) Sweep(isKnown func(id string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, server := range t.servers {
		if server.inFlight == 0 && !isKnown(id) {
			delete(t.servers, id)
		}
	}
}
