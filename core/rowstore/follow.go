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
// its changes. A table never goes back: answers older than what was seen, as a
// lagging copy of the store gives them, are dropped.
type Follower struct {
	Store Reader
	Table string
	// Wait is how long one call waits for changes; Settle, if set, tells the pause
	// after changes, which lets further changes come with the next call.
	Wait   time.Duration
	Settle func() time.Duration
	// Whole is told all rows after a read, Changed the rows of a feed, both with
	// the version and the time as of which it is true. A feed without changes
	// calls Changed with none.
	Whole   func(rows []Row, version int64, asOf time.Time)
	Changed func(rows []Row, version int64, asOf time.Time)
	// Hub, if set, is given every result, so that other daemons can follow it.
	Hub *Hub
	// Dropped, if set, is told each answer that is not taken, and what was known.
	Dropped func(answer Result, known int64)
	// Failed is told each failed call, Restored the first good one after it.
	Failed   func(err error)
	Restored func(away time.Duration)
	Clock    *Freshness

	version   int64
	isRead    bool
	failingAt time.Time
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
	if result.Version < f.version {
		if f.Dropped != nil {
			f.Dropped(result, f.version)
		}
		return retryWait
	}
	f.version = result.Version
	if f.Hub != nil {
		f.Hub.Take(f.Table, result, !f.isRead, asOf)
	}
	if !f.isRead {
		f.isRead = true
		f.Whole(result.Rows, result.Version, asOf)
		return 0
	}
	f.Changed(result.Rows, result.Version, asOf)
	if len(result.Rows) > 0 && f.Settle != nil {
		return f.Settle()
	}
	return 0
}

// asOf returns a local time at which a result was surely true. A copy's answer
// proves nothing about the store's clock, but can be dated by it.
func (f *Follower) asOf(sent time.Time, result Result) time.Time {
	if result.IsRelayed {
		return f.Clock.When(result.Now)
	}
	return f.Clock.Prove(sent, result.Now)
}

// call reads the table, or waits for its changes.
func (f *Follower) call(ctx context.Context) (Result, error) {
	if !f.isRead {
		return f.read(ctx)
	}
	wait := f.Wait
	if !f.failingAt.IsZero() {
		// The store may be silent: ask briefly, so that its return is noticed.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedMargin)
	defer cancel()
	return f.Store.Feed(ctx, f.Table, f.version, wait)
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
	if f.Restored != nil {
		f.Restored(away)
	}
}
