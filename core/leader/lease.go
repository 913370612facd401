package leader

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/boottime"
	"headcourse/core/rowstore"
)

// readLease reads the lease row of the store's current era. Version 0 means that there is
// no row.
func readLease(ctx context.Context, store rowstore.Store) (rowstore.Revision, leaseValue, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := store.Read(ctx, Table)
	if err != nil {
		return rowstore.Revision{}, leaseValue{}, errors.Wrap(err, "read lease")
	}
	revision := rowstore.Revision{
		Era: result.Era,
	}
	for _, row := range result.Rows {
		if row.Key != leaseKey(result.Era) {
			continue
		}
		revision.Version = row.Version
		// A value that cannot be decoded has no known holder.
		stored, _ := decodeLease(row.Value)
		return revision, stored, nil
	}
	return revision, leaseValue{}, nil
}

// Lease is the right to change groups while it is valid.
type Lease struct {
	store   rowstore.Store
	holder  string
	startID string
	// clock also counts time during which the VM is suspended: another daemon may have
	// acquired the lease by the time it resumes.
	clock boottime.Clock

	// commitMutex allows one change at a time, since each change sets the version that the
	// next one is conditional on.
	commitMutex sync.Mutex
	// era is the era in which the lease was acquired.
	era int64
	// restoredAt is when the era was first observed, or zero if no former era is known.
	restoredAt time.Time
	mutex      sync.Mutex
	rowVersion int64
	writeCount int64
	renewedAt  time.Time
	isLost     bool
}

// IsValid reports whether the holder may still act.
func (l *Lease) IsValid() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.isLost && l.clock.Since(l.renewedAt) < Term-safetyMargin
}

// sinceRenewal returns the time since the last rewrite.
func (l *Lease) sinceRenewal() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.clock.Since(l.renewedAt)
}

// Era returns the era of the store in which the lease was acquired.
func (l *Lease) Era() int64 {
	return l.era
}

// IsPastRestore reports whether the last restore of the store is longer ago than minAge, or
// no restore is known.
func (l *Lease) IsPastRestore(minAge time.Duration) bool {
	return l.restoredAt.IsZero() || time.Since(l.restoredAt) > minAge
}

// revision returns the revision of the last rewrite.
func (l *Lease) revision() rowstore.Revision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return rowstore.Revision{
		Era:     l.era,
		Version: l.rowVersion,
	}
}

// markLost marks the lease as lost.
func (l *Lease) markLost() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isLost = true
}

// Commit applies a change under the lease and renews the lease in the same transaction. It
// returns the revision of the changed rows. ErrLost means that the lease is lost. The change
// will not be applied later, and was not applied before unless its answer was lost; neither is
// certain if the store was restored meanwhile. rowstore.ErrOutcomeUnknown means that the change
// may have been applied. If fencing it failed too, it can still be applied until the next
// successful Commit.
func (l *Lease) Commit(ctx context.Context, writes, removes []rowstore.Row) (rowstore.Revision, error) {
	l.commitMutex.Lock()
	defer l.commitMutex.Unlock()
	sentAt := l.clock.Now()
	l.writeCount++
	committed, err := l.commitOnce(ctx, writes, removes)
	if err == nil {
		l.recordRenewal(committed.Version, sentAt)
		return committed, nil
	}
	var conflict *rowstore.Conflict
	switch {
	case errors.As(err, &conflict), errors.Is(err, rowstore.ErrRestored):
		l.markLost()
		return rowstore.Revision{}, errors.Wrapf(ErrLost, "commit under lease: %s", err)
	case errors.Is(err, rowstore.ErrOutcomeUnknown):
		return rowstore.Revision{}, l.fencePending(ctx)
	default:
		return rowstore.Revision{}, errors.Wrap(err, "commit under lease")
	}
}

// recordRenewal records a rewrite that was sent at the given time.
func (l *Lease) recordRenewal(version int64, sentAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rowVersion = version
	l.renewedAt = sentAt
}

// commitOnce commits one transaction that is conditional on the lease row.
func (l *Lease) commitOnce(ctx context.Context, writes, removes []rowstore.Row) (rowstore.Revision, error) {
	encoded, err := json.Marshal(leaseValue{
		Holder:     l.holder,
		StartID:    l.startID,
		WriteCount: l.writeCount,
	})
	if err != nil {
		return rowstore.Revision{}, errors.Wrap(err, "encode lease")
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return l.store.Commit(ctx, rowstore.Transaction{
		Era: l.era,
		Conditions: []rowstore.Condition{
			{
				Table:   Table,
				Key:     leaseKey(l.era),
				Version: l.rowVersion,
			},
		},
		Writes: append([]rowstore.Row{
			{
				Table: Table,
				Key:   leaseKey(l.era),
				Value: encoded,
			},
		}, writes...),
		Deletes: removes,
	})
}

// fencePending tries to ensure that a change whose answer was lost can no longer be applied: it
// rewrites the lease row, on whose version the change is conditional. It returns ErrLost if
// another start holds the lease or the era has ended, and rowstore.ErrOutcomeUnknown otherwise,
// whether or not the rewrite succeeded.
func (l *Lease) fencePending(ctx context.Context) error {
	revision, stored, err := readLease(ctx, l.store)
	if err != nil {
		return errors.Wrap(rowstore.ErrOutcomeUnknown, "fence pending change")
	}
	isHeldByOther := revision.Version != 0 && (stored.Holder != l.holder || stored.StartID != l.startID) && revision.Version != l.rowVersion
	if isHeldByOther || revision.Era != l.era {
		l.markLost()
		return errors.Wrap(ErrLost, "fence pending change")
	}
	l.mutex.Lock()
	l.rowVersion = revision.Version
	l.mutex.Unlock()
	sentAt := l.clock.Now()
	l.writeCount++
	committed, err := l.commitOnce(ctx, nil, nil)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		// The lease row changed in between, usually by the pending change. The next Commit is
		// conditional on the former version, conflicts, and marks the lease as lost.
		return errors.Wrap(rowstore.ErrOutcomeUnknown, "fence pending change")
	}
	if err == nil {
		l.recordRenewal(committed.Version, sentAt)
	}
	return errors.Wrap(rowstore.ErrOutcomeUnknown, "fence pending change")
}

// release frees the lease, so that another daemon acquires it at its next check.
func (l *Lease) release() {
	if !l.IsValid() {
		return
	}
	l.holder = ""
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	// If this fails, the other daemons wait for the rest of the term.
	_, _ = l.commitOnce(ctx, nil, nil)
}
