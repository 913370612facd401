package subset_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/subset"
)

// ids returns the IDs of some servers.
func ids(count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprintf("i-%04x", i*7919)
	}
	return all
}

// Any number of daemons uses each server the same number of times, but for one. Subsets
// that passed over servers when they crossed two rounds used some 19 times, others 27.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := ids(rapid.IntRange(1, 110).Draw(t, "servers"))
		daemons := rapid.IntRange(1, 500).Draw(t, "daemons")
		const places = 22
		uses := map[string]int{}
		for rank := range daemons {
			chosen := subset.Daemon{
				Rank: rank,
				Of:   daemons,
			}.Choose(servers, places*len(servers))
			distinct := slices.Compact(slices.Sorted(slices.Values(chosen)))
			if len(distinct) != len(chosen) || len(chosen) < min(4, len(servers)) {
				t.Fatalf("daemon %d chose %v", rank, chosen)
			}
			for _, id := range chosen {
				uses[id]++
			}
		}
		least, most := daemons, 0
		for _, id := range servers {
			least, most = min(least, uses[id]), max(most, uses[id])
		}
		if most-least > 1 {
			t.Fatalf("%d daemons, %d servers: used %d to %d times", daemons, len(servers), least, most)
		}
	})
}

func TestFewDaemonsUseAllServers(t *testing.T) {
	servers := ids(13)
	const places = 13 * 22
	for _, daemons := range []int{0, 1, 3, 9, 40} {
		chosen := subset.Daemon{
			Of: daemons,
		}.Choose(servers, places)
		qt.Assert(t, chosen, qt.HasLen, len(servers), qt.Commentf("%d daemons", daemons))
	}
	chosen := subset.Daemon{
		Of: 59,
	}.Choose(servers, places)
	qt.Assert(t, chosen, qt.HasLen, 5)
}

// All daemons work out the same rounds, whatever the order in which they know servers.
func TestOrderOfServersDoesNotMatter(t *testing.T) {
	servers := ids(40)
	turned := slices.Clone(servers)
	slices.Reverse(turned)
	daemon := subset.Daemon{
		Rank: 17,
		Of:   100,
	}
	qt.Assert(t, daemon.Choose(servers, 880), qt.DeepEquals, daemon.Choose(turned, 880))
}
