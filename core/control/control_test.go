package control_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"headcourse/core/plan"
	"headcourse/core/vm"
	"headcourse/lab/fleet"
	"headcourse/lab/fuzz"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m))
}

// newDeclaredFleet returns a fleet in which three zones have two groups each.
func newDeclaredFleet(t *testing.T, daemons, vmsPerDomain int) *fleet.Fleet {
	t.Helper()
	f := fleet.New(fleet.Settings{
		Daemons:      daemons,
		VMsPerDomain: vmsPerDomain,
		ChecksOrders: true,
	})
	qt.Assert(t, f.StartWithGroups(), qt.IsNil)
	return f
}

func TestReconcileFormsDeclaredGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 5)
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 6)
	})
}

func TestDrainZoneMovesGroupsWithoutDowntime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 6)
		proposed, err := f.Propose(f.Daemons[1], "drain", plan.Intent{
			Kind: plan.DrainZone,
			Zone: "z1",
		})
		qt.Assert(t, err, qt.IsNil)
		downtime, _ := proposed.PredictedTotals()
		qt.Assert(t, downtime, qt.Equals, 0.0)
		f.Run(3 * time.Second)
		qt.Assert(t, f.Confirm(f.Daemons[1], "drain"), qt.IsNil)
		for range 240 {
			f.Run(fleet.Tick)
			qt.Assert(t, f.MinServingGroups() >= 6, qt.IsTrue)
		}
		found, err := f.Plan("drain")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found.State, qt.Equals, plan.Done)
		for _, record := range f.Daemons[0].Controller.FleetState().Groups {
			qt.Assert(t, record.Zone, qt.Not(qt.Equals), "z1")
		}
		qt.Assert(t, f.Violations, qt.HasLen, 0)
	})
}

func TestOnlyOneOfConflictingPlansIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 6)
		_, err := f.Propose(f.Daemons[0], "a", plan.Intent{
			Kind: plan.DrainZone,
			Zone: "z1",
		})
		qt.Assert(t, err, qt.IsNil)
		_, err = f.Propose(f.Daemons[1], "b", plan.Intent{
			Kind:  plan.MoveModel,
			Model: "m",
			Zone:  "z1",
			To:    "z2",
		})
		qt.Assert(t, err, qt.IsNil)
		f.Run(3 * time.Second)
		qt.Assert(t, f.Confirm(f.Daemons[0], "a"), qt.IsNil)
		qt.Assert(t, f.Confirm(f.Daemons[1], "b"), qt.IsNotNil)
	})
}

func TestPausedMemberReturnsWithoutReformingGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 5)
		record := f.Daemons[0].Controller.FleetState().Groups[0]
		f.Servers[record.Members[1].VM].Paused = true
		f.Run(4 * time.Second)
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 5)
		f.Servers[record.Members[1].VM].Paused = false
		f.Run(2 * time.Second)
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 6)
		after, ok := f.Daemons[0].Controller.FleetState().Group(record.Name)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, after.Generation, qt.Equals, record.Generation)
	})
}

func TestCrashedMemberIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 5)
		record := f.Daemons[0].Controller.FleetState().Groups[0]
		f.Servers[record.Members[0].VM].Crash()
		f.Run(time.Second)
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 5)
		f.Run(20 * time.Second)
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 6)
		qt.Assert(t, f.Violations, qt.HasLen, 0)
	})
}

func TestGroupsServeDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 5, 5)
		f.StoreUnavailable = true
		for range 60 {
			f.Run(time.Minute)
			qt.Assert(t, f.MinServingGroups(), qt.Equals, 6)
		}
		for _, daemon := range f.Daemons {
			qt.Assert(t, time.Now().Before(daemon.Controller.Snapshot().ServeUntil), qt.IsTrue)
		}
		qt.Assert(t, f.Violations, qt.HasLen, 0)
	})
}

func TestGroupWithLeavingVMGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 5)
		record := f.Daemons[0].Controller.FleetState().Groups[0]
		leaving := f.VMList[record.Members[1].VM]
		leaving.State = vm.Leaving
		f.VMList[leaving.ID] = leaving
		head := f.Servers[record.Members[0].VM]
		head.RequestEnds = []time.Time{time.Now().Add(5 * time.Second)}
		f.Run(3 * time.Second)
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 5)
		// The request in flight ends before the group is formed again.
		after, _ := f.Daemons[0].Controller.FleetState().Group(record.Name)
		qt.Assert(t, after.Generation, qt.Equals, record.Generation)
		f.Run(20 * time.Second)
		qt.Assert(t, f.MinServingGroups(), qt.Equals, 6)
	})
}

