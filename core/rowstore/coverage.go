package rowstore

import (
	"context"
	"time"
)

// maxFeedGap is the longest time without a feed after which a feed of the store is relied upon for a table with a
// maximum age. A store that is about to drop its history reports no changes to a new feed, also none that was
// made before.
const maxFeedGap = 200 * time.Millisecond

// hasGap reports whether too much time has passed since answers covered all changes of a table.
func (c *ReaderChain) hasGap(table string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, isAgeBounded := c.maxAges[table]
	return isAgeBounded && c.clock.Since(c.covered[table]) > maxFeedGap
}

// recordCovered records that answers cover all changes of a table until a local time: that at which the store
// answered, or as of which a copy was valid.
func (c *ReaderChain) recordCovered(table string, until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if until.After(c.covered[table]) {
		c.covered[table] = until
	}
}

// readSnapshot answers a feed with the whole table.
func readSnapshot(ctx context.Context, from Reader, table string) (Result, error) {
	result, err := from.Read(ctx, table)
	result.IsSnapshot = true
	return result, err
}
