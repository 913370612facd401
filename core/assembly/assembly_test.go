package assembly_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
	"headcourse/lab/fuzz"
)

func TestMain(m *testing.M) {
	fuzz.Exit(m)
}

// promptly is the fate of an order where nothing goes wrong.
func promptly(assembly.Order) fate {
	return fate{}
}

// settle runs a fleet for a time.
func settle(s *simFleet, c *assembly.Controller, isStart bool, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.run(c, isStart, promptly)
		s.tick()
	}
}

// serversOfDomain is the usual size of a domain.
const serversOfDomain = 8

// started returns a fleet whose groups have formed.
func started(domains int) (*simFleet, *assembly.Controller) {
	s := newSim(domains)
	c := &assembly.Controller{}
	settle(s, c, true, 14*time.Second)
	settle(s, c, false, 16*time.Second)
	return s, c
}

// headOf returns the head of some open group of a model.
func headOf(s *simFleet, model string) *simServer {
	for _, record := range s.stored() {
		if head := s.servers[record.Members[0]]; record.Model == model && head.state == fleet.Open {
			return head
		}
	}
	return nil
}

// kill ends a server without a word.
func (s *simFleet) kill(id string) {
	s.servers[id].isDead = true
	s.servers[id].goneAt = time.Now()
}

func TestGroupsFormByShareOverAllDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := started(6)
		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.serving("large"), qt.Equals, 6)
		qt.Assert(t, s.serving("small"), qt.Equals, 6)
		byDomain := map[string]int{}
		for _, record := range s.stored() {
			byDomain[s.servers[record.Members[0]].domain+record.Model]++
			for _, id := range record.Members {
				qt.Assert(t, s.servers[id].domain, qt.Equals, s.servers[record.Members[0]].domain)
			}
		}
		for key, count := range byDomain {
			qt.Assert(t, count, qt.Equals, 1, qt.Commentf("%s", key))
		}
	})
}

func TestEachDomainKeepsASpareOfEachModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := started(6)
		spares := map[string]int{}
		for _, one := range s.servers {
			if one.state == fleet.NoGroup {
				spares[one.domain+one.staged]++
			}
		}
		qt.Assert(t, spares, qt.HasLen, 12)
	})
}

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

// Of two models with equal shares, the one with the larger groups is without more of
// them at any time; it was overloaded first (valdeserna-riego-grown trouble-2, 20 s to
// 24 s: seven or eight of eleven groups of eight, twenty of 21 of four).
func TestLargerGroupsGetMoreOfTheServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := started(48)
		// 384 servers, 0.67 and 0.33 of them: 48 groups of four and 48 of two by
		// the shares alone, 51 and 49 with the risk; two of the 51 fit into no domain.
		qt.Assert(t, s.serving("large"), qt.Equals, 49)
		qt.Assert(t, s.serving("small"), qt.Equals, 49)
	})
}

// The daemon that tells of a stall has asked the member twice already; the leader
// asked twice again, which took 0.3 s of each repair.
func TestToldSilenceNeedsOneProbeMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		s.kill(head.members[2])
		c.Suspect(head.group, head.epoch, head.members[2])
		settle(s, c, false, 3*simStep)
		_, isThere := s.records[head.group]
		qt.Assert(t, isThere, qt.IsFalse)
	})
}

func TestToldSilenceOfAMemberThatAnswersIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		c.Suspect(head.group, head.epoch, head.members[2])
		settle(s, c, false, 3*time.Second)
		qt.Assert(t, s.cleared[head.group], qt.Equals, 1)
		_, isThere := s.records[head.group]
		qt.Assert(t, isThere, qt.IsTrue)
	})
}

// A head that died without a word was waited for until its entry went and then
// for the stall time; its members now leave at once.
func TestLostHeadIsReplacedWithoutWaitingForTheStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		s.kill(head.id)
		c.Suspect(head.group, head.epoch, "")

		settle(s, c, false, 3500*time.Millisecond)

		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.serving("large"), qt.Equals, 6)
	})
}

// Found by a hunt (TWO, hunt-1d97-39 of valdeserna-riego): the head and a member
// lost their entries while cut off from the store; the member came back and was
// joined to another group while its old head was still open.
func TestMemberThatComesBackLeavesBeforeItIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(2)
		head := headOf(s, "large")
		for _, id := range head.members[:2] {
			s.servers[id].isCut = true
			s.servers[id].cutAt = time.Now()
		}
		unreachable := func(order assembly.Order) fate {
			return fate{
				isNone: s.servers[order.Server.ID].isCut,
			}
		}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			s.run(c, false, unreachable)
			s.tick()
		}
		s.servers[head.members[1]].isCut = false
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			s.run(c, false, unreachable)
			s.tick()
		}
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

