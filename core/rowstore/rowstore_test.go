package rowstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/boottime"
	"headcourse/core/rowstore"
)

// recordedFollower is a follower of a table and a record of its callbacks.
type recordedFollower struct {
	follower   *rowstore.Follower
	rows       map[string]string
	snapshots  int
	asOf       time.Time
	failures   int
	recoveries int
	tableCache rowstore.TableCache
	// downtime is the length of the last outage.
	downtime time.Duration
}

// startFollower starts a follower that ends with ctx.
func startFollower(ctx context.Context, source rowstore.Reader, clock *rowstore.Freshness) *recordedFollower {
	return startFollowerWaiting(ctx, source, clock, time.Second)
}

// startFollowerWaiting is startFollower with a given wait of each feed.
func startFollowerWaiting(ctx context.Context, source rowstore.Reader, clock *rowstore.Freshness, wait time.Duration) *recordedFollower {
	return startTableFollower(ctx, source, clock, "t", wait)
}

// startTableFollower is startFollowerWaiting for a table by name.
func startTableFollower(ctx context.Context, source rowstore.Reader, clock *rowstore.Freshness, table string, wait time.Duration) *recordedFollower {
	recorded := &recordedFollower{
		rows: map[string]string{},
	}
	apply := func(rows []rowstore.Row, asOf time.Time) {
		for _, row := range rows {
			if row.Deleted {
				delete(recorded.rows, row.Key)
			} else {
				recorded.rows[row.Key] = string(row.Value)
			}
		}
		recorded.asOf = asOf
	}
	recorded.follower = &rowstore.Follower{
		Reader:   source,
		Table:    table,
		FeedWait: wait,
		OnSnapshot: func(rows []rowstore.Row, _ rowstore.Revision, asOf time.Time) {
			recorded.snapshots++
			recorded.rows = map[string]string{}
			apply(rows, asOf)
		},
		OnChanges: func(rows []rowstore.Row, _ rowstore.Revision, asOf time.Time) {
			apply(rows, asOf)
		},
		OnFailure: func(error) {
			recorded.failures++
		},
		OnRecovery: func(downtime time.Duration) {
			recorded.recoveries++
			recorded.downtime = downtime
		},
		TableCache: &recorded.tableCache,
		Clock:      clock,
	}
	recorded.tableCache.MaxContactAge = 900 * time.Millisecond
	go recorded.follower.Run(ctx)
	return recorded
}

// runWithFakeClock runs a test with a fake clock and a context that ends with the test.
func runWithFakeClock(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		test(ctx, t)
	})
}

func TestFollowerAppliesChangesAtOnce(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		recorded := startFollower(ctx, store, &rowstore.Freshness{})
		advance(100 * time.Millisecond)
		qt.Assert(t, recorded.rows, qt.DeepEquals, map[string]string{
			"a": "1",
		})
		store.put("a", "2")
		store.put("b", "3")
		advance(10 * time.Millisecond)
		qt.Assert(t, recorded.rows["a"], qt.Equals, "2")
		qt.Assert(t, recorded.rows["b"], qt.Equals, "3")
	})
}

// Guards against outages of a wrong length after a suspension: their start and their end were taken from different
// clocks, so that an outage of seconds had a negative length, and servers got no grace after it.
func TestLengthOfOutageIncludesSuspension(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		suspended := time.Hour
		clock := &rowstore.Freshness{
			Clock: boottime.Clock{
				Suspended: func() time.Duration { return suspended },
			},
		}
		store := newFakeStore()
		recorded := startFollowerWaiting(ctx, store, clock, time.Second)
		advance(100 * time.Millisecond)
		for _, suspension := range []time.Duration{0, time.Minute} {
			store.update(func(f *fakeStore) { f.isDown = true })
			advance(3 * time.Second)
			suspended += suspension
			store.update(func(f *fakeStore) { f.isDown = false })
			advance(3 * time.Second)
			qt.Assert(t, recorded.downtime > suspension+time.Second, qt.IsTrue, qt.Commentf("%s", recorded.downtime))
			qt.Assert(t, recorded.downtime < suspension+6*time.Second, qt.IsTrue, qt.Commentf("%s", recorded.downtime))
		}
		qt.Assert(t, recorded.recoveries, qt.Equals, 2)
	})
}

