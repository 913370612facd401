package rowstore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Hub is a copy of tables that other daemons read and follow, so that a few
// daemons follow the store for all. It implements Reader; what it answers is as
// old as its copy, and says so by the store's clock. The zero value is empty and
// safe for concurrent use.
type Hub struct {
	// ContactLimit is the time without any answer of the store after which no
	// copy is given to others: the daemon may be cut off from it. 0: no limit.
	ContactLimit time.Duration
	// Clock, if set, dates the store's clock for those who ask.
	Clock *Freshness
	// IsSecondHand, if set, tells that the copy comes from daemons that ask this one: it
	// is given to nobody.
	IsSecondHand func() bool

	mutex sync.Mutex
	// contact is the latest time at which any copy was surely true.
	contact time.Time
	tables  map[string]*copied
}

// copied is the copy of one table.
type copied struct {
	rows    map[string]Row
	gone    []Row
	era     int64
	version int64
	now     time.Duration
	// floor is the version from which on all changes are known.
	floor   int64
	changed chan struct{}
}

// lookAgain is how often a waiting feed looks whether the store is still heard.
const lookAgain = 200 * time.Millisecond

// keepGone bounds how many removed rows are remembered; who asks for older
// changes reads the table.
const keepGone = 2000

// Take takes the result of a read, or of a feed in the same era, into the copy.
func (h *Hub) Take(table string, result Result, isWhole bool, asOf time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.table(table)
	if isWhole {
		known.rows = map[string]Row{}
		known.gone = nil
		known.floor = result.Version
	}
	for _, row := range result.Rows {
		known.apply(row)
	}
	known.era = result.Era
	known.version = result.Version
	known.now = result.Now
	if asOf.After(h.contact) {
		h.contact = asOf
	}
	close(known.changed)
	known.changed = make(chan struct{})
}

// table returns the copy of a table. The mutex is held.
func (h *Hub) table(name string) *copied {
	if h.tables == nil {
		h.tables = map[string]*copied{}
	}
	known, ok := h.tables[name]
	if !ok {
		known = &copied{
			changed: make(chan struct{}),
		}
		h.tables[name] = known
	}
	return known
}

// apply makes one change.
func (c *copied) apply(row Row) {
	if !row.Deleted {
		c.rows[row.Key] = row
		return
	}
	delete(c.rows, row.Key)
	c.gone = append(c.gone, row)
	if len(c.gone) > keepGone {
		c.floor = c.gone[0].Version
		c.gone = c.gone[1:]
	}
}

// isGood tells whether a copy is there for others, of the newest era that is known, and the
// store was heard lately. The mutex is held.
func (h *Hub) isGood(known *copied) bool {
	isInContact := h.ContactLimit == 0 || h.sinceContact() <= h.ContactLimit
	isOwn := h.IsSecondHand == nil || !h.IsSecondHand()
	return h.isOfEra(known) && isInContact && isOwn
}

// isOfEra tells whether a copy is there, of the newest era that is known. The mutex is held.
func (h *Hub) isOfEra(known *copied) bool {
	return known.rows != nil && (h.Clock == nil || known.era >= h.Clock.Era())
}

// sinceContact returns how long ago the store was heard. The mutex is held.
func (h *Hub) sinceContact() time.Duration {
	if h.Clock == nil {
		return time.Since(h.contact)
	}
	return h.Clock.Since(h.contact)
}

// firstCopyTime is how long a read waits for the first copy of a table in an era. Daemons that
// start together ask each other before any of them has read, and would all read from the
// store. A store that answers does so in some milliseconds, and a table of a thousand rows
// comes in some tens.
const firstCopyTime = 50 * time.Millisecond

// Read returns all rows of a table. It fails with ErrNoCopy where the first Take does
// not come soon, and while the store was not heard.
func (h *Hub) Read(ctx context.Context, table string) (Result, error) {
	h.awaitCopy(ctx, table)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.table(table)
	if !h.isGood(known) {
		return Result{}, ErrNoCopy
	}
	result := h.result(known)
	for _, key := range slices.Sorted(maps.Keys(known.rows)) {
		result.Rows = append(result.Rows, known.rows[key])
	}
	return result, nil
}

// awaitCopy waits a moment for the first copy of a table in the newest era that is known.
func (h *Hub) awaitCopy(ctx context.Context, table string) {
	h.mutex.Lock()
	known := h.table(table)
	isThere := h.isOfEra(known)
	changed := known.changed
	h.mutex.Unlock()
	if isThere {
		return
	}
	timer := time.NewTimer(firstCopyTime)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Feed returns the rows that changed since a revision, as soon as there is one,
// or nothing after wait.
func (h *Hub) Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	look := time.NewTicker(lookAgain)
	defer look.Stop()
	for {
		result, changed, err := h.since(table, since)
		if err != nil || len(result.Rows) > 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-look.C:
		case <-ctx.Done():
			return Result{}, ErrUnknown
		case <-deadline.C:
			result, _, err = h.since(table, since)
			return result, err
		}
	}
}

// since returns the changes since a revision, and what is closed at the next
// change. Whoever knows a newer era than the copy's must ask another.
func (h *Hub) since(table string, since Revision) (Result, <-chan struct{}, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.table(table)
	if known.rows == nil || since.Era > known.era {
		return Result{}, known.changed, ErrNoCopy
	}
	if !h.isOfEra(known) || since.Era < known.era {
		// Whoever reads anew waits for the first copy of the era.
		return Result{}, known.changed, ErrCompacted
	}
	if !h.isGood(known) {
		return Result{}, known.changed, ErrNoCopy
	}
	if since.Version < known.floor {
		return Result{}, known.changed, ErrCompacted
	}
	result := h.result(known)
	for _, row := range known.rows {
		if row.Version > since.Version {
			result.Rows = append(result.Rows, row)
		}
	}
	for _, row := range known.gone {
		if _, isBack := known.rows[row.Key]; row.Version > since.Version && !isBack {
			result.Rows = append(result.Rows, row)
		}
	}
	slices.SortFunc(result.Rows, func(a, b Row) int {
		return int(a.Version - b.Version)
	})
	return result, known.changed, nil
}

// result returns a result of a copy, without rows.
func (h *Hub) result(known *copied) Result {
	result := Result{
		Era:       known.era,
		Version:   known.version,
		Now:       known.now,
		IsRelayed: true,
	}
	if h.Clock == nil {
		return result
	}
	if latest, isProved := h.Clock.Latest(known.era); isProved {
		result.Latest = latest
	}
	return result
}
