package assembly

import (
	"maps"
	"slices"
	"time"
)

// orderRetryInterval is when an order that has shown no effect is given again: an
// order takes some milliseconds, its effect on the entry some more.
const orderRetryInterval = 700 * time.Millisecond

// Controller decides for all groups. The zero value has none.
type Controller struct {
	groups map[string]*group
	// creating are records being written; their servers are not free.
	pendingRecords map[string]Record
	probeStates    map[string]probeState
	// staged are the stage orders given, by server, and when.
	stageOrders map[string]stageOrder
	loadStarts  []time.Time
	// closed are ended groups whose head is known to be out of them: their
	// members may join others without leaving first.
	closedGroups map[groupKey]closedGroup
	// orphans is when a server was last told to leave a group without record.
	orphanLeaveAt map[string]time.Time
	// counted is how many servers each service had when last looked at.
	serverCounts    map[string]serverCount
	lastGroupNumber int
	// demands are the estimates of what callers ask for.
	demands map[modelKey]demand
	// wanted is how many groups each model was last wanted to have, for the log.
	reportedTargets map[modelKey]int
	// conversions are those under way, by domain.
	conversions map[string]conversion
	// began is when it was first asked what to do.
	firstStepAt time.Time
	// late is until when servers are left alone that did not join in time.
	excludedUntil map[string]time.Time
	// starts has, by server, when the start that was seen last was born.
	incarnations map[string]int64
}

// groupKey names a group of one epoch.
type groupKey struct {
	group string
	epoch int64
}

// closedGroup is the head of an ended group. wasHeadObservedOut tells that its entry has shown too
// that it is out.
type closedGroup struct {
	headID             string
	wasHeadObservedOut bool
}

// stageOrder is a stage order under way.
type stageOrder struct {
	model     string
	expiresAt time.Time
	// isForGroup tells that a group waits for the load: the server is left alone by
	// other models.
	isForGroup bool
}

// count is how many servers there are, and since when.
type serverCount struct {
	servers int
	since   time.Time
}

// Load replaces the groups by the records in the store. What is known of
// servers is kept; what was ordered is found out from them again.
func (c *Controller) Load(records []Record) {
	groups := map[string]*group{}
	for _, record := range records {
		previous, ok := c.groups[record.Name]
		if ok && previous.record.Epoch == record.Epoch {
			previous.isRemoving = false
			groups[record.Name] = previous
			continue
		}
		groups[record.Name] = newGroup(record)
	}
	c.groups = groups
	c.pendingRecords = map[string]Record{}
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
		delete(c.pendingRecords, record.Name)
		c.groups[record.Name] = newGroup(record.WithVersion(version))
	}
}

// Removed notes that records were removed.
func (c *Controller) Removed(names []string) {
	if c.closedGroups == nil {
		c.closedGroups = map[groupKey]closedGroup{}
	}
	for _, name := range names {
		if g, ok := c.groups[name]; ok && g.isHeadOut {
			c.closedGroups[groupKey{
				group: name,
				epoch: g.record.Epoch,
			}] = closedGroup{
				headID: g.record.Members[0],
			}
		}
		delete(c.groups, name)
	}
}

// Ordered notes what became of an order.
func (c *Controller) Ordered(order Order, result Result) {
	if order.Kind == Stage {
		if result == Unfit || result == NotKnown || result == OtherServer {
			c.stageOrders[order.Server.ID] = stageOrder{
				expiresAt: time.Now().Add(stageRetryInterval),
			}
		}
		return
	}
	g, ok := c.groups[order.Group]
	if !ok || g.record.Epoch != order.Epoch {
		return
	}
	if order.Kind == Leave && result == Taken && order.Server.ID == g.record.Members[0] {
		g.hasHeadTakenLeave = true
	}
	if order.Kind == Join && (result == Fenced || result == OtherServer) && g.endReason == "" {
		g.end("member refused to join: "+result.String(), false)
	}
}

// Step returns what to do now.
func (c *Controller) Step(input World) Plan {
	var plan Plan
	if input.Config == nil {
		return plan
	}
	if c.firstStepAt.IsZero() {
		c.firstStepAt = time.Now()
	}
	c.detectRestarts(input, &plan)
	c.reopenClosedGroups(input.Fleet)
	for _, name := range sortedNames(c.groups) {
		g := c.groups[name]
		if g.endReason == "" {
			c.advanceGroup(g, input, &plan)
		}
		if g.endReason != "" {
			c.finishEnding(g, input, &plan)
		}
	}
	c.adopt(input, &plan)
	c.removeOrphans(input, &plan)
	c.formGroups(input, &plan)
	return plan
}