func TestFollowerRereadsTableWhenHistoryIsCompacted(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		recorded := startFollower(ctx, store, &rowstore.Freshness{})
		advance(100 * time.Millisecond)
		store.update(func(f *fakeStore) {
			f.historyStart = 100
			f.version = 200
		})
		store.put("b", "2")
		advance(3 * time.Second)
		qt.Assert(t, recorded.snapshots, qt.Equals, 2)
		qt.Assert(t, recorded.rows["b"], qt.Equals, "2")
	})
}

// Guards against a lagging store replica that answers a read after its history was compacted.
func TestFollowerRejectsOlderAnswers(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "new")
		recorded := startFollower(ctx, store, &rowstore.Freshness{})
		advance(100 * time.Millisecond)
		before := recorded.asOf
		store.update(func(f *fakeStore) {
			f.versionLag = 1
			f.rows["a"] = rowstore.Row{
				Key:     "a",
				Value:   []byte("old"),
				Version: 1,
			}
			f.historyStart = 100
		})
		advance(3 * time.Second)
		qt.Assert(t, recorded.rows["a"], qt.Equals, "new")
		qt.Assert(t, recorded.asOf, qt.Equals, before)
	})
}

func TestFollowerReportsOutageAndRecovery(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		recorded := startFollower(ctx, store, &rowstore.Freshness{})
		advance(100 * time.Millisecond)
		store.update(func(f *fakeStore) {
			f.isDown = true
		})
		advance(4 * time.Second)
		qt.Assert(t, recorded.failures > 2, qt.IsTrue)
		qt.Assert(t, recorded.recoveries, qt.Equals, 0)
		store.update(func(f *fakeStore) {
			f.isDown = false
		})
		advance(2 * time.Second)
		qt.Assert(t, recorded.recoveries, qt.Equals, 1)
	})
}

// Guards against dating a delayed answer by its arrival, which makes the view seem younger than it
// is. The store's clock dates it.
func TestFreshnessDoesNotUnderstateAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var clock rowstore.Freshness
		start := time.Now()
		const offset = time.Hour
		clock.ObserveClock(0, time.Now(), offset)
		advance(10 * time.Second)
		// An answer that was produced 3 s after the start arrives only now.
		asOf := clock.ObserveClock(0, start.Add(2*time.Second), offset+3*time.Second)
		qt.Assert(t, asOf.After(start.Add(3*time.Second)), qt.IsFalse)
		clock.ConfirmView(asOf)
		age, isKnown := clock.ViewAge()
		qt.Assert(t, isKnown, qt.IsTrue)
		qt.Assert(t, age >= 7*time.Second, qt.IsTrue)
	})
}

// Guards against a view that does not age while its VM is suspended. After a suspension such a
// VM accepted keys that had been revoked meanwhile.
func TestFreshnessCountsVMSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		clock := rowstore.Freshness{
			Clock: boottime.Clock{
				Suspended: func() time.Duration { return suspended },
			},
		}
		const offset = time.Hour
		clock.ConfirmView(clock.ObserveClock(0, clock.Now(), offset))
		advance(time.Second)
		suspended += 5 * time.Second
		age, _ := clock.ViewAge()
		qt.Assert(t, age, qt.Equals, 6*time.Second)

		// A copy of another daemon that is 4 s old by the store's clock gets that age.
		when := clock.LocalTime(0, offset+2*time.Second)
		qt.Assert(t, clock.Since(when), qt.Equals, 4*time.Second)
		// A call during which the VM was suspended proves only a state from before the suspension.
		sent := clock.Now()
		suspended += 5 * time.Second
		clock.ConfirmView(clock.ObserveClock(0, sent, offset+6*time.Second))
		age, _ = clock.ViewAge()
		qt.Assert(t, age, qt.Equals, 5*time.Second)
	})
}

