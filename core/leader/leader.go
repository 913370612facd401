// Package leader elects the daemon that may change groups.
//
// The lease is one row of the platform's store. Its holder rewrites the row before the term
// ends. The row's version is a fencing token: every change by the holder is conditional on
// the version that the holder wrote last, so a holder that was paused past its term cannot
// change anything. Another daemon acquires the lease once it has observed the row unchanged
// for a whole term on its own clock; clocks are never compared. The holder counts its term
// from the time at which it sent its last rewrite, so it stops before a successor can
// start.
//
// All daemons follow the row, most of them through relays, so waiting for the lease costs
// no calls to the store. A stale view is safe, because acquiring the lease is conditional
// on the observed version.
//
// A store that is restored from an older copy reuses versions. Each era therefore has its
// own lease row: a transaction that is conditional on the row of a former era fails once
// that row is removed. The holder of a former era's lease may act for up to a term after
// the restore, so daemons wait for that term before they acquire the new lease.
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

// The table and the key prefix of the lease row.
const (
	// Table is the table that holds the lease. The row's key is keyPrefix followed by the
	// era.
	Table     = "control"
	keyPrefix = "lease/"
)

// leaseKey returns the key of the lease row of an era.
func leaseKey(era int64) string {
	return keyPrefix + strconv.FormatInt(era, 10)
}

const (
	// Term is how long a lease is valid after its last rewrite. It bounds how long groups
	// are not repaired after the leader crashes.
	Term = 2500 * time.Millisecond
	// renewInterval is the time between two rewrites of the lease row. A failed rewrite is
	// repeated at the next check, a quarter of the interval later, until the lease expires.
	renewInterval = 800 * time.Millisecond
	// pollInterval is the time between two checks of the observed lease row.
	pollInterval = 50 * time.Millisecond
	// rankStagger is how much later each daemon attempts to acquire the lease than the
	// daemon ranked before it, so that attempts do not coincide. Daemons ranked after the
	// first fullyStaggeredRanks are spaced by laterRankStagger, since usually one of the
	// first ranks is running.
	rankStagger         = 60 * time.Millisecond
	laterRankStagger    = 15 * time.Millisecond
	fullyStaggeredRanks = 15
	// ownLeaseRetryInterval is the time between two attempts to acquire a lease that this
	// daemon already holds. The store may reject this daemon alone for seconds.
	ownLeaseRetryInterval = 500 * time.Millisecond
	// storeCallTimeout bounds one store call.
	storeCallTimeout = 900 * time.Millisecond
	// safetyMargin is subtracted from the term. It covers the time from a decision to the
	// resulting order.
	safetyMargin = 300 * time.Millisecond
)

// ErrLost reports that the lease is lost or may be lost.
var ErrLost = errors.New("lease lost")

// leaseValue is the value of the lease row. Holder is empty if the lease is free.
type leaseValue struct {
	Holder string `json:"holder"`
	// StartID distinguishes two starts of the same daemon. WriteCount is the number of writes.
	StartID    string `json:"start"`
	WriteCount int64  `json:"count"`
}

// Elector takes part in the election of the leader. Its fields are set before Run.
type Elector struct {
	Store rowstore.Store
	// Name identifies the daemon across restarts; StartID is new at each start.
	Name    string
	StartID string
	// Rank returns the daemon's position among all daemons. Lower ranks attempt to acquire
	// the lease earlier.
	Rank func() int
	// Clock also counts time during which the VM is suspended.
	Clock boottime.Clock
	// OnChange is called with the reason when this daemon gains or loses the lease.
	OnChange func(isLeader bool, lease rowstore.Revision, reason string)
	// IsStoreUnavailable, if set, reports whether the store is unreachable. The lease is not
	// attempted then, unless the row names this daemon; otherwise all daemons would retry
	// throughout an outage.
	IsStoreUnavailable func() bool

	mutex sync.Mutex
	// observed is the latest observed revision of the row; version 0 means that there is no row.
	// observedAt is when it was observed, or a later time from which the wait for the lease
	// counts. holder is the daemon in the row. hasSnapshot is set once the whole table was
	// observed.
	observed    rowstore.Revision
	observedAt  time.Time
	holder      string
	hasSnapshot bool
	// formerLeaseKeys are the keys of leases of former eras. restoredSince is when this era
	// was first observed, or zero if no former era is known.
	formerLeaseKeys []string
	restoredSince   time.Time
	// lastFailureAt is the time of the last failed attempt.
	lastFailureAt time.Time
	// wasUnavailable is set while the store was unreachable at the last check.
	wasUnavailable bool
}

