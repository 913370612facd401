package assembly

import (
	"time"

	"headcourse/core/fleet"
)

// Figures of probes.
const (
	// probeAgain is the time between two probes of one server.
	probeAgain = 120 * time.Millisecond
	// probeUnfitAgain is the same for a free server that did not answer or is slow.
	probeUnfitAgain = time.Second
	// probeValid is how long a sign of life counts.
	probeValid = time.Second
	// aliveFor is how long a sign of life counts where a group is formed.
	aliveFor = 3 * time.Second
	// silences is how many probes in a row must be silent for a server to count
	// as dead.
	silences = 2
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

// slowPace is the pace from which a server counts as slow: a stream's first event
// then takes longer than its goal, and its pauses nearly so.
const slowPace = 2

// IsSlow tells whether the server answered and works much slower than usual.
func (f Found) IsSlow() bool {
	return f.Sign == Alive && f.Pace >= slowPace
}

// sign is what the last probes of a server found.
type sign struct {
	last   Sign
	isSlow bool
	// at is when a probe last told something, asked when one was last sent.
	at    time.Time
	asked time.Time
	// silences counts the probes since the last sign of life.
	silences int
}

// Probed notes what a probe of a server found.
func (c *Controller) Probed(id string, found Found) {
	if c.signs == nil {
		c.signs = map[string]sign{}
	}
	former := c.signs[id]
	next := sign{
		last:   found.Sign,
		isSlow: found.IsSlow(),
		at:     time.Now(),
		asked:  former.asked,
	}
	if found.Sign != Alive {
		next.silences = former.silences + 1
	}
	c.signs[id] = next
}

// probe asks for a sign of life, not too often.
func (c *Controller) probe(server fleet.Server, plan *Plan) {
	if c.signs == nil {
		c.signs = map[string]sign{}
	}
	known := c.signs[server.ID]
	if time.Since(known.asked) < probeAgain {
		return
	}
	known.asked = time.Now()
	c.signs[server.ID] = known
	plan.Probes = append(plan.Probes, server)
}

// isDead tells whether a server's recent signs say that it is gone; isKnown
// whether there are recent signs.
func (c *Controller) isDead(id string) (isDead, isKnown bool) {
	known := c.signs[id]
	if known.at.IsZero() || time.Since(known.at) > probeValid {
		return false, false
	}
	switch known.last {
	case Alive:
		return false, true
	case Refused:
		return true, true
	default:
		return known.silences >= silences, known.silences >= silences
	}
}

// hasAnswered tells whether a server answered so lately that it need not be asked again
// yet. Where many servers are cut off from the store alone, a leader on a small VM that asks
// all of them at each step gets their answers too late, and ends groups that work.
func (c *Controller) hasAnswered(id string) bool {
	known := c.signs[id]
	return known.last == Alive && time.Since(known.at) < probeValid/2
}

// areAlive tells whether all servers answered a probe lately; others are asked, and
// the answer is there some milliseconds later. An entry may be of a server that died
// while the store was away, and a group with such a member is found out only seconds later.
func (c *Controller) areAlive(servers []fleet.Server, plan *Plan) bool {
	areAlive := true
	for _, server := range servers {
		known := c.signs[server.ID]
		if known.last != Alive || time.Since(known.at) > aliveFor {
			c.probe(server, plan)
			areAlive = false
		}
	}
	return areAlive
}

// isRefused tells whether nothing listened at a server's address just now, or
// another server did.
func (c *Controller) isRefused(id string) bool {
	known := c.signs[id]
	return known.last == Refused && time.Since(known.at) < probeValid
}

// isWell tells whether a server answered its last probe, or was not asked, and is not
// slow.
func (c *Controller) isWell(server fleet.Server) bool {
	known := c.signs[server.ID]
	isSilent := known.last != Alive && known.silences >= silences
	return !isSilent && !known.isSlow
}
