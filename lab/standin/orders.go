package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"headcourse/platform/wire"
)

// handleOrder decodes an order and carries it out.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	if !s.isForThisServer(w, r) {
		return
	}
	var order wire.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.platform.applyOrder(s, order))
}

// applyOrder carries out an order and returns the HTTP status. One mutex of the platform
// serialises all orders, so that the checks see one change of membership at a time.
func (p *Platform) applyOrder(s *Server, order wire.Order) int {
	p.ordersMutex.Lock()
	defer p.ordersMutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.state.Group
	isSame := group != nil && group.Name == order.Group && group.Epoch == order.Epoch
	switch order.Operation {
	case wire.OperationJoin:
		return s.joinGroup(order, isSame)
	case wire.OperationOpen:
		return s.openGroup(isSame)
	case wire.OperationClose:
		return s.closeGroup(isSame, order.Method)
	case wire.OperationLeave:
		if isSame {
			s.state.Group = nil
			s.writeEntry()
		}
		return http.StatusOK
	case wire.OperationStage:
		s.state.Staged = []string{order.Model}
		s.writeEntry()
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

// setMemberState changes the state of the server's membership. The mutex is held.
func (s *Server) setMemberState(state string) {
	next := *s.state.Group
	next.State = state
	s.state.Group = &next
	s.writeEntry()
}

// joinGroup makes the server a member of a group and loads its model. The mutex is held.
func (s *Server) joinGroup(order wire.Order, isSame bool) int {
	switch {
	case isSame && slices.Equal(s.members, order.Members):
		return http.StatusOK
	case isSame || order.Epoch < s.latestEpoch:
		return http.StatusPreconditionFailed
	}
	s.platform.checkFormerGroupClosed(s)
	s.latestEpoch = order.Epoch
	s.members = order.Members
	s.state.Group = &wire.Membership{
		Name:  order.Group,
		Epoch: order.Epoch,
		Rank:  slices.Index(order.Members, s.id),
		State: "joining",
	}
	s.writeEntry()
	held := s.stillness
	time.AfterFunc(loadTime, func() {
		held.pass(Everywhere)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		current := s.state.Group
		if current == nil || current.Name != order.Group || current.Epoch != order.Epoch || current.State != "joining" {
			return
		}
		s.state.Models = []wire.LoadedModel{
			{
				Name: order.Model,
			},
		}
		s.state.Staged = []string{order.Model}
		s.platform.recordReady(s.id, order.Group, order.Epoch)
		s.setMemberState("ready")
	})
	return http.StatusAccepted
}

// closeGroup makes a head accept no more requests. With wire.MethodWait it finishes those that it runs first. The mutex
// is held.
func (s *Server) closeGroup(isSame bool, method string) int {
	if !isSame || (s.state.Group.State != "open" && s.state.Group.State != "closing") {
		return http.StatusOK
	}
	if method == wire.MethodWait && s.runs.count > 0 {
		s.setMemberState("closing")
		return http.StatusAccepted
	}
	s.setMemberState("ready")
	return http.StatusOK
}

// runs counts the requests that one start of a server runs. It is guarded by the server's mutex.
type runs struct {
	count int
}

// beginRun counts a request until the returned function is called. A head that closes is ready once it runs none.
func (s *Server) beginRun() (end func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.runs
	current.count++
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		current.count--
		isClosing := s.state.Group != nil && s.state.Group.State == "closing"
		if current == s.runs && current.count == 0 && isClosing {
			s.setMemberState("ready")
		}
	}
}

// openGroup makes a ready head accept requests. The mutex is held.
func (s *Server) openGroup(isSame bool) int {
	if !isSame || s.state.Group.State != "ready" {
		return http.StatusConflict
	}
	s.platform.checkMembersReady(s)
	s.setMemberState("open")
	return http.StatusAccepted
}
