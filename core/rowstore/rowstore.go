// Package rowstore names what the platform's table store does for headcourse:
// rows that are written under conditions, read, and followed as they change.
//
// The store may be restored from a snapshot, which begins a new era. Whoever keeps what
// it read orders it by Revision, never by version alone, and reads tables anew in a new
// era; conditions of a write hold in the era in which their versions were read.
//
// A write has three outcomes. ErrRefused and *Conflict say that nothing was
// done. ErrUnknown says that the write may have been done, or may be done yet
// if its conditions still hold; whoever sees it reads the rows again before it
// acts on them.
//
// A daemon reads and follows tables by a Follower, through a Chain: first its relays, then
// the daemons that stand by for these, then the store, then those that ask it in their turn.
// Three mechanisms keep calls few. avoidance leaves a relay alone that failed lately;
// restraint says when the store itself may be asked, by how it answered lately and by what
// relays say of their copies; Follower pauses after each failed call. A Hub is the copy that
// others are given, and Freshness says how old it is.
package rowstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a store.
var (
	// ErrRefused reports that the store did nothing: it is down or overloaded.
	ErrRefused = errors.New("store refused the call")
	// ErrUnknown reports that no answer came, so that a write may have been done.
	ErrUnknown = errors.New("store did not answer")
	// ErrNoCopy reports that a relay answers but has no copy, or one that is too old:
	// it may be cut off from the store itself.
	ErrNoCopy = errors.New("relay has no young copy")
	// ErrCompacted reports that the history asked for is gone, also by a restore of the
	// store; read the table.
	ErrCompacted = errors.New("store has forgotten the history")
	// ErrRestored reports that the store was restored since the versions that a write
	// depends on were read. The write may have been done by versions given out again.
	ErrRestored = errors.New("store was restored from an older copy")
)

// Conflict reports that a condition of a write did not hold, so that nothing
// was done. It carries the rows of the conditions as they are.
type Conflict struct {
	Rows []Row
}

// Error names the conflict.
func (c *Conflict) Error() string {
	return "condition of a write did not hold"
}

// Row is one row.
type Row struct {
	Table string
	Key   string
	Value []byte
	// Version rises with every change of any row within an era. 0 means: not there.
	Version int64
	// Deleted rows are told by Feed only.
	Deleted bool
}

// Condition says which version a row must have; 0: it must not exist.
type Condition struct {
	Table   string
	Key     string
	Version int64
}

// Transaction is a set of changes, all done or none.
type Transaction struct {
	// Era is that in which the versions of the conditions were read.
	Era        int64
	Conditions []Condition
	Writes     []Row
	Removes    []Row
}

// Result is what a read or a feed returned.
type Result struct {
	Rows []Row
	// Era is the store's era and Version its newest version; Now is the store's
	// steady clock when the rows were so.
	Era     int64
	Version int64
	Now     time.Duration
	// IsRelayed tells that another daemon answered from its copy, so that Now
	// may lie before the call.
	IsRelayed bool
	// Latest is what the store's clock showed at the latest when a relay answered;
	// 0: not known.
	Latest time.Duration
}

// Revision returns the state of the store that the result shows.
func (r Result) Revision() Revision {
	return Revision{
		Era:     r.Era,
		Version: r.Version,
	}
}

// Reader reads tables and follows their changes: the store itself, or a copy.
type Reader interface {
	// Read returns all rows of a table. All changes up to the result's version are
	// in them; some rows may be newer.
	Read(ctx context.Context, table string) (Result, error)
	// Feed returns the rows that changed since a revision, as soon as there is
	// one, or nothing after wait. It fails with ErrCompacted, also in another era.
	Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error)
}

// Sampler reads a part of a table.
type Sampler interface {
	// Sample returns the first rows of a table by their keys, at most so many, and whether
	// these are all of them.
	Sample(ctx context.Context, table string, rows int) (result Result, isWhole bool, err error)
}

// Store is the table store. Implementations are safe for concurrent use.
type Store interface {
	Reader
	// Commit does a transaction and returns the revision of its rows. It fails
	// with *Conflict, ErrRefused, ErrUnknown or ErrRestored.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
}
