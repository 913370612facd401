package standin

import (
	"fmt"
	"sync"
	"time"

	"headcourse/platform/wire"
)

// EvacuateTime is how soon after its acknowledgement an evacuated zone must get nothing more.
const EvacuateTime = 1500 * time.Millisecond

// What a cold server bears, and what it may get in any second from all daemons, as the users'
// rule has it.
const (
	coldStart     = time.Second
	coldPerSecond = 10.0
	coldFactor    = 1.5
	coldExtra     = 5
	coldWindow    = time.Second
)

// evacuations are the zones that the operator has evacuated. The zero value has none.
type evacuations struct {
	mutex sync.Mutex
	// emptyFrom is from when on a zone must get nothing; zero: it is not checked.
	emptyFrom map[string]time.Time
	// isBroken tells that a zone got something all the same, which is noted once.
	isBroken map[string]bool
}

// Evacuate evacuates a zone, and checks that it gets nothing once within has passed; 0: it is
// not checked.
func (p *Platform) Evacuate(zone string, within time.Duration) {
	p.Store.put(wire.TableConfig, wire.KeyEvacuate+zone, []byte("{}"))
	p.evacuated.mutex.Lock()
	defer p.evacuated.mutex.Unlock()
	if p.evacuated.emptyFrom == nil {
		p.evacuated.emptyFrom = map[string]time.Time{}
		p.evacuated.isBroken = map[string]bool{}
	}
	if within > 0 {
		p.evacuated.emptyFrom[zone] = time.Now().Add(within)
	}
	p.evacuated.isBroken[zone] = false
}

// TakeBack ends the evacuation of a zone.
func (p *Platform) TakeBack(zone string) {
	// Before the row goes: requests may come at once.
	p.evacuated.mutex.Lock()
	delete(p.evacuated.emptyFrom, zone)
	p.evacuated.mutex.Unlock()
	p.Store.put(wire.TableConfig, wire.KeyEvacuate+zone, nil)
}

// checkEvacuated notes a request to a server of a zone that must get nothing.
func (p *Platform) checkEvacuated(s *Server) {
	p.evacuated.mutex.Lock()
	defer p.evacuated.mutex.Unlock()
	zone := s.state.Zone
	from := p.evacuated.emptyFrom[zone]
	if from.IsZero() || time.Now().Before(from) || p.evacuated.isBroken[zone] {
		return
	}
	p.evacuated.isBroken[zone] = true
	p.violate(fmt.Sprintf("%s got a request %s after zone %s had to be empty", s.id, time.Since(from).Round(time.Millisecond), zone))
}

// withColdStarts returns a configuration whose servers are cold when they start.
func withColdStarts(config wire.Config) wire.Config {
	for i := range config.Services {
		config.Services[i].ColdStartS = coldStart.Seconds()
		config.Services[i].ColdPerS = coldPerSecond
	}
	return config
}

// cold is a server that is cold until a time. The zero value is one that is warm.
type cold struct {
	until time.Time
	came  []time.Time
}

// Cool makes the server cold for a while, as after a start.
func (s *Server) Cool(length time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cold = cold{
		until: time.Now().Add(length),
	}
	s.state.ColdLeftMs = float64(length.Milliseconds())
	s.tell()
}

// checkCold notes a request to a cold server, and that it gets too many.
func (s *Server) checkCold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if now.After(s.cold.until) {
		return
	}
	s.cold.came = append(s.cold.came, now)
	for now.Sub(s.cold.came[0]) >= coldWindow {
		s.cold.came = s.cold.came[1:]
	}
	const allowed = coldFactor*coldPerSecond + coldExtra
	if came := len(s.cold.came); float64(came) > allowed {
		s.platform.violate(fmt.Sprintf("%s is cold and got %d requests in a second; allowed %.1f", s.id, came, allowed))
	}
}
