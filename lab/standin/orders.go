package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"headcourse/platform/wire"
)

// handleOrder takes an order.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	if !s.isExpected(w, r) {
		return
	}
	var order wire.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.platform.apply(s, order))
}

// apply carries out an order and returns its status. One mutex of the platform
// covers all orders, so that the ledger sees them one after the other.
func (p *Platform) apply(s *Server, order wire.Order) int {
	p.orders.Lock()
	defer p.orders.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.state.Group
	isSame := group != nil && group.Name == order.Group && group.Epoch == order.Epoch
	switch order.Operation {
	case wire.OperationJoin:
		return s.join(order, isSame)
	case wire.OperationOpen:
		return s.open(isSame)
	case wire.OperationClose:
		if isSame && group.State == "open" {
			s.setState("ready")
		}
		return http.StatusOK
	case wire.OperationLeave:
		if isSame {
			s.state.Group = nil
			s.tell()
		}
		return http.StatusOK
	case wire.OperationStage:
		s.state.Staged = []string{order.Model}
		s.tell()
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

// setState changes the membership's state. The mutex is held.
func (s *Server) setState(state string) {
	next := *s.state.Group
	next.State = state
	s.state.Group = &next
	s.tell()
}

// join makes the server a member. The mutex is held.
func (s *Server) join(order wire.Order, isSame bool) int {
	switch {
	case isSame && slices.Equal(s.members, order.Members):
		return http.StatusOK
	case isSame || order.Epoch < s.seen:
		return http.StatusPreconditionFailed
	}
	s.platform.checkFree(s)
	s.seen = order.Epoch
	s.members = order.Members
	s.state.Group = &wire.Membership{
		Name:  order.Group,
		Epoch: order.Epoch,
		Rank:  slices.Index(order.Members, s.id),
		State: "joining",
	}
	s.tell()
	time.AfterFunc(loadTime, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		now := s.state.Group
		if now == nil || now.Name != order.Group || now.Epoch != order.Epoch || now.State != "joining" {
			return
		}
		s.state.Models = []wire.LoadedModel{
			{
				Name: order.Model,
			},
		}
		s.state.Staged = []string{order.Model}
		s.platform.noteReady(s.id, order.Group, order.Epoch)
		s.setState("ready")
	})
	return http.StatusAccepted
}

// open lets a ready head serve. The mutex is held.
func (s *Server) open(isSame bool) int {
	if !isSame || s.state.Group.State != "ready" {
		return http.StatusConflict
	}
	s.platform.checkReady(s)
	s.setState("open")
	return http.StatusAccepted
}
