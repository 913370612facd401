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

// declaredFleet returns a fleet in which three zones have two groups each.
func declaredFleet(t *testing.T, daemons, vmsPerDomain int) *fleet.Fleet {
	t.Helper()
	f := fleet.New(fleet.Settings{
		Daemons:      daemons,
		VMsPerDomain: vmsPerDomain,
		ChecksOrders: true,
	})
	qt.Assert(t, f.StartDeclared(), qt.IsNil)
	return f
}

func TestReconcileFormsGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := declaredFleet(t, 3, 5)
		qt.Assert(t, f.Serving(), qt.Equals, 6)
	})
}

func TestDrainZoneMovesGroupsWithoutDowntime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := declaredFleet(t, 3, 6)
		made, err := f.Propose(f.Hosts[1], "drain", plan.Intent{
			Kind: plan.DrainZone,
			Zone: "z1",
		})
		qt.Assert(t, err, qt.IsNil)
		downtime, _ := made.Predicted()
		qt.Assert(t, downtime, qt.Equals, 0.0)
		f.Run(3 * time.Second)
		qt.Assert(t, f.Confirm(f.Hosts[1], "drain"), qt.IsNil)
		for range 240 {
			f.Run(fleet.Tick)
			qt.Assert(t, f.Serving() >= 6, qt.IsTrue)
		}
		found, err := f.Plan("drain")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found.State, qt.Equals, plan.Done)
		for _, record := range f.Hosts[0].Controller.World().Groups {
			qt.Assert(t, record.Zone, qt.Not(qt.Equals), "z1")
		}
		qt.Assert(t, f.Broken, qt.HasLen, 0)
	})
}

func TestConflictingPlansNeverBothWin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := declaredFleet(t, 3, 6)
		_, err := f.Propose(f.Hosts[0], "a", plan.Intent{
			Kind: plan.DrainZone,
			Zone: "z1",
		})
		qt.Assert(t, err, qt.IsNil)
		_, err = f.Propose(f.Hosts[1], "b", plan.Intent{
			Kind:  plan.MoveModel,
			Model: "m",
			Zone:  "z1",
			To:    "z2",
		})
		qt.Assert(t, err, qt.IsNil)
		f.Run(3 * time.Second)
		qt.Assert(t, f.Confirm(f.Hosts[0], "a"), qt.IsNil)
		qt.Assert(t, f.Confirm(f.Hosts[1], "b"), qt.IsNotNil)
	})
}

func TestPausedMemberReturnsWithoutReforming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := declaredFleet(t, 3, 5)
		record := f.Hosts[0].Controller.World().Groups[0]
		f.Servers[record.Members[1].VM].Paused = true
		f.Run(4 * time.Second)
		qt.Assert(t, f.Serving(), qt.Equals, 5)
		f.Servers[record.Members[1].VM].Paused = false
		f.Run(2 * time.Second)
		qt.Assert(t, f.Serving(), qt.Equals, 6)
		after, ok := f.Hosts[0].Controller.World().Group(record.Name)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, after.Generation, qt.Equals, record.Generation)
	})
}

func TestDeadMemberIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := declaredFleet(t, 3, 5)
		record := f.Hosts[0].Controller.World().Groups[0]
		f.Servers[record.Members[0].VM].Die()
		f.Run(time.Second)
		qt.Assert(t, f.Serving(), qt.Equals, 5)
		f.Run(20 * time.Second)
		qt.Assert(t, f.Serving(), qt.Equals, 6)
		qt.Assert(t, f.Broken, qt.HasLen, 0)
	})
}

func TestStoreOutageStopsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := declaredFleet(t, 5, 5)
		f.StoreOut = true
		for range 60 {
			f.Run(time.Minute)
			qt.Assert(t, f.Serving(), qt.Equals, 6)
		}
		for _, one := range f.Hosts {
			qt.Assert(t, time.Now().Before(one.Controller.Snapshot().ServeUntil), qt.IsTrue)
		}
		qt.Assert(t, f.Broken, qt.HasLen, 0)
	})
}

func TestLeavingVMGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := declaredFleet(t, 3, 5)
		record := f.Hosts[0].Controller.World().Groups[0]
		leaving := f.List[record.Members[1].VM]
		leaving.State = vm.Leaving
		f.List[leaving.ID] = leaving
		leader := f.Servers[record.Members[0].VM]
		leader.Ends = []time.Time{time.Now().Add(5 * time.Second)}
		f.Run(3 * time.Second)
		qt.Assert(t, f.Serving(), qt.Equals, 5)
		// The answer in flight is finished before the group is formed anew.
		after, _ := f.Hosts[0].Controller.World().Group(record.Name)
		qt.Assert(t, after.Generation, qt.Equals, record.Generation)
		f.Run(20 * time.Second)
		qt.Assert(t, f.Serving(), qt.Equals, 6)
	})
}

