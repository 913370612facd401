package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/plan"
	"headcourse/lab/fleet"
)

// runPlan proposes and confirms an intent and lets the fleet run for the wait time.
func runPlan(t *testing.T, f *fleet.Fleet, id string, intent plan.Intent, wait time.Duration) plan.Plan {
	t.Helper()
	_, err := f.Propose(f.Daemons[0], id, intent)
	qt.Assert(t, err, qt.IsNil)
	f.Run(3 * time.Second)
	qt.Assert(t, f.Confirm(f.Daemons[0], id), qt.IsNil)
	f.Run(wait)
	found, err := f.Plan(id)
	qt.Assert(t, err, qt.IsNil)
	return found
}

// startZoneDrain confirms the plan "drain" for zone z1 and lets the fleet run.
func startZoneDrain(t *testing.T, f *fleet.Fleet, wait time.Duration) {
	t.Helper()
	runPlan(t, f, "drain", plan.Intent{
		Kind: plan.DrainZone,
		Zone: "z1",
	}, wait)
}

// groupsPerVersion returns how many groups serve each version.
func groupsPerVersion(f *fleet.Fleet) map[string]int {
	counts := map[string]int{}
	for _, record := range f.Daemons[0].Controller.FleetState().Groups {
		counts[record.Version]++
	}
	return counts
}

// With a spare pair in each domain groups are replaced before they are drained; without one
// they are formed again on their own VMs.
func TestVersionChangeReplacesOrReformsGroups(t *testing.T) {
	for _, vmsPerDomain := range []int{6, 2} {
		synctest.Test(t, func(t *testing.T) {
			f := newDeclaredFleet(t, 3, vmsPerDomain)
			qt.Assert(t, f.Apply(f.Daemons[0], fleet.NewDeclaration(map[string]int{"z0": 2, "z1": 2, "z2": 2}, "2")), qt.IsNil)
			f.Run(4 * time.Second)
			finished := runPlan(t, f, "change", plan.Intent{
				Kind: plan.Reconcile,
			}, 5*time.Minute)
			qt.Assert(t, finished.State, qt.Equals, plan.Done, qt.Commentf("%s", finished.Reason))
			qt.Assert(t, groupsPerVersion(f), qt.DeepEquals, map[string]int{"2": 6})
			qt.Assert(t, f.MinServingGroups(), qt.Equals, 6)
			downtime, _ := finished.PredictedTotals()
			qt.Assert(t, downtime > 0, qt.Equals, vmsPerDomain == 2)
			qt.Assert(t, f.Violations, qt.HasLen, 0)
		})
	}
}

// The VM's group continues without the retired VM, and no group uses it again.
func TestGroupReplacesRetiredVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 5)
		retired := f.Daemons[0].Controller.FleetState().Groups[0].Members[1].VM
		finished := runPlan(t, f, "retire", plan.Intent{
			Kind: plan.RetireVMIntent,
			VM:   retired,
		}, 3*time.Minute)
		qt.Assert(t, finished.State, qt.Equals, plan.Done, qt.Commentf("%s", finished.Reason))
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 6)
		for _, record := range f.Daemons[0].Controller.FleetState().Groups {
			qt.Assert(t, record.HasMember(retired), qt.IsFalse)
		}
		qt.Assert(t, f.Daemons[0].Controller.FleetState().Claims[retired].Retired, qt.IsTrue)
	})
}

// Every 15 seconds one daemon crashes and another one starts; the plan completes
// nevertheless.
func TestPlanCompletesWhileDaemonsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 6)
		startZoneDrain(t, f, 0)
		for range 12 {
			f.Daemons = f.Daemons[1:]
			f.AddDaemon()
			f.Run(15 * time.Second)
		}
		f.Run(time.Minute)
		found, err := f.Plan("drain")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found.State, qt.Equals, plan.Done, qt.Commentf("%s", found.Reason))
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 6)
		qt.Assert(t, f.Violations, qt.HasLen, 0)
	})
}

// The plan is abandoned after its new groups are formed and before the old ones are
// drained.
func TestAllGroupsServeAfterAbandonedPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 6)
		startZoneDrain(t, f, 3*time.Second)
		qt.Assert(t, f.ChangePlan("drain", plan.ChangeAbandon), qt.IsNil)
		f.Run(2 * time.Minute)
		qt.Assert(t, f.CheckSettled(), qt.IsNil)
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 6)
		qt.Assert(t, f.Violations, qt.HasLen, 0)
	})
}

// While a plan is paused, no further group is drained.
func TestPausedPlanTakesNoStepsUntilResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 6)
		startZoneDrain(t, f, time.Second)
		qt.Assert(t, f.ChangePlan("drain", plan.ChangePause), qt.IsNil)
		f.Run(time.Minute)
		groupsInZone := 0
		for _, record := range f.Daemons[0].Controller.FleetState().Groups {
			if record.Zone == "z1" {
				groupsInZone++
			}
		}
		qt.Assert(t, groupsInZone, qt.Equals, 2)
		qt.Assert(t, f.ChangePlan("drain", plan.ChangeResume), qt.IsNil)
		f.Run(2 * time.Minute)
		found, err := f.Plan("drain")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found.State, qt.Equals, plan.Done)
	})
}

// The error names the group and the missing VMs.
func TestPlanWithoutFreeVMsIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 2)
		_, err := f.Propose(f.Daemons[0], "drain", plan.Intent{
			Kind: plan.DrainZone,
			Zone: "z1",
		})
		qt.Assert(t, err, qt.ErrorIs, plan.ErrNoFreeVMs)
		qt.Assert(t, err, qt.ErrorMatches, `plan drain-zone zone=z1: group "m-3": no 2 free VMs in one fabric domain.*`)
	})
}
