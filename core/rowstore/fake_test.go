package rowstore_test

import (
	"context"
	"sync"
	"time"

	"headcourse/core/rowstore"
)

// fakeStore is a store of one table that can be down, slow, or have forgotten
// its history. Its clock runs with the test's.
type fakeStore struct {
	mutex   sync.Mutex
	started time.Time
	rows    map[string]rowstore.Row
	history []rowstore.Row
	era     int64
	version int64
	floor   int64
	isDown  bool
	// isCut tells that connections are cut at once, so that calls get no answer.
	isCut     bool
	delay     time.Duration
	stale     int64
	calls     int
	changed   chan struct{}
	isRelayed bool
}

// newFakeStore returns an empty store.
func newFakeStore() *fakeStore {
	return &fakeStore{
		started: time.Now().Add(-time.Hour),
		rows:    map[string]rowstore.Row{},
		version: 1,
		changed: make(chan struct{}),
	}
}

// put writes a row; an empty value removes it.
func (f *fakeStore) put(key, value string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version++
	row := rowstore.Row{
		Table:   "t",
		Key:     key,
		Value:   []byte(value),
		Version: f.version,
		Deleted: value == "",
	}
	if row.Deleted {
		delete(f.rows, key)
	} else {
		f.rows[key] = row
	}
	f.history = append(f.history, row)
	close(f.changed)
	f.changed = make(chan struct{})
}

// count returns how many calls there were.
func (f *fakeStore) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.calls
}

// set changes how the store behaves.
func (f *fakeStore) set(change func(f *fakeStore)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

// begin waits for the delay and returns an error if the store is down.
func (f *fakeStore) begin(ctx context.Context) error {
	f.mutex.Lock()
	f.calls++
	delay, isDown, isCut := f.delay, f.isDown, f.isCut
	f.mutex.Unlock()
	select {
	case <-ctx.Done():
		return rowstore.ErrUnknown
	case <-time.After(delay):
	}
	switch {
	case isCut:
		return rowstore.ErrUnknown
	case isDown:
		return rowstore.ErrRefused
	}
	return nil
}

// result returns a result with some rows. The mutex is held.
func (f *fakeStore) result(rows []rowstore.Row) rowstore.Result {
	return rowstore.Result{
		Rows:      rows,
		Era:       f.era,
		Version:   f.version - f.stale,
		Now:       time.Since(f.started),
		IsRelayed: f.isRelayed,
	}
}

// Read returns all rows.
func (f *fakeStore) Read(ctx context.Context, _ string) (rowstore.Result, error) {
	if err := f.begin(ctx); err != nil {
		return rowstore.Result{}, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []rowstore.Row
	for _, row := range f.rows {
		all = append(all, row)
	}
	return f.result(all), nil
}

// Feed returns changes.
func (f *fakeStore) Feed(ctx context.Context, _ string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	if err := f.begin(ctx); err != nil {
		return rowstore.Result{}, err
	}
	deadline := time.After(wait)
	for {
		f.mutex.Lock()
		if since.Era != f.era || since.Version < f.floor {
			f.mutex.Unlock()
			return rowstore.Result{}, rowstore.ErrCompacted
		}
		var news []rowstore.Row
		for _, row := range f.history {
			if row.Version > since.Version {
				news = append(news, row)
			}
		}
		result, changed := f.result(news), f.changed
		f.mutex.Unlock()
		if len(news) > 0 {
			return result, nil
		}
		select {
		case <-changed:
		case <-deadline:
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return f.result(nil), nil
		case <-ctx.Done():
			return rowstore.Result{}, rowstore.ErrUnknown
		}
	}
}