// Found by a hunt on a deployment of our own (TWO, scale-1 with seed 363847341756):
// a leaving head had stopped listening and was taken for dead, while it still finished
// its work; its members were joined to another group without leaving.
func TestMembersLeaveAHeadThatOnlyStoppedListening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		s.servers[head.id].isDeaf = true

		settle(s, c, false, 8*time.Second)

		qt.Assert(t, s.violated, qt.HasLen, 0)
		// The head itself serves to its end; its members form the next group.
		qt.Assert(t, s.serving("large") >= 6, qt.IsTrue)
	})
}

// Found in incident inc-2a94: the record of a group whose whole domain was lost at
// 11 s still stood at the end of the day.
func TestRecordOfALostDomainIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		for _, one := range s.servers {
			if one.domain == head.domain {
				s.kill(one.id)
			}
		}
		settle(s, c, false, 70*time.Second)
		qt.Assert(t, s.violated, qt.HasLen, 0)
		_, isThere := s.records[head.group]
		qt.Assert(t, isThere, qt.IsFalse)
		// It is not dropped while its servers may come back soon.
		s, c = started(6)
		head = headOf(s, "large")
		for _, one := range s.servers {
			if one.domain == head.domain {
				s.kill(one.id)
			}
		}
		settle(s, c, false, 15*time.Second)
		_, isThere = s.records[head.group]
		qt.Assert(t, isThere, qt.IsTrue)
	})
}

func TestNewLeaderGoesOnWithoutJoiningAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := started(6)
		before := s.orders["join"]
		next := &assembly.Controller{}
		next.Load(s.stored())

		settle(s, next, false, 5*time.Second)

		qt.Assert(t, s.orders["join"], qt.Equals, before)
		qt.Assert(t, s.orders["leave"], qt.Equals, 0)
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

// Found on a day with many replaced servers: loads of spares that were long done
// counted as under way, so that new servers loaded nothing for 15 s.
func TestNewServerLoadsAtOnceAfterTheSparesAreDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(6)
		c := &assembly.Controller{}
		settle(s, c, true, 18200*time.Millisecond)
		before := s.orders["stage"]
		s.add("d0", "")
		settle(s, c, false, time.Second)
		qt.Assert(t, s.orders["stage"], qt.Equals, before+1)
	})
}

// Loads before the first request are not counted; waiting for the bound would leave
// a fleet with a slow weight store half empty when clients come.
func TestAllLoadBeforeTheFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(24)
		c := &assembly.Controller{}
		settle(s, c, true, time.Second)
		qt.Assert(t, s.orders["join"]+s.orders["stage"], qt.Equals, 24*8)
	})
}

func TestLoadsKeepTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(12)
		c := &assembly.Controller{}
		var loads []time.Time
		counting := func(order assembly.Order) fate {
			one := s.servers[order.Server.ID]
			isLoad := order.Kind == assembly.Stage || (order.Kind == assembly.Join && one.staged != order.Model && one.group != order.Group)
			if isLoad {
				loads = append(loads, time.Now())
			}
			return fate{}
		}
		for end := time.Now().Add(200 * time.Second); time.Now().Before(end); {
			s.run(c, false, counting)
			s.tick()
		}
		const bound = 4*5*1.1 + 3
		for i, first := range loads {
			count := 0
			for _, at := range loads[i:] {
				if at.Sub(first) <= 5*time.Second {
					count++
				}
			}
			qt.Assert(t, float64(count) <= bound, qt.IsTrue, qt.Commentf("%d loads", count))
		}
		qt.Assert(t, len(loads), qt.Equals, 96)
	})
}

// TestFuzz plays random losses, cuts, late and lost orders, and changes of the
// leader; nothing that must always hold may break, and when the trouble ends the
// groups come back.
func TestFuzz(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		s, c := started(3)
		former := &assembly.Controller{}
		former.Load(s.stored())
		steps := rapid.IntRange(50, 400).Draw(rt, "steps")
		trouble := rapid.Float64Range(0, 0.5).Draw(rt, "trouble")
		fateOf := func(order assembly.Order) fate {
			if s.servers[order.Server.ID].isCut || rapid.Float64Range(0, 1).Draw(rt, "luck") > trouble {
				return fate{}
			}
			return fate{
				isLost: rapid.Bool().Draw(rt, "lost"),
				isNone: rapid.Bool().Draw(rt, "none"),
				delay:  time.Duration(rapid.IntRange(0, 10).Draw(rt, "late")) * time.Second,
			}
		}
		for range steps {
			disturb(rt, s, c, &former)
			s.run(c, false, fateOf)
			s.tick()
			if len(s.violated) > 0 {
				rt.Fatalf("broken: %v", s.violated)
			}
		}
		for _, one := range s.servers {
			one.isCut = false
		}
		settle(s, c, false, 90*time.Second)
		if len(s.violated) > 0 {
			rt.Fatalf("broken after the trouble: %v", s.violated)
		}
		if s.serving("small") == 0 || s.serving("large") == 0 {
			rt.Fatalf("groups did not come back: %d large, %d small", s.serving("large"), s.serving("small"))
		}
	})
}

