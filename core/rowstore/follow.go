package rowstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Times of a follower.
const (
	// feedMargin is how much longer than the wait an answer may take: the
	// store's own 4 ms, links, and a slow store's twentyfold.
	feedMargin = 700 * time.Millisecond
	// readTime bounds reading a whole table, of thousands of rows on a slow store; it
	// is not the time that a feed waits, which may be much longer. Each read that is not
	// answered in time is given twice as long at the next try, up to longestRead: a table
	// that takes longer once would never be read else.
	readTime    = 1500 * time.Millisecond
	longestRead = 12 * time.Second
	// retryWait is the pause after a failed call, so that a store that refuses
	// costs each VM three calls a second.
	retryWait = 300 * time.Millisecond
)

// Follower keeps up with one table: it reads the table once and then follows
// its changes. A table never goes back within an era: answers older than what was seen, as
// a lagging copy of the store gives them, are dropped. In a new era it is read anew, also
// where its version is lower.
type Follower struct {
	Store Reader
	Table string
	// Wait is how long one call waits for changes; Settle, if set, tells the pause
	// after changes, which lets further changes come with the next call.
	Wait   time.Duration
	Settle func() time.Duration
	// Whole is told all rows after a read, Changed the rows of a feed, both with
	// the revision and the time as of which it is true. A feed without changes
	// calls Changed with none.
	Whole   func(rows []Row, at Revision, asOf time.Time)
	Changed func(rows []Row, at Revision, asOf time.Time)
	// Restored, if set, is called in place of Whole in a new era: rows may be older than what
	// was known. Rewrite, if set, tells how long their owners take to write again what the
	// copy lacks; then the table is read once more.
	Restored func(rows []Row, at Revision, asOf time.Time)
	Rewrite  func() time.Duration
	// Merge, if set, returns what a table that was read anew is taken for: a restored
	// store may lack rows that nobody may forget.
	Merge func(Result) Result
	// Hub, if set, is given every result, so that other daemons can follow it.
	Hub *Hub
	// EraChanged, if set, is told when the table was read anew in another era, before Whole.
	EraChanged func(former, next Revision)
	// Dropped, if set, is told each answer that is not taken, and what was known.
	Dropped func(answer Result, known Revision)
	// Failed is told each failed call, Recovered the first good one after it.
	Failed    func(err error)
	Recovered func(away time.Duration)
	Clock     *Freshness

	known Revision
	// isRead tells that changes may be followed, wasRead that the table was ever read.
	isRead  bool
	wasRead bool
	// readAgainAt is when the table is read once more after a restore; zero: not at all.
	readAgainAt time.Time
	failingAt   time.Time
	// unanswered counts the reads in a row that were not answered in time.
	unanswered int
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
	result, err := f.call(ctx)
	if errors.Is(err, ErrCompacted) {
		f.isRead = false
		return 0
	}
	if err != nil {
		f.noteFailure(err, sent)
		return retryWait
	}
	f.noteSuccess()
	asOf := f.asOf(sent, result)
	if result.Revision().Compare(f.known) < 0 || result.Era < f.Clock.Era() {
		if f.Dropped != nil {
			f.Dropped(result, f.known)
		}
		return retryWait
	}
	if f.isRead && result.Era != f.known.Era {
		// Changes in another era say nothing about the rows that it lacks.
		f.isRead = false
		return 0
	}
	if !f.isRead && f.Merge != nil {
		result = f.Merge(result)
	}
	former := f.known
	f.known = result.Revision()
	if f.Hub != nil {
		f.Hub.Take(f.Table, result, !f.isRead, asOf)
	}
	if !f.isRead {
		f.takeWhole(result.Rows, former, asOf)
		return 0
	}
	f.Changed(result.Rows, f.known, asOf)
	if len(result.Rows) > 0 && f.Settle != nil {
		return f.Settle()
	}
	return 0
}

// takeWhole tells all rows after a read.
func (f *Follower) takeWhole(rows []Row, former Revision, asOf time.Time) {
	isNewEra := f.wasRead && f.known.Era != former.Era
	f.isRead = true
	f.wasRead = true
	if isNewEra && f.EraChanged != nil {
		f.EraChanged(former, f.known)
	}
	if isNewEra && f.Rewrite != nil {
		f.readAgainAt = time.Now().Add(f.Rewrite())
	}
	if f.Restored != nil && (isNewEra || !f.readAgainAt.IsZero()) {
		f.Restored(rows, f.known, asOf)
		return
	}
	f.Whole(rows, f.known, asOf)
}

// asOf returns a local time at which a result was surely true. A copy's answer
// proves nothing about the store's clock, but can be dated by it.
func (f *Follower) asOf(sent time.Time, result Result) time.Time {
	if result.IsRelayed {
		return f.Clock.When(result.Era, result.Now)
	}
	return f.Clock.Prove(result.Era, sent, result.Now)
}

// call reads the table, or waits for its changes.
func (f *Follower) call(ctx context.Context) (Result, error) {
	wait := f.Wait
	if !f.readAgainAt.IsZero() {
		wait = max(0, min(wait, time.Until(f.readAgainAt)))
	}
	if wait == 0 && !f.readAgainAt.IsZero() {
		f.readAgainAt = time.Time{}
		f.isRead = false
	}
	if !f.isRead {
		return f.read(ctx)
	}
	if !f.failingAt.IsZero() {
		// The store may be silent: ask briefly, so that its return is noticed.
		wait = 0
	}
	return f.feed(ctx, wait)
}

// feed waits for changes, but no longer once another table shows that the store was restored.
func (f *Follower) feed(ctx context.Context, wait time.Duration) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+feedMargin)
	defer cancel()
	ended := f.Clock.EraEnded(f.known.Era)
	go func() {
		select {
		case <-ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	result, err := f.Store.Feed(ctx, f.Table, f.known, wait)
	select {
	case <-ended:
		return Result{}, ErrCompacted
	default:
		return result, err
	}
}

// read reads the table.
func (f *Follower) read(ctx context.Context) (Result, error) {
	const mostDoublings = 3
	limited, cancel := context.WithTimeout(ctx, min(longestRead, readTime<<min(f.unanswered, mostDoublings)))
	defer cancel()
	result, err := f.Store.Read(limited, f.Table)
	if err != nil && limited.Err() != nil {
		f.unanswered++
	} else {
		f.unanswered = 0
	}
	return result, err
}

// noteFailure tells a failed call.
func (f *Follower) noteFailure(err error, at time.Time) {
	if f.failingAt.IsZero() {
		f.failingAt = at
	}
	if f.Failed != nil {
		f.Failed(err)
	}
}

// noteSuccess tells the first good call after failed ones.
func (f *Follower) noteSuccess() {
	if f.failingAt.IsZero() {
		return
	}
	away := time.Since(f.failingAt)
	f.failingAt = time.Time{}
	if f.Recovered != nil {
		f.Recovered(away)
	}
}
