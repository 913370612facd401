package rowstore_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/rowstore"
)

// startingReader refuses calls until it has started.
type startingReader struct {
	rowstore.Reader
	starts time.Time
}

// Read refuses before the start.
func (l startingReader) Read(ctx context.Context, table string) (rowstore.Result, error) {
	if time.Now().Before(l.starts) {
		return rowstore.Result{}, rowstore.ErrRefused
	}
	return l.Reader.Read(ctx, table)
}

// Feed refuses before the start.
func (l startingReader) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	if time.Now().Before(l.starts) {
		return rowstore.Result{}, rowstore.ErrRefused
	}
	return l.Reader.Feed(ctx, table, since, wait)
}

// Daemons start in any order within some tenths of a second: a relay that is not there
// yet is waited for, one that is gone for good costs the wait and no more.
func TestRelayThatStartsLaterIsWaitedFor(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		relay := followEvery(ctx, store, &rowstore.Freshness{}, 400*time.Millisecond)
		asked := 0
		chain, clock := chainedTo(countingReader{
			Reader: store,
			calls:  &asked,
		}, store, rowstore.Relay{
			Name: "gone",
			Reader: startingReader{
				Reader: silentReader{},
				starts: time.Now().Add(time.Hour),
			},
		}, rowstore.Relay{
			Name: "late",
			Reader: startingReader{
				Reader: &relay.hub,
				starts: time.Now().Add(150 * time.Millisecond),
			},
		})
		behind := follow(ctx, chain, clock)
		pause(time.Second)
		qt.Assert(t, behind.rows["a"], qt.Equals, "1")
		qt.Assert(t, asked, qt.Equals, 0)
	})
}

func TestWithoutAnyRelayTheStoreIsAsked(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		chain, clock := chained(store, rowstore.Relay{
			Name: "gone",
			Reader: startingReader{
				Reader: silentReader{},
				starts: time.Now().Add(time.Hour),
			},
		})
		behind := follow(ctx, chain, clock)
		pause(time.Second)
		qt.Assert(t, behind.rows["a"], qt.Equals, "1")
	})
}

// All daemons start at the same moment: those that ask a relay which is just reading the
// table wait for its copy, and do not ask the store themselves.
func TestRelayThatIsReadingIsWaitedFor(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		const daemons = 50
		store := newFakeStore()
		store.put("a", "1")
		slow := slowReader{
			Reader: store,
			takes:  100 * time.Millisecond,
		}
		relay := followEvery(ctx, slow, &rowstore.Freshness{}, 400*time.Millisecond)
		asked := 0
		var behind []*watched
		for range daemons {
			chain, clock := chainedTo(countingReader{
				Reader: store,
				calls:  &asked,
			}, store, rowstore.Relay{
				Name:   "relay",
				Reader: &relay.hub,
			})
			behind = append(behind, follow(ctx, chain, clock))
		}
		pause(300 * time.Millisecond)
		for _, one := range behind {
			qt.Assert(t, one.rows["a"], qt.Equals, "1")
		}
		qt.Assert(t, asked, qt.Equals, 0)
	})
}

// slowReader reads slowly.
type slowReader struct {
	rowstore.Reader
	takes time.Duration
}

// Read takes its time.
func (s slowReader) Read(ctx context.Context, table string) (rowstore.Result, error) {
	time.Sleep(s.takes)
	return s.Reader.Read(ctx, table)
}

// A daemon that has never asked the store itself can date copies all the same, by what a
// relay says that the store's clock shows at the latest; and is never too sure of them.
func TestCopyIsDatedByWhatTheRelayProves(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		relayClock := &rowstore.Freshness{}
		relay := followEvery(ctx, store, relayClock, 400*time.Millisecond)
		relay.hub.Clock = relayClock
		pause(2 * time.Second)

		clock := &rowstore.Freshness{}
		asked := 0
		chain := rowstore.NewChain(countingReader{
			Reader: store,
			calls:  &asked,
		}, clock, map[string]time.Duration{
			"t": 900 * time.Millisecond,
		})
		chain.SetPeers(rowstore.Peers{
			Relays: []rowstore.Relay{
				{
					Name:   "relay",
					Reader: &relay.hub,
				},
			},
		})
		behind := follow(ctx, chain, clock)
		pause(2 * time.Second)
		qt.Assert(t, behind.rows["a"], qt.Equals, "1")
		qt.Assert(t, asked, qt.Equals, 0)
		truth, _ := relayClock.Latest(0)
		latest, isProved := clock.Latest(0)
		qt.Assert(t, isProved, qt.IsTrue)
		qt.Assert(t, latest >= truth, qt.IsTrue, qt.Commentf("%v before %v", latest, truth))
	})
}
