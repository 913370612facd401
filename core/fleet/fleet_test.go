package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/fleet"
)

// plainServer returns a server of a plain service.
func plainServer(id string) fleet.Server {
	return fleet.Server{
		ID:      id,
		Service: "board",
		Address: "10.0.0.1:80",
	}
}

// engineMember returns a model engine in a group.
func engineMember(id string, rank int, state fleet.MemberState) fleet.Server {
	return fleet.Server{
		ID:       id,
		Service:  "engines",
		IsEngine: true,
		Models:   []string{"large"},
		Membership: fleet.Membership{
			Group: "g1",
			Epoch: 5,
			Rank:  rank,
			State: state,
		},
	}
}

// changes returns the changes that add servers.
func changes(servers ...fleet.Server) []fleet.Change {
	var result []fleet.Change
	for _, server := range servers {
		result = append(result, fleet.Change{
			ID:     server.ID,
			Server: server,
		})
	}
	return result
}

// ids returns the IDs of servers.
func ids(servers []fleet.Server) []string {
	var result []string
	for _, server := range servers {
		result = append(result, server.ID)
	}
	return result
}

func TestOnlyHeadsOfOpenGroupsOfModelServe(t *testing.T) {
	view := fleet.View{}.WithChanges(1, changes(
		engineMember("head", 0, fleet.Open),
		engineMember("second", 1, fleet.Ready),
	), time.Now())
	qt.Assert(t, ids(view.Serving("engines", "large")), qt.DeepEquals, []string{"head"})
	qt.Assert(t, view.Serving("engines", "small"), qt.HasLen, 0)

	view = view.WithChanges(2, changes(engineMember("head", 0, fleet.Broken)), time.Now())
	qt.Assert(t, view.Serving("engines", "large"), qt.HasLen, 0)
}

func TestGroupWithDrainingMemberGetsNoNewRequests(t *testing.T) {
	draining := engineMember("second", 1, fleet.Ready)
	draining.Draining = true
	view := fleet.View{}.WithChanges(1, changes(engineMember("head", 0, fleet.Open), draining), time.Now())
	qt.Assert(t, view.Serving("engines", "large"), qt.HasLen, 0)
}

func TestWithChangesLeavesOriginalViewUnchanged(t *testing.T) {
	first := fleet.View{}.WithChanges(1, changes(plainServer("a")), time.Now())
	_ = first.WithChanges(2, []fleet.Change{
		{
			ID:        "a",
			IsRemoved: true,
		},
	}, time.Now())
	qt.Assert(t, ids(first.Servers()), qt.DeepEquals, []string{"a"})
}

func TestRemovedServerServesUntilGraceEndsAndStaysKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := fleet.View{}.WithChanges(1, changes(plainServer("a")), time.Now())
		view = view.WithSnapshot(2, nil, time.Now().Add(time.Second))
		qt.Assert(t, ids(view.Serving("board", "")), qt.DeepEquals, []string{"a"})

		time.Sleep(1100 * time.Millisecond)

		qt.Assert(t, view.Serving("board", ""), qt.HasLen, 0)
		_, isKnown := view.ServerOrRemoved("a")
		qt.Assert(t, isKnown, qt.IsTrue)
	})
}

// typicalGrace has the bounds of the users' deployments.
var typicalGrace = fleet.Grace{
	DrainBound:        2 * time.Second,
	HeartbeatInterval: 1200 * time.Millisecond,
}

// With a constant grace, servers of a deployment with a drain bound of one second got
// requests after that bound.
func TestGraceDependsOnDrainBoundAndHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shortBounds := fleet.Grace{
			DrainBound:        time.Second,
			HeartbeatInterval: 500 * time.Millisecond,
		}
		var noOutage fleet.Outage
		qt.Assert(t, time.Until(noOutage.GraceUntil(shortBounds)), qt.Equals, 400*time.Millisecond)
		qt.Assert(t, time.Until(noOutage.GraceUntil(typicalGrace)), qt.Equals, 800*time.Millisecond)
		qt.Assert(t, time.Until(noOutage.GraceUntil(fleet.Grace{})), qt.Equals, 800*time.Millisecond)
		// With more frequent heartbeats entries expire in a shorter outage.
		now := time.Now()
		outage := fleet.Outage{
			Began: now.Add(-time.Second),
			Ended: now,
		}
		qt.Assert(t, time.Until(outage.GraceUntil(shortBounds)) > 2*time.Second, qt.IsTrue)
		qt.Assert(t, time.Until(outage.GraceUntil(typicalGrace)) < time.Second, qt.IsTrue)
	})
}

