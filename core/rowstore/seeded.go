package rowstore

import (
	"context"
	"time"
)

// SeededReader reads the table of the daemons, from which a starting daemon learns about the
// others. If each daemon read the whole table from the store, the data sent by the store would grow
// with the square of their number. Instead a daemon reads the first rows from the store, which name
// some daemons that have the table, and reads the table from these. It implements Reader.
type SeededReader struct {
	// ReaderChain reads the table once other daemons are known.
	ReaderChain *ReaderChain
	// Sampler reads the first rows, at most SampleRows of them. These are the complete table
	// if it has no more rows.
	Sampler    Sampler
	SampleRows int
	// Seeds returns the daemons that have the table, given its first rows. It returns none if this
	// daemon is one of them, which reads the table from the store for the others.
	Seeds func(sample []Row) []Relay
}

// Read reads the table.
func (s SeededReader) Read(ctx context.Context, table string) (Result, error) {
	if s.ReaderChain.HasRelays() {
		return s.ReaderChain.Read(ctx, table)
	}
	sample, isComplete, err := s.ReaderChain.sample(ctx, table, s.SampleRows, s.Sampler)
	if err != nil || isComplete {
		return sample, err
	}
	s.ReaderChain.SetPeers(Peers{
		Relays: s.Seeds(sample.Rows),
	})
	return s.ReaderChain.Read(ctx, table)
}

// Feed follows the table.
func (s SeededReader) Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error) {
	return s.ReaderChain.Feed(ctx, table, since, wait)
}
