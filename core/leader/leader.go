// Package leader decides which daemon may change groups.
//
// One row of the platform's store is the lease. Its holder rewrites it before
// its term ends, and every change that the holder makes carries the condition
// that the row is as it wrote it last, so a holder that was paused past its term
// changes nothing (a fencing token). Another daemon takes the lease when it has
// seen the row unchanged for a whole term by its own clock; no two clocks are
// compared. The holder counts its term from before it sent its last rewrite, so
// it stops before anyone else can begin.
//
// All daemons follow the row, most of them through relays, so waiting for the
// lease costs no calls. An old view does no harm: taking the lease is conditional
// on the version seen.
//
// A store that is restored from an older copy gives versions out again, so each era has a
// row of its own: what depends on the row of a former era fails once that is removed. The
// lease of a former era may hold for a term after the restore, and is waited for.
package leader

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/boottime"
	"headcourse/core/rowstore"
)

// Where the lease stands.
const (
	// Table is the table of the lease and keyPrefix the beginning of its row's key, which
	// ends with the era.
	Table     = "control"
	keyPrefix = "lease/"
)

// keyOf returns the key of the lease of an era.
func keyOf(era int64) string {
	return keyPrefix + strconv.FormatInt(era, 10)
}

// Times of the lease.
const (
	// Term is how long a lease holds after its last rewrite. It bounds how long
	// groups go without repair when the leader dies.
	Term = 2500 * time.Millisecond
	// renewEvery leaves time for two lost rewrites within a term.
	renewEvery = 800 * time.Millisecond
	// lookEvery is the time between two looks at what is known of the row.
	lookEvery = 50 * time.Millisecond
	// stagger is how much later each daemon of the list tries than the one
	// before it, so that they do not all try at once; laterStagger is the same for those
	// after the first staggered ones, of whom mostly one lives.
	stagger      = 60 * time.Millisecond
	laterStagger = 15 * time.Millisecond
	staggered    = 15
	// ownAgain is the time between two tries for a lease that is this daemon's own: the
	// store may turn it away alone for seconds.
	ownAgain = 500 * time.Millisecond
	// callTime bounds one call.
	callTime = 900 * time.Millisecond
	// safety is kept away from the end of the term: the time from a decision to
	// its order.
	safety = 300 * time.Millisecond
)

// ErrLost reports that the lease is lost, or may be.
var ErrLost = errors.New("lease lost")

// value is the lease row's value. Holder is empty when the lease is free.
type value struct {
	Holder string `json:"holder"`
	// Start tells two starts of one daemon apart; Count its rewrites.
	Start string `json:"start"`
	Count int64  `json:"count"`
}

// Elector takes part in the choice of the leader. Fields are set before Run.
type Elector struct {
	Store rowstore.Store
	// Name is the daemon's, the same after a restart; Start is new with each.
	Name  string
	Start string
	// Rank returns the daemon's place among all: lower ones try earlier.
	Rank func() int
	// Clock goes on while the machine is suspended.
	Clock boottime.Clock
	// Changed is told when this daemon gains or loses the lease, and why.
	Changed func(isLeader bool, lease rowstore.Revision, reason string)
	// IsAway, if set, tells that the store cannot be reached: then the lease is not tried
	// for: all daemons would, for as long as an outage lasts.
	IsAway func() bool

	mutex sync.Mutex
	// seen is the row's revision as last seen, since seenSince; version 0: there
	// is none. holder is who holds it; isKnown that it was seen at all.
	seen      rowstore.Revision
	seenSince time.Time
	holder    string
	isKnown   bool
	// former are keys of leases of former eras; restored is when this era was first seen,
	// if it is known to follow another.
	former   []string
	restored time.Time
	// failedAt is when a try last failed.
	failedAt time.Time
	// wasAway tells that the store was away when it was last time to try.
	wasAway bool
}

// See takes the rows of Table as a follower tells them, in an era; isWhole tells that they
// are all there are.
func (e *Elector) See(rows []rowstore.Row, era int64, isWhole bool) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if isWhole && era >= e.seen.Era {
		e.begin(rows, era)
	}
	if era != e.seen.Era {
		return nil
	}
	var failed error
	for _, row := range rows {
		if row.Key != keyOf(era) || row.Deleted || row.Version <= e.seen.Version {
			continue
		}
		held, err := decode(row.Value)
		if err != nil {
			failed = err
		}
		e.seen.Version = row.Version
		e.seenSince = time.Now()
		e.holder = held.Holder
	}
	return failed
}

// begin takes the whole table for the first time in an era. Whoever held the lease of the
// former one may not know yet that it is over. The mutex is held.
func (e *Elector) begin(rows []rowstore.Row, era int64) {
	if e.isKnown && era == e.seen.Era {
		return
	}
	e.former = formerKeys(rows, era)
	e.holder = ""
	e.seenSince = time.Now()
	if e.isKnown || len(e.former) > 0 {
		e.holder = formerHolder
		e.restored = e.seenSince
	}
	e.isKnown = true
	e.seen = rowstore.Revision{
		Era: era,
	}
}

