package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"headcourse/platform/wire"
)

// clientTime is the time that clients give a request, as its header tells daemons.
const clientTime = 6 * time.Second

// maxWaitInDaemon is how long a request may wait in a daemon: a quarter of the client's time, plus a
// second for the network, the start of clients and a busy machine.
const maxWaitInDaemon = clientTime/4 + time.Second

// reasonOverload is the text with which a daemon refuses a request because of an overload.
const reasonOverload = "overload"

// overloadLedger records which requests arrived at servers and which were refused because of an
// overload. The zero value is empty.
type overloadLedger struct {
	mutex sync.Mutex
	// sent is when requests were sent while waits are checked. It keeps the monotonic clock, since a
	// step of the wall clock would count as a wait.
	sent    map[string]time.Time
	arrived map[string]bool
	refused map[string]bool
	// checksWaits is set while waits are checked.
	checksWaits bool
	counts      OverloadCounts
}

// OverloadCounts are the number of requests that were refused because of an overload, the number of
// requests whose waits were checked, and the longest wait among these.
type OverloadCounts struct {
	Refused      int
	WaitsChecked int
	LongestWait  time.Duration
}

// OverloadCounts returns the counts so far.
func (p *Platform) OverloadCounts() OverloadCounts {
	p.overload.mutex.Lock()
	defer p.overload.mutex.Unlock()
	return p.overload.counts
}

// CheckWaits begins or ends the check of how long requests wait in daemons. It is for times without
// other faults, since these delay requests too.
func (p *Platform) CheckWaits(isOn bool) {
	p.overload.mutex.Lock()
	defer p.overload.mutex.Unlock()
	p.overload.checksWaits = isOn
	p.overload.sent = map[string]time.Time{}
}

// recordSent records that a client sends a request, or the rest of its body, now: a daemon can serve it from then on.
func (p *Platform) recordSent(id string) {
	p.overload.mutex.Lock()
	defer p.overload.mutex.Unlock()
	if p.overload.checksWaits {
		p.overload.sent[id] = time.Now()
	}
}

// recordArrival records that a request arrived at a server. It records a violation if the request was
// refused because of an overload before, or if it waited too long until its first arrival.
func (p *Platform) recordArrival(r *http.Request) {
	id := r.Header.Get(wire.HeaderID)
	l := &p.overload
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.refused[id] {
		p.recordViolation("request " + id + " was refused because of an overload, and arrived at a server later")
	}
	isFirst := !l.arrived[id]
	if l.arrived == nil {
		l.arrived = map[string]bool{}
	}
	l.arrived[id] = true
	if isFirst {
		p.checkWait(id)
	}
}

// recordRefusal records that a daemon refused a request because of an overload. It records a violation
// if the request had arrived at a server, or if it was refused too late. A GET may have arrived through
// another daemon or an earlier start of the same, since net/http repeats it when a connection ends, so
// only its wait is checked.
func (p *Platform) recordRefusal(method, id string) {
	l := &p.overload
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.Refused++
	if method != http.MethodGet {
		if l.arrived[id] {
			p.recordViolation("request " + id + " was refused because of an overload, but had arrived at a server")
		}
		if l.refused == nil {
			l.refused = map[string]bool{}
		}
		l.refused[id] = true
	}
	p.checkWait(id)
}

// checkWait records a violation if a request that was sent while waits are checked waited too long in
// its daemon. The ledger's mutex is held.
func (p *Platform) checkWait(id string) {
	sent, ok := p.overload.sent[id]
	if !ok {
		return
	}
	waited := time.Since(sent)
	p.overload.counts.WaitsChecked++
	p.overload.counts.LongestWait = max(p.overload.counts.LongestWait, waited)
	if waited > maxWaitInDaemon {
		p.recordViolation(fmt.Sprintf("request %s waited %s in its daemon, more than %s", id, waited.Round(time.Millisecond), maxWaitInDaemon))
	}
}

// SetSlowdown makes the server answer a number of times later; 0 or 1 ends this. Unlike SetPace, it
// changes the answers and not the report.
func (s *Server) SetSlowdown(factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowdown = factor
}

// slowed returns a time of the server's work under its slowdown.
func (s *Server) slowed(duration time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(float64(duration) * max(1, s.slowdown))
}

// WithEngineTimings adds to the configuration the figures from which daemons tell an overload: the
// timings of the stand-in's engines and the usual lengths.
func WithEngineTimings(config *wire.Config) {
	const (
		// requestsShare is the share of a step's time that depends on the number of its requests.
		requestsShare                   = 0.1
		prefillTokensPerSecond          = 50_000
		usualPrompt, usualAnswer, chunk = 100, 170, 1024
		stepMilliseconds                = float64(eventInterval) / float64(time.Millisecond) / tokensPerEvent
	)
	for i := range config.Services {
		engine := config.Services[i].Engine
		if engine == nil {
			continue
		}
		engine.StepMs = stepMilliseconds * (1 - requestsShare)
		engine.PerSeqMs = stepMilliseconds * requestsShare / serverCapacity
		engine.ReadPerS = prefillTokensPerSecond
		engine.Chunk = chunk
		engine.Stride = tokensPerEvent
		engine.Usual.Prompt = usualPrompt
		engine.Usual.Answer = usualAnswer
	}
}
