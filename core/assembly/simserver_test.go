package assembly_test

import (
	"fmt"
	"time"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
)

// simServer is one start of a simulated model engine.
type simServer struct {
	id     string
	born   int64
	domain string
	isDead bool
	pace   float64
	goneAt time.Time
	isCut  bool
	// isDeaf servers leave: their entry is gone and they take no connection, but
	// they finish their work.
	isDeaf bool
	// isStale servers leave, but their entry stands as it was: the store was away when
	// they said so.
	isStale  bool
	endsAt   time.Time
	cutAt    time.Time
	drains   bool
	seen     int64
	group    string
	epoch    int64
	members  []string
	model    string
	loaded   string
	staged   string
	state    fleet.MemberState
	dueAt    time.Time
	stillAt  time.Time
	staging  string
	stagedAt time.Time
	wasReady map[string]bool
}

// rebirth has a server crash and start again under its id, before anybody looked: it holds
// and knows nothing of before, but its host keeps what is staged. That it was ready in a
// group stays true: the platform excuses a member that was ready and is then lost, and a
// head may be ordered to open by an entry from before.
func (s *simFleet) rebirth(one *simServer) {
	if one.isDead || one.isDeaf {
		return
	}
	s.next++
	s.servers[one.id] = &simServer{
		id:       one.id,
		born:     one.born + int64(s.next),
		domain:   one.domain,
		staged:   one.staged,
		isCut:    one.isCut,
		cutAt:    one.cutAt,
		pace:     one.pace,
		wasReady: one.wasReady,
	}
}

// head returns the head of a server's group, or nil.
func (s *simFleet) head(of *simServer) *simServer {
	if of.state == fleet.NoGroup || len(of.members) == 0 {
		return nil
	}
	head := s.servers[of.members[0]]
	if head == nil || head.isDead || head.group != of.group || head.epoch != of.epoch {
		return nil
	}
	return head
}

// apply carries out an order and returns its result.
func (s *simFleet) apply(order assembly.Order) assembly.Result {
	one := s.servers[order.Server.ID]
	if one == nil || one.isDead || one.isDeaf {
		return assembly.NoAnswer
	}
	isSame := one.group == order.Group && one.epoch == order.Epoch && one.state != fleet.NoGroup
	switch order.Kind {
	case assembly.Join:
		return s.join(one, order, isSame)
	case assembly.Open:
		return s.open(one, isSame)
	case assembly.Close:
		if isSame && (one.state == fleet.Open || one.state == fleet.Closing) {
			one.state = fleet.Ready
		}
	case assembly.Leave:
		if isSame {
			one.state = fleet.NoGroup
			one.group = ""
		}
	case assembly.Stage:
		if !one.stagedAt.IsZero() {
			return assembly.Unfit
		}
		one.staging = order.Model
		one.stagedAt = time.Now().Add(simLoad)
	}
	return assembly.Taken
}

// join makes a server a member.
func (s *simFleet) join(one *simServer, order assembly.Order, isSame bool) assembly.Result {
	if isSame {
		return assembly.Taken
	}
	if order.Epoch < one.seen {
		return assembly.Fenced
	}
	if head := s.head(one); head != nil && (head.state == fleet.Open || head.state == fleet.Closing) {
		s.violated = append(s.violated, fmt.Sprintf("%s joins %s while %s of %s serves", one.id, order.Group, one.group, head.id))
	}
	wait := simLoad
	switch {
	case one.loaded == order.Model:
		wait = simRejoin
	case one.staged == order.Model:
		wait = simWarm
	}
	one.seen = order.Epoch
	one.group = order.Group
	one.epoch = order.Epoch
	one.members = order.Members
	one.model = order.Model
	one.state = fleet.Joining
	one.dueAt = time.Now().Add(wait)
	one.stillAt = time.Time{}
	return assembly.Taken
}

// open lets a ready head serve.
func (s *simFleet) open(one *simServer, isSame bool) assembly.Result {
	if !isSame || one.state != fleet.Ready {
		return assembly.Unfit
	}
	key := fmt.Sprintf("%s/%d", one.group, one.epoch)
	for _, id := range one.members {
		member := s.servers[id]
		if member == nil || !member.wasReady[key] {
			s.violated = append(s.violated, fmt.Sprintf("%s opens %s, but %s was never ready in it", one.id, one.group, id))
		}
	}
	one.state = fleet.Open
	return assembly.Taken
}

// breakStill breaks a head that has been without a member for the stall time.
func (s *simFleet) breakStill(one *simServer) {
	if one.state != fleet.Open && one.state != fleet.Closing {
		return
	}
	isWhole := true
	for _, id := range one.members {
		member := s.servers[id]
		isWhole = isWhole && member != nil && !member.isDead && member.group == one.group && member.epoch == one.epoch
	}
	switch {
	case isWhole:
		one.stillAt = time.Time{}
	case one.stillAt.IsZero():
		one.stillAt = time.Now()
	case time.Since(one.stillAt) > simStall:
		one.state = fleet.Broken
	}
}
