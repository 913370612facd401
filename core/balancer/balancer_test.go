package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/balancer"
	"headcourse/core/subset"
)

// candidates returns two servers of equal capacity.
func candidates() []balancer.Candidate {
	return []balancer.Candidate{
		{
			ID:       "a",
			Capacity: 26,
		},
		{
			ID:       "b",
			Capacity: 26,
		},
	}
}

// picks returns how often each server is chosen for n requests that stay open.
func picks(tracker *balancer.Tracker, n int) map[string]int {
	count := map[string]int{}
	for range n {
		chosen, _, ok := tracker.Pick(candidates(), nil, 100)
		if ok {
			count[chosen.ID]++
		}
	}
	return count
}

// A new group was given almost nothing, because its pace was not known and
// counted as one second a unit; quick ones measured 30 ms.
func TestServerNotMeasuredGetsItsShare(t *testing.T) {
	var tracker balancer.Tracker
	tracker.Succeeded("a", 0.03)

	count := picks(&tracker, 20)

	qt.Assert(t, count["b"] >= 8, qt.IsTrue, qt.Commentf("%v", count))
}

func TestSlowServerGetsLess(t *testing.T) {
	var tracker balancer.Tracker
	tracker.Succeeded("a", 0.03)
	tracker.Succeeded("b", 0.15)

	count := picks(&tracker, 24)

	qt.Assert(t, count["b"] < count["a"]/2, qt.IsTrue, qt.Commentf("%v", count))
}

// Guards against a server that is left alone for good after one slow answer, since nothing
// measures it again.
func TestServerThatWasSlowOnceIsMeasuredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			fast  = 0.005
			slow  = 0.05
			often = 20 * time.Millisecond
			span  = time.Minute
		)
		tracker := balancer.Tracker{
			Chance: rand.New(rand.NewPCG(1, 1)).Float64,
		}
		tracker.Succeeded("b", fast)
		paces := map[string]float64{
			"a": slow,
			"b": fast,
		}
		serve := func() map[string]int {
			count := map[string]int{}
			for range span / often {
				chosen, done, _ := tracker.Pick(candidates(), nil, 100)
				time.Sleep(often)
				tracker.Succeeded(chosen.ID, paces[chosen.ID])
				done()
				count[chosen.ID]++
			}
			return count
		}
		count := serve()
		// One that is still slow is asked only now and then.
		qt.Assert(t, count["a"] > 1 && count["a"] <= 10, qt.IsTrue, qt.Commentf("%v", count))

		paces["a"] = fast
		count = serve()
		qt.Assert(t, count["a"] > count["b"]/2, qt.IsTrue, qt.Commentf("%v", count))
	})
}

// Guards against the pace of a server being forgotten while it works for long on one request.
func TestPaceIsKeptWhileARequestIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker balancer.Tracker
		_, done, _ := tracker.Pick(candidates()[1:], nil, 100)
		defer done()
		tracker.Succeeded("a", 0.005)
		tracker.Succeeded("b", 0.05)
		time.Sleep(time.Minute)
		tracker.Succeeded("a", 0.005)
		for range 5 {
			chosen, _, _ := tracker.Pick(candidates(), nil, 100)
			qt.Assert(t, chosen.ID, qt.Equals, "a")
		}
	})
}

func TestServerInTroubleIsUsedOnlyWhenNoOtherIsLeft(t *testing.T) {
	var tracker balancer.Tracker
	both := candidates()
	both[0].IsTroubled = true
	for range 20 {
		chosen, _, ok := tracker.Pick(both, nil, 100)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, chosen.ID, qt.Equals, "b")
	}
	chosen, _, ok := tracker.Pick(both, map[string]bool{"b": true}, 100)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, chosen.ID, qt.Equals, "a")
}

func TestSilentServerRestsUntilItIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker balancer.Tracker
		tracker.Rest("a")
		qt.Assert(t, tracker.IsResting("a"), qt.IsTrue)
		qt.Assert(t, picks(&tracker, 10)["a"], qt.Equals, 0)

		tracker.Heard("a")

		qt.Assert(t, tracker.IsResting("a"), qt.IsFalse)
	})
}

func TestRestsGrowAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker balancer.Tracker
		tracker.Failed("a", false)
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, tracker.IsResting("a"), qt.IsFalse)

		tracker.Failed("a", false)
		time.Sleep(500 * time.Millisecond)

		qt.Assert(t, tracker.IsResting("a"), qt.IsTrue)
	})
}

func TestOneUsualFailureRestsNobody(t *testing.T) {
	var tracker balancer.Tracker
	tracker.Failed("a", true)
	qt.Assert(t, tracker.IsResting("a"), qt.IsFalse)
	tracker.Failed("a", true)
	qt.Assert(t, tracker.IsResting("a"), qt.IsTrue)
}

func TestWhereAllRestOneIsStillChosen(t *testing.T) {
	var tracker balancer.Tracker
	tracker.Failed("a", false)
	tracker.Failed("b", false)
	_, _, ok := tracker.Pick(candidates(), nil, 100)
	qt.Assert(t, ok, qt.IsTrue)
}

func TestExcludedServersAreNotChosen(t *testing.T) {
	var tracker balancer.Tracker
	_, _, ok := tracker.Pick(candidates(), map[string]bool{
		"a": true,
		"b": true,
	}, 100)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestLimitsFollowWhatIsUsual(t *testing.T) {
	var tracker balancer.Tracker
	for range 200 {
		tracker.Silence("steady", balancer.Pause, 40*time.Millisecond)
		tracker.Silence("uneven", balancer.Pause, 40*time.Millisecond)
		tracker.Silence("uneven", balancer.Pause, 200*time.Millisecond)
	}
	steady := tracker.Limits("steady", balancer.Pause)
	uneven := tracker.Limits("uneven", balancer.Pause)

	qt.Assert(t, steady.Rest < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", steady))
	qt.Assert(t, uneven.Rest > 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", uneven))
	qt.Assert(t, steady.Move > steady.Rest, qt.IsTrue)
}

// Two thirds of the bytes of requests crossed zones, which cost 0.012 of a day's worth.
func TestServersOfTheOwnZoneAreUsedFirst(t *testing.T) {
	var tracker balancer.Tracker
	preference := balancer.Preference{
		Zone: "quito-a",
		Asked: map[string]float64{
			"quito-a": 1,
			"quito-b": 1,
		},
	}
	both := preference.WithTiers([]balancer.Candidate{
		{
			ID:       "near",
			Capacity: 26,
			Zone:     "quito-a",
		},
		{
			ID:       "far",
			Capacity: 26,
			Zone:     "quito-b",
		},
	}, 0)
	chosen := map[string]int{}
	const cost, sent = 100, 20
	for range sent {
		one, _, ok := tracker.Pick(both, nil, cost)
		qt.Assert(t, ok, qt.IsTrue)
		chosen[one.ID]++
		// The near one never has many more under way.
		qt.Assert(t, chosen["near"]-chosen["far"] <= 3, qt.IsTrue, qt.Commentf("%v", chosen))
	}
	qt.Assert(t, chosen["near"] > chosen["far"], qt.IsTrue)
}

// zoneHeads returns eight heads of each of two zones.
func zoneHeads() []balancer.Candidate {
	const each = 8
	var heads []balancer.Candidate
	for _, zone := range []string{"quito-a", "quito-b"} {
		for i := range each {
			heads = append(heads, balancer.Candidate{
				ID:       fmt.Sprintf("%s-%d", zone, i),
				Capacity: 22,
				Zone:     zone,
			})
		}
	}
	return heads
}

// A daemon among hundreds sees too little of the load to leave its zone by its own
// requests: it goes by what is asked in each zone.
func TestDaemonAmongHundredsLeavesItsZoneByWhatIsAsked(t *testing.T) {
	const sent = 20
	away := func(askedFar float64) int {
		var tracker balancer.Tracker
		preference := balancer.Preference{
			Zone: "quito-a",
			Daemon: subset.Daemon{
				Rank: 17,
				Of:   59,
			},
			Asked: map[string]float64{
				"quito-a": 1,
				"quito-b": askedFar,
			},
		}
		far := 0
		for i := range sent {
			placed := preference.WithTiers(zoneHeads(), (float64(i)+0.5)/sent)
			one, _, ok := tracker.Pick(placed, nil, 100)
			qt.Assert(t, ok, qt.IsTrue)
			if one.Zone != "quito-a" {
				far++
			}
		}
		return far
	}
	qt.Assert(t, away(1), qt.Equals, 0)
	qt.Assert(t, away(0), qt.Equals, sent/2)
}

// A zone all of whose servers are in trouble sends its requests away.
func TestRequestsLeaveAZoneInTrouble(t *testing.T) {
	var tracker balancer.Tracker
	preference := balancer.Preference{
		Zone: "quito-a",
		Asked: map[string]float64{
			"quito-a": 1,
			"quito-b": 1,
		},
	}
	placed := preference.WithTiers([]balancer.Candidate{
		{
			ID:         "near",
			Capacity:   26,
			Zone:       "quito-a",
			IsTroubled: true,
		},
		{
			ID:       "far",
			Capacity: 26,
			Zone:     "quito-b",
		},
	}, 0)
	one, _, ok := tracker.Pick(placed, nil, 100)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, one.ID, qt.Equals, "far")
}

// A fabric domain of 37 servers went dark; a request was moved from a head that had died
// to the next one of the same domain, and its client's time was over.
func TestHeadsOfADomainThatHasJustGoneSilentComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker balancer.Tracker
		heads := []balancer.Candidate{
			{
				ID:       "silent",
				Capacity: 22,
				Domain:   "d1",
			},
			{
				ID:       "beside",
				Capacity: 22,
				Domain:   "d1",
			},
			{
				ID:       "other",
				Capacity: 22,
				Domain:   "d2",
			},
		}
		chosen := func() map[string]int {
			count := map[string]int{}
			for range 10 {
				one, done, ok := tracker.Pick(heads, nil, 100)
				qt.Assert(t, ok, qt.IsTrue)
				count[one.ID]++
				defer done()
			}
			return count
		}
		tracker.Rest("silent")
		qt.Assert(t, chosen(), qt.DeepEquals, map[string]int{
			"other": 10,
		})
		// Where no other is left, the one beside it is still better than the silent one.
		one, _, _ := tracker.Pick(heads, map[string]bool{
			"other": true,
		}, 100)
		qt.Assert(t, one.ID, qt.Equals, "beside")

		time.Sleep(2 * time.Second)
		qt.Assert(t, chosen()["beside"] > 0, qt.IsTrue)
	})
}

