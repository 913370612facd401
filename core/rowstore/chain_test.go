package rowstore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/rowstore"
)

// countingReader counts the calls to a reader.
type countingReader struct {
	rowstore.Reader
	calls *int
}

// Read counts the call and reads.
func (c countingReader) Read(ctx context.Context, table string) (rowstore.Result, error) {
	*c.calls++
	return c.Reader.Read(ctx, table)
}

// Feed counts the call and follows.
func (c countingReader) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	*c.calls++
	return c.Reader.Feed(ctx, table, since, wait)
}

// Guards against regular calls to a relay whose VM is unresponsive but which is still listed.
// It was called every 2 s, and each time the view of the servers was a second late.
func TestChainBacksOffFromUnresponsiveRelay(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		relayCalls := 0
		chain, clock := newChain(store, rowstore.Relay{
			Name: "r1",
			Reader: countingReader{
				Reader: unresponsiveReader{},
				calls:  &relayCalls,
			},
		})
		startFollower(ctx, chain, clock)
		advance(time.Minute)
		qt.Assert(t, relayCalls < 9, qt.IsTrue, qt.Commentf("%d calls", relayCalls))
		qt.Assert(t, relayCalls > 3, qt.IsTrue, qt.Commentf("%d calls", relayCalls))
	})
}

// Guards against a first read that waits for several unresponsive relays one after the other. A
// starting daemon serves no requests until it has read its tables.
func TestFirstReadIsNotDelayedByUnresponsiveRelays(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		unresponsive := func(name string) rowstore.Relay {
			return rowstore.Relay{
				Name:   name,
				Reader: unresponsiveReader{},
			}
		}
		chain, clock := newChain(store, unresponsive("r1"), unresponsive("r2"), unresponsive("r3"))
		downstream := startFollower(ctx, chain, clock)
		advance(time.Second)
		qt.Assert(t, downstream.rows["a"], qt.Equals, "1")
	})
}

// Guards against daemons that stay without a view for four seconds after an outage in which the
// store left calls unanswered. They had backed off from relays without a copy, and the relays still
// waited for calls that were sent during the outage.
func TestDownstreamDaemonsRecoverAfterUnresponsiveStore(t *testing.T) {
	const daemons = 20
	for _, outageMillis := range []int{9000, 9250, 9500, 9750, 10000, 10250, 10500} {
		runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
			store := newFakeStore()
			store.put("a", "1")
			relay := startFollowerWaiting(ctx, store, &rowstore.Freshness{}, 900*time.Millisecond)
			advance(time.Second)
			var downstream []*recordedFollower
			for range daemons {
				chain, clock := newChain(store, rowstore.Relay{
					Name:   "r1",
					Reader: &relay.tableCache,
				})
				downstream = append(downstream, startFollowerWaiting(ctx, chain, clock, 900*time.Millisecond))
			}
			advance(3 * time.Second)
			store.update(func(f *fakeStore) {
				f.isDown = true
				f.delay = time.Minute
			})
			advance(time.Second)
			before := store.callCount()
			advance(time.Duration(outageMillis) * time.Millisecond)
			storeCalls := store.callCount() - before
			qt.Check(t, storeCalls < daemons*6, qt.IsTrue, qt.Commentf("%d calls", storeCalls))

			store.update(func(f *fakeStore) {
				f.isDown = false
				f.delay = 0
			})
			store.put("a", "2")
			advance(1300 * time.Millisecond)
			late := 0
			for _, recorded := range downstream {
				if recorded.rows["a"] != "2" {
					late++
				}
			}
			qt.Check(t, late, qt.Equals, 0, qt.Commentf("outage of %d ms", outageMillis))
		})
	}
}

// connectTime is how long a refused connection takes to fail.
const connectTime = time.Millisecond

// lateReader refuses calls until upAt.
type lateReader struct {
	rowstore.Reader
	upAt time.Time
}

// Read refuses before upAt.
func (l lateReader) Read(ctx context.Context, table string) (rowstore.Result, error) {
	if time.Now().Before(l.upAt) {
		time.Sleep(connectTime)
		return rowstore.Result{}, rowstore.ErrRefused
	}
	return l.Reader.Read(ctx, table)
}

// Feed refuses before upAt.
func (l lateReader) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	if time.Now().Before(l.upAt) {
		time.Sleep(connectTime)
		return rowstore.Result{}, rowstore.ErrRefused
	}
	return l.Reader.Feed(ctx, table, since, wait)
}