// Injects all failures into the fleet, singly and together. The invariants are checked
// after every fleet.Tick and every commit. At the end all faults are lifted, and the fleet
// must converge to its declaration.
func TestFleetKeepsInvariantsUnderFaults(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		f := fleet.New(fleet.Settings{
			Daemons:      rapid.IntRange(2, 5).Draw(rt, "daemons"),
			VMsPerDomain: 5,
			ChecksOrders: rapid.Bool().Draw(rt, "checks orders"),
		})
		if err := f.StartWithGroups(); err != nil {
			rt.Fatal(err)
		}
		f.DrawDelay = func(limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit/fleet.Tick)).Draw(rt, "delay")) * fleet.Tick
		}
		plans := 0
		rt.Repeat(faultActions(f, &plans))
		checkConvergence(rt, f)
	})
}

// faultActions returns the failures to inject and the actions of operators.
func faultActions(f *fleet.Fleet, plans *int) map[string]func(*rapid.T) {
	drawDaemon := func(rt *rapid.T) *fleet.SimulatedDaemon {
		return f.Daemons[rapid.IntRange(0, len(f.Daemons)-1).Draw(rt, "daemon")]
	}
	drawServer := func(rt *rapid.T) *fleet.Server {
		return f.Servers[rapid.SampledFrom(f.VMIDs).Draw(rt, "vm")]
	}
	wait := func(rt *rapid.T) {
		f.Run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ticks")) * fleet.Tick)
	}
	return map[string]func(*rapid.T){
		"": func(rt *rapid.T) {
			if len(f.Violations) > 0 {
				rt.Fatalf("invariants violated: %v", f.Violations)
			}
		},
		"wait":       wait,
		"wait again": wait,
		"kill server": func(rt *rapid.T) {
			drawServer(rt).Crash()
		},
		"pause server": func(rt *rapid.T) {
			drawServer(rt).Paused = true
		},
		"server returns": func(rt *rapid.T) {
			server := drawServer(rt)
			server.Crashed = false
			server.Paused = false
		},
		"domain dark": func(rt *rapid.T) {
			domain := drawServer(rt).VM.Domain
			for _, id := range f.VMIDs {
				if f.Servers[id].VM.Domain == domain {
					f.Servers[id].Paused = true
				}
			}
		},
		"all servers return": func(*rapid.T) {
			f.RecoverServers()
		},
		"pause daemon": func(rt *rapid.T) {
			drawDaemon(rt).Paused = true
		},
		"daemon returns": func(rt *rapid.T) {
			drawDaemon(rt).Paused = false
		},
		"replace daemon": func(rt *rapid.T) {
			if len(f.Daemons) > 2 {
				removed := rapid.IntRange(0, len(f.Daemons)-1).Draw(rt, "removed daemon")
				f.Daemons = append(f.Daemons[:removed], f.Daemons[removed+1:]...)
			}
			f.AddDaemon()
		},
		"cut off from peers": func(rt *rapid.T) {
			daemon := drawDaemon(rt)
			daemon.Partitioned = !daemon.Partitioned
		},
		"store fault": func(rt *rapid.T) {
			drawDaemon(rt).StoreFault = fleet.StoreFault(rapid.IntRange(0, 3).Draw(rt, "fault"))
		},
		"store down": func(*rapid.T) {
			f.StoreUnavailable = !f.StoreUnavailable
		},
		"vm leaves": func(rt *rapid.T) {
			if leaving, ok := f.VMList[drawServer(rt).VM.ID]; ok {
				leaving.State = vm.Leaving
				f.VMList[leaving.ID] = leaving
			}
		},
		"vm stays": func(rt *rapid.T) {
			server := drawServer(rt).VM
			f.VMList[server.ID] = server
		},
		"apply": func(rt *rapid.T) {
			replicas := map[string]int{}
			for zone := range fleet.Zones {
				replicas[fmt.Sprintf("z%d", zone)] = rapid.IntRange(0, 2).Draw(rt, "replicas")
			}
			_ = f.Apply(drawDaemon(rt), fleet.NewDeclaration(replicas, rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "version")))
		},
		"propose": func(rt *rapid.T) {
			*plans++
			_, _ = f.Propose(drawDaemon(rt), fmt.Sprintf("plan-%d", *plans), drawIntent(rt, f))
		},
		"confirm": func(rt *rapid.T) {
			_ = f.Confirm(drawDaemon(rt), fmt.Sprintf("plan-%d", rapid.IntRange(1, max(1, *plans)).Draw(rt, "plan")))
		},
		"race": func(rt *rapid.T) {
			*plans += 2
			for number := *plans - 1; number <= *plans; number++ {
				_, _ = f.Propose(drawDaemon(rt), fmt.Sprintf("plan-%d", number), drawIntent(rt, f))
			}
			f.Run(4 * time.Second)
			for number := *plans - 1; number <= *plans; number++ {
				_ = f.Confirm(drawDaemon(rt), fmt.Sprintf("plan-%d", number))
			}
		},
		"hear again": func(rt *rapid.T) {
			f.RedeliverExchange(drawDaemon(rt), rapid.IntRange(0, 400).Draw(rt, "exchange"))
		},
		"requests": func(rt *rapid.T) {
			for range 4 {
				duration := time.Duration(rapid.IntRange(1, 30).Draw(rt, "duration in s")) * time.Second
				f.StartRequest(drawDaemon(rt), rapid.IntRange(0, 5).Draw(rt, "group"), duration)
			}
		},
		"change plan": func(rt *rapid.T) {
			change := rapid.SampledFrom([]plan.Change{plan.ChangePause, plan.ChangeResume, plan.ChangeAbandon}).Draw(rt, "change")
			_ = f.ChangePlan(fmt.Sprintf("plan-%d", rapid.IntRange(1, max(1, *plans)).Draw(rt, "plan")), change)
		},
	}
}

