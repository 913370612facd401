package assembly_test

import (
	"testing"
	"time"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
	"headcourse/lab/fuzz"
)

func TestMain(m *testing.M) {
	fuzz.Exit(m)
}

// promptly is the fate of an order where nothing goes wrong.
func promptly(assembly.Order) fate {
	return fate{}
}

// settle runs a fleet for a time.
func settle(s *simFleet, c *assembly.Controller, isStart bool, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.run(c, isStart, promptly)
		s.tick()
	}
}

// serversOfDomain is the usual size of a domain.
const serversOfDomain = 8

// started returns a fleet whose groups have formed.
func started(domains int) (*simFleet, *assembly.Controller) {
	s := newSim(domains)
	c := &assembly.Controller{}
	settle(s, c, true, 14*time.Second)
	settle(s, c, false, 16*time.Second)
	return s, c
}

// headOf returns the head of some open group of a model.
func headOf(s *simFleet, model string) *simServer {
	for _, record := range s.stored() {
		if head := s.servers[record.Members[0]]; record.Model == model && head.state == fleet.Open {
			return head
		}
	}
	return nil
}

// kill ends a server without a word.
func (s *simFleet) kill(id string) {
	s.servers[id].isDead = true
	s.servers[id].goneAt = time.Now()
}
