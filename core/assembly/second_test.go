package assembly_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
)

// equipped returns a fleet whose servers have all loaded one model and keep another.
func equipped(domains int) (*simFleet, *assembly.Controller) {
	s := newSim(domains)
	c := &assembly.Controller{}
	settle(s, c, true, 40*time.Second)
	return s, c
}

// isEquipped tells whether all servers have loaded one model and keep another.
func (s *simFleet) isEquipped() bool {
	for _, one := range s.servers {
		if one.loaded == "" || one.staged == one.loaded {
			return false
		}
	}
	return true
}

func TestHostsKeepASecondModelBeforeTheFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := equipped(6)
		qt.Assert(t, s.violated, qt.HasLen, 0)
		qt.Assert(t, s.isEquipped(), qt.IsTrue)
	})
}

// A spare that had only loaded weights to its host took 1.6 s to replace a member, and
// could do so for one model only.
func TestWarmSparesReplaceMembersOfEitherModelAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := equipped(6)
		for range 2 {
			head := headOf(s, "large")
			domain := head.domain
			s.killMember(c, head, 2)
			settle(s, c, false, 2200*time.Millisecond)
			qt.Assert(t, s.serving("large"), qt.Equals, 6, qt.Commentf("domain %s", domain))
		}
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

func TestSpareOfTheSameModelIsReadyWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := equipped(6)
		head := headOf(s, "small")
		s.killMember(c, head, 1)
		settle(s, c, false, time.Second)
		qt.Assert(t, s.serving("small"), qt.Equals, 6)
	})
}

// A server's entry tells no model once it has left its group. A daemon that started
// since took it for one that has to load for 16 s; it is told by the store.
func TestNewDaemonKnowsWhatServersLoadedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := equipped(6)
		head := headOf(s, "large")
		members := head.members
		lost := s.killMember(c, head, 2)
		for _, isThere := s.records[head.group]; isThere; _, isThere = s.records[head.group] {
			s.run(c, false, promptly)
		}
		next := s.restart()
		for _, id := range members {
			server, ok := s.view.Server(id)
			if id != lost && ok {
				qt.Assert(t, server.CanRejoin("large"), qt.IsTrue)
			}
		}
		settle(s, next, false, 2*time.Second)
		qt.Assert(t, s.serving("large"), qt.Equals, 6)
		qt.Assert(t, s.violated, qt.HasLen, 0)
	})
}

func TestRecentModelsAreReadAsTheyWereWritten(t *testing.T) {
	value, err := assembly.Recent{
		Domain: "d0",
		Models: map[string]string{
			"i-1": "large",
		},
	}.Encode()
	qt.Assert(t, err, qt.IsNil)
	recent, err := assembly.DecodeRecent(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, recent.Models["i-1"], qt.Equals, "large")
	_, err = assembly.DecodeRecent([]byte("{"))
	qt.Assert(t, err, qt.ErrorMatches, "decode recent models of a domain: .*")
}

// A warm-up group is never opened, and a new leader ends it.
func TestWarmUpGroupsNeverServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(6)
		c := &assembly.Controller{}
		settle(s, c, true, 3*time.Second)
		warming := 0
		for _, record := range s.stored() {
			if record.IsWarmUp {
				warming++
			}
		}
		qt.Assert(t, warming, qt.Equals, 12)
		next := s.restart()
		for range 800 {
			s.run(next, false, promptly)
			s.tick()
			for _, record := range s.stored() {
				state := s.servers[record.Members[0]].state
				qt.Assert(t, record.IsWarmUp && state == fleet.Open, qt.IsFalse)
			}
		}
		for _, record := range s.stored() {
			qt.Assert(t, record.IsWarmUp, qt.IsFalse)
		}
	})
}
