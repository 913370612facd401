// Package rowstore defines the interface to the platform's table store: conditional writes, reads,
// and feeds of changes.
//
// The store may be restored from a snapshot, which begins a new era. A caller that caches rows
// orders them by Revision, never by version alone, and reads its tables again in a new era. The
// conditions of a write are valid only in the era in which their versions were read.
//
// A failed write has one of two outcomes. ErrRefused and *Conflict mean that nothing was written.
// ErrOutcomeUnknown and ErrRestored mean that the write may have been applied; after
// ErrOutcomeUnknown it may also be applied later if its conditions hold. The caller must read the
// rows again before it acts on them.
//
// A daemon reads and follows tables with a Follower, through a ReaderChain. The ReaderChain calls
// the daemon's relays first, then the standbys, then the fallbacks if the store failed recently,
// and then the store. Three mechanisms limit the number of calls: relayBackoffs skips relays that
// failed recently, storeLimiter decides when the store itself may be called, and Follower pauses
// after each failed call. TableCache holds the copies that other daemons read, and Freshness tracks
// how old they are.
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
	// ErrOutcomeUnknown reports that no answer arrived, so a write may have been applied.
	ErrOutcomeUnknown = errors.New("store did not answer")
	// ErrNoCopy reports that a relay answers but has no copy, or a stale one: the relay may be cut
	// off from the store.
	ErrNoCopy = errors.New("relay has no fresh copy")
	// ErrCompacted reports that the requested history is no longer available, because it was
	// compacted or because the store was restored. The caller must read the table again.
	ErrCompacted = errors.New("store no longer has the requested history")
	// ErrRestored reports that the store was restored after the versions in a write's conditions
	// were read. The write may have been applied, because a restored store assigns versions again.
	ErrRestored = errors.New("store was restored from an older copy")
)

// Conflict reports that a condition of a write did not hold, so that nothing was written. It holds
// the current rows of the conditions.
type Conflict struct {
	Rows []Row
}

// Error returns the message of the conflict.
func (c *Conflict) Error() string {
	return "condition of a write did not hold"
}

// Row is one row of a table.
type Row struct {
	Table string
	Key   string
	Value []byte
	// Version increases with every change of any row within an era. 0 means that the row does not
	// exist.
	Version int64
	// Deleted is set only on rows that Feed returns.
	Deleted bool
}

// Condition requires a row to have a version; 0 requires that the row does not exist.
type Condition struct {
	Table   string
	Key     string
	Version int64
}

// Transaction is a set of changes that is applied as a whole or not at all.
type Transaction struct {
	// Era is the era in which the versions of the conditions were read.
	Era        int64
	Conditions []Condition
	Writes     []Row
	Deletes    []Row
}

// Result is the answer to a read or a feed.
type Result struct {
	Rows []Row
	// Era is the store's era and Version its newest version. Now is the reading of the store's
	// monotonic clock at which the rows had this state.
	Era     int64
	Version int64
	Now     time.Duration
	// IsSnapshot reports that a feed was answered with all rows of the table, although its history is available.
	IsSnapshot bool
	// IsRelayed reports that another daemon answered from its copy, so that Now may be earlier than
	// the call.
	IsRelayed bool
	// SentAt is when the call was sent to the store, by the clock of the calling chain; zero if a chain did not send it.
	SentAt time.Time
	// Source is the name of the daemon that answered, or StoreSource; empty if unknown. It is for logs.
	Source string
	// MaxStoreTime is an upper bound of the store's clock at the time a relay answered; 0 if
	// unknown.
	MaxStoreTime time.Duration
}

// StoreSource is the Source of results of the store itself.
const StoreSource = "store"

// Revision returns the state of the store that the result shows.
func (r Result) Revision() Revision {
	return Revision{
		Era:     r.Era,
		Version: r.Version,
	}
}

// Reader reads tables and follows their changes. The store itself and copies of it implement it.
type Reader interface {
	// Read returns all rows of a table. The rows include every change up to the result's version;
	// some may be newer.
	Read(ctx context.Context, table string) (Result, error)
	// Feed returns the rows that changed since a revision as soon as there is one, or none
	// after wait. It fails with ErrCompacted if the history is no longer available or the
	// store is in another era.
	Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error)
}

// Sampler reads a part of a table.
type Sampler interface {
	// Sample returns the first rows of a table by key, up to the given number, and whether these
	// are all of them.
	Sample(ctx context.Context, table string, rows int) (result Result, isComplete bool, err error)
}

// Store is the table store. Implementations are safe for concurrent use.
type Store interface {
	Reader
	// Commit applies a transaction and returns the revision of its rows. It fails with *Conflict,
	// ErrRefused, ErrOutcomeUnknown or ErrRestored.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
}