// disturb brings about one trouble now and then.
func disturb(rt *rapid.T, s *simFleet, c *assembly.Controller, former **assembly.Controller) {
	records := s.stored()
	if len(records) == 0 {
		return
	}
	record := records[rapid.IntRange(0, len(records)-1).Draw(rt, "group")]
	id := record.Members[rapid.IntRange(0, len(record.Members)-1).Draw(rt, "member")]
	one := s.servers[id]
	switch rapid.IntRange(0, 60).Draw(rt, "trouble kind") {
	case 0:
		if !one.isDead {
			s.kill(id)
			s.add(one.domain, one.staged)
		}
		c.Suspect(record.Name, record.Epoch, "")
	case 1:
		if !one.isDead && !one.isCut {
			one.isCut = true
			one.cutAt = time.Now()
		}
	case 2:
		one.isCut = false
	case 3:
		c.Suspect(record.Name, record.Epoch, "")
	case 4:
		// Another daemon leads for a step by an old view of its own, as one does
		// that was paused, and then the leader reads the records again.
		next := &assembly.Controller{}
		next.Load(s.stored())
		s.run(next, false, promptly)
		*former = next
		c.Load(s.stored())
	}
}

// Found by the sweep: with 3,002 servers the first plan creates 400 groups, more
// than one transaction of the store holds; it was refused again and again, and no
// group ever formed.
func TestChangesAreCutToWhatATransactionHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plan assembly.Plan
		for i := range rapid.IntRange(0, 30).Draw(rt, "create") {
			plan.Create = append(plan.Create, assembly.Record{
				Name: fmt.Sprint(i),
			})
		}
		plan.Remove = rapid.SliceOfN(rapid.String(), 0, 30).Draw(rt, "remove")
		plan.Cleared = rapid.SliceOfN(rapid.String(), 0, 30).Draw(rt, "cleared")
		rows := rapid.IntRange(2, 20).Draw(rt, "rows")
		var done assembly.Plan
		for rest := plan; rest.HasChanges(); {
			var first assembly.Plan
			first, rest = rest.Cut(rows)
			if !first.HasChanges() || len(first.Create)+2*len(first.Remove)+len(first.Cleared) > rows {
				rt.Fatalf("cut to %+v of %d rows", first, rows)
			}
			done.Create = append(done.Create, first.Create...)
			done.Remove = append(done.Remove, first.Remove...)
			done.Cleared = append(done.Cleared, first.Cleared...)
		}
		if len(done.Create) != len(plan.Create) || !slices.Equal(done.Remove, plan.Remove) || !slices.Equal(done.Cleared, plan.Cleared) {
			rt.Fatalf("of %+v only %+v was done", plan, done)
		}
	})
}

// Found on a day with slow servers (valdeserna-riego-grown trouble-2, 20 s to 24 s):
// eight of 45 groups had a member that took four times as long; four of five
// requests there were late, and nothing replaced the member.
func TestSlowMemberIsReplacedFromTheSpares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		slow := head.members[2]
		s.servers[slow].pace = 4
		c.Suspect(head.group, head.epoch, "")

		settle(s, c, false, 6*time.Second)

		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.serving("large"), qt.Equals, 6)
		for _, record := range s.stored() {
			qt.Assert(t, slices.Contains(record.Members, slow), qt.IsFalse)
		}

		// It is a spare again when it works as usual.
		s.servers[slow].pace = 1
		settle(s, c, false, 3*time.Second)
		other := headOf(s, "large")
		for _, id := range other.members {
			if s.servers[id].domain == s.servers[slow].domain && id != other.members[0] {
				s.kill(id)
				c.Suspect(other.group, other.epoch, "")
				break
			}
		}
		settle(s, c, false, 25*time.Second)
		qt.Assert(t, s.serving("large"), qt.Equals, 6)
	})
}

func TestSlowMemberWithoutASpareStaysAndIsClearedWhenItIsWell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := started(6)
		head := headOf(s, "large")
		for _, one := range s.servers {
			if one.state == fleet.NoGroup {
				one.pace = 4
			}
		}
		slow := head.members[2]
		s.servers[slow].pace = 4
		// The spares are found slow as well when they are looked at.
		for _, one := range s.servers {
			c.Probed(one.id, s.probe(one.id))
		}
		c.Suspect(head.group, head.epoch, "")
		settle(s, c, false, 3*time.Second)
		qt.Assert(t, s.serving("large"), qt.Equals, 6)
		qt.Assert(t, s.records[head.group].Members, qt.Contains, slow)
		qt.Assert(t, s.cleared[head.group], qt.Equals, 0)

		s.servers[slow].pace = 1
		settle(s, c, false, 3*time.Second)
		qt.Assert(t, s.cleared[head.group], qt.Equals, 1)
		qt.Assert(t, s.records[head.group].Members, qt.Contains, slow)
	})
}
