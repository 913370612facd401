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

	"headcourse/core/group"
	"headcourse/core/plan"
	"headcourse/core/vm"
	"headcourse/lab/fuzz"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m))
}

// startDeclared brings a fleet to where three zones have two groups each.
func startDeclared(f *fleet) error {
	f.run(5 * time.Second)
	if err := f.apply(f.hosts[0], declared(map[string]int{"z0": 2, "z1": 2, "z2": 2}, "1")); err != nil {
		return err
	}
	f.run(6 * time.Second)
	if _, err := f.propose(f.hosts[0], "first", plan.Intent{
		Kind: plan.Reconcile,
	}); err != nil {
		return err
	}
	f.run(3 * time.Second)
	if err := f.confirm(f.hosts[0], "first"); err != nil {
		return err
	}
	f.run(60 * time.Second)
	found, err := f.plan("first")
	if err != nil {
		return err
	}
	if found.State != plan.Done || len(f.broken) > 0 {
		return errors.Errorf("plan is %s at stage %d: %s; broken: %v", found.State, found.Stage, found.Reason, f.broken)
	}
	return nil
}

// serving returns how many groups every running daemon would route to.
func (f *fleet) serving() int {
	least := -1
	for _, one := range f.hosts {
		if one.paused {
			continue
		}
		snapshot := one.controller.Snapshot()
		if count := len(snapshot.Serveable("m", time.Now())); least < 0 || count < least {
			least = count
		}
	}
	return least
}

func TestReconcileFormsGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 5, true)
		qt.Assert(t, startDeclared(f), qt.IsNil)
		qt.Assert(t, f.serving(), qt.Equals, 6)
	})
}

func TestDrainZoneMovesGroupsWithoutDowntime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 6, true)
		qt.Assert(t, startDeclared(f), qt.IsNil)
		made, err := f.propose(f.hosts[1], "drain", plan.Intent{
			Kind: plan.DrainZone,
			Zone: "z1",
		})
		qt.Assert(t, err, qt.IsNil)
		downtime, _ := made.Predicted()
		qt.Assert(t, downtime, qt.Equals, 0.0)
		f.run(3 * time.Second)
		qt.Assert(t, f.confirm(f.hosts[1], "drain"), qt.IsNil)
		for range 240 {
			f.run(tick)
			qt.Assert(t, f.serving() >= 6, qt.IsTrue)
		}
		found, err := f.plan("drain")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found.State, qt.Equals, plan.Done)
		for _, record := range f.hosts[0].controller.World().Groups {
			qt.Assert(t, record.Zone, qt.Not(qt.Equals), "z1")
		}
		qt.Assert(t, f.broken, qt.HasLen, 0)
	})
}

func TestConflictingPlansNeverBothWin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 6, true)
		qt.Assert(t, startDeclared(f), qt.IsNil)
		_, err := f.propose(f.hosts[0], "a", plan.Intent{
			Kind: plan.DrainZone,
			Zone: "z1",
		})
		qt.Assert(t, err, qt.IsNil)
		_, err = f.propose(f.hosts[1], "b", plan.Intent{
			Kind:  plan.MoveModel,
			Model: "m",
			Zone:  "z1",
			To:    "z2",
		})
		qt.Assert(t, err, qt.IsNil)
		f.run(3 * time.Second)
		qt.Assert(t, f.confirm(f.hosts[0], "a"), qt.IsNil)
		qt.Assert(t, f.confirm(f.hosts[1], "b"), qt.IsNotNil)
	})
}

func TestPausedMemberReturnsWithoutReforming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 5, true)
		qt.Assert(t, startDeclared(f), qt.IsNil)
		record := f.hosts[0].controller.World().Groups[0]
		f.servers[record.Members[1].VM].paused = true
		f.run(4 * time.Second)
		qt.Assert(t, f.serving(), qt.Equals, 5)
		f.servers[record.Members[1].VM].paused = false
		f.run(2 * time.Second)
		qt.Assert(t, f.serving(), qt.Equals, 6)
		after, ok := f.hosts[0].controller.World().Group(record.Name)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, after.Generation, qt.Equals, record.Generation)
	})
}

func TestDeadMemberIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 5, true)
		qt.Assert(t, startDeclared(f), qt.IsNil)
		record := f.hosts[0].controller.World().Groups[0]
		f.servers[record.Members[0].VM].die()
		f.run(time.Second)
		qt.Assert(t, f.serving(), qt.Equals, 5)
		f.run(20 * time.Second)
		qt.Assert(t, f.serving(), qt.Equals, 6)
		qt.Assert(t, f.broken, qt.HasLen, 0)
	})
}

func TestStoreOutageStopsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, 5, true)
		qt.Assert(t, startDeclared(f), qt.IsNil)
		f.storeOut = true
		for range 60 {
			f.run(time.Minute)
			qt.Assert(t, f.serving(), qt.Equals, 6)
		}
		for _, one := range f.hosts {
			qt.Assert(t, time.Now().Before(one.controller.Snapshot().ServeUntil), qt.IsTrue)
		}
		qt.Assert(t, f.broken, qt.HasLen, 0)
	})
}

func TestLeavingVMGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 5, true)
		qt.Assert(t, startDeclared(f), qt.IsNil)
		record := f.hosts[0].controller.World().Groups[0]
		leaving := f.list[record.Members[1].VM]
		leaving.State = vm.Leaving
		f.list[leaving.ID] = leaving
		leader := f.servers[record.Members[0].VM]
		leader.ends = []time.Time{time.Now().Add(5 * time.Second)}
		f.run(3 * time.Second)
		qt.Assert(t, f.serving(), qt.Equals, 5)
		// The answer in flight is finished before the group is formed anew.
		after, _ := f.hosts[0].controller.World().Group(record.Name)
		qt.Assert(t, after.Generation, qt.Equals, record.Generation)
		f.run(20 * time.Second)
		qt.Assert(t, f.serving(), qt.Equals, 6)
	})
}

// TestFleetKeepsItsPromises plays all failures against the fleet, singly and
// together. The oracle looks after every tick and every commit; at the end all
// faults are lifted and the fleet must have come to rest where it was asked.
func TestFleetKeepsItsPromises(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(2, 5).Draw(rt, "daemons"), 5, rapid.Bool().Draw(rt, "checks orders"))
		if err := startDeclared(f); err != nil {
			rt.Fatal(err)
		}
		f.delay = func(limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit/tick)).Draw(rt, "delay")) * tick
		}
		plans := 0
		rt.Repeat(actionsOf(f, &plans))
		checkRest(rt, f)
	})
}

// actionsOf returns the failures and the operators' doings.
func actionsOf(f *fleet, plans *int) map[string]func(*rapid.T) {
	aHost := func(rt *rapid.T) *host {
		return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(rt, "daemon")]
	}
	aServer := func(rt *rapid.T) *server {
		return f.servers[rapid.SampledFrom(f.ids).Draw(rt, "vm")]
	}
	wait := func(rt *rapid.T) {
		f.run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ticks")) * tick)
	}
	return map[string]func(*rapid.T){
		"": func(rt *rapid.T) {
			if len(f.broken) > 0 {
				rt.Fatalf("promises broken: %v", f.broken)
			}
		},
		"wait":       wait,
		"wait again": wait,
		"kill server": func(rt *rapid.T) {
			aServer(rt).die()
		},
		"pause server": func(rt *rapid.T) {
			aServer(rt).paused = true
		},
		"server returns": func(rt *rapid.T) {
			found := aServer(rt)
			found.dead = false
			found.paused = false
		},
		"domain dark": func(rt *rapid.T) {
			dark := aServer(rt).vm.Domain
			for _, id := range f.ids {
				if f.servers[id].vm.Domain == dark {
					f.servers[id].paused = true
				}
			}
		},
		"all servers return": func(*rapid.T) {
			f.healServers()
		},
		"pause daemon": func(rt *rapid.T) {
			aHost(rt).paused = true
		},
		"daemon returns": func(rt *rapid.T) {
			aHost(rt).paused = false
		},
		"replace daemon": func(rt *rapid.T) {
			if len(f.hosts) > 2 {
				gone := rapid.IntRange(0, len(f.hosts)-1).Draw(rt, "gone")
				f.hosts = append(f.hosts[:gone], f.hosts[gone+1:]...)
			}
			f.addDaemon()
		},
		"cut off from peers": func(rt *rapid.T) {
			one := aHost(rt)
			one.cutOff = !one.cutOff
		},
		"store fault": func(rt *rapid.T) {
			aHost(rt).fault = storeFault(rapid.IntRange(0, 3).Draw(rt, "fault"))
		},
		"store down": func(*rapid.T) {
			f.storeOut = !f.storeOut
		},
		"vm leaves": func(rt *rapid.T) {
			if leaving, ok := f.list[aServer(rt).vm.ID]; ok {
				leaving.State = vm.Leaving
				f.list[leaving.ID] = leaving
			}
		},
		"vm stays": func(rt *rapid.T) {
			back := aServer(rt).vm
			f.list[back.ID] = back
		},
		"apply": func(rt *rapid.T) {
			replicas := map[string]int{}
			for zone := range zonesCount {
				replicas[fmt.Sprintf("z%d", zone)] = rapid.IntRange(0, 2).Draw(rt, "replicas")
			}
			_ = f.apply(aHost(rt), declared(replicas, rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "version")))
		},
		"propose": func(rt *rapid.T) {
			*plans++
			_, _ = f.propose(aHost(rt), fmt.Sprintf("plan-%d", *plans), intentOf(rt, f))
		},
		"confirm": func(rt *rapid.T) {
			_ = f.confirm(aHost(rt), fmt.Sprintf("plan-%d", rapid.IntRange(1, max(1, *plans)).Draw(rt, "plan")))
		},
		"race": func(rt *rapid.T) {
			*plans += 2
			for number := *plans - 1; number <= *plans; number++ {
				_, _ = f.propose(aHost(rt), fmt.Sprintf("plan-%d", number), intentOf(rt, f))
			}
			f.run(4 * time.Second)
			for number := *plans - 1; number <= *plans; number++ {
				_ = f.confirm(aHost(rt), fmt.Sprintf("plan-%d", number))
			}
		},
		"hear again": func(rt *rapid.T) {
			f.hearAgain(aHost(rt), rapid.IntRange(0, 400).Draw(rt, "said"))
		},
		"requests": func(rt *rapid.T) {
			for range 4 {
				takes := time.Duration(rapid.IntRange(1, 30).Draw(rt, "takes")) * time.Second
				f.request(aHost(rt), rapid.IntRange(0, 5).Draw(rt, "group"), takes)
			}
		},
		"change plan": func(rt *rapid.T) {
			change := rapid.SampledFrom([]plan.Change{plan.ChangePause, plan.ChangeResume, plan.ChangeAbandon}).Draw(rt, "change")
			_ = f.change(fmt.Sprintf("plan-%d", rapid.IntRange(1, max(1, *plans)).Draw(rt, "plan")), change)
		},
	}
}

