package fleet

import (
	"fmt"
	"time"

	"headcourse/core/order"
	"headcourse/core/vm"
)

// Server is a fake backend server.
type Server struct {
	VM      vm.VM
	Crashed bool
	Paused  bool
	fence   order.Fence
	State   order.ServerState
	// loadDoneAt is when the load under way completes, or zero if there is none.
	loadDoneAt time.Time
	// loadTime is how long the server takes to load a model.
	loadTime time.Duration
	// lastLoadedAt is the last time the server was answering and loaded, by group and
	// generation.
	lastLoadedAt map[string]time.Time
	// RequestEnds holds the end times of the requests in flight.
	RequestEnds []time.Time
	// lastFaultAt is the last time the server was crashed or paused.
	lastFaultAt time.Time
	// members are the members of the group in the last applied load order.
	members []string
}

// assignmentKey returns the key of a server's assignment to a generation of a group.
func assignmentKey(group string, generation uint64) string {
	return fmt.Sprintf("%s/%d", group, generation)
}

// isAnswering reports whether the server answers a probe now.
func (s *Server) isAnswering() bool {
	return !s.Crashed && !s.Paused
}

// advance finishes requests and loads that are due and records when the server was last
// loaded.
func (s *Server) advance(now time.Time) {
	if !s.isAnswering() {
		s.lastFaultAt = now
		return
	}
	var unfinished []time.Time
	for _, end := range s.RequestEnds {
		if now.Before(end) {
			unfinished = append(unfinished, end)
		}
	}
	s.RequestEnds = unfinished
	s.State.InFlight = len(unfinished)
	if !s.loadDoneAt.IsZero() && !now.Before(s.loadDoneAt) {
		s.State.Loaded = true
		s.loadDoneAt = time.Time{}
	}
	if s.State.Loaded {
		s.lastLoadedAt[assignmentKey(s.State.Group, s.State.Generation)] = now
	}
}

// applyOrder applies an order as the stand-in engine does. An order that the server rejects
// has no effect.
func (s *Server) applyOrder(o order.Order) {
	if s.VM.ChecksOrders && !s.fence.Accepts(o) {
		return
	}
	s.fence = order.Fence{
		Generation: o.Generation,
		Sequence:   o.Sequence,
	}
	if o.Action == order.Load && s.State.Group == o.Group && s.State.Generation == o.Generation {
		return
	}
	s.State = order.ServerState{
		VM:    s.VM.ID,
		Slots: 8,
	}
	s.RequestEnds = nil
	s.loadDoneAt = time.Time{}
	if o.Action == order.Load {
		s.members = o.Members
		s.State.Group = o.Group
		s.State.Generation = o.Generation
		s.loadDoneAt = time.Now().Add(s.loadTime)
	}
}

// Crash simulates a crash: the server stops answering and loses all state.
func (s *Server) Crash() {
	s.Crashed = true
	s.Paused = false
	s.lastFaultAt = time.Now()
	s.RequestEnds = nil
	s.fence = order.Fence{}
	s.loadDoneAt = time.Time{}
	s.State = order.ServerState{
		VM:    s.VM.ID,
		Slots: 8,
	}
}
