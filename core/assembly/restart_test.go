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

// Guards against continuing to form a group with a member that restarted under its ID
// between two observations. The member rejoined under the old epoch, for which delayed
// orders to its former start were still valid.
func TestFormingGroupEndsWhenMemberRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimFleet(1)
		c := &assembly.Controller{}
		runFor(s, c, true, 5*time.Second)
		record := s.storedRecords()[0]
		s.restartServer(s.servers[record.Members[1]])
		runFor(s, c, true, 2*time.Second)
		_, hasRecord := s.records[record.Name]
		qt.Assert(t, hasRecord, qt.IsFalse)
		runFor(s, c, false, 40*time.Second)
		qt.Assert(t, s.countServing("large"), qt.Equals, 1)
		qt.Assert(t, s.violations, qt.HasLen, 0)
	})
}

// Guards against two groups at once after a restart of a head. The new start may carry out
// an order to the former one and open the group again, when its members had already joined
// others directly.
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

// Guards against a new leader that assumes a model is loaded because the server's former
// start had loaded it.
func TestNewLeaderIgnoresModelsOfFormerStart(t *testing.T) {
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
		qt.Assert(t, known.LastModel, qt.Equals, "")
		qt.Assert(t, known.Membership.State, qt.Equals, fleet.NoGroup)
	})
}
