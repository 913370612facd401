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
func TestFormingGroupEndsWhenMemberRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimFleet(1)
		c := &assembly.Controller{}
		runFor(s, c, true, 5*time.Second)
		record := s.storedRecords()[0]
		s.restartServer(s.servers[record.Members[1]])
		runFor(s, c, true, 2*time.Second)
		_, isThere := s.records[record.Name]
		qt.Assert(t, isThere, qt.IsFalse)
		runFor(s, c, false, 40*time.Second)
		qt.Assert(t, s.countServing("large"), qt.Equals, 1)
		qt.Assert(t, s.violations, qt.HasLen, 0)
	})
}

// An order to a head's former start may be carried out by its new one, which opens the
// group again; its members had joined others directly by then, which is two groups at once.
func TestMembersOfRestartedHeadLeaveBeforeJoiningOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newStartedFleet(1)
		head := openHeadOf(s, "large")
		members := slices.Clone(head.members)
		group, epoch := head.group, head.epoch
		s.restartServer(head)
		hasLeft := map[string]bool{}
		for range 200 {
			s.step(c, false, func(order assembly.Order) delivery {
				isMember := slices.Contains(members[1:], order.Server.ID)
				if isMember && order.Kind == assembly.Leave && order.Group == group && order.Epoch == epoch {
					hasLeft[order.Server.ID] = true
				}
				if isMember && order.Kind == assembly.Join {
					qt.Check(t, hasLeft[order.Server.ID], qt.IsTrue, qt.Commentf("%s joins %s", order.Server.ID, order.Group))
				}
				return delivery{}
			})
			s.tick()
		}
		qt.Assert(t, s.countServing("large"), qt.Equals, 1)
		qt.Assert(t, s.violations, qt.HasLen, 0)
	})
}

// A leader that comes takes no model for loaded that a server's former start had loaded.
func TestNewLeaderIgnoresModelsOfFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newStartedFleet(1)
		head := openHeadOf(s, "large")
		s.kill(head.members[1])
		runFor(s, c, false, 6*time.Second)
		qt.Assert(t, len(s.recentModels) > 0, qt.IsTrue)
		server := s.servers[head.id]
		s.restartServer(server)
		s.restartDaemons()
		known, ok := s.view.Server(head.id)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, known.Recent, qt.Equals, "")
		qt.Assert(t, known.Membership.State, qt.Equals, fleet.NoGroup)
	})
}
