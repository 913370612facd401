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

// When hundreds of daemons start, the first ones by rank may be stopped and updates of the
// lease row may arrive late. Guards against all others attempting to acquire it at once.
func TestHundredsOfDaemonsStaggerAcquireAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, stopped, deliveryDelay = 295, 16, 200 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		names := make([]string, daemons)
		for i := range names {
			names[i] = strconv.Itoa(i)
		}
		c := newCluster(names...)
		deliver := c.store.onLeaseWrite
		c.store.onLeaseWrite = func(row rowstore.Row) {
			go func() {
				time.Sleep(deliveryDelay)
				deliver(row)
			}()
		}
		var attempts atomic.Int64
		for i, elector := range c.electors {
			elector.Store = countingStore{
				Store:    c.store,
				attempts: &attempts,
			}
			if i >= stopped {
				c.run(ctx, i)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		qt.Assert(t, c.leader(), qt.Not(qt.Equals), "")
		qt.Assert(t, attempts.Load() < 30, qt.IsTrue, qt.Commentf("%d attempts", attempts.Load()))
		qt.Assert(t, c.hasOverlap, qt.IsFalse)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// The store rejected only the leader for seven seconds, and the leader retried its own
// lease 17 times a second (day trouble-1 of the site with hundreds of VMs).
func TestRejectedLeaderRetriesOwnLeaseAtLimitedRate(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		var attempts atomic.Int64
		c.electors[0].Store = countingStore{
			Store:    c.store,
			attempts: &attempts,
		}
		c.run(ctx, 0)
		time.Sleep(time.Second)
		c.store.configure(func(f *fakeStore) {
			f.isDown = true
		})
		const outage = 7 * time.Second
		before := attempts.Load()
		time.Sleep(outage)
		qt.Assert(t, attempts.Load()-before < 35, qt.IsTrue, qt.Commentf("%d attempts", attempts.Load()-before))
		c.store.configure(func(f *fakeStore) {
			f.isDown = false
		})
		time.Sleep(time.Second)
		qt.Assert(t, c.leader(), qt.Equals, "a")
	})
}
