package assembly_test

import (
	"fmt"
	"time"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
)

// simServer is one start of a simulated model engine.
type simServer struct {
	id       string
	born     int64
	domain   string
	isDead   bool
	slowdown float64
	diedAt   time.Time
	isCutOff bool
	// hasStoppedListening servers leave: their entry is gone and they take no connection, but
	// they finish their work.
	hasStoppedListening bool
	// hasStaleEntry servers leave, but their entry stands as it was: the store was away when
	// they said so.
	hasStaleEntry bool
	exitsAt       time.Time
	cutOffAt      time.Time
	isDraining    bool
	highestEpoch  int64
	group         string
	epoch         int64
	members       []string
	model         string
	loaded        string
	staged        string
	state         fleet.MemberState
	readyAt       time.Time
	stalledAt     time.Time
	stagingModel  string
	stageDoneAt   time.Time
	wasReady      map[string]bool
}

// rebirth has a server crash and start again under its id, before anybody looked: it holds
// and knows nothing of before, but its host keeps what is staged. That it was ready in a
// group stays true: the platform excuses a member that was ready and is then lost, and a
// head may be ordered to open by an entry from before.
func (s *simFleet) restartServer(server *simServer) {
	if server.isDead || server.hasStoppedListening {
		return
	}
	s.serverNumber++
	s.servers[server.id] = &simServer{
		id:       server.id,
		born:     server.born + int64(s.serverNumber),
		domain:   server.domain,
		staged:   server.staged,
		isCutOff: server.isCutOff,
		cutOffAt: server.cutOffAt,
		slowdown: server.slowdown,
		wasReady: server.wasReady,
	}
}

// head returns the head of a server's group, or nil.
func (s *simFleet) headOfGroup(of *simServer) *simServer {
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
	server := s.servers[order.Server.ID]
	if server == nil || server.isDead || server.hasStoppedListening {
		return assembly.NoAnswer
	}
	isSame := server.group == order.Group && server.epoch == order.Epoch && server.state != fleet.NoGroup
	switch order.Kind {
	case assembly.Join:
		return s.join(server, order, isSame)
	case assembly.Open:
		return s.open(server, isSame)
	case assembly.Close:
		if isSame && (server.state == fleet.Open || server.state == fleet.Closing) {
			server.state = fleet.Ready
		}
	case assembly.Leave:
		if isSame {
			server.state = fleet.NoGroup
			server.group = ""
		}
	case assembly.Stage:
		if !server.stageDoneAt.IsZero() {
			return assembly.Unfit
		}
		server.stagingModel = order.Model
		server.stageDoneAt = time.Now().Add(simLoad)
	}
	return assembly.Taken
}

// join makes a server a member.
func (s *simFleet) join(server *simServer, order assembly.Order, isSame bool) assembly.Result {
	if isSame {
		return assembly.Taken
	}
	if order.Epoch < server.highestEpoch {
		return assembly.Fenced
	}
	if head := s.headOfGroup(server); head != nil && (head.state == fleet.Open || head.state == fleet.Closing) {
		s.violations = append(s.violations, fmt.Sprintf("%s joins %s while %s of %s serves", server.id, order.Group, server.group, head.id))
	}
	wait := simLoad
	switch {
	case server.loaded == order.Model:
		wait = simRejoin
	case server.staged == order.Model:
		wait = simStagedLoad
	}
	server.highestEpoch = order.Epoch
	server.group = order.Group
	server.epoch = order.Epoch
	server.members = order.Members
	server.model = order.Model
	server.state = fleet.Joining
	server.readyAt = time.Now().Add(wait)
	server.stalledAt = time.Time{}
	return assembly.Taken
}

// open lets a ready head serve.
func (s *simFleet) open(server *simServer, isSame bool) assembly.Result {
	if !isSame || server.state != fleet.Ready {
		return assembly.Unfit
	}
	key := fmt.Sprintf("%s/%d", server.group, server.epoch)
	for _, id := range server.members {
		member := s.servers[id]
		if member == nil || !member.wasReady[key] {
			s.violations = append(s.violations, fmt.Sprintf("%s opens %s, but %s was never ready in it", server.id, server.group, id))
		}
	}
	server.state = fleet.Open
	return assembly.Taken
}

// breakStalled breaks a head that has been without a member for the stall time.
func (s *simFleet) breakStalled(server *simServer) {
	if server.state != fleet.Open && server.state != fleet.Closing {
		return
	}
	isComplete := true
	for _, id := range server.members {
		member := s.servers[id]
		isComplete = isComplete && member != nil && !member.isDead && member.group == server.group && member.epoch == server.epoch
	}
	switch {
	case isComplete:
		server.stalledAt = time.Time{}
	case server.stalledAt.IsZero():
		server.stalledAt = time.Now()
	case time.Since(server.stalledAt) > simStallTimeout:
		server.state = fleet.Broken
	}
}
