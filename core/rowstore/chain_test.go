package rowstore_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/rowstore"
)

// countingReader counts the calls of a reader.
type countingReader struct {
	rowstore.Reader
	calls *int
}

// Read counts and reads.
func (c countingReader) Read(ctx context.Context, table string) (rowstore.Result, error) {
	*c.calls++
	return c.Reader.Read(ctx, table)
}

// Feed counts and follows.
func (c countingReader) Feed(ctx context.Context, table string, since int64, wait time.Duration) (rowstore.Result, error) {
	*c.calls++
	return c.Reader.Feed(ctx, table, since, wait)
}

// A relay whose VM is gone stays in the list of the daemons; it was asked every
// 2 s, and each time the view of the servers was a second late.
func TestRelayThatIsGoneIsAskedLessAndLess(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		asked := 0
		chain, clock := chained(store, rowstore.Relay{
			Name: "r1",
			Reader: countingReader{
				Reader: silentReader{},
				calls:  &asked,
			},
		})
		follow(ctx, chain, clock)
		pause(time.Minute)
		qt.Assert(t, asked < 9, qt.IsTrue, qt.Commentf("asked %d times", asked))
		qt.Assert(t, asked > 3, qt.IsTrue, qt.Commentf("asked %d times", asked))
	})
}

// A daemon that starts serves nobody until it has read the tables; relays that say
// nothing must not hold it up one after the other.
func TestFirstReadWaitsForOneRelayOnly(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		silent := func(name string) rowstore.Relay {
			return rowstore.Relay{
				Name:   name,
				Reader: silentReader{},
			}
		}
		chain, clock := chained(store, silent("r1"), silent("r2"), silent("r3"))
		behind := follow(ctx, chain, clock)
		pause(time.Second)
		qt.Assert(t, behind.rows["a"], qt.Equals, "1")
	})
}
