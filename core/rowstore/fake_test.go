package rowstore_test

import (
	"context"
	"sync"
	"time"

	"headcourse/core/rowstore"
)

// fakeStore is a store with one table that can be down, slow, or lack its history. Its clock runs
// with the test's.
type fakeStore struct {
	mutex        sync.Mutex
	started      time.Time
	rows         map[string]rowstore.Row
	history      []rowstore.Row
	era          int64
	version      int64
	historyStart int64
	isDown       bool
	// isCut makes calls end at once without an answer, like closed connections.
	isCut bool
	// isBlind makes feeds report no changes, as before a drop of the history.
	isBlind    bool
	delay      time.Duration
	versionLag int64
	calls      int
	changed    chan struct{}
	isRelayed  bool
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

// put writes a row, or removes it if value is empty.
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

// setBlind makes feeds report no changes until dropHistory, and returns whether they reported them before.
func (f *fakeStore) setBlind(isBlind bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	wasBlind := f.isBlind
	f.isBlind = isBlind
	return !wasBlind
}

// dropHistory ends a time in which feeds report no changes, and drops the history. Feeds that wait are ended.
func (f *fakeStore) dropHistory() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isBlind = false
	f.history = nil
	f.historyStart = f.version
	close(f.changed)
	f.changed = make(chan struct{})
}

// callCount returns the number of calls so far.
func (f *fakeStore) callCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.calls
}

// update changes the behaviour of the store.
func (f *fakeStore) update(change func(f *fakeStore)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

// delayOrFail waits for the delay and returns an error if the store is down or cut.
func (f *fakeStore) delayOrFail(ctx context.Context) error {
	f.mutex.Lock()
	f.calls++
	delay, isDown, isCut := f.delay, f.isDown, f.isCut
	f.mutex.Unlock()
	select {
	case <-ctx.Done():
		return rowstore.ErrOutcomeUnknown
	case <-time.After(delay):
	}
	switch {
	case isCut:
		return rowstore.ErrOutcomeUnknown
	case isDown:
		return rowstore.ErrRefused
	}
	return nil
}

// result returns a result with the given rows. The mutex must be held.
func (f *fakeStore) result(rows []rowstore.Row) rowstore.Result {
	return rowstore.Result{
		Rows:      rows,
		Era:       f.era,
		Version:   f.version - f.versionLag,
		Now:       time.Since(f.started),
		IsRelayed: f.isRelayed,
	}
}

// Read returns all rows.
func (f *fakeStore) Read(ctx context.Context, _ string) (rowstore.Result, error) {
	if err := f.delayOrFail(ctx); err != nil {
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

// Feed returns changes since a revision.
func (f *fakeStore) Feed(ctx context.Context, _ string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	if err := f.delayOrFail(ctx); err != nil {
		return rowstore.Result{}, err
	}
	deadline := time.After(wait)
	for {
		result, changed, err := f.changesSince(since)
		if err != nil || len(result.Rows) > 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-deadline:
			result, _, err = f.changesSince(since)
			return result, err
		case <-ctx.Done():
			return rowstore.Result{}, rowstore.ErrOutcomeUnknown
		}
	}
}

// changesSince returns the changes since a revision, and a channel that is closed at the next change.
func (f *fakeStore) changesSince(since rowstore.Revision) (rowstore.Result, <-chan struct{}, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if since.Era != f.era || since.Version < f.historyStart {
		return rowstore.Result{}, nil, rowstore.ErrCompacted
	}
	if f.isBlind {
		result := f.result(nil)
		result.Version = since.Version
		return result, f.changed, nil
	}
	var changes []rowstore.Row
	for _, row := range f.history {
		if row.Version > since.Version {
			changes = append(changes, row)
		}
	}
	return f.result(changes), f.changed, nil
}
