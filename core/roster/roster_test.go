package roster_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/roster"
)

// of returns daemons spread over zones.
func of(daemons, zones int) roster.Roster {
	var made roster.Roster
	for number := range daemons {
		made = append(made, roster.Daemon{
			ID:   fmt.Sprintf("daemon-%03d", number),
			Zone: fmt.Sprintf("z%d", number%zones),
		})
	}
	return made
}

// TestLeavingMovesOnlyItsOwnWork: of a thousand pieces of work only those that
// ranked the leaving daemon first change hands.
func TestLeavingMovesOnlyItsOwnWork(t *testing.T) {
	all := of(10, 2)
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

// TestEveryoneHearsOfEveryone: following who asks whom, whatever one daemon says
// reaches every other in at most three pulls, also in a large roster.
func TestEveryoneHearsOfEveryone(t *testing.T) {
	for _, size := range []int{2, 9, 12, 13, 40, 360} {
		all := of(size, 8)
		said := all[size-1].ID
		knows := map[string]bool{
			said: true,
		}
		for range 3 {
			next := map[string]bool{}
			for _, daemon := range all {
				next[daemon.ID] = knows[daemon.ID]
				for _, source := range all.Sources(daemon) {
					isOwn := source.Daemon.ID == said
					if knows[source.Daemon.ID] && (source.Full || isOwn) {
						next[daemon.ID] = true
					}
				}
			}
			knows = next
		}
		for _, daemon := range all {
			qt.Assert(t, knows[daemon.ID], qt.IsTrue, qt.Commentf("%s of %d", daemon.ID, size))
		}
	}
}

// TestFewSources: in a large roster most daemons ask two others.
func TestFewSources(t *testing.T) {
	all := of(360, 8)
	many := 0
	for _, daemon := range all {
		if len(all.Sources(daemon)) > roster.Relays {
			many++
		}
	}
	qt.Assert(t, many, qt.Equals, 8*roster.Relays)
}
