package rowstore

import (
	"context"
	"time"
)

// Seeded reads the table of the daemons, from which a starting daemon learns about the others. If
// each daemon read the whole table from the store, the data sent by the store would grow with the
// square of their number. Instead a daemon reads the first rows from the store, which name some
// daemons that have the table, and reads the rest from these. It implements Reader.
type Seeded struct {
	// Chain reads the table once other daemons are known.
	Chain *Chain
	// From reads the first rows, at most Rows of them. A table of no more rows is complete with
	// that.
	From Sampler
	Rows int
	// Seeds returns the daemons that have the table, given its first rows. It returns none if this
	// daemon is one of them, which reads the table from the store for the others.
	Seeds func(sample []Row) []Relay
}

// Read reads the table.
func (s Seeded) Read(ctx context.Context, table string) (Result, error) {
	if s.Chain.HasRelays() {
		return s.Chain.Read(ctx, table)
	}
	sample, isComplete, err := s.Chain.sample(ctx, table, s.Rows, s.From)
	if err != nil || isComplete {
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
