package group

import (
	"time"

	"headcourse/core/order"
)

// Times of a group's control.
const (
	// MissAfter is how long a member may stay unseen before it counts as lost.
	// A shorter pause closes the group to requests but does not form it anew.
	MissAfter = 6 * time.Second
	// RefusedAfter is the same for a member whose VM refuses connections: its
	// process has ended and has lost its state, so that waiting gains nothing.
	RefusedAfter = 1500 * time.Millisecond
	// DrainSettle is how long a draining group whose backend servers check
	// generations is left alone, so that every daemon has learned of it.
	DrainSettle = 3 * time.Second
	// DrainSettleUnchecked is the same for backend servers that do not check:
	// past it no daemon that may serve still takes the group for serving.
	DrainSettleUnchecked = 10 * time.Second
)

// View is what the group's controller has observed of one member.
type View struct {
	// Fresh tells that the member answered a probe lately, with State.
	Fresh bool
	State order.State
	// UnseenFor is how long the member has not answered, and Refused tells that
	// its VM refuses connections.
	UnseenFor time.Duration
	Refused   bool
	// Listed is false when the VM list no longer has the VM.
	Listed bool
	// Leaving tells that the VM list has the VM as leaving.
	Leaving bool
}

// Verb is a controller's next step for a group.
type Verb string

// The steps.
const (
	// Rest: nothing to do now.
	Rest Verb = "rest"
	// Place: choose VMs for a waiting group.
	Place Verb = "place"
	// SendLoad: order the members in Decision.Members to load.
	SendLoad Verb = "send_load"
	// Serve: all members have loaded; let the group serve.
	Serve Verb = "serve"
	// Repair: the members in Decision.Members are lost; repair the group.
	Repair Verb = "repair"
	// Reload: all members are there but some have lost their state; form the
	// group anew of the same members.
	Reload Verb = "reload"
	// Vacate: a member is leaving; drain the group, to be placed anew.
	Vacate Verb = "vacate"
	// SendUnload: order the members in Decision.Members to unload.
	SendUnload Verb = "send_unload"
	// Dissolve: free the VMs and delete the group.
	Dissolve Verb = "dissolve"
)

// Decision is the next step, with the indexes of the members that it concerns.
type Decision struct {
	Verb    Verb
	Members []int
}

// Decide returns the group's next step. views are the members in order, and
// phaseFor is how long the controller has seen the record as it is.
func (r Record) Decide(views []View, phaseFor time.Duration) Decision {
	switch r.Phase {
	case Waiting:
		return Decision{
			Verb: Place,
		}
	case Loading:
		return r.decideLoading(views)
	case Serving:
		return r.decideServing(views)
	case Draining:
		return r.decideDraining(views, phaseFor)
	default:
		return Decision{
			Verb: Rest,
		}
	}
}

// decideLoading orders loads until every member has loaded this generation.
func (r Record) decideLoading(views []View) Decision {
	if lost := lostMembers(views); len(lost) > 0 {
		return Decision{
			Verb:    Repair,
			Members: lost,
		}
	}
	var unordered []int
	loaded := 0
	for i, view := range views {
		switch {
		case !view.Fresh:
		case !r.isMine(view.State):
			unordered = append(unordered, i)
		case view.State.Loaded:
			loaded++
		}
	}
	if len(unordered) > 0 {
		return Decision{
			Verb:    SendLoad,
			Members: unordered,
		}
	}
	if loaded == len(views) && loaded > 0 {
		return Decision{
			Verb: Serve,
		}
	}
	return Decision{
		Verb: Rest,
	}
}

// decideServing looks for members that are lost, emptied or leaving.
func (r Record) decideServing(views []View) Decision {
	if lost := lostMembers(views); len(lost) > 0 {
		return Decision{
			Verb:    Repair,
			Members: lost,
		}
	}
	isLeaving, emptied, fresh := false, false, 0
	for _, view := range views {
		isLeaving = isLeaving || view.Leaving
		if view.Fresh {
			fresh++
			emptied = emptied || !r.isMine(view.State)
		}
	}
	if isLeaving {
		return Decision{
			Verb: Vacate,
		}
	}
	if emptied && fresh == len(views) {
		return Decision{
			Verb: Reload,
		}
	}
	return Decision{
		Verb: Rest,
	}
}

// decideDraining unloads the members once nothing is in flight, and dissolves
// the group once every member that answers has unloaded.
func (r Record) decideDraining(views []View, phaseFor time.Duration) Decision {
	settle := DrainSettle
	if !r.ChecksOrders() {
		settle = DrainSettleUnchecked
	}
	if phaseFor < settle {
		return Decision{
			Verb: Rest,
		}
	}
	isBusy := len(views) > 0 && views[0].Fresh && r.isMine(views[0].State) && views[0].State.InFlight > 0
	if isBusy {
		return Decision{
			Verb: Rest,
		}
	}
	var loaded []int
	for i, view := range views {
		switch {
		case view.Fresh && view.State.Group == r.Name && view.State.Generation <= r.Generation:
			loaded = append(loaded, i)
		case !view.Fresh && view.Listed && view.UnseenFor < MissAfter:
			return Decision{
				Verb: Rest,
			}
		}
	}
	if len(loaded) > 0 {
		return Decision{
			Verb:    SendUnload,
			Members: loaded,
		}
	}
	return Decision{
		Verb: Dissolve,
	}
}

// isMine tells whether a member is part of this generation of the group.
func (r Record) isMine(state order.State) bool {
	return state.Group == r.Name && state.Generation == r.Generation
}

// lostMembers returns the members that are gone or were unseen too long.
func lostMembers(views []View) []int {
	var lost []int
	for i, view := range views {
		patience := MissAfter
		if view.Refused {
			patience = RefusedAfter
		}
		if !view.Listed || (!view.Fresh && view.UnseenFor >= patience) {
			lost = append(lost, i)
		}
	}
	return lost
}
