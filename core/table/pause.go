package table

import (
	"context"
	"time"
)

// resolveInterval is the wait between two attempts to resolve the outcome of a transaction.
const resolveInterval = 200 * time.Millisecond

// waitResolveInterval waits for resolveInterval, or returns the error of ctx if that ends first.
func waitResolveInterval(ctx context.Context) error {
	timer := time.NewTimer(resolveInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
