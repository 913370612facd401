package table

import (
	"context"
	"time"
)

// settlePause is the wait between two tries to settle one transaction.
const settlePause = 200 * time.Millisecond

// pauseBeforeSettling waits settlePause, or returns the error of ctx.
func pauseBeforeSettling(ctx context.Context) error {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
