package rowstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// turns asks some readers one after the other, again and again, until one answers or the
// call's time is over. It implements Reader. Daemons start together, so that one which
// refuses may only not be there yet.
type turns struct {
	readers []Reader
	// patience is after how long no reader is asked any more; one that was asked may take
	// until the call's time is over.
	patience time.Duration
}

// turnPause is the time between two rounds of asking: a connection that is refused
// costs less than a millisecond.
const turnPause = 30 * time.Millisecond

// Read reads a table from the first reader that answers.
func (t turns) Read(ctx context.Context, table string) (Result, error) {
	return t.ask(ctx, func(from Reader) (Result, error) {
		return from.Read(ctx, table)
	})
}

// Feed follows a table through the first reader that answers.
func (t turns) Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error) {
	return t.ask(ctx, func(from Reader) (Result, error) {
		return from.Feed(ctx, table, since, wait)
	})
}

// ask makes a call to each reader in turn, again and again until ctx ends. Where any of them
// answered that it has no copy, that is the error: a call that ctx cuts short says less.
func (t turns) ask(ctx context.Context, call func(from Reader) (Result, error)) (Result, error) {
	last := errors.Wrap(ErrRefused, "there is nobody to ask")
	began := time.Now()
	for len(t.readers) > 0 {
		for _, reader := range t.readers {
			result, err := call(reader)
			if err == nil || errors.Is(err, ErrCompacted) {
				return result, err
			}
			if !errors.Is(last, ErrNoCopy) {
				last = err
			}
			if time.Since(began) > t.patience {
				return Result{}, last
			}
		}
		timer := time.NewTimer(turnPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Result{}, last
		}
	}
	return Result{}, last
}