// Observe applies rows of Table that a follower received in an era. isSnapshot means that they
// are the whole table.
func (e *Elector) Observe(rows []rowstore.Row, era int64, isSnapshot bool) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if isSnapshot && era >= e.observed.Era {
		e.beginEra(rows, era)
	}
	if era != e.observed.Era {
		return nil
	}
	var decodeErr error
	for _, row := range rows {
		if row.Key != leaseKey(era) || row.Deleted || row.Version <= e.observed.Version {
			continue
		}
		stored, err := decodeLease(row.Value)
		if err != nil {
			decodeErr = err
		}
		e.observed.Version = row.Version
		e.observedAt = time.Now()
		e.holder = stored.Holder
	}
	return decodeErr
}

// beginEra applies the first snapshot of an era. The holder of the former era's lease may
// not have observed yet that its era has ended. The mutex is held.
func (e *Elector) beginEra(rows []rowstore.Row, era int64) {
	if e.hasSnapshot && era == e.observed.Era {
		return
	}
	e.formerLeaseKeys = formerLeaseKeysOf(rows, era)
	e.holder = ""
	e.observedAt = time.Now()
	if e.hasSnapshot || len(e.formerLeaseKeys) > 0 {
		e.holder = formerEraHolder
		e.restoredSince = e.observedAt
	}
	e.hasSnapshot = true
	e.observed = rowstore.Revision{
		Era: era,
	}
}

// restoreTime returns when the era was first observed, or zero if no former era is known.
func (e *Elector) restoreTime() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.restoredSince
}

// formerLeaseKeysOf returns the keys of lease rows of other eras.
func formerLeaseKeysOf(rows []rowstore.Row, era int64) []string {
	var keys []string
	for _, row := range rows {
		if strings.HasPrefix(row.Key, keyPrefix) && row.Key != leaseKey(era) {
			keys = append(keys, row.Key)
		}
	}
	return keys
}

// formerEraHolder stands for the unknown holder of a former era's lease.
const formerEraHolder = "\x01"

// unreadableHolder stands for the holder of a lease that cannot be decoded because another
// writer has overwritten it. Such a lease expires when it is not rewritten for a term;
// otherwise no daemon could become leader again.
const unreadableHolder = "\x00"

// decodeLease decodes the lease value. The holder is unreadableHolder on failure.
func decodeLease(encoded []byte) (leaseValue, error) {
	var stored leaseValue
	if err := json.Unmarshal(encoded, &stored); err != nil {
		return leaseValue{
			Holder: unreadableHolder,
		}, errors.Wrap(err, "decode lease")
	}
	return stored, nil
}

// mayAcquire reports whether this daemon may attempt to acquire the lease now: the lease is
// free, was not rewritten for a term, or its row names this daemon, as after a restart. It
// returns the revision of the row on which the attempt is conditional.
func (e *Elector) mayAcquire() (rowstore.Revision, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.hasSnapshot {
		return rowstore.Revision{}, false
	}
	if e.holder == e.Name {
		return e.observed, time.Since(e.lastFailureAt) >= ownLeaseRetryInterval
	}
	if e.isStoreUnavailable() {
		return rowstore.Revision{}, false
	}
	wait := acquireDelay(e.Rank())
	if e.holder != "" {
		wait += Term
	}
	return e.observed, time.Since(e.observedAt) >= wait
}

