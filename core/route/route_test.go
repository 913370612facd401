package route_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/route"
)

// candidates returns a number of groups with a number of slots each.
func candidates(count, slots int) []route.Candidate {
	result := make([]route.Candidate, count)
	for i := range result {
		result[i] = route.Candidate{
			Group: fmt.Sprintf("g%d", i),
			Slots: slots,
		}
	}
	return result
}

// TestHotPrefixDoesNotOverloadOneGroup sends a thousand requests with one prefix. None
// of the ten groups may get more than MaxLoadRatio times the mean.
func TestHotPrefixDoesNotOverloadOneGroup(t *testing.T) {
	groups := candidates(10, 1000)
	loads := map[string]int{}
	load := func(candidate route.Candidate) int {
		return loads[candidate.Group]
	}
	for range 1000 {
		picked, ok := route.Affinity{}.Pick(42, groups, load)
		qt.Assert(t, ok, qt.IsTrue)
		loads[picked.Group]++
	}
	for _, group := range groups {
		qt.Assert(t, float64(loads[group.Group]) <= route.MaxLoadRatio*100+1, qt.IsTrue, qt.Commentf("%v", loads))
	}
}

func TestSamePrefixGoesToSameGroup(t *testing.T) {
	groups := candidates(10, 10)
	idle := func(route.Candidate) int {
		return 0
	}
	first, _ := route.Affinity{}.Pick(route.PrefixHash("o", []byte("shift summary")), groups, idle)
	again, _ := route.Affinity{}.Pick(route.PrefixHash("o", []byte("shift summary")), groups, idle)
	qt.Assert(t, again.Group, qt.Equals, first.Group)
	used := map[string]bool{}
	for number := range 100 {
		picked, _ := route.Affinity{}.Pick(route.PrefixHash("o", fmt.Append(nil, number)), groups, idle)
		used[picked.Group] = true
	}
	qt.Assert(t, len(used), qt.Equals, 10)
}

func TestFullGroupsAreNotPicked(t *testing.T) {
	full := func(route.Candidate) int {
		return 3
	}
	_, ok := route.Affinity{}.Pick(1, candidates(4, 3), full)
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = route.Affinity{}.Pick(1, nil, full)
	qt.Assert(t, ok, qt.IsFalse)
}

// TestLoadAddsRequestsSentSinceReport guards against a load that misses the requests
// sent after the engine's report.
func TestLoadAddsRequestsSentSinceReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker route.Tracker
		endFirst := tracker.Begin("g")
		time.Sleep(time.Second)
		candidate := route.Candidate{
			Group:            "g",
			ReportedInFlight: 5,
			ReportedAt:       time.Now(),
		}
		time.Sleep(time.Second)
		endSecond := tracker.Begin("g")
		qt.Assert(t, tracker.Load(candidate), qt.Equals, 6)
		endFirst()
		endFirst()
		qt.Assert(t, tracker.InFlight("g"), qt.Equals, 1)
		endSecond()
		qt.Assert(t, tracker.Load(candidate), qt.Equals, 5)
	})
}
