package roster_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/roster"
)

// newRoster returns daemons that are spread over zones.
func newRoster(daemons, zones int) roster.Roster {
	var daemonsOfZones roster.Roster
	for number := range daemons {
		daemonsOfZones = append(daemonsOfZones, roster.Daemon{
			ID:   fmt.Sprintf("daemon-%03d", number),
			Zone: fmt.Sprintf("z%d", number%zones),
		})
	}
	return daemonsOfZones
}

// TestLeavingDaemonMovesOnlyItsOwnWork checks that if one daemon leaves, of a thousand pieces of
// work only those move for which it ranked first.
func TestLeavingDaemonMovesOnlyItsOwnWork(t *testing.T) {
	all := newRoster(10, 2)
	without := append(append(roster.Roster{}, all[:4]...), all[5:]...)
	first := func(of roster.Roster, work string) string {
		for _, daemon := range of {
			if of.Rank(work, daemon.ID) == 0 {
				return daemon.ID
			}
		}
		return ""
	}
	moved := 0
	for number := range 1000 {
		work := fmt.Sprint(number)
		before, after := first(all, work), first(without, work)
		if before != after {
			moved++
			qt.Assert(t, before, qt.Equals, all[4].ID)
		}
	}
	qt.Assert(t, moved > 50 && moved < 150, qt.IsTrue, qt.Commentf("moved %d", moved))
	qt.Assert(t, all.Rank("x", "stranger"), qt.Equals, -1)
}

// TestReportReachesAllDaemonsInThreePulls checks that the sources form a topology in which the
// report of one daemon reaches every other in at most three pulls, also in a large roster.
func TestReportReachesAllDaemonsInThreePulls(t *testing.T) {
	for _, size := range []int{2, 9, 12, 13, 40, 360} {
		all := newRoster(size, 8)
		reporter := all[size-1].ID
		informed := map[string]bool{
			reporter: true,
		}
		for range 3 {
			next := map[string]bool{}
			for _, daemon := range all {
				next[daemon.ID] = informed[daemon.ID]
				for _, source := range all.Sources(daemon) {
					isOwn := source.Daemon.ID == reporter
					if informed[source.Daemon.ID] && (source.IncludesRelayed || isOwn) {
						next[daemon.ID] = true
					}
				}
			}
			informed = next
		}
		for _, daemon := range all {
			qt.Assert(t, informed[daemon.ID], qt.IsTrue, qt.Commentf("%s of %d", daemon.ID, size))
		}
	}
}

// TestOnlyRelaysHaveManySources checks that most daemons of a large roster pull from two others.
func TestOnlyRelaysHaveManySources(t *testing.T) {
	all := newRoster(360, 8)
	relayCount := 0
	for _, daemon := range all {
		if len(all.Sources(daemon)) > roster.RelaysPerZone {
			relayCount++
		}
	}
	qt.Assert(t, relayCount, qt.Equals, 8*roster.RelaysPerZone)
}