func TestFreshnessHasNoAgeBeforeConfirm(t *testing.T) {
	var clock rowstore.Freshness
	_, isKnown := clock.ViewAge()
	qt.Assert(t, isKnown, qt.IsFalse)
}

// newChain returns a chain over a store and relays, with a clock that has a proof.
func newChain(store *fakeStore, relays ...rowstore.Relay) (*rowstore.ReaderChain, *rowstore.Freshness) {
	return newChainVia(store, store, relays...)
}

// newChainVia is newChain with another reader of the store.
func newChainVia(storeReader rowstore.Reader, store *fakeStore, relays ...rowstore.Relay) (*rowstore.ReaderChain, *rowstore.Freshness) {
	clock := &rowstore.Freshness{}
	clock.ObserveClock(0, time.Now(), time.Since(store.started))
	chain := rowstore.NewReaderChain(storeReader, clock, map[string]time.Duration{
		"t": 900 * time.Millisecond,
	})
	chain.SetPeers(rowstore.Peers{
		Relays: relays,
	})
	return chain, clock
}

func TestDownstreamFollowersMakeNoStoreCalls(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		relay := startFollowerWaiting(ctx, store, &rowstore.Freshness{}, 400*time.Millisecond)
		advance(time.Second)
		before := store.calls
		chain, clock := newChain(store, rowstore.Relay{
			Name:   "r1",
			Reader: &relay.tableCache,
		})
		downstream := startFollower(ctx, chain, clock)
		advance(5 * time.Second)
		store.put("a", "2")
		advance(10 * time.Millisecond)
		qt.Assert(t, downstream.rows["a"], qt.Equals, "2")
		direct, relayed := chain.CallCounts()
		qt.Assert(t, direct, qt.Equals, int64(0))
		qt.Assert(t, relayed > 5, qt.IsTrue)
		qt.Assert(t, store.calls-before < 20, qt.IsTrue)
	})
}

// Guards against a relay that serves its copy while it is cut off from the store, so that the
// daemons that use it apply a configuration too late.
func TestChainLeavesRelayCutOffFromStore(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		relayStore := newFakeStore()
		relayStore.started = store.started
		relayStore.put("a", "1")
		relay := startFollowerWaiting(ctx, relayStore, &rowstore.Freshness{}, 400*time.Millisecond)
		advance(time.Second)
		chain, clock := newChain(store, rowstore.Relay{
			Name:   "r1",
			Reader: &relay.tableCache,
		})
		downstream := startFollower(ctx, chain, clock)
		advance(time.Second)
		relayStore.update(func(f *fakeStore) {
			f.isDown = true
		})
		store.put("a", "2")
		advance(1500 * time.Millisecond)
		qt.Assert(t, downstream.rows["a"], qt.Equals, "2")
	})
}

// unresponsiveReader never answers.
type unresponsiveReader struct{}

// Read blocks until ctx ends.
func (unresponsiveReader) Read(ctx context.Context, _ string) (rowstore.Result, error) {
	<-ctx.Done()
	return rowstore.Result{}, rowstore.ErrOutcomeUnknown
}

// Feed blocks until ctx ends.
func (unresponsiveReader) Feed(ctx context.Context, _ string, _ rowstore.Revision, _ time.Duration) (rowstore.Result, error) {
	<-ctx.Done()
	return rowstore.Result{}, rowstore.ErrOutcomeUnknown
}

func TestChainLeavesUnresponsiveRelay(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		chain, clock := newChain(store, rowstore.Relay{
			Name:   "r1",
			Reader: unresponsiveReader{},
		})
		downstream := startFollower(ctx, chain, clock)
		store.put("a", "1")
		advance(1500 * time.Millisecond)
		qt.Assert(t, downstream.rows["a"], qt.Equals, "1")
	})
}

