package rowstore_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"headcourse/core/rowstore"
)

// committing is a store that notes its transactions.
type committing struct {
	rowstore.Store
	rows [][]rowstore.Row
	err  error
}

// Commit notes the rows written.
func (c *committing) Commit(_ context.Context, transaction rowstore.Transaction) (rowstore.Revision, error) {
	c.rows = append(c.rows, transaction.Writes)
	return rowstore.Revision{
		Version: int64(len(c.rows)),
	}, c.err
}

// writeAll writes rows of so many keys at the same moment, and returns the errors.
func writeAll(batcher *rowstore.Batcher, keys, each int) []error {
	told := make(chan error, keys*each)
	for i := range keys * each {
		go func() {
			told <- batcher.Write(context.Background(), rowstore.Row{
				Table: "daemons",
				Key:   strconv.Itoa(i % keys),
				Value: []byte("{}"),
			})
		}()
	}
	var errs []error
	for range keys * each {
		errs = append(errs, <-told)
	}
	return errs
}

// Each of 295 daemons that started together cost a call of the store to list itself.
func TestRowsOfManyDaemonsAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &committing{}
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

// A transaction may not write one row twice.
func TestRowThatComesTwiceIsWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &committing{}
		for _, err := range writeAll(rowstore.NewBatcher(store, 98), 1, 3) {
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, store.rows, qt.HasLen, 1)
		qt.Assert(t, store.rows[0], qt.HasLen, 1)
	})
}

func TestFailureIsToldToAllOfTheBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &committing{
			err: rowstore.ErrRefused,
		}
		for _, err := range writeAll(rowstore.NewBatcher(store, 98), 5, 1) {
			qt.Assert(t, err, qt.ErrorIs, rowstore.ErrRefused)
		}
	})
}
