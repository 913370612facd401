package rowstore_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/rowstore"
)

// startingReader refuses calls until startsAt.
type startingReader struct {
	rowstore.Reader
	startsAt time.Time
}

// Read refuses before startsAt.
func (s startingReader) Read(ctx context.Context, table string) (rowstore.Result, error) {
	if time.Now().Before(s.startsAt) {
		return rowstore.Result{}, rowstore.ErrRefused
	}
	return s.Reader.Read(ctx, table)
}

// Feed refuses before startsAt.
func (s startingReader) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	if time.Now().Before(s.startsAt) {
		return rowstore.Result{}, rowstore.ErrRefused
	}
	return s.Reader.Feed(ctx, table, since, wait)
}

// Guards against a relay that starts some tenths of a second late and is skipped. An
// unresponsive relay costs only a timeout.
func TestReadWaitsForRelayThatStartsLater(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		relay := startFollowerWaiting(ctx, store, &rowstore.Freshness{}, 400*time.Millisecond)
		storeCalls := 0
		chain, clock := newChainVia(countingReader{
			Reader: store,
			calls:  &storeCalls,
		}, store, rowstore.Relay{
			Name: "gone",
			Reader: startingReader{
				Reader:   unresponsiveReader{},
				startsAt: time.Now().Add(time.Hour),
			},
		}, rowstore.Relay{
			Name: "late",
			Reader: startingReader{
				Reader:   &relay.tableCache,
				startsAt: time.Now().Add(150 * time.Millisecond),
			},
		})
		downstream := startFollower(ctx, chain, clock)
		advance(time.Second)
		qt.Assert(t, downstream.rows["a"], qt.Equals, "1")
		qt.Assert(t, storeCalls, qt.Equals, 0)
	})
}

func TestReadUsesStoreWhenNoRelayAnswers(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		chain, clock := newChain(store, rowstore.Relay{
			Name: "gone",
			Reader: startingReader{
				Reader:   unresponsiveReader{},
				startsAt: time.Now().Add(time.Hour),
			},
		})
		downstream := startFollower(ctx, chain, clock)
		advance(time.Second)
		qt.Assert(t, downstream.rows["a"], qt.Equals, "1")
	})
}

// Guards against store reads by daemons whose relay is just reading the table. All daemons start at
// the same moment, and those that call a relay wait for its copy.
func TestReadWaitsForRelayThatIsReading(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		const daemons = 50
		store := newFakeStore()
		store.put("a", "1")
		slowStore := slowReader{
			Reader: store,
			delay:  100 * time.Millisecond,
		}
		relay := startFollowerWaiting(ctx, slowStore, &rowstore.Freshness{}, 400*time.Millisecond)
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
			downstream = append(downstream, startFollower(ctx, chain, clock))
		}
		advance(300 * time.Millisecond)
		for _, follower := range downstream {
			qt.Assert(t, follower.rows["a"], qt.Equals, "1")
		}
		qt.Assert(t, storeCalls, qt.Equals, 0)
	})
}

// slowReader delays reads.
type slowReader struct {
	rowstore.Reader
	delay time.Duration
}

// Read waits for the delay and reads.
func (s slowReader) Read(ctx context.Context, table string) (rowstore.Result, error) {
	time.Sleep(s.delay)
	return s.Reader.Read(ctx, table)
}

// Guards against a copy that cannot be dated because this daemon has never called the store itself.
// The relay's upper bound of the store's clock dates it, and never makes it seem younger than it
// is.
func TestCopyIsDatedByRelayClockBound(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		relayClock := &rowstore.Freshness{}
		relay := startFollowerWaiting(ctx, store, relayClock, 400*time.Millisecond)
		relay.tableCache.Clock = relayClock
		advance(2 * time.Second)

		clock := &rowstore.Freshness{}
		storeCalls := 0
		chain := rowstore.NewReaderChain(countingReader{
			Reader: store,
			calls:  &storeCalls,
		}, clock, map[string]time.Duration{
			"t": 900 * time.Millisecond,
		})
		chain.SetPeers(rowstore.Peers{
			Relays: []rowstore.Relay{
				{
					Name:   "relay",
					Reader: &relay.tableCache,
				},
			},
		})
		downstream := startFollower(ctx, chain, clock)
		advance(2 * time.Second)
		qt.Assert(t, downstream.rows["a"], qt.Equals, "1")
		qt.Assert(t, storeCalls, qt.Equals, 0)
		relayLatest, _ := relayClock.MaxStoreTime(0)
		latest, isProved := clock.MaxStoreTime(0)
		qt.Assert(t, isProved, qt.IsTrue)
		qt.Assert(t, latest >= relayLatest, qt.IsTrue, qt.Commentf("%v before %v", latest, relayLatest))
	})
}