// drawIntent draws an intent.
func drawIntent(rt *rapid.T, f *fleet.Fleet) plan.Intent {
	kinds := plan.Kinds()
	zone := func(name string) string {
		return fmt.Sprintf("z%d", rapid.IntRange(0, fleet.Zones-1).Draw(rt, name))
	}
	return plan.Intent{
		Kind:       kinds[rapid.IntRange(0, len(kinds)-1).Draw(rt, "kind")].Kind,
		Site:       "s1",
		Zone:       zone("zone"),
		To:         zone("to"),
		VM:         rapid.SampledFrom(f.VMIDs).Draw(rt, "vm"),
		Model:      "m",
		Group:      fmt.Sprintf("m-%d", rapid.IntRange(1, 8).Draw(rt, "group")),
		AllowFewer: rapid.Bool().Draw(rt, "fewer"),
	}
}

// checkConvergence lifts all faults, resumes paused plans, and checks that eventually every
// plan is in a final state, no group is in a transitional phase, and no VM is claimed or
// reserved by a group or plan that does not exist.
func checkConvergence(rt *rapid.T, f *fleet.Fleet) {
	f.RecoverServers()
	f.StoreUnavailable = false
	for _, daemon := range f.Daemons {
		daemon.Paused, daemon.Partitioned, daemon.StoreFault = false, false, fleet.StoreHealthy
	}
	for id, listed := range f.VMList {
		listed.State = vm.Live
		f.VMList[id] = listed
	}
	f.Run(30 * time.Second)
	f.ResumePlans()
	notConverged := errors.New("not checked yet")
	for waited := time.Duration(0); notConverged != nil && waited < convergenceTimeout; waited += convergencePollInterval {
		f.Run(convergencePollInterval)
		notConverged = f.CheckSettled()
	}
	if len(f.Violations) > 0 {
		rt.Fatalf("invariants violated: %v", f.Violations)
	}
	if notConverged != nil {
		for _, daemon := range f.Daemons {
			rt.Logf("%s holds %v reached %d", daemon.Controller.Self().ID, daemon.Controller.HeldLeases(), daemon.Controller.ScannedVersion())
		}
		rt.Logf("leases: %s", f.LeaseRows())
		rt.Fatalf("fleet has not converged %s after all faults were lifted: %s", convergenceTimeout, notConverged)
	}
}

// convergenceTimeout is the time within which the fleet must converge after all faults are
// lifted, and convergencePollInterval the time between two checks.
const (
	convergenceTimeout      = 12 * time.Minute
	convergencePollInterval = 20 * time.Second
)

// Guards against a plan on VMs that the VM list has as live although their backend servers
// have crashed.
func TestPlanAvoidsUnresponsiveVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeclaredFleet(t, 3, 6)
		crashed := map[string]bool{}
		for _, domain := range f.Daemons[0].Controller.FleetState().Domains(nil) {
			if len(domain.FreeVMs) > 0 {
				crashed[domain.FreeVMs[0].ID] = true
				f.Servers[domain.FreeVMs[0].ID].Crash()
			}
		}
		f.Run(5 * time.Second)
		proposed, err := f.Propose(f.Daemons[1], "drain", plan.Intent{
			Kind: plan.DrainZone,
			Zone: "z1",
		})
		qt.Assert(t, err, qt.IsNil)
		for _, id := range proposed.ReservedVMs {
			qt.Assert(t, crashed[id], qt.IsFalse, qt.Commentf(id))
		}
	})
}
