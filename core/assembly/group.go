package assembly

import (
	"slices"
	"time"

	"headcourse/core/fleet"
)

// group is what the controller knows of a group beside its record.
type group struct {
	record     Record
	since      time.Time
	lastOrders map[string]sentOrder
	// loads are members that load the model's weights as they join.
	loadingMembers map[string]bool
	// ending is why the group ends; empty while it is to serve. A gentle end
	// lets it finish its work.
	endReason   string
	isGraceful  bool
	endingSince time.Time
	// isSuspected tells that daemons found requests standing still or slow, first at
	// suspectedAt.
	isSuspected bool
	suspectedAt time.Time
	// slow is a member that makes the group slow, as far as known.
	slowMember string
	wasOpen    bool
	isRemoving bool
	// isHeadOut tells that the group ended because its head is known to be out.
	isHeadOut bool
	// hasHeadRestarted tells that the head has started again under its ID.
	hasHeadRestarted bool
	// hasHeadTakenLeave tells that the head itself took the order to leave;
	// incompleteSince since when it is surely without one of its members.
	hasHeadTakenLeave bool
	incompleteSince   time.Time
}

// asked is the last order given to a member.
type sentOrder struct {
	kind   Kind
	sentAt time.Time
}

// newGroup returns the group of a record.
func newGroup(record Record) *group {
	return &group{
		record:         record,
		since:          time.Now(),
		lastOrders:     map[string]sentOrder{},
		loadingMembers: map[string]bool{},
	}
}

// has tells whether a server is a member.
func (g *group) hasMember(id string) bool {
	return slices.Contains(g.record.Members, id)
}

// end makes a group end.
func (g *group) end(reason string, isGentle bool) {
	g.endReason = reason
	g.isGraceful = isGentle
	g.endingSince = time.Now()
}

// order gives an order to a member unless the same was given just now.
func (g *group) planOrder(server fleet.Server, kind Kind, cutoff bool, reason string, plan *Plan) {
	last, ok := g.lastOrders[server.ID]
	if ok && last.kind == kind && time.Since(last.sentAt) < orderRetryInterval {
		return
	}
	g.lastOrders[server.ID] = sentOrder{
		kind:   kind,
		sentAt: time.Now(),
	}
	order := Order{
		Server: server,
		Kind:   kind,
		Group:  g.record.Name,
		Epoch:  g.record.Epoch,
		Cutoff: cutoff,
		Reason: reason,
	}
	if kind == Join {
		order.Model = g.record.Model
		order.Members = g.record.Members
	}
	plan.Orders = append(plan.Orders, order)
}

// note adds a change of belief to the plan.
func (g *group) addNote(what, reason string, plan *Plan) {
	plan.Notes = append(plan.Notes, Note{
		Group:  g.record.Name,
		Epoch:  g.record.Epoch,
		Model:  g.record.Model,
		What:   what,
		Reason: reason,
	})
}
