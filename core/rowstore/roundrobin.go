package rowstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// roundRobin calls readers in turn, repeatedly, until one answers or the time of the call is over.
// It implements Reader. Daemons start together, so a reader that refuses a call may just not have
// started yet.
type roundRobin struct {
	readers []Reader
	// timeout is how long calls are started. The last call may take until the caller's deadline.
	timeout time.Duration
}

// roundRobinPause is the time between two rounds. A refused connection costs less than a
// millisecond.
const roundRobinPause = 30 * time.Millisecond

// Read reads a table from the first reader that answers.
func (r roundRobin) Read(ctx context.Context, table string) (Result, error) {
	return r.callInTurn(ctx, func(from Reader) (Result, error) {
		return from.Read(ctx, table)
	})
}

// Feed follows a table through the first reader that answers.
func (r roundRobin) Feed(ctx context.Context, table string, since Revision, wait time.Duration) (Result, error) {
	return r.callInTurn(ctx, func(from Reader) (Result, error) {
		return from.Feed(ctx, table, since, wait)
	})
}

// callInTurn calls each reader in turn, repeatedly, until one answers or fails with ErrCompacted, a
// call ends after timeout, or ctx ends. If any of them answered that it has no copy, that is the
// returned error, because the error of a call that ctx cut short is less specific. Without readers
// it fails with ErrRefused.
func (r roundRobin) callInTurn(ctx context.Context, call func(from Reader) (Result, error)) (Result, error) {
	lastErr := errors.Wrap(ErrRefused, "no reader to call")
	began := time.Now()
	for len(r.readers) > 0 {
		for _, reader := range r.readers {
			result, err := call(reader)
			if err == nil || errors.Is(err, ErrCompacted) {
				return result, err
			}
			if !errors.Is(lastErr, ErrNoCopy) {
				lastErr = err
			}
			if time.Since(began) > r.timeout {
				return Result{}, lastErr
			}
		}
		timer := time.NewTimer(roundRobinPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Result{}, lastErr
		}
	}
	return Result{}, lastErr
}
