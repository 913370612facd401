// Package reach decides how a daemon connects to backend servers: directly, or by a tunnel through
// another daemon that reaches them.
//
// A failed connect shows that something is wrong with the server or with this daemon's own links, but
// not which. A peer that connects to the same server proves that it is the links; one that fails too,
// but connects to other servers, proves that it is the server. Without such proof nothing is
// concluded about a server (indirect probes as in SWIM, local health as in Lifeguard).
//
// Evidence is kept for each service, since a daemon may lose its links to the servers of one service
// only. Two servers that only peers reach, and no direct connect since, isolate the daemon from the
// service: it then uses tunnels first, and a direct connect now and then detects the end.
package reach

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DirectHeadStart is how long a direct connect may take before a tunnel is opened beside it (as
	// in Happy Eyeballs, RFC 8305). Links take milliseconds.
	DirectHeadStart = 60 * time.Millisecond
	// retryDirectInterval is the mean interval between direct connects that look for the end of a
	// detour or of the isolation.
	retryDirectInterval = 500 * time.Millisecond
	// minDetouredServers is the number of servers that only peers reach from which on the daemon
	// counts as isolated from their service. One server may have lost its own link to this VM.
	minDetouredServers = 2
	// minUnreachableServers is the number of servers that neither the daemon nor a peer connected to
	// from which on further connects fail at once, if nobody has connected for minUnreachableTime:
	// peers need as long to find out that their own links are back.
	minUnreachableServers = 2
	minUnreachableTime    = time.Second
	// evidenceTTL is how long a failed connect, or a detour that is not used, is remembered.
	evidenceTTL = 5 * time.Second
)

// Plan is how to connect to a server.
type Plan struct {
	// UsesDirect and UsesTunnel are set if a direct connect and a tunnel are started at once.
	UsesDirect bool
	UsesTunnel bool
	// IsHopeless is set if neither is worth a try now.
	IsHopeless bool
}

// DirectOutcome is the outcome of a direct connect.
type DirectOutcome int

// Outcomes of direct connects. NotTried: none was made, or none whose failure counts.
const (
	NotTried DirectOutcome = iota
	Connected
	Failed
)

// PeerOutcome is what peers found when they connected to a server.
type PeerOutcome int

// Outcomes of tunnels. NoEvidence: no peer was asked, or none could tell. PeerConnected: a peer
// connected. ServerFailed: an observer that connects to other servers failed too.
const (
	NoEvidence PeerOutcome = iota
	PeerConnected
	ServerFailed
)

// Paths is what a daemon knows of its paths to backend servers. The zero value knows nothing, and
// connects directly. It is safe for concurrent use.
type Paths struct {
	// OnChange, if set, is called when the daemon becomes isolated from a service, or ceases to be.
	// Set it before use.
	OnChange func(service string, isIsolated bool, lasted time.Duration)

	mutex    sync.Mutex
	services map[string]*servicePaths
	// hasDetours is set if any service is isolated or has detours, which is rare.
	hasDetours atomic.Bool
}

// servicePaths is the state of the paths to the servers of one service.
type servicePaths struct {
	// detours are the servers that only peers reach, with the time of the next direct connect.
	detours map[string]*detour
	// detouredSince are those that were found since the last direct connect.
	detouredSince map[string]bool
	// unreachable are servers that neither the daemon nor a peer connected to since anyone connected to any.
	unreachable map[string]failures
	// isolatedAt is zero unless the daemon is isolated. nextDirectAt is when the next direct connect
	// is due while it is, nextTryAt that of any connect while all are hopeless.
	isolatedAt   time.Time
	nextDirectAt time.Time
	nextTryAt    time.Time
}

// failures are the failed connects to a server since anyone connected to one of its service.
type failures struct {
	firstAt time.Time
	lastAt  time.Time
}

// detour is a server that only peers reach.
type detour struct {
	nextDirectAt time.Time
	usedAt       time.Time
}

// Plan returns how to connect to a server of a service.
func (p *Paths) Plan(service, server string) Plan {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.services[service]
	if state == nil {
		return Plan{
			UsesDirect: true,
		}
	}
	now := time.Now()
	if state.isHopeless(now) {
		if now.Before(state.nextTryAt) {
			return Plan{
				IsHopeless: true,
			}
		}
		state.nextTryAt = now.Add(jittered(retryDirectInterval / 2))
		return Plan{
			UsesDirect: true,
			UsesTunnel: true,
		}
	}
	state.expire(now)
	known := state.detours[server]
	if known != nil {
		known.usedAt = now
	}
	if state.isIsolated() {
		return planDetour(now, &state.nextDirectAt)
	}
	if known != nil {
		return planDetour(now, &known.nextDirectAt)
	}
	return Plan{
		UsesDirect: true,
	}
}

