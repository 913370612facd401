package rowstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/confirmation"
	"headcourse/core/neighbours"
	"headcourse/core/rowstore"
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
		for _, silence := range []int{400, 800, 1200, 1600, 2000, 2500, 3000, 4000} {
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
						advance(time.Duration(silence) * time.Millisecond)
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

// faultSeries plays random faults against a fleet, and checks after each step what its daemons may conclude from the
// age of their views.
type faultSeries struct {
	t      *testing.T
	fleet  *fleet
	random *rand.Rand
	policy confirmation.Policy
	// putAt is when each value was written; value i is its index.
	putAt []time.Time
	// openSince is since when the store answers a daemon, and the daemon itself calls it.
	openSince map[string]time.Time
	// storeEnds are the ends of faults.
	ends []func()
	// blindUntil is the end of a time in which feeds report no changes.
	blindUntil time.Time
}

// put writes the next value.
func (s *faultSeries) put() {
	s.fleet.store.put("a", strconv.Itoa(len(s.putAt)))
	s.putAt = append(s.putAt, time.Now())
}

// beginFault begins a fault at random: some or all daemons are not answered by the store, or stand still, or the store's
// feeds miss changes and its history is dropped after that.
func (s *faultSeries) beginFault() {
	const kinds = 3
	share := []float64{0.2, 0.5, 1}[s.random.IntN(3)]
	chosen := map[string]bool{}
	for name := range s.fleet.byName {
		chosen[name] = s.random.Float64() < share
	}
	kind := s.random.IntN(kinds)
	if kind == 2 && s.fleet.store.setBlind(true) {
		s.blindUntil = time.Now().Add(time.Second)
		return
	}
	for name, daemon := range s.fleet.byName {
		if !chosen[name] {
			continue
		}
		daemon.access.isBlocked.Store(true)
		if kind == 1 {
			daemon.isSilent.Store(true)
		}
	}
	end := time.Now().Add(time.Duration(200+s.random.IntN(3800)) * time.Millisecond)
	s.ends = append(s.ends, func() {
		if time.Now().Before(end) {
			return
		}
		for name := range chosen {
			if chosen[name] {
				s.fleet.byName[name].access.isBlocked.Store(false)
				s.fleet.byName[name].isSilent.Store(false)
			}
		}
		end = end.Add(time.Hour)
	})
}

// advance lets time pass and ends faults that are over.
func (s *faultSeries) advance(step time.Duration) {
	advance(step)
	now := time.Now()
	for _, end := range s.ends {
		end()
	}
	if !s.blindUntil.IsZero() && !now.Before(s.blindUntil) {
		s.blindUntil = time.Time{}
		s.fleet.store.dropHistory()
	}
	for name, daemon := range s.fleet.byName {
		if daemon.access.isBlocked.Load() || daemon.isSilent.Load() || !s.blindUntil.IsZero() {
			s.openSince[name] = now
		}
	}
}

// check fails the test if a daemon lacks a value that must be in force, and would refuse by its view, or has been able to
// read the store since then.
func (s *faultSeries) check() {
	now := time.Now()
	for name, daemon := range s.fleet.byName {
		value, _ := strconv.Atoi(daemon.lastValue)
		if value+1 >= len(s.putAt) || now.Sub(s.putAt[value+1]) <= applyBound {
			continue
		}
		age, _ := daemon.view.ViewAge()
		lateFor := now.Sub(s.putAt[value+1]) - applyBound
		if s.policy.MayRefuse(age) {
			s.t.Errorf("%s refuses by a view of %s, a change is late by %s", name, age, lateFor)
		}
		if now.Sub(s.openSince[name]) > applyBound {
			s.t.Errorf("%s: a change is late by %s, the store has answered for %s, view of %s", name, lateFor, now.Sub(s.openSince[name]), age)
		}
	}
}

// Guards against refusals by a view that lacks a change in force, changes that are late at daemons which the store answers,
// a slow recovery, and many calls to the store, in any series of silences, refusals and drops of the history.
func TestViewsStayFreshInAnySeriesOfFaults(t *testing.T) {
	const (
		seeds = 12
		step  = 20 * time.Millisecond
		steps = 700
	)
	for _, daemons := range []int{1, 2, 3, 8, 24, 40} {
		for _, failureMode := range []string{refused, cut, unanswered} {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprintf("%d %s %d", daemons, failureMode, seed), func(t *testing.T) {
					runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
						s := &faultSeries{
							t:      t,
							fleet:  newFleetWithBound(ctx, daemons, failureMode, applyBound),
							random: rand.New(rand.NewPCG(seed, uint64(daemons))),
							policy: confirmation.Policy{
								ApplyBound: applyBound,
							},
							openSince: map[string]time.Time{},
						}
						s.put()
						advance(2 * time.Second)
						for range steps {
							if s.random.IntN(25) == 0 {
								s.put()
							}
							if s.random.IntN(60) == 0 {
								s.beginFault()
							}
							s.advance(step)
							s.check()
						}
						for range 300 {
							s.advance(step)
						}
						calls := s.fleet.calls.Load()
						s.put()
						advance(time.Second)
						qt.Check(t, s.fleet.countWithout(strconv.Itoa(len(s.putAt)-1)), qt.Equals, 0)
						maxCalls := int64(daemons)*150 + 300
						qt.Check(t, calls < maxCalls, qt.IsTrue, qt.Commentf("%d calls", calls))
					})
				})
			}
		}
	}
}

