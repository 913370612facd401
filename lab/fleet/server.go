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
	Dead    bool
	Paused  bool
	fence   order.Fence
	State   order.State
	loading time.Time
	// loadTime is how long a load takes.
	loadTime time.Duration
	// goodAt is when it was last present and loaded, by group and generation.
	goodAt map[string]time.Time
	// ends holds when the requests in flight will be finished.
	Ends []time.Time
	// troubledAt is when it last was dead, paused or out of the list.
	troubledAt time.Time
	members    []string
}

// partKey names a part that a server plays.
func partKey(name string, generation uint64) string {
	return fmt.Sprintf("%s/%d", name, generation)
}

// answers tells whether a probe is answered now.
func (s *Server) answers() bool {
	return !s.Dead && !s.Paused
}

// advance finishes a load whose time has come, and notes presence.
func (s *Server) advance(now time.Time) {
	if !s.answers() {
		s.troubledAt = now
		return
	}
	var left []time.Time
	for _, end := range s.Ends {
		if now.Before(end) {
			left = append(left, end)
		}
	}
	s.Ends = left
	s.State.InFlight = len(left)
	if !s.loading.IsZero() && !now.Before(s.loading) {
		s.State.Loaded = true
		s.loading = time.Time{}
	}
	if s.State.Loaded {
		s.goodAt[partKey(s.State.Group, s.State.Generation)] = now
	}
}

// obey carries out an order like the stand-in engine does.
func (s *Server) obey(o order.Order) {
	if s.VM.ChecksOrders && !s.fence.Admits(o) {
		return
	}
	s.fence = order.Fence{
		Generation: o.Generation,
		Sequence:   o.Sequence,
	}
	if o.Verb == order.Load && s.State.Group == o.Group && s.State.Generation == o.Generation {
		return
	}
	s.State = order.State{
		VM:    s.VM.ID,
		Slots: 8,
	}
	s.Ends = nil
	s.loading = time.Time{}
	if o.Verb == order.Load {
		s.members = o.Members
		s.State.Group = o.Group
		s.State.Generation = o.Generation
		s.loading = time.Now().Add(s.loadTime)
	}
}

// Die loses all state.
func (s *Server) Die() {
	s.Dead = true
	s.Paused = false
	s.troubledAt = time.Now()
	s.Ends = nil
	s.fence = order.Fence{}
	s.loading = time.Time{}
	s.State = order.State{
		VM:    s.VM.ID,
		Slots: 8,
	}
}
