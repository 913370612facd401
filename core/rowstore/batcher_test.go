package rowstore_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"headcourse/core/rowstore"
)

// recordingStore records the rows of its transactions.
type recordingStore struct {
	rowstore.Store
	rows [][]rowstore.Row
	err  error
}

// Commit records the rows.
func (s *recordingStore) Commit(_ context.Context, transaction rowstore.Transaction) (rowstore.Revision, error) {
	s.rows = append(s.rows, transaction.Writes)
	return rowstore.Revision{
		Version: int64(len(s.rows)),
	}, s.err
}

// writeAll writes perKey rows for each key at the same moment, and returns the errors.
func writeAll(batcher *rowstore.Batcher, keys, perKey int) []error {
	results := make(chan error, keys*perKey)
	for i := range keys * perKey {
		go func() {
			results <- batcher.Write(context.Background(), rowstore.Row{
				Table: "daemons",
				Key:   strconv.Itoa(i % keys),
				Value: []byte("{}"),
			})
		}()
	}
	var errs []error
	for range keys * perKey {
		errs = append(errs, <-results)
	}
	return errs
}

// Guards against one store call per daemon when all daemons register at the same moment, as 295
// did.
func TestBatcherWritesConcurrentRowsInFewTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordingStore{}
		for _, err := range writeAll(rowstore.NewBatcher(store, 98), 295, 1) {
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, store.rows, qt.HasLen, 4)
		written := map[string]bool{}
		for _, rows := range store.rows {
			qt.Assert(t, len(rows) <= 98, qt.IsTrue)
			for _, row := range rows {
				written[row.Key] = true
			}
		}
		qt.Assert(t, written, qt.HasLen, 295)
	})
}

// Guards against a transaction that writes the same row twice, which is invalid.
func TestBatcherWritesDuplicateKeyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordingStore{}
		for _, err := range writeAll(rowstore.NewBatcher(store, 98), 1, 3) {
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, store.rows, qt.HasLen, 1)
		qt.Assert(t, store.rows[0], qt.HasLen, 1)
	})
}

func TestBatcherReturnsFailureToAllWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordingStore{
			err: rowstore.ErrRefused,
		}
		for _, err := range writeAll(rowstore.NewBatcher(store, 98), 5, 1) {
			qt.Assert(t, err, qt.ErrorIs, rowstore.ErrRefused)
		}
	})
}