// TestFleetKeepsItsPromises plays all failures against the fleet, singly and
// together. The oracle looks after every fleet.Tick and every commit; at the end all
// faults are lifted and the fleet must have come to rest where it was asked.
func TestFleetKeepsItsPromises(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		f := fleet.New(fleet.Settings{
			Daemons:      rapid.IntRange(2, 5).Draw(rt, "daemons"),
			VMsPerDomain: 5,
			ChecksOrders: rapid.Bool().Draw(rt, "checks orders"),
		})
		if err := f.StartDeclared(); err != nil {
			rt.Fatal(err)
		}
		f.Delay = func(limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit/fleet.Tick)).Draw(rt, "delay")) * fleet.Tick
		}
		plans := 0
		rt.Repeat(actionsOf(f, &plans))
		checkRest(rt, f)
	})
}

// actionsOf returns the failures and the operators' doings.
func actionsOf(f *fleet.Fleet, plans *int) map[string]func(*rapid.T) {
	aHost := func(rt *rapid.T) *fleet.Host {
		return f.Hosts[rapid.IntRange(0, len(f.Hosts)-1).Draw(rt, "daemon")]
	}
	aServer := func(rt *rapid.T) *fleet.Server {
		return f.Servers[rapid.SampledFrom(f.IDs).Draw(rt, "vm")]
	}
	wait := func(rt *rapid.T) {
		f.Run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ticks")) * fleet.Tick)
	}
	return map[string]func(*rapid.T){
		"": func(rt *rapid.T) {
			if len(f.Broken) > 0 {
				rt.Fatalf("promises broken: %v", f.Broken)
			}
		},
		"wait":       wait,
		"wait again": wait,
		"kill server": func(rt *rapid.T) {
			aServer(rt).Die()
		},
		"pause server": func(rt *rapid.T) {
			aServer(rt).Paused = true
		},
		"server returns": func(rt *rapid.T) {
			found := aServer(rt)
			found.Dead = false
			found.Paused = false
		},
		"domain dark": func(rt *rapid.T) {
			dark := aServer(rt).VM.Domain
			for _, id := range f.IDs {
				if f.Servers[id].VM.Domain == dark {
					f.Servers[id].Paused = true
				}
			}
		},
		"all servers return": func(*rapid.T) {
			f.HealServers()
		},
		"pause daemon": func(rt *rapid.T) {
			aHost(rt).Paused = true
		},
		"daemon returns": func(rt *rapid.T) {
			aHost(rt).Paused = false
		},
		"replace daemon": func(rt *rapid.T) {
			if len(f.Hosts) > 2 {
				gone := rapid.IntRange(0, len(f.Hosts)-1).Draw(rt, "gone")
				f.Hosts = append(f.Hosts[:gone], f.Hosts[gone+1:]...)
			}
			f.AddDaemon()
		},
		"cut off from peers": func(rt *rapid.T) {
			one := aHost(rt)
			one.CutOff = !one.CutOff
		},
		"store fault": func(rt *rapid.T) {
			aHost(rt).Fault = fleet.StoreFault(rapid.IntRange(0, 3).Draw(rt, "fault"))
		},
		"store down": func(*rapid.T) {
			f.StoreOut = !f.StoreOut
		},
		"vm leaves": func(rt *rapid.T) {
			if leaving, ok := f.List[aServer(rt).VM.ID]; ok {
				leaving.State = vm.Leaving
				f.List[leaving.ID] = leaving
			}
		},
		"vm stays": func(rt *rapid.T) {
			back := aServer(rt).VM
			f.List[back.ID] = back
		},
		"apply": func(rt *rapid.T) {
			replicas := map[string]int{}
			for zone := range fleet.Zones {
				replicas[fmt.Sprintf("z%d", zone)] = rapid.IntRange(0, 2).Draw(rt, "replicas")
			}
			_ = f.Apply(aHost(rt), fleet.Declared(replicas, rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "version")))
		},
		"propose": func(rt *rapid.T) {
			*plans++
			_, _ = f.Propose(aHost(rt), fmt.Sprintf("plan-%d", *plans), intentOf(rt, f))
		},
		"confirm": func(rt *rapid.T) {
			_ = f.Confirm(aHost(rt), fmt.Sprintf("plan-%d", rapid.IntRange(1, max(1, *plans)).Draw(rt, "plan")))
		},
		"race": func(rt *rapid.T) {
			*plans += 2
			for number := *plans - 1; number <= *plans; number++ {
				_, _ = f.Propose(aHost(rt), fmt.Sprintf("plan-%d", number), intentOf(rt, f))
			}
			f.Run(4 * time.Second)
			for number := *plans - 1; number <= *plans; number++ {
				_ = f.Confirm(aHost(rt), fmt.Sprintf("plan-%d", number))
			}
		},
		"hear again": func(rt *rapid.T) {
			f.HearAgain(aHost(rt), rapid.IntRange(0, 400).Draw(rt, "said"))
		},
		"requests": func(rt *rapid.T) {
			for range 4 {
				takes := time.Duration(rapid.IntRange(1, 30).Draw(rt, "takes")) * time.Second
				f.Request(aHost(rt), rapid.IntRange(0, 5).Draw(rt, "group"), takes)
			}
		},
		"change plan": func(rt *rapid.T) {
			change := rapid.SampledFrom([]plan.Change{plan.ChangePause, plan.ChangeResume, plan.ChangeAbandon}).Draw(rt, "change")
			_ = f.Change(fmt.Sprintf("plan-%d", rapid.IntRange(1, max(1, *plans)).Draw(rt, "plan")), change)
		},
	}
}