// Guards against frequent calls to a store that refuses them, since refused calls are billed too.
func TestChainLimitsCallsWhileStoreIsDown(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		chain, clock := newChain(store)
		var followers []*recordedFollower
		for _, table := range []string{"t", "b", "c", "d", "e", "f"} {
			followers = append(followers, startTableFollower(ctx, chain, clock, table, time.Second))
		}
		advance(time.Second)
		store.update(func(f *fakeStore) {
			f.isDown = true
		})
		advance(2 * time.Second)
		before := store.callCount()
		advance(10 * time.Second)
		qt.Assert(t, store.callCount()-before < 50, qt.IsTrue, qt.Commentf("%d calls", store.callCount()-before))
		store.update(func(f *fakeStore) {
			f.isDown = false
		})
		store.put("a", "back")
		advance(3 * time.Second)
		for _, recorded := range followers {
			qt.Assert(t, recorded.rows["a"], qt.Equals, "back")
		}
	})
}

func TestChainRejectsUndatedCopy(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		relayStore := newFakeStore()
		relayStore.isRelayed = true
		chain := rowstore.NewReaderChain(store, &rowstore.Freshness{}, map[string]time.Duration{
			"t": time.Second,
		})
		chain.SetPeers(rowstore.Peers{
			Relays: []rowstore.Relay{
				{
					Name:   "r1",
					Reader: relayStore,
				},
			},
		})
		result, err := chain.Read(ctx, "t")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, result.IsRelayed, qt.IsFalse)
	})
}

func TestTableCacheReportsRemovedRowsAndCompactedHistory(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		relay := startFollower(ctx, store, &rowstore.Freshness{})
		advance(50 * time.Millisecond)
		first, err := relay.tableCache.Read(ctx, "t")
		qt.Assert(t, err, qt.IsNil)
		store.put("a", "")
		result, err := relay.tableCache.Feed(ctx, "t", first.Revision(), time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, result.Rows, qt.HasLen, 1)
		qt.Assert(t, result.Rows[0].Deleted, qt.IsTrue)
		_, err = relay.tableCache.Feed(ctx, "t", rowstore.Revision{}, time.Second)
		qt.Assert(t, err, qt.ErrorIs, rowstore.ErrCompacted)
		_, err = relay.tableCache.Read(ctx, "unknown")
		qt.Assert(t, err, qt.ErrorIs, rowstore.ErrNoCopy)
	})
}

// advance lets time pass, and waits until all goroutines are idle.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// firstReadLost loses the answer to its first read.
type firstReadLost struct {
	rowstore.Reader
	reads int
}

// Read does not answer the first time.
func (f *firstReadLost) Read(ctx context.Context, table string) (rowstore.Result, error) {
	f.reads++
	if f.reads == 1 {
		<-ctx.Done()
		return rowstore.Result{}, rowstore.ErrOutcomeUnknown
	}
	return f.Reader.Read(ctx, table)
}

// Guards against a read that times out only after the wait of a feed. The list of daemons is
// followed with feeds of 10 s. After the answer to its first read was lost, 68 daemons had no
// relays for that long, and called the store 4,600 times for the servers.
func TestReadTimeoutIsIndependentOfFeedWait(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		recorded := startFollowerWaiting(ctx, &firstReadLost{
			Reader: store,
		}, &rowstore.Freshness{}, 10*time.Second)
		advance(2 * time.Second)
		qt.Assert(t, recorded.rows["a"], qt.Equals, "1")
	})
}

// Guards against a table that is never read because each read times out. After a restart, 300
// daemons read a table of 3,000 rows at the same moment.
func TestReadTimeoutGrowsForSlowTable(t *testing.T) {
	for _, delay := range []time.Duration{2 * time.Second, 5 * time.Second} {
		runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
			store := newFakeStore()
			store.put("a", "1")
			store.update(func(f *fakeStore) {
				f.delay = delay
			})
			recorded := startFollower(ctx, store, &rowstore.Freshness{})
			advance(20 * time.Second)
			qt.Assert(t, recorded.rows["a"], qt.Equals, "1")
		})
	}
}