// Guards against counting concurrent failures separately. After a restart of all daemons each
// called the first relay for five tables before it listened. These five failures made a back-off of
// 16 s, and 68 daemons called the store 4,600 times for the servers.
func TestConcurrentRelayFailuresCountOnce(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		relay := startFollowerWaiting(ctx, store, &rowstore.Freshness{}, 400*time.Millisecond)
		advance(100 * time.Millisecond)
		storeCalls := 0
		clock := &rowstore.Freshness{}
		chain := rowstore.NewReaderChain(countingReader{
			Reader: store,
			calls:  &storeCalls,
		}, clock, nil)
		chain.SetPeers(rowstore.Peers{
			Relays: []rowstore.Relay{
				{
					Name: "r1",
					Reader: lateReader{
						Reader: &relay.tableCache,
						upAt:   time.Now().Add(time.Second),
					},
				},
			},
		})
		const tables = 5
		for range tables {
			startFollowerWaiting(ctx, chain, clock, 400*time.Millisecond)
		}
		advance(3 * time.Second)
		before := storeCalls
		advance(5 * time.Second)
		qt.Assert(t, storeCalls, qt.Equals, before)
	})
}

// Guards against a leader without a view after a store outage. The leader follows the servers
// directly at the store. After the outage it called the store rarely, as all daemons do, but no
// relay either: for 3.8 s it saw no server and repaired nothing.
func TestDirectTableUsesRelaysWhileStoreFails(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		relay := startFollowerWaiting(ctx, store, &rowstore.Freshness{}, 400*time.Millisecond)
		advance(100 * time.Millisecond)
		failingStore := lateReader{
			Reader: store,
			upAt:   time.Now().Add(time.Hour),
		}
		clock := &rowstore.Freshness{}
		chain := rowstore.NewReaderChain(failingStore, clock, nil)
		chain.BypassesRelays = func(string) bool {
			return true
		}
		chain.SetPeers(rowstore.Peers{
			Relays: []rowstore.Relay{
				{
					Name:   "r1",
					Reader: &relay.tableCache,
				},
			},
		})
		leader := startFollowerWaiting(ctx, chain, clock, 400*time.Millisecond)
		advance(time.Second)
		store.put("a", "2")
		advance(time.Second)
		qt.Assert(t, leader.rows["a"], qt.Equals, "2")
	})
}

// Guards against calls to a store that is down from every daemon although its relays already call
// it. With a pause per daemon, 295 daemons made 250 calls a second.
func TestDaemonsLimitStoreCallsWhileRelaysHaveNoCopy(t *testing.T) {
	for _, daemons := range []int{5, 60, 295} {
		runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
			store := newFakeStore()
			store.put("a", "1")
			relay := startFollowerWaiting(ctx, store, &rowstore.Freshness{}, 400*time.Millisecond)
			advance(time.Second)
			storeCalls := 0
			var downstream []*recordedFollower
			for range daemons {
				chain, clock := newChainVia(countingReader{
					Reader: store,
					calls:  &storeCalls,
				}, store, rowstore.Relay{
					Name:   "relay",
					Reader: &relay.tableCache,
				})
				chain.ContenderCount = func() int {
					return daemons
				}
				downstream = append(downstream, startFollower(ctx, chain, clock))
			}
			advance(time.Second)
			qt.Assert(t, storeCalls, qt.Equals, 0)
			store.update(func(f *fakeStore) {
				f.isDown = true
			})
			const outage = 9 * time.Second
			advance(outage)
			// One call per daemon when its relay first reports no copy, and five a second for all
			// daemons after that.
			qt.Assert(t, storeCalls <= daemons+5*9, qt.IsTrue, qt.Commentf("%d daemons: %d calls", daemons, storeCalls))
			store.update(func(f *fakeStore) {
				f.isDown = false
			})
			store.put("a", "back")
			advance(2 * time.Second)
			for _, follower := range downstream {
				qt.Assert(t, follower.rows["a"], qt.Equals, "back")
			}
		})
	}
}

