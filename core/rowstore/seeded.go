package rowstore

import (
	"context"
	"time"
)

// Seeded reads the table of the daemons themselves: a daemon that starts knows no other. Were
// each to read the whole table from the store, what the store sends would grow with the square
// of their number. So it reads the first rows, by which it knows some daemons that have the
// table, and asks these for the rest. It implements Reader.
type Seeded struct {
	// Chain reads the table once other daemons are known.
	Chain *Chain
	// From reads the first rows, Rows at most; a table of no more is read whole by them.
	From Sampler
	Rows int
	// Seeds returns the daemons that have the table, by its first rows; none where this
	// daemon is one of them, and reads the table from the store for the others.
	Seeds func(sample []Row) []Relay
}

// Read reads the table.
func (s Seeded) Read(ctx context.Context, table string) (Result, error) {
	if s.Chain.HasRelays() {
		return s.Chain.Read(ctx, table)
	}
	sample, isWhole, err := s.Chain.sample(ctx, table, s.Rows, s.From)
	if err != nil || isWhole {
		return sample, err
	}
	s.Chain.SetPeers(Peers{
		Relays: s.Seeds(sample.Rows),
	})
	return s.Chain.Read(ctx, table)
}

// Feed follows the table.
func (s Seeded) Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error) {
	return s.Chain.Feed(ctx, table, since, wait)
}
