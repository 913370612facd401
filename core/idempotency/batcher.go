package idempotency

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/table"
)

const (
	// batchWait is how long the first transaction of a batch waits for others.
	batchWait = 15 * time.Millisecond
	// maxBatchSize is the maximum number of transactions of one batch.
	maxBatchSize = 64
	// batchTimeout limits the commit of a batch, including the time that the store
	// needs to resolve a lost answer.
	batchTimeout = 5 * time.Second
)

// Batcher combines many small transactions into one. If a batch conflicts, its
// transactions are committed one by one, so that one conflict does not fail the others.
type Batcher struct {
	store   table.Store
	pending chan pendingCommit
}

// pendingCommit is one transaction and the channel for its result.
type pendingCommit struct {
	transaction table.Transaction
	result      chan commitResult
}

// commitResult is the result of a transaction.
type commitResult struct {
	version uint64
	err     error
}

// NewBatcher returns a batcher for a store that resolves lost answers
// (table.ResolvingStore). Commit needs Run to be running.
func NewBatcher(store table.Store) *Batcher {
	return &Batcher{
		store:   store,
		pending: make(chan pendingCommit),
	}
}

// Commit commits a transaction, together with others. If ctx ends first, the
// error is table.ErrUnavailable if the transaction was not queued yet, and
// table.ErrUnknown otherwise.
func (b *Batcher) Commit(ctx context.Context, transaction table.Transaction) (uint64, error) {
	queued := pendingCommit{
		transaction: transaction,
		result:      make(chan commitResult, 1),
	}
	select {
	case b.pending <- queued:
	case <-ctx.Done():
		return 0, table.ErrUnavailable
	}
	select {
	case committed := <-queued.result:
		return committed.version, committed.err
	case <-ctx.Done():
		return 0, table.ErrUnknown
	}
}

// Run collects and commits batches until ctx ends.
func (b *Batcher) Run(ctx context.Context) {
	for {
		batch := b.nextBatch(ctx)
		if batch == nil {
			return
		}
		go b.commitBatch(batch)
	}
}

// nextBatch waits for the next batch. It returns nil when ctx has ended.
func (b *Batcher) nextBatch(ctx context.Context) []pendingCommit {
	var batch []pendingCommit
	select {
	case first := <-b.pending:
		batch = append(batch, first)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(batchWait)
	defer timer.Stop()
	for len(batch) < maxBatchSize {
		select {
		case next := <-b.pending:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// commitBatch commits a batch as one transaction if possible, else one by one.
func (b *Batcher) commitBatch(batch []pendingCommit) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	if len(batch) == 1 || !writeDistinctRows(batch) {
		b.commitEach(ctx, batch)
		return
	}
	var combined table.Transaction
	for _, queued := range batch {
		combined.Conditions = append(combined.Conditions, queued.transaction.Conditions...)
		combined.Writes = append(combined.Writes, queued.transaction.Writes...)
	}
	version, err := b.store.Commit(ctx, combined)
	if errors.Is(err, table.ErrConflict) {
		b.commitEach(ctx, batch)
		return
	}
	for _, queued := range batch {
		queued.result <- commitResult{
			version: version,
			err:     err,
		}
	}
}

// commitEach commits the transactions of a batch one by one.
func (b *Batcher) commitEach(ctx context.Context, batch []pendingCommit) {
	for _, queued := range batch {
		version, err := b.store.Commit(ctx, queued.transaction)
		queued.result <- commitResult{
			version: version,
			err:     err,
		}
	}
}

// writeDistinctRows reports whether no row is written more than once in a batch.
func writeDistinctRows(batch []pendingCommit) bool {
	seen := map[string]bool{}
	for _, queued := range batch {
		for _, write := range queued.transaction.Writes {
			if seen[write.Key] {
				return false
			}
			seen[write.Key] = true
		}
	}
	return true
}
