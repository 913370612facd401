package assembly_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"headcourse/core/assembly"
	"headcourse/lab/fuzz"
)

// TestFuzz applies random crashes, disconnections, delayed and lost orders, and changes of
// the leader. No invariant may be violated, and the groups must come back after the faults
// end.
func TestFuzz(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		s, c := newStartedFleet(3)
		runRandomFaults(rt, s, c, 400)
	})
}

// TestFuzzOfKeptSeeds repeats seeds that once violated an invariant. In two of them
// unanswered orders to join and to open a group were carried out after its head had left.
// The head served again, and it and its members joined other groups without leaving,
// because the group was considered closed. In the others a server restarted under its ID.
func TestFuzzOfKeptSeeds(t *testing.T) {
	for _, seed := range []uint64{
		10554856337836883301,
		1866668781452268916,
		4979646684750061688,
		7144796478021722746,
	} {
		fuzz.CheckSeed(t, seed, func(rt *rapid.T) {
			s, c := newStartedFleet(3)
			runRandomFaults(rt, s, c, 400)
		})
	}
}

// TestFuzzOfLargeGroups applies random faults to groups of twelve and six in domains of 27,
// with a demand for both models from nothing to more than all groups can serve.
func TestFuzzOfLargeGroups(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		s, c := newLargeGroupFleet(2)
		s.setDemandPerGroup("large", rapid.IntRange(0, 70).Draw(rt, "requests in flight per large group"))
		s.setDemandPerGroup("small", rapid.IntRange(0, 70).Draw(rt, "requests in flight per small group"))
		runRandomFaults(rt, s, c, 120)
	})
}

// runRandomFaults runs a fleet with random faults for at most maxSteps steps.
func runRandomFaults(rt *rapid.T, s *simFleet, c *assembly.Controller, maxSteps int) {
	runRandomFaultsWith(rt, s, c, maxSteps, func(c *assembly.Controller) *assembly.Controller {
		return c
	})
}

// runRandomFaultsWith runs random faults with an extra action at each step, which returns the
// current leader.
func runRandomFaultsWith(rt *rapid.T, s *simFleet, c *assembly.Controller, maxSteps int, atEachStep func(*assembly.Controller) *assembly.Controller) {
	formerLeader := &assembly.Controller{}
	formerLeader.LoadRecords(s.storedRecords())
	steps := rapid.IntRange(50, maxSteps).Draw(rt, "steps")
	faultRate := rapid.Float64Range(0, 0.5).Draw(rt, "fault rate")
	deliveryOf := func(order assembly.Order) delivery {
		if s.servers[order.Server.ID].isCutOff || rapid.Float64Range(0, 1).Draw(rt, "delivery") > faultRate {
			return delivery{}
		}
		return delivery{
			isAnswerLost: rapid.Bool().Draw(rt, "answer lost"),
			isDropped:    rapid.Bool().Draw(rt, "dropped"),
			delay:        time.Duration(rapid.IntRange(0, 10).Draw(rt, "delay in s")) * time.Second,
		}
	}
	for range steps {
		injectFault(rt, s, c, &formerLeader)
		c = atEachStep(c)
		s.step(c, false, deliveryOf)
		s.tick()
		if len(s.violations) > 0 {
			rt.Fatalf("invariant violated: %v", s.violations)
		}
	}
	for _, server := range s.servers {
		server.isCutOff = false
	}
	runFor(s, c, false, 90*time.Second)
	if len(s.violations) > 0 {
		rt.Fatalf("invariant violated after the faults ended: %v", s.violations)
	}
	if s.countServing("small") == 0 || s.countServing("large") == 0 {
		rt.Fatalf("groups did not come back: %d large, %d small", s.countServing("large"), s.countServing("small"))
	}
}

// injectFault applies a random fault in some of the steps.
func injectFault(rt *rapid.T, s *simFleet, c *assembly.Controller, formerLeader **assembly.Controller) {
	records := s.storedRecords()
	if len(records) == 0 {
		return
	}
	record := records[rapid.IntRange(0, len(records)-1).Draw(rt, "group")]
	id := record.Members[rapid.IntRange(0, len(record.Members)-1).Draw(rt, "member")]
	server := s.servers[id]
	switch kind := rapid.IntRange(0, 60).Draw(rt, "fault kind"); kind {
	case 0, 3, 7:
		s.applyFault(server, kind)
		c.Suspect(record.Name, record.Epoch, "")
	case 4:
		// Another daemon leads for one step with an outdated view, like a daemon that was
		// paused; then the leader reads the records again.
		next := &assembly.Controller{}
		next.LoadRecords(s.storedRecords())
		s.step(next, false, deliverPromptly)
		*formerLeader = next
		c.LoadRecords(s.storedRecords())
	case 9:
		// A daemon reports a member that does not answer it but may answer others.
		c.Suspect(record.Name, record.Epoch, id)
	default:
		s.applyFault(server, kind)
	}
}

// applyFault applies a fault to a server, or none. Servers that leave are replaced.
func (s *simFleet) applyFault(server *simServer, kind int) {
	switch kind {
	case 0:
		if !server.hasCrashed {
			s.kill(server.id)
			s.addServer(server.domain, server.staged)
		}
	case 1:
		if !server.hasCrashed && !server.isCutOff {
			server.isCutOff = true
			server.cutOffAt = time.Now()
		}
	case 2:
		server.isCutOff = false
	case 5:
		// The server reports that it is draining.
		if !server.isDraining {
			server.isDraining = true
			s.addServer(server.domain, server.staged)
		}
	case 6:
		// The server is draining, has stopped listening, and finishes its work.
		if !server.hasCrashed && !server.hasStoppedListening {
			server.hasStoppedListening = true
			server.exitsAt = time.Now().Add(simShutdownTime)
			s.addServer(server.domain, server.staged)
		}
	case 7:
		server.slowdown = 4
	case 8:
		server.slowdown = 1
	case 10, 11:
		// The server restarts under its ID before its entry has expired.
		s.restartServer(server)
	}
}
