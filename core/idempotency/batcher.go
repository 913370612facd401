package idempotency

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/table"
)

// Figures of batching.
const (
	// batchWait is how long the first of a batch waits for others.
	batchWait = 15 * time.Millisecond
	// batchSize is the most transactions of one batch.
	batchSize = 64
	// batchTimeout bounds the commit of a batch, settling included.
	batchTimeout = 5 * time.Second
)

// Batcher puts many small transactions into one. A batch that conflicts is
// committed one by one, so that one lost race does not lose the others'.
type Batcher struct {
	store   table.Store
	entries chan entry
}

// entry is one transaction and where its outcome goes.
type entry struct {
	transaction table.Transaction
	result      chan result
}

// result is the outcome of a transaction.
type result struct {
	version uint64
	err     error
}

// NewBatcher returns a batcher over a store that settles lost answers. Run has
// to be running.
func NewBatcher(store table.Store) *Batcher {
	return &Batcher{
		store:   store,
		entries: make(chan entry),
	}
}

// Commit commits a transaction with others. If ctx ends first the outcome is
// unknown to the caller.
func (b *Batcher) Commit(ctx context.Context, transaction table.Transaction) (uint64, error) {
	one := entry{
		transaction: transaction,
		result:      make(chan result, 1),
	}
	select {
	case b.entries <- one:
	case <-ctx.Done():
		return 0, table.ErrUnavailable
	}
	select {
	case done := <-one.result:
		return done.version, done.err
	case <-ctx.Done():
		return 0, table.ErrUnknown
	}
}

// Run gathers and commits batches until ctx ends.
func (b *Batcher) Run(ctx context.Context) {
	for {
		batch := b.gather(ctx)
		if batch == nil {
			return
		}
		go b.commit(batch)
	}
}

// gather returns the next batch, or nil when ctx has ended.
func (b *Batcher) gather(ctx context.Context) []entry {
	var batch []entry
	select {
	case first := <-b.entries:
		batch = append(batch, first)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(batchWait)
	defer timer.Stop()
	for len(batch) < batchSize {
		select {
		case next := <-b.entries:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// commit commits a batch as one transaction, or each on its own.
func (b *Batcher) commit(batch []entry) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	if len(batch) == 1 || !areDistinct(batch) {
		b.commitEach(ctx, batch)
		return
	}
	var joint table.Transaction
	for _, one := range batch {
		joint.Conditions = append(joint.Conditions, one.transaction.Conditions...)
		joint.Writes = append(joint.Writes, one.transaction.Writes...)
	}
	version, err := b.store.Commit(ctx, joint)
	if errors.Is(err, table.ErrConflict) {
		b.commitEach(ctx, batch)
		return
	}
	for _, one := range batch {
		one.result <- result{
			version: version,
			err:     err,
		}
	}
}

// commitEach commits the transactions of a batch one by one.
func (b *Batcher) commitEach(ctx context.Context, batch []entry) {
	for _, one := range batch {
		version, err := b.store.Commit(ctx, one.transaction)
		one.result <- result{
			version: version,
			err:     err,
		}
	}
}

// areDistinct tells whether no two transactions write the same row.
func areDistinct(batch []entry) bool {
	seen := map[string]bool{}
	for _, one := range batch {
		for _, write := range one.transaction.Writes {
			if seen[write.Key] {
				return false
			}
			seen[write.Key] = true
		}
	}
	return true
}
