package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Batcher writes rows of many daemons in few transactions: rows that come within a
// moment are written together, such as those by which all daemons list themselves at a start
// of the whole system. Rows are written without conditions; of two for one key the
// later counts. Use NewBatcher.
type Batcher struct {
	store Store
	most  int

	mutex   sync.Mutex
	waiting []waitingRow
}

// waitingRow is a row that waits to be written, and who waits for it.
type waitingRow struct {
	row  Row
	done chan error
}

// Figures of a batcher.
const (
	// batchTime is how long the first row waits for others. Daemons that start together
	// do so within some tenths of a second, but until the first is listed they ask the store.
	batchTime = 40 * time.Millisecond
	// batchCall bounds one transaction.
	batchCall = time.Second
)

// NewBatcher returns a batcher that writes at most so many rows at once.
func NewBatcher(store Store, most int) *Batcher {
	return &Batcher{
		store: store,
		most:  most,
	}
}

// Write writes a row, soon and together with others. It fails with ErrRefused or
// ErrUnknown, or where ctx ends first.
func (b *Batcher) Write(ctx context.Context, row Row) error {
	done := make(chan error, 1)
	b.mutex.Lock()
	b.waiting = append(b.waiting, waitingRow{
		row:  row,
		done: done,
	})
	if len(b.waiting) == 1 {
		time.AfterFunc(batchTime, b.flush)
	}
	b.mutex.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ErrUnknown, "write row with others")
	}
}

// flush writes all rows that wait.
func (b *Batcher) flush() {
	b.mutex.Lock()
	waiting := b.waiting
	b.waiting = nil
	b.mutex.Unlock()
	for len(waiting) > 0 {
		size := min(len(waiting), b.most)
		err := b.commit(waiting[:size])
		for _, one := range waiting[:size] {
			one.done <- err
		}
		waiting = waiting[size:]
	}
}

// commit writes some rows in one transaction.
func (b *Batcher) commit(batch []waitingRow) error {
	place := map[string]int{}
	var rows []Row
	for _, one := range batch {
		key := one.row.Table + "/" + one.row.Key
		if i, isThere := place[key]; isThere {
			rows[i] = one.row
			continue
		}
		place[key] = len(rows)
		rows = append(rows, one.row)
	}
	ctx, cancel := context.WithTimeout(context.Background(), batchCall)
	defer cancel()
	_, err := b.store.Commit(ctx, Transaction{
		Writes: rows,
	})
	return err
}
