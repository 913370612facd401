package group

import (
	"time"

	"headcourse/core/order"
)

const (
	// LostTimeout is how long a member may be unresponsive before it counts as lost. A
	// shorter pause stops requests to the group, but the group is not formed again.
	LostTimeout = 6 * time.Second
	// RefusedLostTimeout replaces LostTimeout if the member's VM refuses connections. Its
	// process has ended and lost its state, so waiting longer gains nothing.
	RefusedLostTimeout = 1500 * time.Millisecond
	// MinDrainTime is the minimum time before the members of a draining group are unloaded, if
	// all their backend servers check orders. It lets every daemon observe that the group is
	// draining.
	MinDrainTime = 3 * time.Second
	// MinDrainTimeUnchecked replaces MinDrainTime if a backend server does not check orders.
	// After this time no daemon that may still serve considers the group serving.
	MinDrainTimeUnchecked = 10 * time.Second
)

// MemberView is what the group's controller has observed of one member.
type MemberView struct {
	// IsFresh means that the member answered a recent probe with State.
	IsFresh bool
	State   order.ServerState
	// UnresponsiveFor is the time since the member's last answer, or since its first probe if it
	// has not answered. Time before the group's record and the controller's lease were observed
	// does not count. IsRefused means that the VM refuses connections.
	UnresponsiveFor time.Duration
	IsRefused       bool
	// IsListed is false if the VM list no longer has the VM.
	IsListed bool
	// IsLeaving means that the VM list has the VM as leaving.
	IsLeaving bool
}

// Action is the next step of a group's controller.
type Action string

// Steps of a group's controller.
const (
	// NoAction does nothing now.
	NoAction Action = "rest"
	// Place chooses VMs for a waiting group.
	Place Action = "place"
	// SendLoad orders the members in Decision.Members to load.
	SendLoad Action = "send_load"
	// Serve lets the group serve, since all members have loaded.
	Serve Action = "serve"
	// Repair repairs the group, since the members in Decision.Members are lost.
	Repair Action = "repair"
	// Reload forms the group again of the same members, since some have lost their state.
	Reload Action = "reload"
	// Relocate drains the group and places it on other VMs, since a member is leaving.
	Relocate Action = "vacate"
	// SendUnload orders the members in Decision.Members to unload.
	SendUnload Action = "send_unload"
	// Dissolve frees the VMs and deletes the group, or lets it become Record.Next.
	Dissolve Action = "dissolve"
)

// Decision is the next step, with the indexes of the members that it applies to.
type Decision struct {
	Action  Action
	Members []int
}

// Decide returns the group's next step. views are the observations of the members, in the
// order of the members. phaseFor is how long the controller has observed the record
// unchanged.
func (r Record) Decide(views []MemberView, phaseFor time.Duration) Decision {
	switch r.Phase {
	case Waiting:
		return Decision{
			Action: Place,
		}
	case Loading:
		return r.decideLoading(views)
	case Serving:
		return r.decideServing(views)
	case Draining:
		return r.decideDraining(views, phaseFor)
	default:
		return Decision{
			Action: NoAction,
		}
	}
}

// decideLoading orders loads until every member has loaded this generation.
func (r Record) decideLoading(views []MemberView) Decision {
	if lost := lostMembers(views); len(lost) > 0 {
		return Decision{
			Action:  Repair,
			Members: lost,
		}
	}
	var needLoad []int
	loaded := 0
	for i, view := range views {
		switch {
		case !view.IsFresh:
		case !r.isCurrentMember(view.State):
			needLoad = append(needLoad, i)
		case view.State.Loaded:
			loaded++
		}
	}
	if len(needLoad) > 0 {
		return Decision{
			Action:  SendLoad,
			Members: needLoad,
		}
	}
	if loaded == len(views) && loaded > 0 {
		return Decision{
			Action: Serve,
		}
	}
	return Decision{
		Action: NoAction,
	}
}

// decideServing checks for members that are lost, leaving or no longer loaded.
func (r Record) decideServing(views []MemberView) Decision {
	if lost := lostMembers(views); len(lost) > 0 {
		return Decision{
			Action:  Repair,
			Members: lost,
		}
	}
	isLeaving, hasUnloaded, fresh := false, false, 0
	for _, view := range views {
		isLeaving = isLeaving || view.IsLeaving
		if view.IsFresh {
			fresh++
			hasUnloaded = hasUnloaded || !r.isCurrentMember(view.State)
		}
	}
	if isLeaving {
		return Decision{
			Action: Relocate,
		}
	}
	if hasUnloaded && fresh == len(views) {
		return Decision{
			Action: Reload,
		}
	}
	return Decision{
		Action: NoAction,
	}
}

// decideDraining unloads the members once no request is in flight, and dissolves the group
// once every member has unloaded, is lost or is no longer listed.
func (r Record) decideDraining(views []MemberView, phaseFor time.Duration) Decision {
	drainDelay := MinDrainTime
	if !r.ChecksOrders() {
		drainDelay = MinDrainTimeUnchecked
	}
	if phaseFor < drainDelay {
		return Decision{
			Action: NoAction,
		}
	}
	isBusy := len(views) > 0 && views[0].IsFresh && r.isCurrentMember(views[0].State) && views[0].State.InFlight > 0
	if isBusy {
		return Decision{
			Action: NoAction,
		}
	}
	var needUnload []int
	for i, view := range views {
		switch {
		case view.IsFresh && view.State.Group == r.Name && view.State.Generation <= r.Generation:
			needUnload = append(needUnload, i)
		case !view.IsFresh && view.IsListed && view.UnresponsiveFor < LostTimeout:
			return Decision{
				Action: NoAction,
			}
		}
	}
	if len(needUnload) > 0 {
		return Decision{
			Action:  SendUnload,
			Members: needUnload,
		}
	}
	return Decision{
		Action: Dissolve,
	}
}

// isCurrentMember reports whether a member's state belongs to this generation of the group.
func (r Record) isCurrentMember(state order.ServerState) bool {
	return state.Group == r.Name && state.Generation == r.Generation
}

// lostMembers returns the indexes of members that are not listed or unresponsive for too
// long.
func lostMembers(views []MemberView) []int {
	var lost []int
	for i, view := range views {
		timeout := LostTimeout
		if view.IsRefused {
			timeout = RefusedLostTimeout
		}
		if !view.IsListed || (!view.IsFresh && view.UnresponsiveFor >= timeout) {
			lost = append(lost, i)
		}
	}
	return lost
}
