package assembly

import (
	"maps"
	"time"
)

// overdueExclusion is how long a server that did not join a group in time is not used. After
// three heartbeats a server that is disconnected from the store has no entry, and is not used
// for that reason until its entry is back.
const overdueExclusion = 5 * time.Second

// excludeOverdue excludes a server that did not join a group in time, or that no longer runs at its
// address, from other groups for a while.
func (c *Controller) excludeOverdue(id string) {
	now := time.Now()
	if c.excludedUntil == nil {
		c.excludedUntil = map[string]time.Time{}
	}
	maps.DeleteFunc(c.excludedUntil, func(_ string, until time.Time) bool {
		return now.After(until)
	})
	c.excludedUntil[id] = now.Add(overdueExclusion)
}
