package assembly

import (
	"maps"
	"slices"
	"time"
)

// askAgain is when an order that has shown no effect is given again: an
// order takes some milliseconds, its effect on the entry some more.
const askAgain = 700 * time.Millisecond

// Controller decides for all groups. The zero value has none.
type Controller struct {
	groups map[string]*group
	// creating are records being written; their servers are not free.
	creating map[string]Record
	signs    map[string]sign
	// staged are the stage orders given, by server, and when.
	staged map[string]stageOrder
	loads  []time.Time
	// closed are ended groups whose head is known to be out of them: their
	// members may join others without leaving first.
	closed map[membershipKey]closedHead
	// orphans is when a server was last told to leave a group without record.
	orphans map[string]time.Time
	// counted is how many servers each service had when last looked at.
	counted map[string]count
	number  int
	// demands are the estimates of what callers ask for.
	demands map[modelKey]demand
	// wanted is how many groups each model was last wanted to have, for the log.
	wanted map[modelKey]int
	// conversions are those under way, by domain.
	conversions map[string]conversion
	// began is when it was first asked what to do.
	began time.Time
	// late is until when servers are left alone that did not join in time.
	late map[string]time.Time
	// starts has, by server, when the start that was seen last was born.
	starts map[string]int64
}

// membershipKey names a group of one epoch.
type membershipKey struct {
	group string
	epoch int64
}

// closedHead is the head of an ended group. wasSeenOut tells that its entry has shown too
// that it is out.
type closedHead struct {
	id         string
	wasSeenOut bool
}

// stageOrder is a stage order under way.
type stageOrder struct {
	model string
	until time.Time
	// isForGroup tells that a group waits for the load: the server is left alone by
	// other models.
	isForGroup bool
}

// count is how many servers there are, and since when.
type count struct {
	servers int
	since   time.Time
}

// Load replaces the groups by the records in the store. What is known of
// servers is kept; what was ordered is found out from them again.
func (c *Controller) Load(records []Record) {
	known := map[string]*group{}
	for _, record := range records {
		former, ok := c.groups[record.Name]
		if ok && former.record.Epoch == record.Epoch {
			former.isRemoving = false
			known[record.Name] = former
			continue
		}
		known[record.Name] = newGroup(record)
	}
	c.groups = known
	c.creating = map[string]Record{}
}

// sortedNames returns the names of groups in their order.
func sortedNames(groups map[string]*group) []string {
	return slices.Sorted(maps.Keys(groups))
}

// Created notes that records were written at a version.
func (c *Controller) Created(records []Record, version int64) {
	if c.groups == nil {
		c.groups = map[string]*group{}
	}
	for _, record := range records {
		delete(c.creating, record.Name)
		c.groups[record.Name] = newGroup(record.WithVersion(version))
	}
}

// Removed notes that records were removed.
func (c *Controller) Removed(names []string) {
	if c.closed == nil {
		c.closed = map[membershipKey]closedHead{}
	}
	for _, name := range names {
		if g, ok := c.groups[name]; ok && g.isHeadOut {
			c.closed[membershipKey{
				group: name,
				epoch: g.record.Epoch,
			}] = closedHead{
				id: g.record.Members[0],
			}
		}
		delete(c.groups, name)
	}
}

// Ordered notes what became of an order.
func (c *Controller) Ordered(order Order, result Result) {
	if order.Kind == Stage {
		if result == Unfit || result == NotKnown || result == OtherServer {
			c.staged[order.Server.ID] = stageOrder{
				until: time.Now().Add(stageAgain),
			}
		}
		return
	}
	g, ok := c.groups[order.Group]
	if !ok || g.record.Epoch != order.Epoch {
		return
	}
	if order.Kind == Leave && result == Taken && order.Server.ID == g.record.Members[0] {
		g.hasHeadLeft = true
	}
	if order.Kind == Join && (result == Fenced || result == OtherServer) && g.ending == "" {
		g.end("member refused to join: "+result.String(), false)
	}
}

// Step returns what to do now.
func (c *Controller) Step(world World) Plan {
	var plan Plan
	if world.Config == nil {
		return plan
	}
	if c.began.IsZero() {
		c.began = time.Now()
	}
	c.noteStarts(world, &plan)
	c.noteHeadsBack(world.Fleet)
	for _, name := range sortedNames(c.groups) {
		g := c.groups[name]
		if g.ending == "" {
			c.check(g, world, &plan)
		}
		if g.ending != "" {
			c.finish(g, world, &plan)
		}
	}
	c.adopt(world, &plan)
	c.endOrphans(world, &plan)
	c.form(world, &plan)
	return plan
}