// planDetour returns the plan for a server that only peers reach, with a direct connect beside the
// tunnel if one is due.
func planDetour(now time.Time, nextDirectAt *time.Time) Plan {
	isDue := !now.Before(*nextDirectAt)
	if isDue {
		*nextDirectAt = now.Add(jittered(retryDirectInterval))
	}
	return Plan{
		UsesDirect: isDue,
		UsesTunnel: true,
	}
}

// jittered returns a random duration around a mean, so that daemons do not act together.
func jittered(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// Record records the outcome of a connect to a server. A direct connect has Failed beside a peer that connected only
// if it began later than the peer's, or was refused: a server may be silent for a while, for all.
func (p *Paths) Record(service, server string, direct DirectOutcome, peers PeerOutcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.services[service]
	if state == nil {
		if direct != Failed {
			return
		}
		state = p.create(service)
	}
	now := time.Now()
	if direct == Connected || peers != NoEvidence {
		clear(state.unreachable)
	}
	switch {
	case direct == Connected:
		p.recordConnected(service, state, server, now)
	case direct == Failed && peers == PeerConnected:
		p.recordDetour(service, state, server, now)
	case direct == Failed && peers == ServerFailed:
		// The server is down, which says nothing about the links.
		delete(state.detours, server)
		delete(state.detouredSince, server)
		p.updateHasDetours()
	case direct == Failed:
		state.recordUnreachable(server, now)
	}
}

// create creates the state of a service.
func (p *Paths) create(service string) *servicePaths {
	if p.services == nil {
		p.services = map[string]*servicePaths{}
	}
	state := &servicePaths{
		detours:       map[string]*detour{},
		detouredSince: map[string]bool{},
		unreachable:   map[string]failures{},
	}
	p.services[service] = state
	return state
}

// recordConnected records a direct connect. If the daemon was isolated, its links are back.
func (p *Paths) recordConnected(service string, state *servicePaths, server string, now time.Time) {
	clear(state.detouredSince)
	delete(state.detours, server)
	if !state.isIsolated() {
		p.updateHasDetours()
		return
	}
	lasted := now.Sub(state.isolatedAt)
	state.isolatedAt = time.Time{}
	clear(state.detours)
	p.updateHasDetours()
	if p.OnChange != nil {
		p.OnChange(service, false, lasted)
	}
}

// recordDetour records a server that a peer reaches and the daemon does not.
func (p *Paths) recordDetour(service string, state *servicePaths, server string, now time.Time) {
	state.detours[server] = &detour{
		nextDirectAt: now.Add(jittered(retryDirectInterval)),
		usedAt:       now,
	}
	state.detouredSince[server] = true
	p.hasDetours.Store(true)
	if state.isIsolated() || len(state.detouredSince) < minDetouredServers {
		return
	}
	state.isolatedAt = now
	state.nextDirectAt = now.Add(jittered(retryDirectInterval))
	if p.OnChange != nil {
		p.OnChange(service, true, 0)
	}
}

// updateHasDetours updates hasDetours when detours have ended. The caller holds the mutex.
func (p *Paths) updateHasDetours() {
	for _, state := range p.services {
		if state.isIsolated() || len(state.detours) > 0 {
			return
		}
	}
	p.hasDetours.Store(false)
}

// HasDetours reports whether connections to any server go through peers for now.
func (p *Paths) HasDetours() bool {
	return p.hasDetours.Load()
}

// IsIsolated reports whether only peers reach the servers of a service.
func (p *Paths) IsIsolated(service string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.services[service]
	return state != nil && state.isIsolated()
}

// IsDetoured reports whether connections to a server must go through peers for now.
func (p *Paths) IsDetoured(service, server string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.services[service]
	return state != nil && (state.isIsolated() || state.detours[server] != nil)
}

// recordUnreachable records a server that neither the daemon nor a peer connected to.
func (s *servicePaths) recordUnreachable(server string, now time.Time) {
	failed := s.unreachable[server]
	if failed.firstAt.IsZero() {
		failed.firstAt = now
	}
	failed.lastAt = now
	s.unreachable[server] = failed
}

// isIsolated reports whether only peers reach the servers of the service.
func (s *servicePaths) isIsolated() bool {
	return !s.isolatedAt.IsZero()
}

// isHopeless reports whether recent connects to several servers failed for the daemon and its peers.
func (s *servicePaths) isHopeless(now time.Time) bool {
	for server, failed := range s.unreachable {
		if now.Sub(failed.lastAt) > evidenceTTL {
			delete(s.unreachable, server)
		}
	}
	oldest := now
	for _, failed := range s.unreachable {
		if failed.firstAt.Before(oldest) {
			oldest = failed.firstAt
		}
	}
	return len(s.unreachable) >= minUnreachableServers && now.Sub(oldest) >= minUnreachableTime
}

// expire removes detours that are not used.
func (s *servicePaths) expire(now time.Time) {
	for server, known := range s.detours {
		if now.Sub(known.usedAt) > evidenceTTL {
			delete(s.detours, server)
			delete(s.detouredSince, server)
		}
	}
}