// acquireDelay returns how much later than rank 0 a daemon of the given rank attempts to
// acquire the lease.
func acquireDelay(rank int) time.Duration {
	fullSteps := min(rank, fullyStaggeredRanks)
	return time.Duration(fullSteps)*rankStagger + time.Duration(rank-fullSteps)*laterRankStagger
}

// isStoreUnavailable reports whether the store is unreachable. When the store returns, the
// lease counts as not rewritten for at most one term, so that daemons attempt to acquire it
// one after the other. For a lease of a former era the term counts from the first
// observation of the new era. The mutex is held.
func (e *Elector) isStoreUnavailable() bool {
	if e.IsStoreUnavailable != nil && e.IsStoreUnavailable() {
		e.wasUnavailable = true
		return true
	}
	if e.wasUnavailable && e.holder != formerEraHolder {
		e.wasUnavailable = false
		if termAgo := time.Now().Add(-Term); e.observedAt.Before(termAgo) {
			e.observedAt = termAgo
		}
	}
	return false
}

// backOff restarts the waiting time after a failed attempt.
func (e *Elector) backOff() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.observedAt = time.Now()
	e.lastFailureAt = e.observedAt
}

// Run calls lead whenever this daemon holds the lease, with a context that ends with the
// lease. It returns when ctx ends, after releasing the lease.
func (e *Elector) Run(ctx context.Context, lead func(ctx context.Context, lease *Lease)) {
	for ctx.Err() == nil {
		lease := e.tryAcquire(ctx)
		if lease == nil {
			sleep(ctx, pollInterval)
			continue
		}
		e.OnChange(true, lease.revision(), "taken")
		e.leadUntilLost(ctx, lease, lead)
	}
}

// leadUntilLost runs lead and renews the lease until it is lost or ctx ends.
func (e *Elector) leadUntilLost(ctx context.Context, lease *Lease, lead func(ctx context.Context, lease *Lease)) {
	leadCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(leadCtx, lease)
	}()
	reason := "stopped"
	for leadCtx.Err() == nil {
		sleep(leadCtx, renewInterval/4)
		if !lease.IsValid() {
			reason = "the lease expired"
			break
		}
		if e.latestEra() != lease.revision().Era {
			reason = "the store was restored"
			lease.markLost()
			break
		}
		if lease.sinceRenewal() < renewInterval {
			continue
		}
		if _, err := lease.Commit(leadCtx, nil, nil); errors.Is(err, ErrLost) {
			reason = "another daemon holds the lease"
			break
		}
	}
	stop()
	<-done
	if ctx.Err() != nil {
		lease.release()
	}
	e.OnChange(false, lease.revision(), reason)
}

// latestEra returns the newest observed era.
func (e *Elector) latestEra() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.observed.Era
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// tryAcquire attempts to acquire the lease if this daemon may do so now. The transaction
// also removes the leases of former eras.
func (e *Elector) tryAcquire(ctx context.Context) *Lease {
	observed, mayAcquire := e.mayAcquire()
	if !mayAcquire {
		return nil
	}
	lease := &Lease{
		store:      e.Store,
		holder:     e.Name,
		startID:    e.StartID,
		era:        observed.Era,
		rowVersion: observed.Version,
		restoredAt: e.restoreTime(),
		clock:      e.Clock,
		renewedAt:  e.Clock.Now(),
	}
	if _, err := lease.Commit(ctx, nil, e.formerLeaseRows()); err != nil {
		e.backOff()
		return nil
	}
	e.mutex.Lock()
	e.formerLeaseKeys = nil
	e.mutex.Unlock()
	return lease
}

// formerLeaseRows returns the lease rows of former eras, to be removed.
func (e *Elector) formerLeaseRows() []rowstore.Row {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var rows []rowstore.Row
	for _, key := range e.formerLeaseKeys {
		rows = append(rows, rowstore.Row{
			Table: Table,
			Key:   key,
		})
	}
	return rows
}
