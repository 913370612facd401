package rowstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Seeds are daemons that a starting one asks before it knows the others. It implements
// Reader. Daemons start together, so a seed that refuses may only not be there yet: they
// are asked in turn until one answers or the call's time is over. Use NewSeeds.
type Seeds struct {
	readers []Reader
	pause   time.Duration
}

// seedPause is the time between two rounds of asking: a connection that is refused
// costs less than a millisecond.
const seedPause = 30 * time.Millisecond

// NewSeeds returns seeds that are asked in the order given.
func NewSeeds(readers ...Reader) *Seeds {
	return &Seeds{
		readers: readers,
		pause:   seedPause,
	}
}

// Read reads a table from the first seed that answers.
func (s *Seeds) Read(ctx context.Context, table string) (Result, error) {
	return s.ask(ctx, func(from Reader) (Result, error) {
		return from.Read(ctx, table)
	})
}

// Feed follows a table through the first seed that answers.
func (s *Seeds) Feed(ctx context.Context, table string, since int64, wait time.Duration) (Result, error) {
	return s.ask(ctx, func(from Reader) (Result, error) {
		return from.Feed(ctx, table, since, wait)
	})
}

// ask makes a call to each seed in turn, again and again until ctx ends.
func (s *Seeds) ask(ctx context.Context, call func(from Reader) (Result, error)) (Result, error) {
	last := errors.Wrap(ErrRefused, "there are no seeds")
	for len(s.readers) > 0 {
		for _, reader := range s.readers {
			result, err := call(reader)
			if err == nil || errors.Is(err, ErrCompacted) {
				return result, err
			}
			last = err
		}
		timer := time.NewTimer(s.pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Result{}, last
		}
	}
	return Result{}, last
}
