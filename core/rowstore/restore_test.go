package rowstore_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/rowstore"
)

// storeSnapshot is a copy of a fake store's state.
type storeSnapshot struct {
	rows    map[string]rowstore.Row
	version int64
	started time.Time
}

// snapshot returns a copy of the store's state.
func (f *fakeStore) snapshot() storeSnapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return storeSnapshot{
		rows:    maps.Clone(f.rows),
		version: f.version,
		started: f.started,
	}
}

// restore replaces the store's state by a snapshot in a new era. Its clock then shows clockAhead
// more than before, or less if that is negative.
func (f *fakeStore) restore(snapshot storeSnapshot, clockAhead time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.era++
	f.rows = maps.Clone(snapshot.rows)
	f.history = nil
	f.version = snapshot.version
	f.historyStart = snapshot.version
	f.started = f.started.Add(-clockAhead)
	close(f.changed)
	f.changed = make(chan struct{})
}

// clockOffsets are the amounts by which a restore moves the store's clock.
var clockOffsets = []time.Duration{0, -10 * time.Second, 10 * time.Second}

// Guards against a restored table that is rejected because its version is lower.
func TestFollowerRereadsTableInNewEra(t *testing.T) {
	for _, clockAhead := range clockOffsets {
		runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
			store := newFakeStore()
			store.put("a", "1")
			before := store.snapshot()
			recorded := startFollower(ctx, store, &rowstore.Freshness{})
			for i := range 20 {
				store.put("a", fmt.Sprint(i))
				store.put(fmt.Sprintf("b%d", i), "lost")
			}
			advance(100 * time.Millisecond)
			qt.Assert(t, recorded.rows, qt.HasLen, 21)

			store.restore(before, clockAhead)
			advance(100 * time.Millisecond)
			qt.Assert(t, recorded.rows, qt.DeepEquals, map[string]string{
				"a": "1",
			})
			store.put("a", "written again")
			advance(100 * time.Millisecond)
			qt.Assert(t, recorded.rows["a"], qt.Equals, "written again")
			qt.Assert(t, time.Since(recorded.asOf) <= time.Second, qt.IsTrue)
			qt.Assert(t, recorded.asOf.After(time.Now()), qt.IsFalse)
		})
	}
}

// Guards against missed changes if a restored store has reached the last known version before
// the follower calls it.
func TestFollowerDetectsRestoreAtKnownVersion(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		before := store.snapshot()
		recorded := startFollower(ctx, store, &rowstore.Freshness{})
		store.put("lost", "1")
		advance(100 * time.Millisecond)
		store.update(func(f *fakeStore) {
			f.isDown = true
		})
		advance(2 * time.Second)
		store.restore(before, 0)
		store.put("b", "1")
		store.put("c", "1")
		store.update(func(f *fakeStore) {
			f.isDown = false
		})
		advance(time.Second)
		qt.Assert(t, recorded.rows, qt.DeepEquals, map[string]string{
			"a": "1",
			"b": "1",
			"c": "1",
		})
	})
}

// Guards against a return to a former era, as a store replica that is out of service may answer
// with it.
func TestFollowerRejectsAnswersOfFormerEra(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		before := store.snapshot()
		recorded := startFollower(ctx, store, &rowstore.Freshness{})
		store.restore(before, 0)
		store.put("a", "new")
		advance(2 * time.Second)
		asOf := recorded.asOf
		store.update(func(f *fakeStore) {
			f.era--
			f.version += 100
		})
		store.put("a", "former")
		advance(3 * time.Second)
		qt.Assert(t, recorded.rows["a"], qt.Equals, "new")
		qt.Assert(t, recorded.asOf.After(asOf.Add(time.Second)), qt.IsFalse)
	})
}

// Guards against a second restore that is mistaken for the first one.
func TestFollowerHandlesTwoRestoresInARow(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		before := store.snapshot()
		recorded := startFollower(ctx, store, &rowstore.Freshness{})
		for _, lostKey := range []string{"b", "c"} {
			store.put(lostKey, "1")
			advance(100 * time.Millisecond)
			store.restore(before, 0)
			advance(time.Second)
			qt.Assert(t, recorded.rows, qt.DeepEquals, map[string]string{
				"a": "1",
			})
		}
	})
}

