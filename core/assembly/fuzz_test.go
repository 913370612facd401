package assembly_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"headcourse/core/assembly"
	"headcourse/lab/fuzz"
)

// TestFuzz plays random losses, cuts, late and lost orders, and changes of the
// leader; nothing that must always hold may break, and when the trouble ends the
// groups come back.
func TestFuzz(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		s, c := newStartedFleet(3)
		runRandomFaults(rt, s, c, 400)
	})
}

// TestFuzzOfKeptSeeds plays drawn cases again that broke something. In two of them orders to
// join and to open a group were not answered and carried out after its head had left. The
// head served again, and it and its members joined others without leaving, since the group
// was known to be closed; in the others a server started again under its ID.
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

// TestFuzzOfLargeGroups does the same with groups of twelve and six in domains of 27, while
// callers ask for both models, from nothing to more than all groups can serve.
func TestFuzzOfLargeGroups(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		s, c := newLargeGroupFleet(2)
		s.setDemandPerGroup("large", rapid.IntRange(0, 70).Draw(rt, "held by large groups"))
		s.setDemandPerGroup("small", rapid.IntRange(0, 70).Draw(rt, "held by small groups"))
		runRandomFaults(rt, s, c, 120)
	})
}

// runRandomFaults plays up to so many steps on a fleet.
func runRandomFaults(rt *rapid.T, s *simFleet, c *assembly.Controller, maxSteps int) {
	runRandomFaultsWith(rt, s, c, maxSteps, func(c *assembly.Controller) *assembly.Controller {
		return c
	})
}

// runRandomFaultsWith is runRandomFaults with something more at each step, which returns who leads then.
func runRandomFaultsWith(rt *rapid.T, s *simFleet, c *assembly.Controller, maxSteps int, atEachStep func(*assembly.Controller) *assembly.Controller) {
	formerLeader := &assembly.Controller{}
	formerLeader.Load(s.storedRecords())
	steps := rapid.IntRange(50, maxSteps).Draw(rt, "steps")
	faultRate := rapid.Float64Range(0, 0.5).Draw(rt, "trouble")
	deliveryOf := func(order assembly.Order) delivery {
		if s.servers[order.Server.ID].isCutOff || rapid.Float64Range(0, 1).Draw(rt, "luck") > faultRate {
			return delivery{}
		}
		return delivery{
			isAnswerLost: rapid.Bool().Draw(rt, "lost"),
			isDropped:    rapid.Bool().Draw(rt, "none"),
			delay:        time.Duration(rapid.IntRange(0, 10).Draw(rt, "late")) * time.Second,
		}
	}
	for range steps {
		injectFault(rt, s, c, &formerLeader)
		c = atEachStep(c)
		s.step(c, false, deliveryOf)
		s.tick()
		if len(s.violations) > 0 {
			rt.Fatalf("broken: %v", s.violations)
		}
	}
	for _, server := range s.servers {
		server.isCutOff = false
	}
	runFor(s, c, false, 90*time.Second)
	if len(s.violations) > 0 {
		rt.Fatalf("broken after the trouble: %v", s.violations)
	}
	if s.countServing("small") == 0 || s.countServing("large") == 0 {
		rt.Fatalf("groups did not come back: %d large, %d small", s.countServing("large"), s.countServing("small"))
	}
}

// disturb brings about one trouble now and then.
func injectFault(rt *rapid.T, s *simFleet, c *assembly.Controller, formerLeader **assembly.Controller) {
	records := s.storedRecords()
	if len(records) == 0 {
		return
	}
	record := records[rapid.IntRange(0, len(records)-1).Draw(rt, "group")]
	id := record.Members[rapid.IntRange(0, len(record.Members)-1).Draw(rt, "member")]
	server := s.servers[id]
	switch kind := rapid.IntRange(0, 60).Draw(rt, "trouble kind"); kind {
	case 0, 3, 7:
		s.applyFault(server, kind)
		c.Suspect(record.Name, record.Epoch, "")
	case 4:
		// Another daemon leads for a step by an old view of its own, as one does
		// that was paused, and then the leader reads the records again.
		next := &assembly.Controller{}
		next.Load(s.storedRecords())
		s.step(next, false, deliverPromptly)
		*formerLeader = next
		c.Load(s.storedRecords())
	case 9:
		// A daemon tells of a silence that another may not find.
		c.Suspect(record.Name, record.Epoch, id)
	default:
		s.applyFault(server, kind)
	}
}

// trouble brings about one trouble of a server, or none. Servers that go are
// replaced.
func (s *simFleet) applyFault(server *simServer, kind int) {
	switch kind {
	case 0:
		if !server.isDead {
			s.kill(server.id)
			s.addServer(server.domain, server.staged)
		}
	case 1:
		if !server.isDead && !server.isCutOff {
			server.isCutOff = true
			server.cutOffAt = time.Now()
		}
	case 2:
		server.isCutOff = false
	case 5:
		// It says that it leaves.
		if !server.isDraining {
			server.isDraining = true
			s.addServer(server.domain, server.staged)
		}
	case 6:
		// It leaves, has stopped listening, and finishes its work.
		if !server.isDead && !server.hasStoppedListening {
			server.hasStoppedListening = true
			server.exitsAt = time.Now().Add(simShutdownTime)
			s.addServer(server.domain, server.staged)
		}
	case 7:
		server.slowdown = 4
	case 8:
		server.slowdown = 1
	case 10, 11:
		// It starts again under its id, before its entry has lapsed.
		s.restartServer(server)
	}
}
