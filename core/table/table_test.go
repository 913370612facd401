package table_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"headcourse/core/table"
	"headcourse/lab/fuzz"
	"headcourse/lab/tablestore"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m))
}

// TestResolvedOutcomeNeverChanges checks that a resolved outcome remains true even if the delayed
// transaction arrives later.
func TestResolvedOutcomeNeverChanges(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		store := &tablestore.Flaky{
			Memory: &tablestore.Memory{},
			Draw: func(name string, n int) int {
				return rapid.IntRange(0, n-1).Draw(rt, name)
			},
		}
		resolver := &table.ResolvingStore{
			Store: store,
		}
		committed := map[string]bool{}
		for number := range 12 {
			key := fmt.Sprintf("row/%d", number)
			transaction := table.Transaction{}
			transaction = transaction.WithCondition(key, 0)
			transaction = transaction.WithWrite(table.Put(key, number))
			marked, marker := table.WithMarker(transaction)
			_, err := store.Commit(ctx, marked)
			for !table.IsOutcomeKnown(err) {
				if store.Draw("arrives meanwhile", 3) == 0 {
					store.DeliverDelayed(ctx)
				}
				_, err = resolver.ResolveOnce(ctx, marker)
			}
			committed[key] = err == nil
		}
		for store.DeliverDelayed(ctx) {
			continue
		}
		for key, isCommitted := range committed {
			row, err := store.Memory.Read(ctx, key)
			if err != nil || (row.Version != 0) != isCommitted {
				rt.Fatalf("row %q: outcome says committed=%t, but its version is %d", key, isCommitted, row.Version)
			}
		}
	})
}

func TestConflictWritesNothing(t *testing.T) {
	ctx := context.Background()
	memory := &tablestore.Memory{}
	first := table.Transaction{}.WithCondition("a", 0).WithWrite(table.Put("a", 1))
	version, err := memory.Commit(ctx, first)
	qt.Assert(t, err, qt.IsNil)
	second := table.Transaction{}.WithCondition("a", 0).WithWrite(table.Put("a", 2)).WithWrite(table.Put("b", 2))
	_, err = memory.Commit(ctx, second)
	qt.Assert(t, errors.Is(err, table.ErrConflict), qt.IsTrue)
	row, err := memory.Read(ctx, "b")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, row.Version, qt.Equals, uint64(0))
	row, err = memory.Read(ctx, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, row.Version, qt.Equals, version)
}