// Guards against a restored table that is applied before its owners have written their rows again,
// and against one that is never applied.
func TestRestoredTableIsRereadAfterRewriteWait(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		const rewrite = 3 * time.Second
		store := newFakeStore()
		store.put("a", "1")
		restored := 0
		recorded := startFollower(ctx, store, &rowstore.Freshness{})
		recorded.follower.OnRestoredSnapshot = func([]rowstore.Row, rowstore.Revision, time.Time) {
			restored++
		}
		recorded.follower.RewriteWait = func() time.Duration {
			return rewrite
		}
		advance(100 * time.Millisecond)
		store.restore(store.snapshot(), 0)
		advance(rewrite / 2)
		qt.Assert(t, restored, qt.Equals, 1)
		qt.Assert(t, recorded.snapshots, qt.Equals, 1)
		// The table may have to be read again before that for another reason.
		store.update(func(f *fakeStore) {
			f.historyStart = f.version + 1
		})
		store.put("b", "2")
		advance(100 * time.Millisecond)
		qt.Assert(t, restored, qt.Equals, 2)
		qt.Assert(t, recorded.snapshots, qt.Equals, 1)
		advance(rewrite)
		qt.Assert(t, restored, qt.Equals, 2)
		qt.Assert(t, recorded.snapshots, qt.Equals, 2)
		advance(10 * rewrite)
		qt.Assert(t, recorded.snapshots, qt.Equals, 2)
	})
}

// Guards against a view that seems younger than it is because the restored store's clock is ahead.
func TestFreshnessDoesNotUnderstateAgeAfterRestore(t *testing.T) {
	runWithFakeClock(t, func(_ context.Context, t *testing.T) {
		var clock rowstore.Freshness
		start := time.Now()
		clock.ObserveClock(1, start, time.Hour)
		qt.Assert(t, clock.ObserveClock(2, start.Add(time.Second), 2*time.Hour), qt.Equals, start.Add(time.Second))
		qt.Assert(t, clock.LocalTime(2, 2*time.Hour+time.Second), qt.Equals, start.Add(2*time.Second))
		qt.Assert(t, clock.LocalTime(1, time.Hour).IsZero(), qt.IsTrue)
		qt.Assert(t, clock.ObserveClock(1, start.Add(2*time.Second), time.Hour).IsZero(), qt.IsTrue)
		qt.Assert(t, clock.ObserveClock(3, start.Add(3*time.Second), time.Minute), qt.Equals, start.Add(3*time.Second))
	})
}

// Guards against a relay that was cut off during the restore and serves its copy of the former era.
func TestChainRejectsCopyOfFormerEra(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		before := store.snapshot()
		// The relay has its own connection to the store, which can be cut.
		relayStore := newFakeStore()
		relayStore.put("a", "1")
		relayClock := &rowstore.Freshness{}
		relay := startFollower(ctx, relayStore, relayClock)
		relay.tableCache.Clock = relayClock
		relay.tableCache.MaxContactAge = 0
		advance(100 * time.Millisecond)
		former, err := relay.tableCache.Read(ctx, "t")
		qt.Assert(t, err, qt.IsNil)

		clock := &rowstore.Freshness{}
		chain := rowstore.NewReaderChain(store, clock, nil)
		chain.SetPeers(rowstore.Peers{
			Relays: []rowstore.Relay{
				{
					Name: "r1",
					Reader: fixedReader{
						result: former,
					},
				},
			},
		})
		store.restore(before, 0)
		relayStore.update(func(f *fakeStore) {
			f.isDown = true
		})
		relayStore.restore(before, 0)
		clock.ObserveClock(1, time.Now(), time.Since(store.started))
		result, err := chain.Read(ctx, "t")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, result.Era, qt.Equals, int64(1))

		relayClock.ObserveClock(1, time.Now(), time.Since(store.started))
		_, err = relay.tableCache.Feed(ctx, "t", result.Revision(), 0)
		qt.Assert(t, err, qt.ErrorIs, rowstore.ErrNoCopy)
		_, err = relay.tableCache.Read(ctx, "t")
		qt.Assert(t, err, qt.ErrorIs, rowstore.ErrNoCopy)

		relayStore.update(func(f *fakeStore) {
			f.isDown = false
		})
		advance(3 * time.Second)
		_, err = relay.tableCache.Feed(ctx, "t", former.Revision(), 0)
		qt.Assert(t, err, qt.ErrorIs, rowstore.ErrCompacted)
		_, err = relay.tableCache.Feed(ctx, "t", result.Revision(), 0)
		qt.Assert(t, err, qt.IsNil)
	})
}