// newDownstreamChain returns a chain with one relay that many daemons share, and a function that
// cuts the relay off from the store. The chain reaches the store through storeReader.
func newDownstreamChain(ctx context.Context, storeReader rowstore.Reader, store *fakeStore, daemons int) (chain *rowstore.ReaderChain, clock *rowstore.Freshness, isolateRelay func()) {
	relayStore := newFakeStore()
	relayStore.started = store.started
	relayStore.put("a", "1")
	relay := startFollowerWaiting(ctx, relayStore, &rowstore.Freshness{}, 400*time.Millisecond)
	advance(time.Second)
	chain, clock = newChainVia(storeReader, store, rowstore.Relay{
		Name:   "relay",
		Reader: &relay.tableCache,
	})
	chain.ContenderCount = func() int {
		return daemons
	}
	return chain, clock, func() {
		relayStore.update(func(f *fakeStore) {
			f.isDown = true
		})
	}
}

// Guards against a feed that waits for changes at the store and blocks the other followers, while
// all relays are cut off from the store and the store serves other daemons.
func TestWaitingFeedDoesNotBlockOtherFollowers(t *testing.T) {
	for _, daemons := range []int{3, 9, 40} {
		runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
			store := newFakeStore()
			store.put("a", "1")
			chain, clock, cutOff := newDownstreamChain(ctx, store, store, daemons)
			// Two followers of one table, of which one waits long at the store.
			startFollowerWaiting(ctx, chain, clock, 2500*time.Millisecond)
			ageBounded := startFollower(ctx, chain, clock)
			advance(time.Second)
			cutOff()
			advance(1500 * time.Millisecond)
			store.put("a", "2")
			advance(time.Second)
			qt.Assert(t, ageBounded.rows["a"], qt.Equals, "2", qt.Commentf("%d daemons", daemons))
		})
	}
}

// Guards against a pause of nine seconds, that of tables without a maximum age, for an age-bounded
// table. Relays were cut off, and some calls to the store failed at once because it had compacted
// its history.
func TestShortStoreFailureDoesNotDelayAgeBoundedTable(t *testing.T) {
	for _, daemons := range []int{3, 9} {
		runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
			store := newFakeStore()
			store.put("a", "1")
			chain, clock, cutOff := newDownstreamChain(ctx, store, store, daemons)
			ageBounded := startFollower(ctx, chain, clock)
			for _, table := range []string{"b", "c", "d"} {
				startTableFollower(ctx, chain, clock, table, 100*time.Millisecond)
			}
			advance(time.Second)
			cutOff()
			advance(2 * time.Second)
			store.update(func(f *fakeStore) {
				f.isDown = true
			})
			advance(150 * time.Millisecond)
			store.update(func(f *fakeStore) {
				f.isDown = false
			})
			// The feed that waited during the failure has ended by now.
			advance(1100 * time.Millisecond)
			store.put("a", "2")
			advance(1700 * time.Millisecond)
			qt.Assert(t, ageBounded.rows["a"], qt.Equals, "2", qt.Commentf("%d daemons", daemons))
		})
	}
}

// unansweredTable is a reader that leaves feeds of one table unanswered while isUnanswered is set.
type unansweredTable struct {
	rowstore.Reader
	table        string
	isUnanswered *atomic.Bool
	// failAfter is the time until an unanswered call fails.
	failAfter time.Duration
}

// Feed fails for the table while isUnanswered is set.
func (u unansweredTable) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	if table == u.table && u.isUnanswered.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(u.failAfter):
		}
		return rowstore.Result{}, rowstore.ErrOutcomeUnknown
	}
	return u.Reader.Feed(ctx, table, since, wait)
}

// Guards against one failed call that stops other followers. Relays were cut off or
// unresponsive, and one call for the list of daemons got no answer. A daemon then did not
// follow the servers for 2.1 s, although the store answered calls for all other tables.
func TestFailedCallDoesNotDelayOtherTablesWhileStoreAnswers(t *testing.T) {
	for _, failAfter := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond} {
		runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
			store := newFakeStore()
			store.put("a", "1")
			var isUnanswered atomic.Bool
			chain, clock, cutOff := newDownstreamChain(ctx, unansweredTable{
				Reader:       store,
				table:        "b",
				isUnanswered: &isUnanswered,
				failAfter:    failAfter,
			}, store, 3)
			follower := startFollower(ctx, chain, clock)
			startTableFollower(ctx, chain, clock, "b", 100*time.Millisecond)
			startTableFollower(ctx, chain, clock, "c", 500*time.Millisecond)
			advance(time.Second)
			cutOff()
			advance(3 * time.Second)
			isUnanswered.Store(true)
			advance(3 * time.Second)
			store.put("a", "2")
			advance(1300 * time.Millisecond)
			qt.Assert(t, follower.rows["a"], qt.Equals, "2", qt.Commentf("after %s", failAfter))
		})
	}
}
