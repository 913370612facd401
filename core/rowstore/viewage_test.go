package rowstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/neighbours"
)

// These tests measure how old the view of a daemon gets while other daemons or the store stand still.

// applyBound is the shortest time within which a change must be in force on the users' platform.
const applyBound = 2 * time.Second

// silentRelays makes the first relays of the list stand still.
func (f *fleet) silentRelays(count int) map[string]bool {
	silent := map[string]bool{}
	for _, daemon := range f.list.RelaysFor("", "a") {
		if len(silent) < count {
			silent[daemon.Name] = true
		}
	}
	return silent
}

// awaitValue returns how long it takes until all daemons but the silent ones have a value, at most limit.
func (f *fleet) awaitValue(value string, silent map[string]bool, limit time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	began := time.Now()
	for time.Since(began) < limit {
		late := 0
		for name, daemon := range f.byName {
			if !silent[name] && daemon.lastValue != value {
				late++
			}
		}
		if late == 0 {
			break
		}
		advance(step)
	}
	return time.Since(began)
}

// Guards against a change that is not in force in time at daemons whose relays stand still, although the store
// answers them.
func TestChangeIsInForceInTimeWhileRelaysStandStill(t *testing.T) {
	for _, daemons := range []int{2, 3, 8, 24, 40} {
		for count := range 7 {
			t.Run(fmt.Sprintf("%d of %d", count, daemons), func(t *testing.T) {
				runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
					var longest time.Duration
					for round := range 12 {
						roundCtx, stop := context.WithCancel(ctx)
						f := newFleetWithBound(roundCtx, daemons, unanswered, applyBound)
						advance(2*time.Second + rand.N(time.Second))
						silent := f.silentRelays(min(count, daemons-1))
						f.setSilent(silent)
						advance(time.Duration(round) * 100 * time.Millisecond)
						f.store.put("a", "2")
						longest = max(longest, f.awaitValue("2", silent, 2*applyBound))
						stop()
						advance(time.Second)
					}
					t.Logf("in force after %s", longest)
					qt.Assert(t, longest < applyBound, qt.IsTrue, qt.Commentf("%s", longest))
				})
			})
		}
	}
}

// Guards against a change that is in force late after all calls went unanswered for a while, since the daemons take
// each other and the store for failed.
func TestChangeIsInForceSoonAfterEverythingStoodStill(t *testing.T) {
	for _, daemons := range []int{2, 3, 8, 24, 40} {
		for _, silence := range []time.Duration{400, 800, 1200, 1600, 2000, 2500, 3000, 4000} {
			t.Run(fmt.Sprintf("%d daemons %d ms", daemons, silence), func(t *testing.T) {
				runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
					var longest time.Duration
					for range 12 {
						roundCtx, stop := context.WithCancel(ctx)
						f := newFleetWithBound(roundCtx, daemons, unanswered, applyBound)
						advance(2*time.Second + rand.N(time.Second))
						all := map[string]bool{}
						for name := range f.byName {
							all[name] = true
						}
						f.setSilent(all)
						f.setBlocked(func(int, neighbours.Daemon) bool {
							return true
						})
						f.store.put("a", "2")
						advance(silence * time.Millisecond)
						f.setSilent(nil)
						f.setBlocked(func(int, neighbours.Daemon) bool {
							return false
						})
						longest = max(longest, f.awaitValue("2", nil, 2*applyBound))
						stop()
						advance(time.Second)
					}
					t.Logf("in force after %s", longest)
					qt.Assert(t, longest < time.Second, qt.IsTrue, qt.Commentf("%s", longest))
				})
			})
		}
	}
}