// intentOf draws an intent.
func intentOf(rt *rapid.T, f *fleet.Fleet) plan.Intent {
	kinds := plan.Kinds()
	zone := func(name string) string {
		return fmt.Sprintf("z%d", rapid.IntRange(0, fleet.Zones-1).Draw(rt, name))
	}
	return plan.Intent{
		Kind:       kinds[rapid.IntRange(0, len(kinds)-1).Draw(rt, "kind")].Kind,
		Site:       "s1",
		Zone:       zone("zone"),
		To:         zone("to"),
		VM:         rapid.SampledFrom(f.IDs).Draw(rt, "vm"),
		Model:      "m",
		Group:      fmt.Sprintf("m-%d", rapid.IntRange(1, 8).Draw(rt, "group")),
		AllowFewer: rapid.Bool().Draw(rt, "fewer"),
	}
}

// checkRest lifts all faults, resumes paused plans, and checks after some
// minutes that every plan has ended, no group is left in between, and no VM is
// claimed or reserved by what does not exist.
func checkRest(rt *rapid.T, f *fleet.Fleet) {
	f.HealServers()
	f.StoreOut = false
	for _, one := range f.Hosts {
		one.Paused, one.CutOff, one.Fault = false, false, fleet.StoreFine
	}
	for id, listed := range f.List {
		listed.State = vm.Live
		f.List[id] = listed
	}
	f.Run(30 * time.Second)
	f.ResumeAll()
	unrest := errors.New("not looked yet")
	for waited := time.Duration(0); unrest != nil && waited < restBound; waited += restStep {
		f.Run(restStep)
		unrest = f.Unrest()
	}
	if len(f.Broken) > 0 {
		rt.Fatalf("promises broken: %v", f.Broken)
	}
	if unrest != nil {
		for _, one := range f.Hosts {
			rt.Logf("%s holds %v reached %d", one.Controller.Self().ID, one.Controller.Held(), one.Controller.Reached())
		}
		rt.Logf("leases: %s", f.Leases())
		rt.Fatalf("no rest %s after all faults were lifted: %s", restBound, unrest)
	}
}

// The fleet must have come to rest restBound after all faults were lifted.
const (
	restBound = 12 * time.Minute
	restStep  = 20 * time.Second
)

// TestPlanAvoidsVMsThatDoNotAnswer: the VM list still has a VM as live whose
// backend server is dead.
func TestPlanAvoidsVMsThatDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := declaredFleet(t, 3, 6)
		dead := map[string]bool{}
		for _, domain := range f.Hosts[0].Controller.World().Domains(nil) {
			if len(domain.Free) > 0 {
				dead[domain.Free[0].ID] = true
				f.Servers[domain.Free[0].ID].Die()
			}
		}
		f.Run(5 * time.Second)
		made, err := f.Propose(f.Hosts[1], "drain", plan.Intent{
			Kind: plan.DrainZone,
			Zone: "z1",
		})
		qt.Assert(t, err, qt.IsNil)
		for _, id := range made.Reserves {
			qt.Assert(t, dead[id], qt.IsFalse, qt.Commentf(id))
		}
	})
}
