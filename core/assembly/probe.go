package assembly

import (
	"time"

	"headcourse/core/fleet"
)

const (
	// probeInterval is the minimum time between two probes of one server.
	probeInterval = 120 * time.Millisecond
	// unhealthyProbeInterval is the minimum time between two probes of a free server that
	// did not answer or is slow.
	unhealthyProbeInterval = time.Second
	// probeResultTTL is how long a probe result is valid.
	probeResultTTL = time.Second
	// formProbeTTL is how long an answer is valid when a group forms.
	formProbeTTL = 3 * time.Second
	// unresponsiveAfterProbes is how many probes in a row must stay unanswered for a server to
	// be considered unresponsive.
	unresponsiveAfterProbes = 2
	// silentProbeInterval is the minimum time between two probes of an unresponsive server.
	silentProbeInterval = 300 * time.Millisecond
	// maxProbeGap is the maximum time between two unanswered probes for the server to count as
	// silent in between. A server that falls silent again and again answers for as long.
	maxProbeGap = 600 * time.Millisecond
	// lateProbeResult is the age of a probe from which a missing answer shows nothing: this
	// daemon did not read in time.
	lateProbeResult = 600 * time.Millisecond
	// reportedProbeTTL is how old a probe that another daemon reports may be.
	reportedProbeTTL = time.Second
	// lostAfter is how long a server must have answered nothing to count as lost. Clients give up
	// a stream that stands still for as long.
	lostAfter = 2 * time.Second
)

// ProbeStatus is the status that a probe found.
type ProbeStatus int

// The statuses of probes. Unanswered: the server did not answer. Refused: nothing listens at
// the server's address, or another server does. Unknown: the daemon did not reach the server, and
// nothing shows that this is the server's fault.
const (
	Unanswered ProbeStatus = iota
	Answered
	Refused
	Unknown
)

// String returns the name of the status in logs.
func (s ProbeStatus) String() string {
	return [...]string{"silent", "alive", "refused", "unknown"}[s]
}

// ProbeResult is the result of a probe of a server.
type ProbeResult struct {
	Status ProbeStatus
	// Slowdown is how many times longer than usual the server's work takes; 0: not reported.
	Slowdown float64
	// IsConnected is set if a connection was opened, whether the server answered or not. A stopped process
	// accepts connections, a VM without power does not.
	IsConnected bool
}

// minSlowdown is the slowdown from which a server counts as slow: the first event of a stream
// then takes longer than its goal, and the gaps between events nearly so.
const minSlowdown = 2

// IsSlow reports whether the server answered and works much slower than usual.
func (r ProbeResult) IsSlow() bool {
	return r.Status == Answered && r.Slowdown >= minSlowdown
}

// probeState is the state of the probes of a server.
type probeState struct {
	lastStatus ProbeStatus
	isSlow     bool
	// resultAt is the time of the last result, sentAt that of the last probe.
	resultAt time.Time
	sentAt   time.Time
	// unanswered counts the failed probes since the last answer. answeredAt is the time of the last
	// answer.
	unanswered int
	answeredAt time.Time
	// silentSince is the time of the first failed probe of the last series without an answer and
	// without a gap longer than maxProbeGap.
	silentSince time.Time
}

// next returns the state after the result of a probe.
func (s probeState) next(result ProbeResult) probeState {
	now := time.Now()
	next := probeState{
		lastStatus: result.Status,
		isSlow:     result.IsSlow(),
		resultAt:   now,
		sentAt:     s.sentAt,
		answeredAt: s.answeredAt,
	}
	if result.Status == Answered {
		next.answeredAt = now
		return next
	}
	next.unanswered = s.unanswered + 1
	next.silentSince = s.silentSince
	if s.unanswered == 0 || now.Sub(s.resultAt) > maxProbeGap {
		next.silentSince = now
	}
	return next
}

// ProbeCompleted handles the result of a probe of a server. An unknown result leaves the state as it
// was, and so does a missing answer that this daemon noticed late.
func (c *Controller) ProbeCompleted(id string, result ProbeResult) {
	state := c.probeStates[id]
	isLate := result.Status == Unanswered && !state.sentAt.IsZero() && time.Since(state.sentAt) > lateProbeResult
	if result.Status == Unknown || isLate {
		return
	}
	c.setProbeState(id, state.next(result))
}

