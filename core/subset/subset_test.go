package subset_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/subset"
)

// serverIDs returns the IDs of the given number of servers.
func serverIDs(count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprintf("i-%04x", i*7919)
	}
	return all
}

// Any number of daemons uses each server equally often, with a difference of at most one.
// Guards against subsets that pass over servers at the boundary of two rounds: some servers
// were used 19 times, others 27 times.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := serverIDs(rapid.IntRange(1, 110).Draw(t, "servers"))
		daemons := rapid.IntRange(1, 500).Draw(t, "daemons")
		const capacity = 22
		uses := map[string]int{}
		for rank := range daemons {
			chosen := subset.Position{
				Rank:  rank,
				Total: daemons,
			}.Choose(servers, capacity*len(servers))
			distinct := slices.Compact(slices.Sorted(slices.Values(chosen)))
			if len(distinct) != len(chosen) || len(chosen) < min(4, len(servers)) {
				t.Fatalf("daemon %d chose %v", rank, chosen)
			}
			for _, id := range chosen {
				uses[id]++
			}
		}
		minimum, maximum := daemons, 0
		for _, id := range servers {
			minimum, maximum = min(minimum, uses[id]), max(maximum, uses[id])
		}
		if maximum-minimum > 1 {
			t.Fatalf("%d daemons, %d servers: used %d to %d times", daemons, len(servers), minimum, maximum)
		}
	})
}

func TestFewDaemonsUseAllServers(t *testing.T) {
	servers := serverIDs(13)
	const capacity = 13 * 22
	for _, daemons := range []int{0, 1, 3, 9, 40} {
		chosen := subset.Position{
			Total: daemons,
		}.Choose(servers, capacity)
		qt.Assert(t, chosen, qt.HasLen, len(servers), qt.Commentf("%d daemons", daemons))
	}
	chosen := subset.Position{
		Total: 59,
	}.Choose(servers, capacity)
	qt.Assert(t, chosen, qt.HasLen, 5)
}

// All daemons compute the same rounds, in whichever order they list the servers.
func TestSubsetDoesNotDependOnServerOrder(t *testing.T) {
	servers := serverIDs(40)
	reversed := slices.Clone(servers)
	slices.Reverse(reversed)
	daemon := subset.Position{
		Rank:  17,
		Total: 100,
	}
	qt.Assert(t, daemon.Choose(servers, 880), qt.DeepEquals, daemon.Choose(reversed, 880))
}
