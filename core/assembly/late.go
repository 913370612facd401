package assembly

import (
	"maps"
	"time"
)

// lateFor is how long a server is left alone that did not join a group in time. One that
// is cut off from the store loses its entry after three heartbeats, and is back with it.
const lateFor = 5 * time.Second

// noteLate notes that a server did not join a group in time.
func (c *Controller) noteLate(id string) {
	now := time.Now()
	if c.late == nil {
		c.late = map[string]time.Time{}
	}
	maps.DeleteFunc(c.late, func(_ string, until time.Time) bool {
		return now.After(until)
	})
	c.late[id] = now.Add(lateFor)
}
