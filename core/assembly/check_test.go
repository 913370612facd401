package assembly_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
)

func TestLostMemberIsReplacedFromTheSpares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		s.kill(head.members[2])
		c.Suspect(head.group, head.epoch, "")

		settle(s, c, false, 3*time.Second)

		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.serving("large"), qt.Equals, 6)
	})
}

func TestNewLeaderGoesOnWithoutJoiningAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := started(6)
		joined, left := s.orders["join"], s.orders["leave"]
		next := &assembly.Controller{}
		next.Load(s.stored())

		settle(s, next, false, 5*time.Second)

		qt.Assert(t, s.orders["join"], qt.Equals, joined)
		qt.Assert(t, s.orders["leave"], qt.Equals, left)
		qt.Assert(t, s.serving("large"), qt.Equals, 6)
	})
}

func TestLeavingMemberEndsItsGroupGentlyAndIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "small")
		s.servers[head.members[1]].drains = true

		settle(s, c, false, 4*time.Second)

		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.orders["close"] > 0, qt.IsTrue)
		qt.Assert(t, s.serving("small"), qt.Equals, 6)
	})
}

func TestDeadServerIsNotUsedWhileItsEntryStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		dead := head.members[1]
		s.kill(dead)
		c.Suspect(head.group, head.epoch, "")
		settle(s, c, false, 2*time.Second)
		for _, record := range s.stored() {
			for _, id := range record.Members {
				qt.Assert(t, id, qt.Not(qt.Equals), dead)
			}
		}
	})
}

// Found on scale-1 of a site of 925 servers: 111 of them were cut off from the store alone
// and still answered. The leader asked each of them eight times a second, could not keep
// up with the answers, took members that worked for dead, and ended 20 groups.
func TestMembersWithoutAnEntryThatAnswerAreAskedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := equipped(6)
		cut := 0
		for _, record := range s.stored() {
			if len(record.Members) > 1 {
				member := s.servers[record.Members[1]]
				member.isCut = true
				member.cutAt = time.Now()
				cut++
			}
		}
		settle(s, c, false, 5*time.Second)
		serving := s.serving("large") + s.serving("small")
		before := s.probes
		const seconds = 4
		settle(s, c, false, seconds*time.Second)
		asked := s.probes - before
		// Twice a second each, beside a look at each head.
		qt.Assert(t, asked <= seconds*(2*cut+serving+2), qt.IsTrue, qt.Commentf("%d probes for %d members", asked, cut))
		qt.Assert(t, s.serving("large")+s.serving("small"), qt.Equals, serving)
		qt.Assert(t, serving, qt.Equals, 12)
	})
}
