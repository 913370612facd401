package assembly_test

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
	"headcourse/lab/fuzz"
)

// simSnapshot is a copy of the simulated store.
type simSnapshot struct {
	records map[string]assembly.Record
	recent  map[string]string
	epoch   int64
}

// snapshot returns a copy of the store as it is.
func (s *simFleet) snapshot() simSnapshot {
	return simSnapshot{
		records: maps.Clone(s.records),
		recent:  maps.Clone(s.recent),
		epoch:   s.epoch,
	}
}

// emptyStore returns a copy of the store from before the first group.
func emptyStore(domains int) simSnapshot {
	return newSim(domains).snapshot()
}

// restore replaces the store by a copy, in a new era, and returns the new leader: the lease
// of the former era is lost with it.
func (s *simFleet) restore(from simSnapshot) *assembly.Controller {
	s.era++
	s.epoch = from.epoch
	s.records = maps.Clone(from.records)
	s.recent = maps.Clone(from.recent)
	return s.restart()
}

// epochs returns the epochs of all records, in their order.
func (s *simFleet) epochs() []int64 {
	var epochs []int64
	for _, record := range s.stored() {
		epochs = append(epochs, record.Epoch)
	}
	slices.Sort(epochs)
	return epochs
}

// members returns the members of all open groups, by group.
func (s *simFleet) members() map[string][]string {
	members := map[string][]string{}
	for _, one := range s.servers {
		if one.state == fleet.Open {
			members[one.group] = one.members
		}
	}
	return members
}

// Guards against groups that serve being sent away since the store has lost their records.
func TestGroupsThatServeGoOnWithoutTheirRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := started(3)
		before := emptyStore(3)
		large, small, epochs := s.serving("large"), s.serving("small"), s.epochs()
		qt.Assert(t, large > 0 && small > 0, qt.IsTrue)

		c := s.restore(before)
		members := s.members()
		settle(s, c, false, 20*time.Second)
		qt.Assert(t, s.serving("large"), qt.Equals, large)
		qt.Assert(t, s.serving("small"), qt.Equals, small)
		qt.Assert(t, s.members(), qt.DeepEquals, members)
		for _, epoch := range s.epochs() {
			qt.Assert(t, slices.Contains(epochs, epoch), qt.IsTrue)
		}
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

// Guards against an adopted group that a later leader does not know by its epoch.
func TestAdoptedGroupsAreKnownToTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := started(3)
		before := emptyStore(3)
		large := s.serving("large")
		settle(s, s.restore(before), false, 5*time.Second)
		members := s.members()
		settle(s, s.restart(), false, 20*time.Second)
		qt.Assert(t, s.members(), qt.DeepEquals, members)
		qt.Assert(t, s.serving("large"), qt.Equals, large)
	})
}

// Guards against members of newer groups being disturbed by a record that a restore brings back.
func TestRecordThatIsBackHarmsNoNewerGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(3)
		before := s.snapshot()
		s.killMember(c, headOf(s, "large"), 1)
		settle(s, c, false, 20*time.Second)
		large, small := s.serving("large"), s.serving("small")

		c = s.restore(before)
		settle(s, c, false, 30*time.Second)
		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.serving("large") >= large, qt.IsTrue)
		qt.Assert(t, s.serving("small") >= small, qt.IsTrue)
		for _, record := range s.stored() {
			head := s.servers[record.Members[0]]
			qt.Assert(t, head.group, qt.Equals, record.Name)
			qt.Assert(t, head.epoch, qt.Equals, record.Epoch)
		}
	})
}

// Guards against a group that forms on under an epoch of a former era, for which orders may
// still be on their way.
func TestGroupOfAFormerEraIsNotFormedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(3)
		former := s.serving("small")
		s.killMember(c, headOf(s, "small"), 1)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !s.isForming(); {
			s.run(c, false, promptly)
			s.tick()
		}
		qt.Assert(t, s.isForming(), qt.IsTrue)
		forming := s.epochs()[len(s.records)-1]

		c = s.restore(s.snapshot())
		settle(s, c, false, 30*time.Second)
		qt.Assert(t, slices.Contains(s.epochs(), forming), qt.IsFalse)
		qt.Assert(t, s.serving("small"), qt.Equals, former)
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

// isForming tells whether a server joins a group.
func (s *simFleet) isForming() bool {
	for _, one := range s.servers {
		if one.state == fleet.Joining {
			return true
		}
	}
	return false
}

// Guards against epochs that are given out again after a restore.
func TestEpochsRiseOverARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := started(3)
		before := emptyStore(3)
		highest := s.epochs()[len(s.records)-1]
		c := s.restore(before)
		s.killMember(c, s.anyOpen("large"), 1)
		settle(s, c, false, 20*time.Second)
		newest := s.epochs()[len(s.records)-1]
		qt.Assert(t, newest > highest, qt.IsTrue)
		qt.Assert(t, rowstore.EraOf(newest), qt.Equals, int64(1))
	})
}

// anyOpen returns the head of some open group of a model, whether it has a record or not.
func (s *simFleet) anyOpen(model string) *simServer {
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if one := s.servers[id]; one.state == fleet.Open && one.model == model {
			return one
		}
	}
	return nil
}

// TestFuzzWithRestores plays random trouble while the store is restored from older copies, now
// and then twice in a row, and a leader of the former era still gives orders.
func TestFuzzWithRestores(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		s, c := started(3)
		snapshot := s.snapshot()
		drill := func(c *assembly.Controller) *assembly.Controller {
			switch rapid.IntRange(0, 40).Draw(rt, "drill") {
			case 0, 1, 2:
				snapshot = s.snapshot()
			case 3, 4:
				s.orderOnly(c, promptly)
				return s.restore(snapshot)
			}
			return c
		}
		fuzzFleetWith(rt, s, c, 300, drill)
	})
}

// orderOnly has a leader decide once whose lease is lost: its orders are carried out, its
// changes of records are not.
func (s *simFleet) orderOnly(c *assembly.Controller, fateOf func(assembly.Order) fate) {
	records, recent, epoch := maps.Clone(s.records), maps.Clone(s.recent), s.epoch
	s.run(c, false, fateOf)
	s.records, s.recent, s.epoch = records, recent, epoch
}
