package rowstore_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against frequent calls to a store that closes connections at once. Such short calls were
// not counted as failures, so the daemons did not back off: 89 of them made 11,549 calls in eight
// seconds.
func TestChainLimitsCallsToFailingStore(t *testing.T) {
	for name, fail := range map[string]func(f *fakeStore){
		"cut":        func(f *fakeStore) { f.isCut = true },
		"refused":    func(f *fakeStore) { f.isDown = true },
		"unanswered": func(f *fakeStore) { f.delay = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
				store := newFakeStore()
				chain, clock := newChain(store)
				for _, table := range []string{"t", "b", "c", "d", "e"} {
					startTableFollower(ctx, chain, clock, table, time.Second)
				}
				advance(2 * time.Second)
				store.update(fail)
				advance(2 * time.Second)
				before := store.callCount()
				const outage = 8 * time.Second
				advance(outage)
				// One call each 0.4 s for the age-bounded table, and one more each time that two
				// followers call at the same moment.
				calls := store.callCount() - before
				qt.Assert(t, calls <= 2*int(outage/(400*time.Millisecond)), qt.IsTrue, qt.Commentf("%d calls", calls))
				qt.Assert(t, calls >= 5, qt.IsTrue, qt.Commentf("%d calls", calls))
			})
		})
	}
}

// Guards against a call that its own caller canceled being counted as a failure of the store, which
// would delay the other tables.
func TestCanceledCallIsNotAStoreFailure(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		chain, clock := newChain(store)
		followerCtx, stop := context.WithCancel(ctx)
		startTableFollower(followerCtx, chain, clock, "b", time.Minute)
		recorded := startFollower(ctx, chain, clock)
		advance(1500 * time.Millisecond)
		stop()
		store.put("a", "2")
		advance(100 * time.Millisecond)
		store.put("a", "3")
		advance(100 * time.Millisecond)
		qt.Assert(t, recorded.rows["a"], qt.Equals, "3")
	})
}
