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
		s, c := started(3)
		fuzzFleet(rt, s, c, 400)
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
			s, c := started(3)
			fuzzFleet(rt, s, c, 400)
		})
	}
}

// TestFuzzOfLargeGroups does the same with groups of twelve and six in domains of 27, while
// callers ask for both models, from nothing to more than all groups can serve.
func TestFuzzOfLargeGroups(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		s, c := largeGroups(2)
		s.hold("large", rapid.IntRange(0, 70).Draw(rt, "held by large groups"))
		s.hold("small", rapid.IntRange(0, 70).Draw(rt, "held by small groups"))
		fuzzFleet(rt, s, c, 120)
	})
}

// fuzzFleet plays up to so many steps on a fleet.
func fuzzFleet(rt *rapid.T, s *simFleet, c *assembly.Controller, mostSteps int) {
	fuzzFleetWith(rt, s, c, mostSteps, func(c *assembly.Controller) *assembly.Controller {
		return c
	})
}

// fuzzFleetWith is fuzzFleet with something more at each step, which returns who leads then.
func fuzzFleetWith(rt *rapid.T, s *simFleet, c *assembly.Controller, mostSteps int, more func(*assembly.Controller) *assembly.Controller) {
	former := &assembly.Controller{}
	former.Load(s.stored())
	steps := rapid.IntRange(50, mostSteps).Draw(rt, "steps")
	trouble := rapid.Float64Range(0, 0.5).Draw(rt, "trouble")
	fateOf := func(order assembly.Order) fate {
		if s.servers[order.Server.ID].isCut || rapid.Float64Range(0, 1).Draw(rt, "luck") > trouble {
			return fate{}
		}
		return fate{
			isLost: rapid.Bool().Draw(rt, "lost"),
			isNone: rapid.Bool().Draw(rt, "none"),
			delay:  time.Duration(rapid.IntRange(0, 10).Draw(rt, "late")) * time.Second,
		}
	}
	for range steps {
		disturb(rt, s, c, &former)
		c = more(c)
		s.run(c, false, fateOf)
		s.tick()
		if len(s.violated) > 0 {
			rt.Fatalf("broken: %v", s.violated)
		}
	}
	for _, one := range s.servers {
		one.isCut = false
	}
	settle(s, c, false, 90*time.Second)
	if len(s.violated) > 0 {
		rt.Fatalf("broken after the trouble: %v", s.violated)
	}
	if s.serving("small") == 0 || s.serving("large") == 0 {
		rt.Fatalf("groups did not come back: %d large, %d small", s.serving("large"), s.serving("small"))
	}
}

// disturb brings about one trouble now and then.
func disturb(rt *rapid.T, s *simFleet, c *assembly.Controller, former **assembly.Controller) {
	records := s.stored()
	if len(records) == 0 {
		return
	}
	record := records[rapid.IntRange(0, len(records)-1).Draw(rt, "group")]
	id := record.Members[rapid.IntRange(0, len(record.Members)-1).Draw(rt, "member")]
	one := s.servers[id]
	switch kind := rapid.IntRange(0, 60).Draw(rt, "trouble kind"); kind {
	case 0, 3, 7:
		s.trouble(one, kind)
		c.Suspect(record.Name, record.Epoch, "")
	case 4:
		// Another daemon leads for a step by an old view of its own, as one does
		// that was paused, and then the leader reads the records again.
		next := &assembly.Controller{}
		next.Load(s.stored())
		s.run(next, false, promptly)
		*former = next
		c.Load(s.stored())
	case 9:
		// A daemon tells of a silence that another may not find.
		c.Suspect(record.Name, record.Epoch, id)
	default:
		s.trouble(one, kind)
	}
}

// trouble brings about one trouble of a server, or none. Servers that go are
// replaced.
func (s *simFleet) trouble(one *simServer, kind int) {
	switch kind {
	case 0:
		if !one.isDead {
			s.kill(one.id)
			s.add(one.domain, one.staged)
		}
	case 1:
		if !one.isDead && !one.isCut {
			one.isCut = true
			one.cutAt = time.Now()
		}
	case 2:
		one.isCut = false
	case 5:
		// It says that it leaves.
		if !one.drains {
			one.drains = true
			s.add(one.domain, one.staged)
		}
	case 6:
		// It leaves, has stopped listening, and finishes its work.
		if !one.isDead && !one.isDeaf {
			one.isDeaf = true
			one.endsAt = time.Now().Add(simLeave)
			s.add(one.domain, one.staged)
		}
	case 7:
		one.pace = 4
	case 8:
		one.pace = 1
	case 10, 11:
		// It starts again under its id, before its entry has lapsed.
		s.rebirth(one)
	}
}
