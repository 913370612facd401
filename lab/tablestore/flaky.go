package tablestore

import (
	"context"

	"headcourse/core/table"
)

// Flaky is a table that refuses, loses answers, and lets commits arrive late,
// as drawn. Nothing arrives after another commit of its own unless Arrive lets
// it.
type Flaky struct {
	*Memory
	// Draw returns a number from 0 to below n, for the purpose named.
	Draw func(name string, n int) int
	// Between, where set, is called before a commit, for what others do
	// meanwhile.
	Between func()
	late    []table.Transaction
}

// Out of how many commits and reads one goes wrong in each way.
const flakyOf = 8

// Commit commits now, later or not at all, and answers or does not.
func (f *Flaky) Commit(ctx context.Context, transaction table.Transaction) (uint64, error) {
	if f.Between != nil {
		f.Between()
	}
	if f.Draw("arrives", 2) == 0 {
		f.Arrive(ctx)
	}
	switch f.Draw("commit", flakyOf) {
	case 0:
		return 0, table.ErrUnavailable
	case 1:
		_, _ = f.Memory.Commit(ctx, transaction)
		return 0, table.ErrUnknown
	case 2:
		f.late = append(f.late, transaction)
		return 0, table.ErrUnknown
	default:
		return f.Memory.Commit(ctx, transaction)
	}
}

// Read answers or does not.
func (f *Flaky) Read(ctx context.Context, key string) (table.Row, error) {
	if f.Draw("read", flakyOf) == 0 {
		return table.Row{}, table.ErrUnavailable
	}
	return f.Memory.Read(ctx, key)
}

// Arrive lets one late transaction arrive, and tells whether there was one.
func (f *Flaky) Arrive(ctx context.Context) bool {
	if len(f.late) == 0 {
		return false
	}
	_, _ = f.Memory.Commit(ctx, f.late[0])
	f.late = f.late[1:]
	return true
}
