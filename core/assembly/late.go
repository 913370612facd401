package assembly

import (
	"maps"
	"time"
)

// overdueExclusion is how long a server is left alone that did not join a group in time. One that
// is cut off from the store loses its entry after three heartbeats, and is back with it.
const overdueExclusion = 5 * time.Second

// excludeOverdue notes that a server did not join a group in time.
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
