package assembly

import (
	"time"

	"headcourse/core/fleet"
)

// Figures of probes.
const (
	// probeInterval is the time between two probes of one server.
	probeInterval = 120 * time.Millisecond
	// unhealthyProbeInterval is the same for a free server that did not answer or is slow.
	unhealthyProbeInterval = time.Second
	// probeResultTTL is how long a sign of life counts.
	probeResultTTL = time.Second
	// formProbeTTL is how long a sign of life counts where a group is formed.
	formProbeTTL = 3 * time.Second
	// silences is how many probes in a row must be silent for a server to count
	// as dead.
	deadAfterUnanswered = 2
)

// Sign is a sign of life of a server, or its lack.
type Sign int

// The signs of life. Refused: nothing listens at its address, or another
// server does.
const (
	Silent Sign = iota
	Alive
	Refused
)

// String returns the sign as it stands in logs.
func (s Sign) String() string {
	return [...]string{"silent", "alive", "refused"}[s]
}

// Found is what a probe of a server found out.
type Found struct {
	Sign Sign
	// Pace is how many times longer than usual the server's work takes; 0: not
	// told.
	Pace float64
}

// slowThreshold is the pace from which a server counts as slow: a stream's first event
// then takes longer than its goal, and its pauses nearly so.
const slowThreshold = 2

// IsSlow tells whether the server answered and works much slower than usual.
func (f Found) IsSlow() bool {
	return f.Sign == Alive && f.Pace >= slowThreshold
}

// sign is what the last probes of a server found.
type probeState struct {
	lastSign Sign
	isSlow   bool
	// at is when a probe last told something, asked when one was last sent.
	resultAt time.Time
	sentAt   time.Time
	// silences counts the probes since the last sign of life.
	unanswered int
}

// Probed notes what a probe of a server found.
func (c *Controller) Probed(id string, found Found) {
	if c.probeStates == nil {
		c.probeStates = map[string]probeState{}
	}
	previous := c.probeStates[id]
	next := probeState{
		lastSign: found.Sign,
		isSlow:   found.IsSlow(),
		resultAt: time.Now(),
		sentAt:   previous.sentAt,
	}
	if found.Sign != Alive {
		next.unanswered = previous.unanswered + 1
	}
	c.probeStates[id] = next
}

// probe asks for a sign of life, not too often.
func (c *Controller) probe(server fleet.Server, plan *Plan) {
	if c.probeStates == nil {
		c.probeStates = map[string]probeState{}
	}
	state := c.probeStates[server.ID]
	if time.Since(state.sentAt) < probeInterval {
		return
	}
	state.sentAt = time.Now()
	c.probeStates[server.ID] = state
	plan.Probes = append(plan.Probes, server)
}

// isDead tells whether a server's recent signs say that it is gone; isKnown
// whether there are recent signs.
func (c *Controller) isDead(id string) (isDead, isKnown bool) {
	state := c.probeStates[id]
	if state.resultAt.IsZero() || time.Since(state.resultAt) > probeResultTTL {
		return false, false
	}
	switch state.lastSign {
	case Alive:
		return false, true
	case Refused:
		return true, true
	default:
		return state.unanswered >= deadAfterUnanswered, state.unanswered >= deadAfterUnanswered
	}
}

// hasAnsweredRecently tells whether a server answered so lately that it need not be asked again
// yet. Where many servers are cut off from the store alone, a leader on a small VM that asks
// all of them at each step gets their answers too late, and ends groups that work.
func (c *Controller) hasAnsweredRecently(id string) bool {
	state := c.probeStates[id]
	return state.lastSign == Alive && time.Since(state.resultAt) < probeResultTTL/2
}

// haveAllAnswered tells whether all servers answered a probe lately; others are asked, and
// the answer is there some milliseconds later. An entry may be of a server that died
// while the store was away, and a group with such a member is found out only seconds later.
func (c *Controller) haveAllAnswered(servers []fleet.Server, plan *Plan) bool {
	haveAnswered := true
	for _, server := range servers {
		state := c.probeStates[server.ID]
		if state.lastSign != Alive || time.Since(state.resultAt) > formProbeTTL {
			c.probe(server, plan)
			haveAnswered = false
		}
	}
	return haveAnswered
}

// isRefusedRecently tells whether nothing listened at a server's address just now, or
// another server did.
func (c *Controller) isRefusedRecently(id string) bool {
	state := c.probeStates[id]
	return state.lastSign == Refused && time.Since(state.resultAt) < probeResultTTL
}

// isHealthy tells whether a server answered its last probe, or was not asked, and is not
// slow.
func (c *Controller) isHealthy(server fleet.Server) bool {
	state := c.probeStates[server.ID]
	isSilent := state.lastSign != Alive && state.unanswered >= deadAfterUnanswered
	return !isSilent && !state.isSlow
}
