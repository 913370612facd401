package leader_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/rowstore"
)

// Where the first of the list are gone and word of the lease takes a while, as when
// hundreds of daemons start, the others must not all try for it at the same moment.
func TestHundredsDoNotTryAtTheSameMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, gone, told = 295, 16, 200 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		names := make([]string, daemons)
		for i := range names {
			names[i] = strconv.Itoa(i)
		}
		c := newCluster(names...)
		deliver := c.store.delivered
		c.store.delivered = func(row rowstore.Row) {
			go func() {
				time.Sleep(told)
				deliver(row)
			}()
		}
		var tries atomic.Int64
		for i, elector := range c.electors {
			elector.Store = countingStore{
				Store: c.store,
				tries: &tries,
			}
			if i >= gone {
				c.run(ctx, i)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		qt.Assert(t, c.leader(), qt.Not(qt.Equals), "")
		qt.Assert(t, tries.Load() < 30, qt.IsTrue, qt.Commentf("%d tries", tries.Load()))
		qt.Assert(t, c.overlap, qt.IsFalse)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Found on trouble-1 of the site of hundreds of VMs: the store turned the leader alone
// away for seven seconds, and it asked for its own lease 17 times a second.
func TestLeaderThatIsTurnedAwayAsksForItsOwnLeaseRarely(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		var tries atomic.Int64
		c.electors[0].Store = countingStore{
			Store: c.store,
			tries: &tries,
		}
		c.run(ctx, 0)
		time.Sleep(time.Second)
		c.store.set(func(f *fakeStore) {
			f.isDown = true
		})
		const away = 7 * time.Second
		before := tries.Load()
		time.Sleep(away)
		qt.Assert(t, tries.Load()-before < 35, qt.IsTrue, qt.Commentf("%d tries", tries.Load()-before))
		c.store.set(func(f *fakeStore) {
			f.isDown = false
		})
		time.Sleep(time.Second)
		qt.Assert(t, c.leader(), qt.Equals, "a")
	})
}
