package assembly_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
	"headcourse/core/evacuation"
)

// Twelve domains of eight servers in three zones, of which one is evacuated: the others have to
// serve what it served, before daemons leave it.

// zonedFleet returns a fleet in three zones whose groups serve.
func zonedFleet(domains int) (*simFleet, *assembly.Controller) {
	s := newSim(domains)
	s.zones = map[string]string{}
	for d := range domains {
		s.zones["d"+strconv.Itoa(d)] = string(rune('a' + d%3))
	}
	c := &assembly.Controller{}
	settle(s, c, true, 40*time.Second)
	return s, c
}

// servingOutside counts the groups of a model that serve outside the evacuated zones.
func (s *simFleet) servingOutside(model string) int {
	count := 0
	for _, record := range s.stored() {
		head := s.servers[record.Members[0]]
		isServing := record.Model == model && s.isServing(head)
		if isServing && !s.evacuated.Has(s.zones[head.domain]) {
			count++
		}
	}
	return count
}

// evacuate evacuates a zone; daemons go on sending requests there for a while.
func (s *simFleet) evacuate(zone string) {
	s.evacuated = s.evacuated.With(zone, evacuation.Evacuation{
		LeaveAt: time.Now().Add(1500 * time.Millisecond),
	})
}

// TestGroupsFormElsewhereBeforeAZoneIsLeft has callers ask for as many groups as served in all
// zones: spares of the other zones make up for a part of them while the zone is still used.
func TestGroupsFormElsewhereBeforeAZoneIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := zonedFleet(12)
		const held = 20
		s.hold("large", held)
		s.hold("small", held)
		settle(s, c, false, 5*time.Second)
		inAll := s.serving("large") + s.serving("small")
		s.evacuate("a")
		outside := s.servingOutside("large") + s.servingOutside("small")
		settle(s, c, false, 2500*time.Millisecond)
		more := s.servingOutside("large") + s.servingOutside("small")
		qt.Assert(t, more > outside, qt.IsTrue, qt.Commentf("%d groups outside the zone, %d before, %d in all zones", more, outside, inAll))
		// The groups of the zone serve until the daemons have left, and wait afterwards.
		qt.Assert(t, s.serving("large")+s.serving("small") >= inAll, qt.IsTrue)
		settle(s, c, false, 20*time.Second)
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

// Where the zone is taken back its groups are there: they need not form anew.
func TestGroupsOfAnEvacuatedZoneWaitForItsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := zonedFleet(12)
		settle(s, c, false, 5*time.Second)
		before := s.serving("large") + s.serving("small")
		s.evacuate("a")
		settle(s, c, false, 20*time.Second)
		joins := s.orders["join"]
		s.evacuated = s.evacuated.Without("a")
		qt.Assert(t, s.servingOutside("large")+s.servingOutside("small") >= before, qt.IsTrue)
		settle(s, c, false, 10*time.Second)
		qt.Assert(t, s.servingOutside("large")+s.servingOutside("small") >= before, qt.IsTrue)
		qt.Assert(t, s.orders["join"], qt.Equals, joins)
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

// All zones evacuated leave nothing to form groups of, and nothing to do; a member that is lost
// meanwhile ends its group, which forms again when its zone is back.
func TestAllZonesEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := zonedFleet(6)
		settle(s, c, false, 5*time.Second)
		before := s.serving("large")
		for _, zone := range []string{"a", "b", "c"} {
			s.evacuate(zone)
		}
		for _, record := range s.stored() {
			if record.Model == "large" {
				s.killMember(c, s.servers[record.Members[0]], 1)
				break
			}
		}
		settle(s, c, false, 20*time.Second)
		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.serving("large") < before, qt.IsTrue)
		s.evacuated = evacuation.Zones{}
		settle(s, c, false, 20*time.Second)
		qt.Assert(t, s.serving("large"), qt.Equals, before)
	})
}
