package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Batcher combines rows that are written at about the same time into few transactions, such as the
// rows by which all daemons register when the whole system starts. The rows are written without
// conditions; of two rows of one transaction with the same key the later one is written. Use
// NewBatcher.
type Batcher struct {
	store   Store
	maxRows int

	mutex   sync.Mutex
	pending []pendingRow
}

// pendingRow is a row to be written, and the channel that receives the result.
type pendingRow struct {
	row    Row
	result chan error
}

const (
	// batchDelay is how long the first row waits for others. Daemons that start together do so
	// within some tenths of a second, but until the first of them is registered they all call the
	// store.
	batchDelay = 40 * time.Millisecond
	// commitTimeout limits one transaction.
	commitTimeout = time.Second
)

// NewBatcher returns a batcher that writes at most maxRows rows in one transaction.
func NewBatcher(store Store, maxRows int) *Batcher {
	return &Batcher{
		store:   store,
		maxRows: maxRows,
	}
}

// Write writes a row together with others after batchDelay. It fails with ErrRefused or
// ErrOutcomeUnknown; if ctx ends first, the error is ErrOutcomeUnknown.
func (b *Batcher) Write(ctx context.Context, row Row) error {
	result := make(chan error, 1)
	b.mutex.Lock()
	b.pending = append(b.pending, pendingRow{
		row:    row,
		result: result,
	})
	if len(b.pending) == 1 {
		time.AfterFunc(batchDelay, b.flush)
	}
	b.mutex.Unlock()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errors.Wrap(ErrOutcomeUnknown, "write row in a batch")
	}
}

// flush writes all pending rows.
func (b *Batcher) flush() {
	b.mutex.Lock()
	pending := b.pending
	b.pending = nil
	b.mutex.Unlock()
	for len(pending) > 0 {
		size := min(len(pending), b.maxRows)
		err := b.commit(pending[:size])
		for _, entry := range pending[:size] {
			entry.result <- err
		}
		pending = pending[size:]
	}
}

// commit writes a batch of rows in one transaction.
func (b *Batcher) commit(batch []pendingRow) error {
	indexByKey := map[string]int{}
	var rows []Row
	for _, entry := range batch {
		key := entry.row.Table + "/" + entry.row.Key
		if i, isDuplicate := indexByKey[key]; isDuplicate {
			rows[i] = entry.row
			continue
		}
		indexByKey[key] = len(rows)
		rows = append(rows, entry.row)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	_, err := b.store.Commit(ctx, Transaction{
		Writes: rows,
	})
	return err
}
