package rowstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// feedTimeoutMargin is added to the wait of a feed to get the call's timeout. It covers the
	// store's 4 ms, the network, and a store that is twenty times slower than usual.
	feedTimeoutMargin = 700 * time.Millisecond
	// baseReadTimeout is the first timeout for reading a whole table, which may hold thousands of
	// rows on a slow store. It is independent of the wait of a feed, which may be much longer. The
	// timeout doubles after each read that times out, up to maxReadTimeout; otherwise a table that
	// takes longer than the first timeout would never be read.
	baseReadTimeout = 1500 * time.Millisecond
	maxReadTimeout  = 12 * time.Second
	// retryPause is the pause after a failed call or a rejected answer. It limits a Follower to
	// about three calls a second to a store that refuses them.
	retryPause = 300 * time.Millisecond
)

// Follower keeps a reader up to date with one table: it reads the table once and then follows its
// changes. Within an era the table never goes back: answers older than the known revision, such as
// those of a lagging store replica, are rejected. In a new era the table is read again even if its
// version is lower.
type Follower struct {
	Reader Reader
	Table  string
	// FeedWait is how long one feed call waits for changes. PauseAfterChanges, if set, returns the
	// pause after changes, which lets the next call return several changes at once.
	FeedWait          time.Duration
	PauseAfterChanges func() time.Duration
	// OnSnapshot receives all rows after a read, and OnChanges the rows of a feed, both with their
	// revision and the local time as of which they are valid. OnChanges also receives feeds without
	// rows.
	OnSnapshot func(rows []Row, revision Revision, asOf time.Time)
	OnChanges  func(rows []Row, revision Revision, asOf time.Time)
	// OnRestoredSnapshot, if set, is called instead of OnSnapshot for the first read in a new era
	// and for reads within RewriteWait after it, since rows may be older than those known before.
	// RewriteWait, if set, returns how long the owners of rows take to write what the restored
	// store lacks; after that time the table is read once more, and OnSnapshot receives it.
	OnRestoredSnapshot func(rows []Row, revision Revision, asOf time.Time)
	RewriteWait        func() time.Duration
	// MergeSnapshot, if set, returns the result that replaces a snapshot, since a restored
	// store may lack rows that must not be lost. RetainRows, if set, does so for this daemon only:
	// rows that end without a change in the store must not be passed on, since nobody else would
	// observe their end.
	MergeSnapshot func(Result) Result
	RetainRows    func(Result) Result
	// TableCache, if set, receives every accepted result, so that other daemons can follow it.
	TableCache *TableCache
	// OnEraChange, if set, is called before OnSnapshot or OnRestoredSnapshot when the table was read
	// again in a new era.
	OnEraChange func(previous, next Revision)
	// OnRejected, if set, receives each rejected answer and the known revision.
	OnRejected func(answer Result, known Revision)
	// OnConfirmed, if set, receives the source of each accepted answer and the local time as of which it is valid,
	// before the rows are passed on.
	OnConfirmed func(source string, asOf time.Time)
	// OnFailure, if set, receives the error of each failed call except ErrCompacted. OnRecovery, if
	// set, is called at the first success after failures, with the time since the first failed call
	// was sent.
	OnFailure  func(err error)
	OnRecovery func(downtime time.Duration)
	Clock      *Freshness

	revision Revision
	// canFollow is set while feeds can continue from revision, hasRead once the table was read.
	canFollow bool
	hasRead   bool
	// rereadAt is when the table is read once more after a restore; zero if no such read is
	// due.
	rereadAt     time.Time
	failingSince time.Time
	// readTimeouts counts consecutive reads that timed out.
	readTimeouts int
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// step makes one call and returns the pause after it.
func (f *Follower) step(ctx context.Context) time.Duration {
	sent := f.Clock.Now()
	result, err := f.readOrFeed(ctx)
	if errors.Is(err, ErrCompacted) {
		f.canFollow = false
		return 0
	}
	if err != nil {
		f.recordFailure(err, sent)
		return retryPause
	}
	f.recordSuccess()
	asOf := f.asOf(sent, result)
	if result.Revision().Compare(f.revision) < 0 || result.Era < f.Clock.Era() {
		if f.OnRejected != nil {
			f.OnRejected(result, f.revision)
		}
		return retryPause
	}
	if f.canFollow && result.Era != f.revision.Era {
		// Changes of another era do not include the rows that were lost by the restore.
		f.canFollow = false
		return 0
	}
	if f.OnConfirmed != nil {
		f.OnConfirmed(result.Source, asOf)
	}
	if !f.canFollow && f.MergeSnapshot != nil {
		result = f.MergeSnapshot(result)
	}
	previous := f.revision
	f.revision = result.Revision()
	if f.TableCache != nil {
		f.TableCache.Apply(f.Table, result, !f.canFollow, asOf)
	}
	if !f.canFollow {
		if f.RetainRows != nil {
			result = f.RetainRows(result)
		}
		f.applySnapshot(result.Rows, previous, asOf)
		return 0
	}
	f.OnChanges(result.Rows, f.revision, asOf)
	if len(result.Rows) > 0 && f.PauseAfterChanges != nil {
		return f.PauseAfterChanges()
	}
	return 0
}

// applySnapshot passes on all rows after a read.
func (f *Follower) applySnapshot(rows []Row, previous Revision, asOf time.Time) {
	isNewEra := f.hasRead && f.revision.Era != previous.Era
	f.canFollow = true
	f.hasRead = true
	if isNewEra && f.OnEraChange != nil {
		f.OnEraChange(previous, f.revision)
	}
	if isNewEra && f.RewriteWait != nil {
		f.rereadAt = time.Now().Add(f.RewriteWait())
	}
	if f.OnRestoredSnapshot != nil && (isNewEra || !f.rereadAt.IsZero()) {
		f.OnRestoredSnapshot(rows, f.revision, asOf)
		return
	}
	f.OnSnapshot(rows, f.revision, asOf)
}

// asOf returns a local time as of which a result is valid. An answer from a copy proves nothing
// about the store's clock, but the clock's known readings date it.
func (f *Follower) asOf(sent time.Time, result Result) time.Time {
	if result.IsRelayed {
		return f.Clock.LocalTime(result.Era, result.Now)
	}
	return f.Clock.ObserveClock(result.Era, sent, result.Now)
}

// readOrFeed reads the table, or waits for its changes.
func (f *Follower) readOrFeed(ctx context.Context) (Result, error) {
	wait := f.FeedWait
	if !f.rereadAt.IsZero() {
		wait = max(0, min(wait, time.Until(f.rereadAt)))
	}
	if wait == 0 && !f.rereadAt.IsZero() {
		f.rereadAt = time.Time{}
		f.canFollow = false
	}
	if !f.canFollow {
		return f.read(ctx)
	}
	if !f.failingSince.IsZero() {
		// The store may not be answering: a call without a wait detects its recovery sooner.
		wait = 0
	}
	return f.feed(ctx, wait)
}

// feed waits for changes, and stops waiting when another table shows that the store was restored.
func (f *Follower) feed(ctx context.Context, wait time.Duration) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+feedTimeoutMargin)
	defer cancel()
	eraEnded := f.Clock.EraEnded(f.revision.Era)
	go func() {
		select {
		case <-eraEnded:
			cancel()
		case <-ctx.Done():
		}
	}()
	result, err := f.Reader.Feed(ctx, f.Table, f.revision, wait)
	select {
	case <-eraEnded:
		return Result{}, ErrCompacted
	default:
		return result, err
	}
}

// read reads the table and adjusts the timeout of the next read.
func (f *Follower) read(ctx context.Context) (Result, error) {
	const maxDoublings = 3
	limited, cancel := context.WithTimeout(ctx, min(maxReadTimeout, baseReadTimeout<<min(f.readTimeouts, maxDoublings)))
	defer cancel()
	result, err := f.Reader.Read(limited, f.Table)
	if err != nil && limited.Err() != nil {
		f.readTimeouts++
	} else {
		f.readTimeouts = 0
	}
	return result, err
}

// recordFailure reports a failed call.
func (f *Follower) recordFailure(err error, sent time.Time) {
	if f.failingSince.IsZero() {
		f.failingSince = sent
	}
	if f.OnFailure != nil {
		f.OnFailure(err)
	}
}

// recordSuccess reports the first successful call after failures.
func (f *Follower) recordSuccess() {
	if f.failingSince.IsZero() {
		return
	}
	downtime := f.Clock.Since(f.failingSince)
	f.failingSince = time.Time{}
	if f.OnRecovery != nil {
		f.OnRecovery(downtime)
	}
}
