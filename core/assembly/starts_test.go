package assembly_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
)

// A member that started again under its ID, within one look, joined again under the old
// epoch, and its group formed on: orders to its former start, carried out late, fit there.
func TestGroupIsNotFormedOnWithAMemberThatStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(1)
		c := &assembly.Controller{}
		settle(s, c, true, 5*time.Second)
		record := s.stored()[0]
		s.rebirth(s.servers[record.Members[1]])
		settle(s, c, true, 2*time.Second)
		_, isThere := s.records[record.Name]
		qt.Assert(t, isThere, qt.IsFalse)
		settle(s, c, false, 40*time.Second)
		qt.Assert(t, s.serving("large"), qt.Equals, 1)
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

// An order to a head's former start may be carried out by its new one, which opens the
// group again; its members had joined others directly by then, which is two groups at once.
func TestMembersOfAHeadThatStartedAgainLeaveBeforeTheyJoinOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(1)
		head := headOf(s, "large")
		members := slices.Clone(head.members)
		group, epoch := head.group, head.epoch
		s.rebirth(head)
		hasLeft := map[string]bool{}
		for range 200 {
			s.run(c, false, func(order assembly.Order) fate {
				isMember := slices.Contains(members[1:], order.Server.ID)
				if isMember && order.Kind == assembly.Leave && order.Group == group && order.Epoch == epoch {
					hasLeft[order.Server.ID] = true
				}
				if isMember && order.Kind == assembly.Join {
					qt.Check(t, hasLeft[order.Server.ID], qt.IsTrue, qt.Commentf("%s joins %s", order.Server.ID, order.Group))
				}
				return fate{}
			})
			s.tick()
		}
		qt.Assert(t, s.serving("large"), qt.Equals, 1)
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

// A leader that comes takes no model for loaded that a server's former start had loaded.
func TestNewLeaderKnowsThatAServerStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(1)
		head := headOf(s, "large")
		s.kill(head.members[1])
		settle(s, c, false, 6*time.Second)
		qt.Assert(t, len(s.recent) > 0, qt.IsTrue)
		one := s.servers[head.id]
		s.rebirth(one)
		s.restart()
		known, ok := s.view.Server(head.id)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, known.Recent, qt.Equals, "")
		qt.Assert(t, known.Membership.State, qt.Equals, fleet.NoGroup)
	})
}

// Orders to join and to open that were not answered were carried out after the head had
// left; its entry was stale, and it joined another group while it served the one before.
func TestHeadThatMayOpenAgainIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(1)
		var record assembly.Record
		isLost := map[assembly.Kind]bool{}
		// The first orders to join and to open that the head of a new group gets are late.
		late := func(order assembly.Order) fate {
			own := s.records[order.Group]
			isHead := own.Name != "" && order.Server.ID == own.Members[0]
			if record.Name == "" && isHead && own.Model == "large" {
				record = own
			}
			isOfIt := isHead && own.Name == record.Name
			if isOfIt && (order.Kind == assembly.Join || order.Kind == assembly.Open) && !isLost[order.Kind] {
				isLost[order.Kind] = true
				return fate{
					delay: 9 * time.Second,
				}
			}
			return fate{}
		}
		s.rebirth(headOf(s, "large"))
		for end := time.Now().Add(time.Minute); len(isLost) < 2 || s.servers[record.Members[0]].state != fleet.Open; {
			qt.Assert(t, time.Now().Before(end), qt.IsTrue)
			s.run(c, false, late)
			s.tick()
		}
		head := s.servers[record.Members[0]]
		s.killMember(c, head, 1)
		for end := time.Now().Add(time.Minute); s.records[record.Name].Name != ""; {
			qt.Assert(t, time.Now().Before(end), qt.IsTrue)
			s.run(c, false, promptly)
			s.tick()
		}
		head.isCut, head.cutAt = true, time.Now()
		s.add("d0", "large")
		settle(s, c, false, 3*time.Second)
		qt.Assert(t, head.state, qt.Equals, fleet.NoGroup)
		settle(s, c, false, 12*time.Second)
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}