// countReportedProbe counts an unanswered probe that another daemon reported, unless the server
// may have answered this daemon after it.
func (c *Controller) countReportedProbe(id string) {
	state := c.probeStates[id]
	if state.unanswered > 0 || time.Since(state.answeredAt) < reportedProbeTTL {
		return
	}
	c.setProbeState(id, state.next(ProbeResult{
		Status: Unanswered,
	}))
}

// setProbeState sets the state of the probes of a server.
func (c *Controller) setProbeState(id string, state probeState) {
	if c.probeStates == nil {
		c.probeStates = map[string]probeState{}
	}
	c.probeStates[id] = state
}

// probe adds a probe of a server to the plan unless it was probed recently.
func (c *Controller) probe(server fleet.Server, plan *Plan) {
	state := c.probeStates[server.ID]
	interval := probeInterval
	if state.unanswered >= unresponsiveAfterProbes {
		interval = silentProbeInterval
	}
	if time.Since(state.sentAt) < interval {
		return
	}
	state.sentAt = time.Now()
	c.setProbeState(server.ID, state)
	plan.Probes = append(plan.Probes, server)
}

// isUnresponsive reports whether a server refused its last probe or did not answer its last
// probes; isKnown is false without conclusive recent results.
func (c *Controller) isUnresponsive(id string) (isUnresponsive, isKnown bool) {
	state := c.probeStates[id]
	if state.resultAt.IsZero() || time.Since(state.resultAt) > probeResultTTL {
		return false, false
	}
	switch state.lastStatus {
	case Answered:
		return false, true
	case Refused:
		return true, true
	default:
		return state.unanswered >= unresponsiveAfterProbes, state.unanswered >= unresponsiveAfterProbes
	}
}

// isLost reports whether an unresponsive server is certain to serve no more, so that what it runs
// may be broken off: nothing or another server listens at its address; it has answered nothing for
// lostAfter without interruption; or it has no entry, and this daemon knows of no answer for as long.
func (c *Controller) isLost(id string, hasEntry bool) bool {
	state := c.probeStates[id]
	isUnresponsive, _ := c.isUnresponsive(id)
	switch {
	case !isUnresponsive:
		return false
	case state.lastStatus == Refused:
		return true
	case !hasEntry && time.Since(state.answeredAt) >= lostAfter && time.Since(c.firstStepAt) >= lostAfter:
		return true
	default:
		return state.resultAt.Sub(state.silentSince) >= lostAfter
	}
}

// hasAnsweredRecently reports whether a server answered so recently that it need not be
// probed again yet. If many servers lose only their connection to the store, a leader on a
// small VM that probes all of them at each step gets their answers too late and ends
// working groups.
func (c *Controller) hasAnsweredRecently(id string) bool {
	state := c.probeStates[id]
	return state.lastStatus == Answered && time.Since(state.resultAt) < probeResultTTL/2
}

// haveAllAnswered reports whether all servers answered a probe recently, and probes the
// others, whose answers arrive some milliseconds later. An entry may belong to a server
// that crashed while the store was unavailable, and the missing member of the new group
// would be detected only seconds later.
func (c *Controller) haveAllAnswered(servers []fleet.Server, plan *Plan) bool {
	haveAnswered := true
	for _, server := range servers {
		state := c.probeStates[server.ID]
		if state.lastStatus != Answered || time.Since(state.resultAt) > formProbeTTL {
			c.probe(server, plan)
			haveAnswered = false
		}
	}
	return haveAnswered
}

// isRefusedRecently reports whether a recent probe found that nothing listens at a server's
// address, or another server does.
func (c *Controller) isRefusedRecently(id string) bool {
	state := c.probeStates[id]
	return state.lastStatus == Refused && time.Since(state.resultAt) < probeResultTTL
}

// isHealthy reports whether a server has not missed its last probes and is not slow.
func (c *Controller) isHealthy(server fleet.Server) bool {
	state := c.probeStates[server.ID]
	isUnresponsive := state.lastStatus != Answered && state.unanswered >= unresponsiveAfterProbes
	return !isUnresponsive && !state.isSlow
}
