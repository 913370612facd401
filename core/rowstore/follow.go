package rowstore

import (
	"context"
	"slices"
	"sync"
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

	// mutex guards the state, which Run and Refresh change. The functions above are called while it is held.
	mutex    sync.Mutex
	revision Revision
	// canFollow is set while feeds can continue from revision, hasRead once the table was read.
	canFollow bool
	hasRead   bool
	// rereadAt is when the table is read once more after a restore; zero if no such read is
	// due.
	rereadAt     time.Time
	failingSince time.Time
	// readTimeouts counts consecutive reads of Run that timed out.
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

// followerCall is what one call to a reader asks for.
type followerCall struct {
	// sent is when the call is sent, by the follower's clock.
	sent time.Time
	// since is the revision that the follower had. isFeed is set if the call asks for the changes since then.
	since  Revision
	isFeed bool
	wait   time.Duration
}

// step makes one call and returns the pause after it.
func (f *Follower) step(ctx context.Context) time.Duration {
	call := f.nextCall()
	var result Result
	var err error
	if call.isFeed {
		result, err = f.feed(ctx, call)
	} else {
		result, err = f.read(ctx)
	}
	return f.accept(call, result, err)
}

// confirmer answers with the changes since a revision, or with the whole table, without waiting for changes. If
// mustRead is set, it answers with the whole table.
type confirmer interface {
	Confirm(ctx context.Context, table string, since Revision, mustRead bool) (Result, error)
}

// Refresh confirms a table that was read before, beside the call of Run. It returns the errors of from, and ErrNoCopy
// before the first read.
func (f *Follower) Refresh(ctx context.Context, from confirmer) error {
	call, hasRead := f.refreshCall()
	if !hasRead {
		return ErrNoCopy
	}
	result, err := from.Confirm(ctx, f.Table, call.since, !call.isFeed)
	if err != nil {
		return err
	}
	call.isFeed = !result.IsSnapshot
	f.accept(call, result, nil)
	return nil
}

// refreshCall returns the call of a refresh, and whether the table was read before.
func (f *Follower) refreshCall() (call followerCall, hasRead bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return followerCall{
		sent:   f.Clock.Now(),
		since:  f.revision,
		isFeed: f.canFollow,
	}, f.hasRead
}

// accept applies the result of a call, or records its error, and returns the pause until the next one.
func (f *Follower) accept(call followerCall, result Result, err error) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	call.isFeed = call.isFeed && !result.IsSnapshot
	// Another call may have been accepted since this one was sent.
	isOvertaken := call.since != f.revision || (call.isFeed && !f.canFollow)
	if errors.Is(err, ErrCompacted) {
		f.canFollow = f.canFollow && isOvertaken
		return 0
	}
	if err != nil {
		f.recordFailure(err, call.sent)
		return retryPause
	}
	f.recordSuccess()
	if result.SentAt.After(call.sent) {
		// Other sources were called first.
		call.sent = result.SentAt
	}
	asOf := f.asOf(call.sent, result)
	switch {
	case result.Revision().Compare(f.revision) < 0 || result.Era < f.Clock.Era():
		return f.reject(result, isOvertaken)
	case call.isFeed && !f.canFollow:
		return 0
	case call.isFeed && result.Era != f.revision.Era:
		// Changes of another era do not include the rows that were lost by the restore.
		f.canFollow = false
		return 0
	}
	if f.OnConfirmed != nil {
		f.OnConfirmed(result.Source, asOf)
	}
	if call.isFeed {
		return f.applyChanges(result, asOf)
	}
	f.applySnapshot(result, asOf)
	return 0
}

// reject drops a result that is older than what is known, and returns the pause after it. The mutex must be held.
func (f *Follower) reject(result Result, isOvertaken bool) time.Duration {
	if isOvertaken {
		return 0
	}
	if f.OnRejected != nil {
		f.OnRejected(result, f.revision)
	}
	return retryPause
}

// applyChanges passes on the result of a feed, and returns the pause after it. The mutex must be held.
func (f *Follower) applyChanges(result Result, asOf time.Time) time.Duration {
	// Rows of a call that was overtaken may be known.
	known := f.revision.Version
	result.Rows = slices.DeleteFunc(slices.Clone(result.Rows), func(row Row) bool {
		return row.Version <= known
	})
	f.revision = result.Revision()
	if f.TableCache != nil {
		f.TableCache.Apply(f.Table, result, false, asOf)
	}
	f.OnChanges(result.Rows, f.revision, asOf)
	if len(result.Rows) > 0 && f.PauseAfterChanges != nil {
		return f.PauseAfterChanges()
	}
	return 0
}

// applySnapshot passes on the result of a read. The mutex must be held.
func (f *Follower) applySnapshot(result Result, asOf time.Time) {
	if f.MergeSnapshot != nil {
		result = f.MergeSnapshot(result)
	}
	previous := f.revision
	f.revision = result.Revision()
	if f.TableCache != nil {
		f.TableCache.Apply(f.Table, result, true, asOf)
	}
	if f.RetainRows != nil {
		result = f.RetainRows(result)
	}
	f.passSnapshot(result.Rows, previous, asOf)
}

// passSnapshot passes on all rows after a read. The mutex must be held.
func (f *Follower) passSnapshot(rows []Row, previous Revision, asOf time.Time) {
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

// nextCall returns the next call of Run.
func (f *Follower) nextCall() followerCall {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	wait := f.FeedWait
	if !f.rereadAt.IsZero() {
		wait = max(0, min(wait, time.Until(f.rereadAt)))
	}
	if wait == 0 && !f.rereadAt.IsZero() {
		f.rereadAt = time.Time{}
		f.canFollow = false
	}
	if !f.failingSince.IsZero() {
		// The store may not be answering: a call without a wait detects its recovery sooner.
		wait = 0
	}
	return followerCall{
		sent:   f.Clock.Now(),
		since:  f.revision,
		isFeed: f.canFollow,
		wait:   wait,
	}
}

// feed waits for changes, and stops waiting when another table shows that the store was restored.
func (f *Follower) feed(ctx context.Context, call followerCall) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, call.wait+feedTimeoutMargin)
	defer cancel()
	eraEnded := f.Clock.EraEnded(call.since.Era)
	go func() {
		select {
		case <-eraEnded:
			cancel()
		case <-ctx.Done():
		}
	}()
	result, err := f.Reader.Feed(ctx, f.Table, call.since, call.wait)
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
