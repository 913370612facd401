package tablestore

import (
	"context"

	"headcourse/core/table"
)

// Flaky is a table that randomly rejects commits and reads of rows, loses answers to commits and
// delays commits. Scans never fail. A delayed commit is applied only when DeliverDelayed is
// called, which Commit does at random.
type Flaky struct {
	*Memory
	// Draw returns a number from 0 to below n, for the named purpose.
	Draw func(name string, n int) int
	// BeforeCommit, if set, is called before a commit, to simulate concurrent writes.
	BeforeCommit func()
	delayed      []table.Transaction
}

// faultOdds is the inverse probability of each kind of fault: one in faultOdds operations.
const faultOdds = 8

// Commit commits a transaction, rejects it, loses its answer or delays it, as drawn.
func (f *Flaky) Commit(ctx context.Context, transaction table.Transaction) (uint64, error) {
	if f.BeforeCommit != nil {
		f.BeforeCommit()
	}
	if f.Draw("arrives", 2) == 0 {
		f.DeliverDelayed(ctx)
	}
	switch f.Draw("commit", faultOdds) {
	case 0:
		return 0, table.ErrUnavailable
	case 1:
		_, _ = f.Memory.Commit(ctx, transaction)
		return 0, table.ErrUnknown
	case 2:
		f.delayed = append(f.delayed, transaction)
		return 0, table.ErrUnknown
	default:
		return f.Memory.Commit(ctx, transaction)
	}
}

// Read reads a row, or fails as drawn.
func (f *Flaky) Read(ctx context.Context, key string) (table.Row, error) {
	if f.Draw("read", faultOdds) == 0 {
		return table.Row{}, table.ErrUnavailable
	}
	return f.Memory.Read(ctx, key)
}

// DeliverDelayed applies the oldest delayed transaction and reports whether there was one.
func (f *Flaky) DeliverDelayed(ctx context.Context) bool {
	if len(f.delayed) == 0 {
		return false
	}
	_, _ = f.Memory.Commit(ctx, f.delayed[0])
	f.delayed = f.delayed[1:]
	return true
}
