package assembly_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
)

// Guards against waiting for a crashed head until its entry expires and then for the stall
// time; its members leave immediately.
func TestCrashedHeadIsReplacedBeforeStallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newStartedFleet(6)
		head := openHeadOf(s, "large")
		s.kill(head.id)
		c.Suspect(head.group, head.epoch, "")

		runFor(s, c, false, 3500*time.Millisecond)

		qt.Assert(t, s.violations, qt.HasLen, 0)
		qt.Assert(t, s.countServing("large"), qt.Equals, 6)
	})
}

// Guards against reusing a returning member before it leaves its old group (violation
// TWO, hunt-1d97-39 of valdeserna-riego). The head and a member lost their entries while
// disconnected from the store. The member came back and was ordered to join another group
// while its old head was still open.
func TestReturningMemberLeavesOldGroupBeforeReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newStartedFleet(2)
		head := openHeadOf(s, "large")
		for _, id := range head.members[:2] {
			s.servers[id].isCutOff = true
			s.servers[id].cutOffAt = time.Now()
		}
		unreachable := func(order assembly.Order) delivery {
			return delivery{
				isDropped: s.servers[order.Server.ID].isCutOff,
			}
		}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			s.step(c, false, unreachable)
			s.tick()
		}
		s.servers[head.members[1]].isCutOff = false
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			s.step(c, false, unreachable)
			s.tick()
		}
		qt.Assert(t, s.violations, qt.HasLen, 0)
	})
}

// Guards against considering a draining head crashed (violation TWO, scale-1 of an
// internal deployment, seed 363847341756). The head had stopped listening but still
// finished its work; its members joined another group without leaving.
func TestMembersLeaveGroupWhoseHeadStoppedListening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newStartedFleet(6)
		head := openHeadOf(s, "large")
		s.servers[head.id].hasStoppedListening = true

		runFor(s, c, false, 8*time.Second)

		qt.Assert(t, s.violations, qt.HasLen, 0)
		// The head itself serves until it exits; its members form the next group.
		qt.Assert(t, s.countServing("large") >= 6, qt.IsTrue)
	})
}

// Guards against considering a draining head with a stale entry crashed (violation TWO,
// trouble-3 of lainela-headcourse, seed 7). Servers reported that they were leaving while
// the store was unavailable for eight seconds. Afterwards the entry of a head that had
// stopped listening still did not show it; the head was considered crashed, and its members
// joined another group while it served.
func TestMembersLeaveGroupWhoseHeadStoppedListeningWithStaleEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newStartedFleet(6)
		head := openHeadOf(s, "large")
		s.servers[head.id].hasStoppedListening = true
		s.servers[head.id].hasStaleEntry = true
		c.Suspect(head.group, head.epoch, "")

		runFor(s, c, false, 3*time.Second)

		qt.Assert(t, s.violations, qt.HasLen, 0)
		qt.Assert(t, s.countServing("large") >= 6, qt.IsTrue)
	})
}

// Guards against records that are never removed. In incident inc-2a94 a whole domain was
// lost at 11 s, and the record of its group still existed at the end of the day.
func TestRecordOfLostDomainIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newStartedFleet(6)
		head := openHeadOf(s, "large")
		for _, server := range s.servers {
			if server.domain == head.domain {
				s.kill(server.id)
			}
		}
		runFor(s, c, false, 70*time.Second)
		qt.Assert(t, s.violations, qt.HasLen, 0)
		_, hasRecord := s.records[head.group]
		qt.Assert(t, hasRecord, qt.IsFalse)
		// It is not removed within 15 s, while its servers may come back.
		s, c = newStartedFleet(6)
		head = openHeadOf(s, "large")
		for _, server := range s.servers {
			if server.domain == head.domain {
				s.kill(server.id)
			}
		}
		runFor(s, c, false, 15*time.Second)
		_, hasRecord = s.records[head.group]
		qt.Assert(t, hasRecord, qt.IsTrue)
	})
}
