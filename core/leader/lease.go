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

// read returns the lease row of the store's era; version 0: there is none.
func read(ctx context.Context, store rowstore.Store) (rowstore.Revision, value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	result, err := store.Read(ctx, Table)
	if err != nil {
		return rowstore.Revision{}, value{}, errors.Wrap(err, "read lease")
	}
	found := rowstore.Revision{
		Era: result.Era,
	}
	for _, row := range result.Rows {
		if row.Key != keyOf(result.Era) {
			continue
		}
		found.Version = row.Version
		// One that cannot be read is held by nobody that is known.
		held, _ := decode(row.Value)
		return found, held, nil
	}
	return found, value{}, nil
}

// Lease is the right to change groups while it holds.
type Lease struct {
	store  rowstore.Store
	holder string
	start  string
	// clock goes on while the machine is suspended: another daemon may have taken the
	// lease when it wakes.
	clock boottime.Clock

	// committing allows one change at a time, since each changes the version
	// that the next is conditional on.
	committing sync.Mutex
	// era is that in which the lease was taken.
	era int64
	// restored is when the era was first seen here; zero where it is not known to follow
	// another.
	restored time.Time
	mutex    sync.Mutex
	version  int64
	count    int64
	granted  time.Time
	isLost   bool
}

// Holds tells whether the holder may still act.
func (l *Lease) Holds() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.isLost && l.clock.Since(l.granted) < Term-safety
}

// age returns the time since the last rewrite.
func (l *Lease) age() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.clock.Since(l.granted)
}

// Era returns the era of the store in which the lease was taken.
func (l *Lease) Era() int64 {
	return l.era
}

// HasSettled tells whether the store was restored longer ago than a time, or not at all.
func (l *Lease) HasSettled(within time.Duration) bool {
	return l.restored.IsZero() || time.Since(l.restored) > within
}

// revision returns the revision of the last rewrite.
func (l *Lease) revision() rowstore.Revision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return rowstore.Revision{
		Era:     l.era,
		Version: l.version,
	}
}

// lose marks the lease as lost.
func (l *Lease) lose() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isLost = true
}

// Commit makes a change under the lease and renews it by the same transaction.
// It returns the revision of the change's rows. ErrLost says that the lease is lost, and
// that nothing was or will be done unless the store was restored meanwhile;
// rowstore.ErrUnknown that the change may have been done but cannot be done any more.
func (l *Lease) Commit(ctx context.Context, writes, removes []rowstore.Row) (rowstore.Revision, error) {
	l.committing.Lock()
	defer l.committing.Unlock()
	sent := l.clock.Now()
	l.count++
	committed, err := l.commitOnce(ctx, writes, removes)
	if err == nil {
		l.renewed(committed.Version, sent)
		return committed, nil
	}
	var conflict *rowstore.Conflict
	switch {
	case errors.As(err, &conflict), errors.Is(err, rowstore.ErrRestored):
		l.lose()
		return rowstore.Revision{}, errors.Wrapf(ErrLost, "commit under lease: %s", err)
	case errors.Is(err, rowstore.ErrUnknown):
		return rowstore.Revision{}, l.settle(ctx)
	default:
		return rowstore.Revision{}, errors.Wrap(err, "commit under lease")
	}
}

// renewed notes a rewrite.
func (l *Lease) renewed(version int64, sent time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.version = version
	l.granted = sent
}

// commitOnce makes one transaction, conditional on the lease row.
func (l *Lease) commitOnce(ctx context.Context, writes, removes []rowstore.Row) (rowstore.Revision, error) {
	encoded, err := json.Marshal(value{
		Holder: l.holder,
		Start:  l.start,
		Count:  l.count,
	})
	if err != nil {
		return rowstore.Revision{}, errors.Wrap(err, "encode lease")
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return l.store.Commit(ctx, rowstore.Transaction{
		Era: l.era,
		Conditions: []rowstore.Condition{
			{
				Table:   Table,
				Key:     keyOf(l.era),
				Version: l.version,
			},
		},
		Writes: append([]rowstore.Row{
			{
				Table: Table,
				Key:   keyOf(l.era),
				Value: encoded,
			},
		}, writes...),
		Removes: removes,
	})
}

// settle makes sure that a change whose answer was lost cannot be done any
// more: it rewrites the lease row, on whose version the change depends.
func (l *Lease) settle(ctx context.Context) error {
	found, held, err := read(ctx, l.store)
	if err != nil {
		return errors.Wrap(rowstore.ErrUnknown, "settle change")
	}
	isOthers := found.Version != 0 && (held.Holder != l.holder || held.Start != l.start) && found.Version != l.version
	if isOthers || found.Era != l.era {
		l.lose()
		return errors.Wrap(ErrLost, "settle change")
	}
	l.mutex.Lock()
	l.version = found.Version
	l.mutex.Unlock()
	sent := l.clock.Now()
	l.count++
	committed, err := l.commitOnce(ctx, nil, nil)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		// The lost change has been done in between; the next settle sees it.
		return errors.Wrap(rowstore.ErrUnknown, "settle change")
	}
	if err == nil {
		l.renewed(committed.Version, sent)
	}
	return errors.Wrap(rowstore.ErrUnknown, "settle change")
}

// release gives the lease up, so that another daemon takes it at its next look.
func (l *Lease) release() {
	if !l.Holds() {
		return
	}
	l.holder = ""
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	// A failure costs the others the rest of the term.
	_, _ = l.commitOnce(ctx, nil, nil)
}
