package assembly

import (
	"maps"
	"time"
)

// lateFor is how long a server is left alone that did not join a group in time. One that
// is cut off from the store loses its entry after three heartbeats, and is back with it.
const lateFor = 5 * time.Second

// unansweredFor is how long a head is left alone that may come back by orders which were
// not answered: the platform carries them out seconds later, or never. Its entry may be stale
// meanwhile, so that it looks free: it joined another group while it served.
const unansweredFor = 15 * time.Second

// noteLate notes that a server is to be left alone for a time.
func (c *Controller) noteLate(id string, wait time.Duration) {
	now := time.Now()
	if c.late == nil {
		c.late = map[string]time.Time{}
	}
	maps.DeleteFunc(c.late, func(_ string, until time.Time) bool {
		return now.After(until)
	})
	c.late[id] = now.Add(wait)
}