// restoredAt returns when the era was first seen, if it is known to follow another.
func (e *Elector) restoredAt() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.restored
}

// formerKeys returns the keys of leases of other eras.
func formerKeys(rows []rowstore.Row, era int64) []string {
	var former []string
	for _, row := range rows {
		if strings.HasPrefix(row.Key, keyPrefix) && row.Key != keyOf(era) {
			former = append(former, row.Key)
		}
	}
	return former
}

// formerHolder stands for whoever held the lease of a former era.
const formerHolder = "\x01"

// unreadableHolder holds a lease that cannot be read: another writer has overwritten it. It
// is taken when it was not rewritten for a term, as if its holder had gone; else nobody
// would lead again.
const unreadableHolder = "\x00"

// decode decodes the lease's value.
func decode(encoded []byte) (value, error) {
	var held value
	if err := json.Unmarshal(encoded, &held); err != nil {
		return value{
			Holder: unreadableHolder,
		}, errors.Wrap(err, "decode lease")
	}
	return held, nil
}

// mayTake returns the revision of the row on which taking the lease depends, and
// whether it is time to try: it is free, was this daemon's own before a restart,
// or was not rewritten for a term.
func (e *Elector) mayTake() (rowstore.Revision, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.isKnown {
		return rowstore.Revision{}, false
	}
	if e.holder == e.Name {
		return e.seen, time.Since(e.failedAt) >= ownAgain
	}
	if e.isAway() {
		return rowstore.Revision{}, false
	}
	wait := turnOf(e.Rank())
	if e.holder != "" {
		wait += Term
	}
	return e.seen, time.Since(e.seenSince) >= wait
}

// turnOf returns how much later than the first one a daemon of a rank tries.
func turnOf(rank int) time.Duration {
	early := min(rank, staggered)
	return time.Duration(early)*stagger + time.Duration(rank-early)*laterStagger
}

// isAway tells whether the store is away. At its return the lease counts as not
// rewritten for a term, but no longer: daemons try one after the other. One of a former era
// is waited for from when the new era was seen. The mutex is held.
func (e *Elector) isAway() bool {
	if e.IsAway != nil && e.IsAway() {
		e.wasAway = true
		return true
	}
	if e.wasAway && e.holder != formerHolder {
		e.wasAway = false
		if long := time.Now().Add(-Term); e.seenSince.Before(long) {
			e.seenSince = long
		}
	}
	return false
}

// putOff waits for a whole turn again, after a try that failed.
func (e *Elector) putOff() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.seenSince = time.Now()
	e.failedAt = e.seenSince
}

// Run calls lead whenever this daemon holds the lease, with a context that ends
// with it, until ctx ends. Then it gives the lease up.
func (e *Elector) Run(ctx context.Context, lead func(ctx context.Context, lease *Lease)) {
	for ctx.Err() == nil {
		lease := e.take(ctx)
		if lease == nil {
			sleep(ctx, lookEvery)
			continue
		}
		e.Changed(true, lease.revision(), "taken")
		e.serve(ctx, lease, lead)
	}
}

// serve leads until the lease is lost.
func (e *Elector) serve(ctx context.Context, lease *Lease, lead func(ctx context.Context, lease *Lease)) {
	leading, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(leading, lease)
	}()
	reason := "stopped"
	for leading.Err() == nil {
		sleep(leading, renewEvery/4)
		if !lease.Holds() {
			reason = "its term ended"
			break
		}
		if e.era() != lease.revision().Era {
			reason = "the store was restored"
			lease.lose()
			break
		}
		if lease.age() < renewEvery {
			continue
		}
		if _, err := lease.Commit(leading, nil, nil); errors.Is(err, ErrLost) {
			reason = "another daemon holds it"
			break
		}
	}
	stop()
	<-done
	if ctx.Err() != nil {
		lease.release()
	}
	e.Changed(false, lease.revision(), reason)
}

// era returns the newest era that was seen.
func (e *Elector) era() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.seen.Era
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// take tries to take the lease if it is time. Those of former eras end with it.
func (e *Elector) take(ctx context.Context) *Lease {
	seen, isTime := e.mayTake()
	if !isTime {
		return nil
	}
	lease := &Lease{
		store:    e.Store,
		holder:   e.Name,
		start:    e.Start,
		era:      seen.Era,
		version:  seen.Version,
		restored: e.restoredAt(),
		clock:    e.Clock,
		granted:  e.Clock.Now(),
	}
	if _, err := lease.Commit(ctx, nil, e.formerRows()); err != nil {
		e.putOff()
		return nil
	}
	e.mutex.Lock()
	e.former = nil
	e.mutex.Unlock()
	return lease
}

// formerRows returns the rows of the leases of former eras.
func (e *Elector) formerRows() []rowstore.Row {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var rows []rowstore.Row
	for _, key := range e.former {
		rows = append(rows, rowstore.Row{
			Table: Table,
			Key:   key,
		})
	}
	return rows
}
