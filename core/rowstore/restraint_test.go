package rowstore_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Found on a day on which the store cut connections at once for eight seconds: a call
// that ended so soon was taken for one that nobody had waited for, so that daemons never
// came to know that the store failed. Eighty-nine of them made 11,549 calls.
func TestStoreThatCutsConnectionsIsAskedRarely(t *testing.T) {
	for name, behave := range map[string]func(f *fakeStore){
		"cut":     func(f *fakeStore) { f.isCut = true },
		"refused": func(f *fakeStore) { f.isDown = true },
		"silent":  func(f *fakeStore) { f.delay = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T) {
				store := newFakeStore()
				chain, clock := chained(store)
				for _, table := range []string{"t", "b", "c", "d", "e"} {
					followTable(ctx, chain, clock, table, time.Second)
				}
				pause(2 * time.Second)
				store.set(behave)
				pause(2 * time.Second)
				before := store.count()
				const outage = 8 * time.Second
				pause(outage)
				// One call each 0.4 s, for the table whose age is bounded, and one more each
				// time that two followers come together.
				asked := store.count() - before
				qt.Assert(t, asked <= 2*int(outage/(400*time.Millisecond)), qt.IsTrue, qt.Commentf("%d calls", asked))
				qt.Assert(t, asked >= 5, qt.IsTrue, qt.Commentf("%d calls", asked))
			})
		})
	}
}

// A follower whose daemon ends breaks its calls off: that says nothing of the store, and
// the other tables go on.
func TestCallThatIsBrokenOffIsNoFailureOfTheStore(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		chain, clock := chained(store)
		going, stop := context.WithCancel(ctx)
		followTable(going, chain, clock, "b", time.Minute)
		w := follow(ctx, chain, clock)
		pause(1500 * time.Millisecond)
		stop()
		store.put("a", "2")
		pause(100 * time.Millisecond)
		store.put("a", "3")
		pause(100 * time.Millisecond)
		qt.Assert(t, w.rows["a"], qt.Equals, "3")
	})
}