// A group lost a member; the first daemon told so after 0.45 s. Requests that came in
// between waited at other daemons for a whole second, which is what silences are taken
// for that nobody knows yet, and were late everywhere.
func TestRequestIsMovedAtOnceWhereTheGroupIsToldToStandStill(t *testing.T) {
	var tracker balancer.Tracker
	limits := tracker.Limits("engines/large", balancer.First)
	const silent = 500 * time.Millisecond

	step, _ := limits.Step(silent-time.Millisecond, true)
	qt.Assert(t, step, qt.Equals, balancer.Wait)
	step, again := limits.Step(silent, false)
	qt.Assert(t, step, qt.Equals, balancer.Rest)
	qt.Assert(t, again <= 50*time.Millisecond, qt.IsTrue)
	step, _ = limits.Step(silent, true)
	qt.Assert(t, step, qt.Equals, balancer.Move)
	step, _ = limits.Step(limits.Move, false)
	qt.Assert(t, step, qt.Equals, balancer.Move)
}

// A server that takes only some requests a second is a candidate now and then. What it takes
// of a daemon is used by it, and the subsets of the others do not change with it.
func TestLimitedServerIsUsedWhileItHasRoomAndMovesNoOther(t *testing.T) {
	preference := balancer.Preference{
		Zone: "quito-a",
		Daemon: subset.Daemon{
			Rank: 3,
			Of:   40,
		},
	}
	limited := zoneHeads()
	limited[2].IsLimited = true
	gone := slices.Delete(zoneHeads(), 2, 3)
	chosen := func(candidates []balancer.Candidate) map[string]bool {
		const cost = 100
		var tracker balancer.Tracker
		all := map[string]bool{}
		for range 8 {
			one, _, ok := tracker.Pick(preference.WithTiers(candidates, 0.5), nil, cost)
			qt.Assert(t, ok, qt.IsTrue)
			all[one.ID] = true
		}
		return all
	}
	with := chosen(limited)
	qt.Assert(t, with["quito-a-2"], qt.IsTrue)
	delete(with, "quito-a-2")
	qt.Assert(t, with, qt.DeepEquals, chosen(gone))
}