// Guards against a long grace for a server that leaves well after an outage. A server
// left without draining 2.5 s after a daemon reached the store again; the daemon treated
// its entry as expired and sent it a request 2.4 s later (DRAIN, trouble-1 of
// caudal-presion with seed 992820138109).
func TestServerRemovedWellAfterOutageGetsShortGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		outage := fleet.Outage{
			Began: now.Add(-10 * time.Second),
			Ended: now.Add(-2400 * time.Millisecond),
		}
		qt.Assert(t, time.Until(outage.GraceUntil(typicalGrace)) < time.Second, qt.IsTrue)
	})
}

// Guards against a grace beyond the drain bound for a server that leaves just after an
// outage. A server left without draining 0.28 s after a daemon reached the store again;
// the daemon sent it a request 2.07 s later (DRAIN, trouble-1 of lainela-headcourse with
// seed 6).
func TestServerRemovedJustAfterOutageKeepsDrainBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		outage := fleet.Outage{
			Began: now.Add(-10 * time.Second),
			Ended: now.Add(-280 * time.Millisecond),
		}
		qt.Assert(t, time.Until(outage.GraceUntil(typicalGrace)) <= 1600*time.Millisecond, qt.IsTrue)
	})
}

func TestEntriesExpiredDuringOutageGetLongGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		outage := fleet.Outage{
			Began: now.Add(-5 * time.Second),
			Ended: now,
		}
		qt.Assert(t, time.Until(outage.GraceUntil(typicalGrace)) >= 2*time.Second, qt.IsTrue)
		qt.Assert(t, outage.IsSettled(), qt.IsFalse)
		time.Sleep(3 * time.Second)
		qt.Assert(t, outage.IsSettled(), qt.IsTrue)
	})
}

func TestShortOutageGivesNoExpiryGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		outage := fleet.Outage{
			Began: now.Add(-time.Second),
			Ended: now,
		}
		qt.Assert(t, time.Until(outage.GraceUntil(typicalGrace)) < time.Second, qt.IsTrue)
	})
}

// Guards against a draining server that gets requests again because a restored table has
// its older entry.
func TestReconciledKeepsNewerStateThanRestoredTable(t *testing.T) {
	notYetDraining, removed, regrouped, restarting := plainServer("a"), plainServer("b"), engineMember("c", 0, fleet.Open), plainServer("d")
	restarting.StartedAtMs = 1
	view := fleet.View{}.WithSnapshot(9, []fleet.Server{notYetDraining, removed, regrouped, restarting}, time.Now())
	newerEpoch := regrouped
	newerEpoch.Membership.Epoch = 8
	draining := notYetDraining
	draining.Draining = true
	restarted := restarting
	restarted.StartedAtMs = 2
	view = view.WithChanges(12, append(changes(draining, newerEpoch, restarted), fleet.Change{
		ID:        "b",
		IsRemoved: true,
	}), time.Now())

	reconciled := view.ReconciledWithRestored([]fleet.Server{notYetDraining, removed, regrouped, restarting, plainServer("e")})
	qt.Assert(t, ids(reconciled), qt.DeepEquals, []string{"a", "c", "d", "e"})
	qt.Assert(t, reconciled[0].Draining, qt.IsTrue)
	qt.Assert(t, reconciled[1].Membership.Epoch, qt.Equals, int64(8))
	qt.Assert(t, reconciled[2].StartedAtMs, qt.Equals, int64(2))
}

// Guards against newer entries of a restored table being ignored in favour of the view.
func TestReconciledAcceptsNewerStateOfRestoredTable(t *testing.T) {
	view := fleet.View{}.WithSnapshot(9, []fleet.Server{plainServer("a"), engineMember("c", 0, fleet.Open), plainServer("d")}, time.Now())
	draining, ungrouped, restarted := plainServer("a"), engineMember("c", 0, fleet.Open), plainServer("d")
	draining.Draining = true
	ungrouped.Membership = fleet.Membership{}
	restarted.StartedAtMs = 3
	restored := []fleet.Server{draining, ungrouped, restarted}
	qt.Assert(t, view.ReconciledWithRestored(restored), qt.DeepEquals, restored)
}
