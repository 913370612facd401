package group

import (
	"time"

	"headcourse/core/order"
)

const (
	// MissAfter is how long a member may be unresponsive before it counts as lost. A
	// shorter pause stops requests to the group, but the group is not formed again.
	MissAfter = 6 * time.Second
	// RefusedAfter is the same for a member whose VM refuses connections. Its process has
	// ended and lost its state, so waiting longer gains nothing.
	RefusedAfter = 1500 * time.Millisecond
	// DrainSettle is how long a draining group is left alone so that every daemon learns
	// that it is draining, if its backend servers check generations.
	DrainSettle = 3 * time.Second
	// DrainSettleUnchecked is the same for backend servers that do not check generations.
	// After this time no daemon that may still serve takes the group for a serving one.
	DrainSettleUnchecked = 10 * time.Second
)

// View is what the group's controller has observed of one member.
type View struct {
	// Fresh means that the member answered a recent probe with State.
	Fresh bool
	State order.State
	// UnseenFor is the time since the member's last answer. Refused means that its VM
	// refuses connections.
	UnseenFor time.Duration
	Refused   bool
	// Listed is false if the VM list no longer has the VM.
	Listed bool
	// Leaving means that the VM list has the VM as leaving.
	Leaving bool
}

// Verb is the next step of a group's controller.
type Verb string

// Steps of a group's controller.
const (
	// Rest does nothing now.
	Rest Verb = "rest"
	// Place chooses VMs for a waiting group.
	Place Verb = "place"
	// SendLoad orders the members in Decision.Members to load.
	SendLoad Verb = "send_load"
	// Serve lets the group serve, since all members have loaded.
	Serve Verb = "serve"
	// Repair repairs the group, since the members in Decision.Members are lost.
	Repair Verb = "repair"
	// Reload forms the group again of the same members, since some have lost their state.
	Reload Verb = "reload"
	// Vacate drains the group and places it on other VMs, since a member is leaving.
	Vacate Verb = "vacate"
	// SendUnload orders the members in Decision.Members to unload.
	SendUnload Verb = "send_unload"
	// Dissolve frees the VMs and deletes the group.
	Dissolve Verb = "dissolve"
)

// Decision is the next step, with the indexes of the members that it applies to.
type Decision struct {
	Verb    Verb
	Members []int
}

// Decide returns the group's next step. views are the observations of the members, in the
// order of the members. phaseFor is how long the controller has observed the record
// unchanged.
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
	var needLoad []int
	loaded := 0
	for i, view := range views {
		switch {
		case !view.Fresh:
		case !r.isCurrentMember(view.State):
			needLoad = append(needLoad, i)
		case view.State.Loaded:
			loaded++
		}
	}
	if len(needLoad) > 0 {
		return Decision{
			Verb:    SendLoad,
			Members: needLoad,
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

// decideServing checks for members that are lost, leaving or no longer loaded.
func (r Record) decideServing(views []View) Decision {
	if lost := lostMembers(views); len(lost) > 0 {
		return Decision{
			Verb:    Repair,
			Members: lost,
		}
	}
	isLeaving, hasUnloaded, fresh := false, false, 0
	for _, view := range views {
		isLeaving = isLeaving || view.Leaving
		if view.Fresh {
			fresh++
			hasUnloaded = hasUnloaded || !r.isCurrentMember(view.State)
		}
	}
	if isLeaving {
		return Decision{
			Verb: Vacate,
		}
	}
	if hasUnloaded && fresh == len(views) {
		return Decision{
			Verb: Reload,
		}
	}
	return Decision{
		Verb: Rest,
	}
}

// decideDraining unloads the members once no request is in flight, and dissolves the group
// once every member that answers has unloaded.
func (r Record) decideDraining(views []View, phaseFor time.Duration) Decision {
	drainDelay := DrainSettle
	if !r.ChecksOrders() {
		drainDelay = DrainSettleUnchecked
	}
	if phaseFor < drainDelay {
		return Decision{
			Verb: Rest,
		}
	}
	isBusy := len(views) > 0 && views[0].Fresh && r.isCurrentMember(views[0].State) && views[0].State.InFlight > 0
	if isBusy {
		return Decision{
			Verb: Rest,
		}
	}
	var needUnload []int
	for i, view := range views {
		switch {
		case view.Fresh && view.State.Group == r.Name && view.State.Generation <= r.Generation:
			needUnload = append(needUnload, i)
		case !view.Fresh && view.Listed && view.UnseenFor < MissAfter:
			return Decision{
				Verb: Rest,
			}
		}
	}
	if len(needUnload) > 0 {
		return Decision{
			Verb:    SendUnload,
			Members: needUnload,
		}
	}
	return Decision{
		Verb: Dissolve,
	}
}

// isCurrentMember reports whether a member's state belongs to this generation of the group.
func (r Record) isCurrentMember(state order.State) bool {
	return state.Group == r.Name && state.Generation == r.Generation
}

// lostMembers returns the indexes of members that are not listed or unresponsive for too
// long.
func lostMembers(views []View) []int {
	var lost []int
	for i, view := range views {
		timeout := MissAfter
		if view.Refused {
			timeout = RefusedAfter
		}
		if !view.Listed || (!view.Fresh && view.UnseenFor >= timeout) {
			lost = append(lost, i)
		}
	}
	return lost
}
