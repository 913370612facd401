package assembly

import (
	"slices"
	"time"

	"headcourse/core/fleet"
)

// group is the state of a group in addition to its record.
type group struct {
	record     Record
	knownSince time.Time
	lastOrders map[string]sentOrder
	// loadingMembers are members that load the model's weights from the weight store as
	// they join.
	loadingMembers map[string]bool
	// endReason is why the group ends; it is empty until then. A graceful end lets the
	// group finish its work.
	endReason   string
	isGraceful  bool
	endingSince time.Time
	// isSurplus is true if nothing waits for the servers of the ending group.
	isSurplus bool
	// isSuspected is true if daemons have reported stalled or slow requests, first at
	// suspectedAt.
	isSuspected bool
	suspectedAt time.Time
	// suspicionReason is why the group is suspected, until it is logged. clearedAt is when the last
	// suspicion was cleared.
	suspicionReason string
	clearedAt       time.Time
	// mustRemoveReport is true from when the suspicion is cleared until the removal of the daemons'
	// report is confirmed; isReportRemovalPlanned is true while it is being written.
	mustRemoveReport       bool
	isReportRemovalPlanned bool
	// unresponsiveMember is a member that missed its last probes since the group was suspected, or
	// empty. A group with such a member is replaced.
	unresponsiveMember string
	// evidence is what is known of a member that does not answer, for the log.
	evidence *Evidence
	// slowMember is a member that was found to be slow, or empty.
	slowMember       string
	wasOpen          bool
	isRemovalPending bool
	// isHeadOut is true if the group has ended and its head is known to have left.
	isHeadOut bool
	// hasHeadRestarted is true if the head has restarted under its ID.
	hasHeadRestarted bool
	// hasHeadAcceptedLeave is true if the head itself accepted the order to leave;
	// incompleteSince is since when the group is certain to lack a member.
	hasHeadAcceptedLeave bool
	incompleteSince      time.Time
}

// sentOrder is the last order given to a member.
type sentOrder struct {
	kind   OrderKind
	sentAt time.Time
}

// newGroup returns the state of a group with a record.
func newGroup(record Record) *group {
	return &group{
		record:         record,
		knownSince:     time.Now(),
		lastOrders:     map[string]sentOrder{},
		loadingMembers: map[string]bool{},
	}
}

// hasMember reports whether a server is a member.
func (g *group) hasMember(id string) bool {
	return slices.Contains(g.record.Members, id)
}

// end starts to end the group.
func (g *group) end(reason string, isGraceful bool) {
	g.endReason = reason
	g.isGraceful = isGraceful
	g.endingSince = time.Now()
}

// planOrder adds an order to a member to the plan unless the last order to it was of the same
// kind and was given within orderRetryInterval.
func (g *group) planOrder(server fleet.Server, kind OrderKind, isImmediate bool, reason string, plan *Plan) {
	last, ok := g.lastOrders[server.ID]
	if ok && last.kind == kind && time.Since(last.sentAt) < orderRetryInterval {
		return
	}
	g.lastOrders[server.ID] = sentOrder{
		kind:   kind,
		sentAt: time.Now(),
	}
	order := Order{
		Server:      server,
		Kind:        kind,
		Group:       g.record.Name,
		Epoch:       g.record.Epoch,
		IsImmediate: isImmediate,
		Reason:      reason,
	}
	if kind == Join {
		order.Model = g.record.Model
		order.Members = g.record.Members
	}
	plan.Orders = append(plan.Orders, order)
}

// addEvent adds a state change of the group to the plan.
func (g *group) addEvent(message, reason string, plan *Plan) {
	plan.Events = append(plan.Events, Event{
		Group:    g.record.Name,
		Epoch:    g.record.Epoch,
		Model:    g.record.Model,
		Message:  message,
		Reason:   reason,
		Evidence: g.evidence,
	})
}
