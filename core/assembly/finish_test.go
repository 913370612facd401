package assembly_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
)

// A head that died without a word was waited for until its entry went and then
// for the stall time; its members now leave at once.
func TestLostHeadIsReplacedWithoutWaitingForTheStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		s.kill(head.id)
		c.Suspect(head.group, head.epoch, "")

		settle(s, c, false, 3500*time.Millisecond)

		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.serving("large"), qt.Equals, 6)
	})
}

// Found by a hunt (TWO, hunt-1d97-39 of valdeserna-riego): the head and a member
// lost their entries while cut off from the store; the member came back and was
// joined to another group while its old head was still open.
func TestMemberThatComesBackLeavesBeforeItIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(2)
		head := headOf(s, "large")
		for _, id := range head.members[:2] {
			s.servers[id].isCut = true
			s.servers[id].cutAt = time.Now()
		}
		unreachable := func(order assembly.Order) fate {
			return fate{
				isNone: s.servers[order.Server.ID].isCut,
			}
		}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			s.run(c, false, unreachable)
			s.tick()
		}
		s.servers[head.members[1]].isCut = false
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			s.run(c, false, unreachable)
			s.tick()
		}
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

// Found by a hunt on a deployment of our own (TWO, scale-1 with seed 363847341756):
// a leaving head had stopped listening and was taken for dead, while it still finished
// its work; its members were joined to another group without leaving.
func TestMembersLeaveAHeadThatOnlyStoppedListening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		s.servers[head.id].isDeaf = true

		settle(s, c, false, 8*time.Second)

		qt.Assert(t, s.violated, qt.HasLen, 0)
		// The head itself serves to its end; its members form the next group.
		qt.Assert(t, s.serving("large") >= 6, qt.IsTrue)
	})
}

// Found on a standard day with another seed (TWO, trouble-3 of lainela-headcourse with
// seed 7): servers had said that they leave while the store was away for eight seconds;
// after its return the entry of a head that had stopped listening still told nothing of
// it. The head was taken for dead, and its members joined another group while it served.
func TestMembersLeaveAHeadThatStoppedListeningBeforeItsEntryTellsSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		s.servers[head.id].isDeaf = true
		s.servers[head.id].isStale = true
		c.Suspect(head.group, head.epoch, "")

		settle(s, c, false, 3*time.Second)

		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.serving("large") >= 6, qt.IsTrue)
	})
}

// Found in incident inc-2a94: the record of a group whose whole domain was lost at
// 11 s still stood at the end of the day.
func TestRecordOfALostDomainIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		for _, one := range s.servers {
			if one.domain == head.domain {
				s.kill(one.id)
			}
		}
		settle(s, c, false, 70*time.Second)
		qt.Assert(t, s.violated, qt.HasLen, 0)
		_, isThere := s.records[head.group]
		qt.Assert(t, isThere, qt.IsFalse)
		// It is not dropped while its servers may come back soon.
		s, c = started(6)
		head = headOf(s, "large")
		for _, one := range s.servers {
			if one.domain == head.domain {
				s.kill(one.id)
			}
		}
		settle(s, c, false, 15*time.Second)
		_, isThere = s.records[head.group]
		qt.Assert(t, isThere, qt.IsTrue)
	})
}