// Guards against callers that wait for the whole limit, or for a store that does not answer, when the view is confirmed
// meanwhile or attempts fail.
func TestAwaitEndsWithConfirmationOrFailure(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		const limit = 250 * time.Millisecond
		store := newFakeStore()
		store.put("a", "1")
		var clock, view rowstore.Freshness
		chain := rowstore.NewReaderChain(store, &clock, map[string]time.Duration{
			"t": time.Second,
		})
		confirm := func(_ []rowstore.Row, _ rowstore.Revision, asOf time.Time) { view.ConfirmView(asOf) }
		// The feed does not end in this test.
		follower := &rowstore.Follower{
			Reader:     chain,
			Table:      "t",
			FeedWait:   time.Hour,
			OnSnapshot: confirm,
			OnChanges:  confirm,
			Clock:      &clock,
		}
		refresher := rowstore.NewRefresher(follower, chain.Race(100*time.Millisecond), &view)
		refresher.MaxAge = time.Hour
		refresher.TargetAge = 100 * time.Millisecond
		go follower.Run(ctx)
		go refresher.Run(ctx)
		advance(time.Second)

		began := time.Now()
		qt.Assert(t, refresher.Await(limit), qt.IsTrue)
		qt.Assert(t, time.Since(began) < 10*time.Millisecond, qt.IsTrue)

		advance(time.Second)
		store.update(func(f *fakeStore) { f.isDown = true })
		qt.Assert(t, refresher.Await(limit), qt.IsFalse)
		began = time.Now()
		qt.Assert(t, refresher.Await(limit), qt.IsFalse)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))

		store.update(func(f *fakeStore) { f.isDown = false })
		advance(time.Second)
		qt.Assert(t, refresher.Await(limit), qt.IsFalse)
		advance(10 * time.Millisecond)
		qt.Assert(t, refresher.Await(limit), qt.IsTrue)
	})
}

// changesOnly is a source of refreshes that answers with one changed row.
type changesOnly struct {
	store *fakeStore
}

// Confirm returns the row "b" as a change.
func (c changesOnly) Confirm(context.Context, string, rowstore.Revision, bool) (rowstore.Result, error) {
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	return c.store.result([]rowstore.Row{
		c.store.rows["b"],
	}), nil
}

// Guards against a refresh that replaces the whole table by some changes, while the table is read again after a drop of
// the history.
func TestRefreshWithChangesKeepsOtherRows(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		store.put("b", "1")
		recorded := startFollower(ctx, store, &rowstore.Freshness{})
		advance(100 * time.Millisecond)
		store.put("b", "2")
		store.dropHistory()
		store.update(func(f *fakeStore) { f.delay = time.Second })
		advance(100 * time.Millisecond)
		qt.Assert(t, recorded.follower.Refresh(ctx, changesOnly{
			store: store,
		}), qt.IsNil)
		qt.Assert(t, recorded.rows["a"], qt.Equals, "1")
		advance(2 * time.Second)
		qt.Assert(t, recorded.rows, qt.DeepEquals, map[string]string{
			"a": "1",
			"b": "2",
		})
	})
}
