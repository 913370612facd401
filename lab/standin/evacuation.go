package standin

import (
	"fmt"
	"sync"
	"time"

	"headcourse/platform/wire"
)

// EvacuationDeadline is the time from the acknowledgement of an evacuation until the zone must
// receive no more requests.
const EvacuationDeadline = 1500 * time.Millisecond

// The declared cold phase of a server, and the number of requests that all daemons together
// may send it in any coldWindow, by the users' rule: coldFactor times the declared rate plus
// coldSlack.
const (
	coldDuration  = time.Second
	coldPerSecond = 10.0
	coldFactor    = 1.5
	coldSlack     = 5
	coldWindow    = time.Second
)

// evacuations holds the zones that the operator has evacuated. The zero value has none.
type evacuations struct {
	mutex sync.Mutex
	// emptyFrom is the time from which a zone must receive no requests; a zone without a time
	// is not checked.
	emptyFrom map[string]time.Time
	// isViolated marks zones whose violation is already recorded; each is recorded once.
	isViolated map[string]bool
}

// Evacuate evacuates a zone. The first request to the zone after the deadline is recorded as a
// violation. A deadline of 0 sets no deadline, and leaves an earlier one in force.
func (p *Platform) Evacuate(zone string, deadline time.Duration) {
	p.Store.putFromPlatform(wire.TableConfig, wire.KeyEvacuate+zone, []byte("{}"))
	p.evacuations.mutex.Lock()
	defer p.evacuations.mutex.Unlock()
	if p.evacuations.emptyFrom == nil {
		p.evacuations.emptyFrom = map[string]time.Time{}
		p.evacuations.isViolated = map[string]bool{}
	}
	if deadline > 0 {
		p.evacuations.emptyFrom[zone] = time.Now().Add(deadline)
	}
	p.evacuations.isViolated[zone] = false
}

// EndEvacuation ends the evacuation of a zone.
func (p *Platform) EndEvacuation(zone string) {
	// The check ends before the row is removed: requests may arrive at once after that.
	p.evacuations.mutex.Lock()
	delete(p.evacuations.emptyFrom, zone)
	p.evacuations.mutex.Unlock()
	p.Store.putFromPlatform(wire.TableConfig, wire.KeyEvacuate+zone, nil)
}

// checkEvacuation records a violation if the server's zone must receive no requests.
func (p *Platform) checkEvacuation(s *Server) {
	p.evacuations.mutex.Lock()
	defer p.evacuations.mutex.Unlock()
	zone := s.state.Zone
	from := p.evacuations.emptyFrom[zone]
	if from.IsZero() || time.Now().Before(from) || p.evacuations.isViolated[zone] {
		return
	}
	p.evacuations.isViolated[zone] = true
	p.recordViolation(fmt.Sprintf("%s received a request %s after the deadline to evacuate zone %s", s.id, time.Since(from).Round(time.Millisecond), zone))
}

// withColdStarts declares for all services that their servers are cold after a start.
func withColdStarts(config wire.Config) wire.Config {
	for i := range config.Services {
		config.Services[i].ColdStartS = coldDuration.Seconds()
		config.Services[i].ColdPerS = coldPerSecond
	}
	return config
}

// coldState holds when a cold server becomes warm, and the requests that arrived in the last
// coldWindow. The zero value is a warm server.
type coldState struct {
	until    time.Time
	arrivals []time.Time
}

// MakeCold makes the server cold for a while, as after a start.
func (s *Server) MakeCold(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cold = coldState{
		until: time.Now().Add(duration),
	}
	s.state.ColdLeftMs = float64(duration.Milliseconds())
	s.writeEntry()
}

// checkCold counts a request to a cold server and records a violation if there are too many in
// one coldWindow.
func (s *Server) checkCold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if now.After(s.cold.until) {
		return
	}
	s.cold.arrivals = append(s.cold.arrivals, now)
	for now.Sub(s.cold.arrivals[0]) >= coldWindow {
		s.cold.arrivals = s.cold.arrivals[1:]
	}
	const allowed = coldFactor*coldPerSecond + coldSlack
	if count := len(s.cold.arrivals); float64(count) > allowed {
		s.platform.recordViolation(fmt.Sprintf("%s is cold and received %d requests in a second; allowed: %.1f", s.id, count, allowed))
	}
}
