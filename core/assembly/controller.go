package assembly

import (
	"maps"
	"slices"
	"time"
)

// orderRetryInterval is after how long an order without visible effect is given again: an
// order takes some milliseconds, its effect on the server's entry some more.
const orderRetryInterval = 700 * time.Millisecond

// Controller decides about all groups. The zero value has no groups.
type Controller struct {
	groups map[string]*group
	// pendingRecords are records that are being written; their servers are not free.
	pendingRecords map[string]Record
	probeStates    map[string]probeState
	// stageOrders are the pending stage orders, by server.
	stageOrders map[string]stageOrder
	loadStarts  []time.Time
	// closedGroups are ended groups whose head is known to have left: their members may
	// join other groups without leaving first.
	closedGroups map[groupKey]closedGroup
	// orphanLeaveAt is when a server was last ordered to leave a group without a record, by
	// server.
	orphanLeaveAt map[string]time.Time
	// serverCounts is the last observed number of servers of each service.
	serverCounts    map[string]serverCount
	lastGroupNumber int
	// demands are the estimates of the demand for each model.
	demands map[modelKey]demand
	// reportedTargets is the last logged target number of groups of each model.
	reportedTargets map[modelKey]int
	// earlyReports are the reports about groups that arrived before the records were loaded.
	earlyReports []earlyReport
	// silentProbed counts the unresponsive members that may be probed in this step (mayProbe).
	silentProbed int
	// replacements are the names of groups that formed for a suspected group, and its name.
	replacements map[string]string
	// conversions are the conversions in progress, by domain.
	conversions map[string]conversion
	// firstStepAt is the time of the controller's first step.
	firstStepAt time.Time
	// excludedUntil is until when servers that did not join in time are not used, by
	// server.
	excludedUntil map[string]time.Time
	// serverStarts holds the StartedAtMs of the last observed start, by server.
	serverStarts map[string]int64
}

// groupKey identifies a group by name and epoch.
type groupKey struct {
	group string
	epoch int64
}

// closedGroup is the head of an ended group. wasHeadObservedOut is true once the head has
// been observed outside the group or without an entry.
type closedGroup struct {
	headID             string
	wasHeadObservedOut bool
}

// stageOrder is a pending stage order. With an empty model it is the wait before the next
// order to a server that rejected one.
type stageOrder struct {
	model     string
	expiresAt time.Time
	// isForGroup is true if a group waits for the load: no group of another model may use
	// the server.
	isForGroup bool
}

// serverCount is a number of servers, and since when it has not changed.
type serverCount struct {
	servers int
	since   time.Time
}

// earlyReport is a call of Suspect.
type earlyReport struct {
	key          groupKey
	unresponsive string
}

// LoadRecords replaces the groups by the records in the store. What is known about servers is
// kept, and so is the state of a group that is already known with the same epoch. The state of
// other groups is observed from the servers.
func (c *Controller) LoadRecords(records []Record) {
	groups := map[string]*group{}
	for _, record := range records {
		previous, ok := c.groups[record.Name]
		if ok && previous.record.Epoch == record.Epoch {
			previous.isRemovalPending = false
			previous.isReportRemovalPlanned = false
			groups[record.Name] = previous
			continue
		}
		groups[record.Name] = newGroup(record)
	}
	c.groups = groups
	c.pendingRecords = map[string]Record{}
	for _, early := range c.earlyReports {
		c.Suspect(early.key.group, early.key.epoch, early.unresponsive)
	}
	c.earlyReports = nil
}

// sortedNames returns the names of groups in sorted order.
func sortedNames(groups map[string]*group) []string {
	return slices.Sorted(maps.Keys(groups))
}

// RecordsCreated handles the confirmation that records were written at a version.
func (c *Controller) RecordsCreated(records []Record, version int64) {
	if c.groups == nil {
		c.groups = map[string]*group{}
	}
	for _, record := range records {
		delete(c.pendingRecords, record.Name)
		c.groups[record.Name] = newGroup(record.WithVersion(version))
	}
}

// RecordsRemoved handles the confirmation that the records of groups were removed.
func (c *Controller) RecordsRemoved(names []string) {
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

// ReportsRemoved handles the confirmation that the reports about groups whose suspicion was cleared
// were removed.
func (c *Controller) ReportsRemoved(names []string) {
	for _, name := range names {
		if g, ok := c.groups[name]; ok {
			g.mustRemoveReport = false
		}
	}
}

// OrderCompleted handles the result of an order.
func (c *Controller) OrderCompleted(order Order, result OrderResult) {
	if order.Kind == Stage {
		if result == InvalidState || result == Rejected || result == WrongServer {
			c.stageOrders[order.Server.ID] = stageOrder{
				expiresAt: time.Now().Add(stageRetryInterval),
			}
		}
		return
	}
	if order.Kind == Join && result == WrongServer {
		// Another server runs at the address now. The entry of the former one lapses within three
		// heartbeats.
		c.excludeOverdue(order.Server.ID)
	}
	g, ok := c.groups[order.Group]
	if !ok || g.record.Epoch != order.Epoch {
		return
	}
	if order.Kind == Leave && result == Accepted && order.Server.ID == g.record.Members[0] {
		g.hasHeadAcceptedLeave = true
	}
	if order.Kind == Join && (result == Fenced || result == WrongServer) && g.endReason == "" {
		g.end("member refused to join: "+result.String(), false)
	}
}

// Step returns the next plan.
func (c *Controller) Step(input Input) Plan {
	var plan Plan
	if input.Config == nil {
		return plan
	}
	if c.firstStepAt.IsZero() {
		c.firstStepAt = time.Now()
	}
	c.silentProbed = 0
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
	c.orderOrphansToLeave(input, &plan)
	c.formGroups(input, &plan)
	return plan
}