// intentOf draws an intent.
func intentOf(rt *rapid.T, f *fleet) plan.Intent {
	kinds := plan.Kinds()
	zone := func(name string) string {
		return fmt.Sprintf("z%d", rapid.IntRange(0, zonesCount-1).Draw(rt, name))
	}
	return plan.Intent{
		Kind:       kinds[rapid.IntRange(0, len(kinds)-1).Draw(rt, "kind")].Kind,
		Site:       "s1",
		Zone:       zone("zone"),
		To:         zone("to"),
		VM:         rapid.SampledFrom(f.ids).Draw(rt, "vm"),
		Model:      "m",
		Group:      fmt.Sprintf("m-%d", rapid.IntRange(1, 8).Draw(rt, "group")),
		AllowFewer: rapid.Bool().Draw(rt, "fewer"),
	}
}

// healServers lets every server answer again.
func (f *fleet) healServers() {
	for _, id := range f.ids {
		f.servers[id].dead = false
		f.servers[id].paused = false
	}
}

// checkRest lifts all faults, resumes paused plans, and checks after some
// minutes that every plan has ended, no group is left in between, and no VM is
// claimed or reserved by what does not exist.
func checkRest(rt *rapid.T, f *fleet) {
	f.healServers()
	f.storeOut = false
	for _, one := range f.hosts {
		one.paused, one.cutOff, one.fault = false, false, storeFine
	}
	for id, listed := range f.list {
		listed.State = vm.Live
		f.list[id] = listed
	}
	f.run(30 * time.Second)
	resumeAll(f)
	unrest := errors.New("not looked yet")
	for waited := time.Duration(0); unrest != nil && waited < restBound; waited += restStep {
		f.run(restStep)
		unrest = f.unrest()
	}
	if len(f.broken) > 0 {
		rt.Fatalf("promises broken: %v", f.broken)
	}
	if unrest != nil {
		rt.Fatalf("no rest %s after all faults were lifted: %s", restBound, unrest)
	}
}

// The fleet must have come to rest restBound after all faults were lifted.
const (
	restBound = 12 * time.Minute
	restStep  = 20 * time.Second
)

// unrest returns what has not come to rest yet.
func (f *fleet) unrest() error {
	world := f.hosts[0].controller.World()
	for _, one := range world.Plans {
		if one.State != plan.Proposed && !one.State.IsFinal() {
			return errors.Errorf("plan %s %s is %s at stage %d: %v; groups %+v; claims %v", one.ID, one.Intent, one.State, one.Stage, one.StepsOf(one.Stage), world.Groups, world.Claims)
		}
	}
	for _, record := range world.Groups {
		if record.Phase != group.Serving && record.Phase != group.Waiting {
			return errors.Errorf("group %s is %s (plan %q)", record.Name, record.Phase, record.Plan)
		}
		if record.Plan != "" {
			return errors.Errorf("group %s is marked by plan %s", record.Name, record.Plan)
		}
	}
	for id, claim := range world.Claims {
		if claim.Plan != "" {
			return errors.Errorf("VM %s is reserved by plan %s", id, claim.Plan)
		}
		if record, ok := world.Group(claim.Group); claim.Group != "" && (!ok || !record.Has(id)) {
			return errors.Errorf("VM %s is claimed by %s, which does not have it", id, claim.Group)
		}
	}
	return nil
}

// resumeAll resumes paused plans.
func resumeAll(f *fleet) {
	for _, one := range f.hosts[0].controller.World().Plans {
		if one.State == plan.Paused {
			_ = f.change(one.ID, plan.ChangeResume)
		}
	}
}
