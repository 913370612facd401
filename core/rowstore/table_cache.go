package rowstore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// TableCache holds copies of tables that other daemons read and follow, so that only a few daemons
// follow the store. It implements Reader. Its results are as old as the copies and carry the
// store's clock, by which the caller dates them. The zero value is empty and safe for concurrent
// use.
type TableCache struct {
	// MaxContactAge is the longest time without an answer from the store after which copies are
	// still served, since the daemon may be cut off from the store. 0 means no limit.
	MaxContactAge time.Duration
	// Clock, if set, supplies the upper bound of the store's clock for results.
	Clock *Freshness
	// IsFromFallback, if set, reports that the copies come from daemons that call this one. Such
	// copies are not served.
	IsFromFallback func() bool

	mutex sync.Mutex
	// lastContact is the latest local time as of which any copy is known to be valid.
	lastContact time.Time
	tables      map[string]*tableCopy
}

// tableCopy is the copy of one table.
type tableCopy struct {
	rows      map[string]Row
	removed   []Row
	era       int64
	version   int64
	storeTime time.Duration
	// historyStart is the version since which all changes are known.
	historyStart int64
	changed      chan struct{}
}

// contactCheckInterval is how often a waiting feed checks that the copy may still be served.
const contactCheckInterval = 200 * time.Millisecond

// maxRemovedRows limits how many removed rows are retained. A caller that requests older
// changes must read the table again.
const maxRemovedRows = 2000

// Apply applies the result of a read (isSnapshot), or of a feed in the same era, to the copy.
func (t *TableCache) Apply(table string, result Result, isSnapshot bool, asOf time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	cached := t.table(table)
	if isSnapshot {
		cached.rows = map[string]Row{}
		cached.removed = nil
		cached.historyStart = result.Version
	}
	for _, row := range result.Rows {
		cached.apply(row)
	}
	if isSnapshot || result.Now > cached.storeTime {
		// A call that was overtaken confirms an earlier time.
		cached.storeTime = result.Now
	}
	cached.era = result.Era
	cached.version = result.Version
	if asOf.After(t.lastContact) {
		t.lastContact = asOf
	}
	close(cached.changed)
	cached.changed = make(chan struct{})
}

// table returns the copy of a table and creates it if needed. The mutex must be held.
func (t *TableCache) table(name string) *tableCopy {
	if t.tables == nil {
		t.tables = map[string]*tableCopy{}
	}
	cached, ok := t.tables[name]
	if !ok {
		cached = &tableCopy{
			changed: make(chan struct{}),
		}
		t.tables[name] = cached
	}
	return cached
}

// apply applies one change.
func (c *tableCopy) apply(row Row) {
	if !row.Deleted {
		c.rows[row.Key] = row
		return
	}
	delete(c.rows, row.Key)
	c.removed = append(c.removed, row)
	if len(c.removed) > maxRemovedRows {
		c.historyStart = c.removed[0].Version
		c.removed = c.removed[1:]
	}
}

// isServable reports whether a copy may be served: it is of the newest known era, the store
// answered within MaxContactAge, and the copy does not come from a fallback. The mutex must be
// held.
func (t *TableCache) isServable(cached *tableCopy) bool {
	hasContact := t.MaxContactAge == 0 || t.sinceContact() <= t.MaxContactAge
	isOwnCopy := t.IsFromFallback == nil || !t.IsFromFallback()
	return t.isOfNewestEra(cached) && hasContact && isOwnCopy
}

// isOfNewestEra reports whether a copy exists and is of the newest known era. The mutex must be
// held.
func (t *TableCache) isOfNewestEra(cached *tableCopy) bool {
	return cached.rows != nil && (t.Clock == nil || cached.era >= t.Clock.Era())
}

// sinceContact returns the time since lastContact. The mutex must be held.
func (t *TableCache) sinceContact() time.Duration {
	if t.Clock == nil {
		return time.Since(t.lastContact)
	}
	return t.Clock.Since(t.lastContact)
}

// firstCopyTimeout is how long a read waits for the first copy of a table in an era. Daemons that
// start together call each other before any of them has read, and without this wait all would read
// from the store. The store answers within a few milliseconds, and a table of a thousand rows
// arrives within some tens of milliseconds.
const firstCopyTimeout = 50 * time.Millisecond

// Read returns all rows of a table. It fails with ErrNoCopy if the first copy does not arrive
// within firstCopyTimeout, or if the copy may not be served.
func (t *TableCache) Read(ctx context.Context, table string) (Result, error) {
	t.awaitCopy(ctx, table)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	cached := t.table(table)
	if !t.isServable(cached) {
		return Result{}, ErrNoCopy
	}
	result := t.emptyResult(cached)
	for _, key := range slices.Sorted(maps.Keys(cached.rows)) {
		result.Rows = append(result.Rows, cached.rows[key])
	}
	return result, nil
}

// awaitCopy waits up to firstCopyTimeout for a copy of a table in the newest known era.
func (t *TableCache) awaitCopy(ctx context.Context, table string) {
	t.mutex.Lock()
	cached := t.table(table)
	hasCopy := t.isOfNewestEra(cached)
	changed := cached.changed
	t.mutex.Unlock()
	if hasCopy {
		return
	}
	timer := time.NewTimer(firstCopyTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Feed returns the rows that changed since a revision as soon as there is one, or none after wait.
// It fails with the errors of changesSince, and with ErrOutcomeUnknown if ctx ends first.
func (t *TableCache) Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	ticker := time.NewTicker(contactCheckInterval)
	defer ticker.Stop()
	for {
		result, changed, err := t.changesSince(table, since)
		if err != nil || len(result.Rows) > 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return Result{}, ErrOutcomeUnknown
		case <-deadline.C:
			result, _, err = t.changesSince(table, since)
			return result, err
		}
	}
}

// changesSince returns the changes since a revision, and a channel that is closed at the next call
// of Apply. It fails with ErrNoCopy if there is no copy, the copy may not be served, or the caller's
// era is newer than the copy's; and with ErrCompacted if the caller must read the table again.
func (t *TableCache) changesSince(table string, since Revision) (Result, <-chan struct{}, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	cached := t.table(table)
	if cached.rows == nil || since.Era > cached.era {
		return Result{}, cached.changed, ErrNoCopy
	}
	if !t.isOfNewestEra(cached) || since.Era < cached.era {
		// The caller's next Read waits for the first copy of the era.
		return Result{}, cached.changed, ErrCompacted
	}
	if !t.isServable(cached) {
		return Result{}, cached.changed, ErrNoCopy
	}
	if since.Version < cached.historyStart {
		return Result{}, cached.changed, ErrCompacted
	}
	result := t.emptyResult(cached)
	for _, row := range cached.rows {
		if row.Version > since.Version {
			result.Rows = append(result.Rows, row)
		}
	}
	for _, row := range cached.removed {
		if _, isBack := cached.rows[row.Key]; row.Version > since.Version && !isBack {
			result.Rows = append(result.Rows, row)
		}
	}
	slices.SortFunc(result.Rows, func(a, b Row) int {
		return int(a.Version - b.Version)
	})
	return result, cached.changed, nil
}

// emptyResult returns a result with the state of a copy, without rows. The mutex must be held.
func (t *TableCache) emptyResult(cached *tableCopy) Result {
	result := Result{
		Era:       cached.era,
		Version:   cached.version,
		Now:       cached.storeTime,
		IsRelayed: true,
	}
	if t.Clock == nil {
		return result
	}
	if latest, isProved := t.Clock.MaxStoreTime(cached.era); isProved {
		result.MaxStoreTime = latest
	}
	return result
}
