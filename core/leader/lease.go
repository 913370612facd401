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

// read returns the lease row; version 0: there is none.
func read(ctx context.Context, store rowstore.Store) (int64, value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	result, err := store.Read(ctx, Table)
	if err != nil {
		return 0, value{}, errors.Wrap(err, "read lease")
	}
	for _, row := range result.Rows {
		if row.Key != key {
			continue
		}
		// One that cannot be read is held by nobody that is known.
		held, _ := decode(row.Value)
		return row.Version, held, nil
	}
	return 0, value{}, nil
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
	mutex      sync.Mutex
	version    int64
	count      int64
	granted    time.Time
	isLost     bool
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

// lose marks the lease as lost.
func (l *Lease) lose() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isLost = true
}

// Commit makes a change under the lease and renews it by the same transaction.
// It sets version to the version of the change's rows. ErrLost says that nothing
// was or will be done; rowstore.ErrUnknown that the change may have been done
// but cannot be done any more.
func (l *Lease) Commit(ctx context.Context, writes, removes []rowstore.Row, version *int64) error {
	l.committing.Lock()
	defer l.committing.Unlock()
	sent := l.clock.Now()
	l.count++
	committed, err := l.commitOnce(ctx, writes, removes)
	if err == nil {
		l.renewed(committed, sent)
		if version != nil {
			*version = committed
		}
		return nil
	}
	var conflict *rowstore.Conflict
	switch {
	case errors.As(err, &conflict):
		l.lose()
		return errors.Wrap(ErrLost, "commit under lease")
	case errors.Is(err, rowstore.ErrUnknown):
		return l.settle(ctx)
	default:
		return errors.Wrap(err, "commit under lease")
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
func (l *Lease) commitOnce(ctx context.Context, writes, removes []rowstore.Row) (int64, error) {
	encoded, err := json.Marshal(value{
		Holder: l.holder,
		Start:  l.start,
		Count:  l.count,
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return l.store.Commit(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{
			{
				Table:   Table,
				Key:     key,
				Version: l.version,
			},
		},
		Writes: append([]rowstore.Row{
			{
				Table: Table,
				Key:   key,
				Value: encoded,
			},
		}, writes...),
		Removes: removes,
	})
}

// settle makes sure that a change whose answer was lost cannot be done any
// more: it rewrites the lease row, on whose version the change depends.
func (l *Lease) settle(ctx context.Context) error {
	version, held, err := read(ctx, l.store)
	if err != nil {
		return errors.Wrap(rowstore.ErrUnknown, "settle change")
	}
	if version != 0 && (held.Holder != l.holder || held.Start != l.start) && version != l.version {
		l.lose()
		return errors.Wrap(ErrLost, "settle change")
	}
	l.mutex.Lock()
	l.version = version
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
		l.renewed(committed, sent)
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