// fixedReader always returns the same result.
type fixedReader struct {
	result rowstore.Result
}

// Read returns the result.
func (f fixedReader) Read(context.Context, string) (rowstore.Result, error) {
	return f.result, nil
}

// Feed returns the result.
func (f fixedReader) Feed(context.Context, string, rowstore.Revision, time.Duration) (rowstore.Result, error) {
	return f.result, nil
}

// Guards against hundreds of daemons that all read their tables from a restored store at the same
// moment instead of through relays.
func TestFleetReadsRestoredStoreThroughRelays(t *testing.T) {
	// Up to maxImmediateContenders daemons may call the store at once if their relays have no copy.
	const tables, maxImmediateContenders = 2, 16
	for _, daemons := range []int{9, 89, 295} {
		for _, clockAhead := range clockOffsets {
			runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
				f := newFleet(ctx, daemons, refused)
				advance(5 * time.Second)
				before := f.store.snapshot()
				f.store.put("a", "lost")
				advance(5 * time.Second)
				qt.Assert(t, f.countWithout("lost"), qt.Equals, 0)

				const interval = 3 * time.Second
				start := f.calls.Load()
				advance(interval)
				baseline := f.calls.Load() - start
				f.store.restore(before, clockAhead)
				f.store.put("a", "written again")
				start = f.calls.Load()
				advance(interval)
				qt.Assert(t, f.countWithout("written again"), qt.Equals, 0)
				extra := f.calls.Load() - start - baseline
				maxExtra := int64(tables * (f.relayCount() + min(daemons, maxImmediateContenders)))
				qt.Assert(t, extra <= maxExtra, qt.IsTrue, qt.Commentf("%d daemons: %d calls more, %d usual", daemons, extra, baseline))
			})
		}
	}
}

// relayCount returns the number of relays.
func (f *fleet) relayCount() int {
	count := 0
	for _, daemon := range f.daemons {
		if f.list.IsRelay(daemon.Name) {
			count++
		}
	}
	return count
}

// blockingFeedReader passes on reads, and blocks feeds until their context ends.
type blockingFeedReader struct {
	rowstore.Reader
}

// Feed blocks.
func (b blockingFeedReader) Feed(ctx context.Context, _ string, _ rowstore.Revision, _ time.Duration) (rowstore.Result, error) {
	<-ctx.Done()
	return rowstore.Result{}, rowstore.ErrOutcomeUnknown
}

// Guards against a feed that keeps waiting for changes after another table has shown a new era.
func TestWaitingFeedEndsWhenAnotherTableShowsNewEra(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		clock := &rowstore.Freshness{}
		store := newFakeStore()
		store.put("a", "1")
		recorded := startFollowerWaiting(ctx, blockingFeedReader{
			Reader: store,
		}, clock, time.Minute)
		advance(100 * time.Millisecond)
		before := store.snapshot()
		store.restore(before, 0)
		store.put("a", "2")
		clock.ObserveClock(1, time.Now(), time.Since(store.started))
		advance(10 * time.Millisecond)
		qt.Assert(t, recorded.rows["a"], qt.Equals, "2")
		qt.Assert(t, recorded.failures, qt.Equals, 0)
	})
}
