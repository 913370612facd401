// Package attempts counts the attempts to serve one request, and decides whether it may be sent to
// one more server.
//
// A further attempt either follows one that failed (a retry), or runs beside one whose server has
// been silent for unusually long (a hedge, as in Dean and Barroso, "The Tail at Scale", 2013). A
// silence does not show that a server is dead: the silent attempt goes on until another server has
// an answer, and the first answer wins.
package attempts

import (
	"maps"
	"sync"
)

const (
	// maxServers bounds the servers that are tried for one request, including those that refuse it.
	maxServers = 3
	// maxConnectFailures bounds the servers that are tried in vain because no connection to them could
	// be opened. They do not count as tried, since nothing was sent: when the servers of a zone go down
	// together, those of another zone can still serve the request.
	maxConnectFailures = 5
)

// Limits bound the servers that may run one request.
type Limits struct {
	// IsRepeatable is set if more than one server may run the request, and MaxRuns is how many may.
	IsRepeatable bool
	MaxRuns      int
}

// Result is what is known about an attempt once it has failed or its answer has begun.
type Result struct {
	// Server is the ID of the server.
	Server string
	// MayHaveRun is set if the server may have run the request, MayHaveArrived if any part of the request
	// may have reached it.
	MayHaveRun     bool
	MayHaveArrived bool
	// UnreachableZone is the availability zone of a server to which no connection could be opened; empty
	// if one was opened.
	UnreachableZone string
	// HasConnectFailed is set if no connection could be opened.
	HasConnectFailed bool
	// IsHedge is set if the attempt ran beside another one.
	IsHedge bool
}

// History is the attempts of one request. The zero value has none. It is safe for concurrent use.
type History struct {
	mutex sync.Mutex
	// begun counts all attempts, pending those without a result.
	begun   int
	pending int
	// runs counts the servers that may have run the request, arrivals those that it may have reached; retries
	// counts the arrivals besides the first that the retry budget has allowed.
	runs     int
	arrivals int
	retries  int
	// refusedHedges counts the hedges that reached a server, which did not run the request.
	refusedHedges   int
	connectFailures int
	excluded        map[string]bool
	// unreachableZones are the zones of servers to which no connection could be opened.
	unreachableZones map[string]bool
}

// Begin records that the request is sent to a server, which gets it only once.
func (h *History) Begin(server string) {
	h.Exclude(server)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.begun++
	h.pending++
}

// End records the result of an attempt that was begun.
func (h *History) End(result Result) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.pending--
	if result.MayHaveRun {
		h.runs++
	}
	if result.MayHaveArrived {
		h.arrivals++
	}
	if !result.HasConnectFailed {
		if result.IsHedge && !result.MayHaveRun {
			h.refusedHedges++
			delete(h.excluded, result.Server)
		}
		return
	}
	h.connectFailures++
	if h.unreachableZones == nil {
		h.unreachableZones = map[string]bool{}
	}
	h.unreachableZones[result.UnreachableZone] = true
}

// Exclude excludes a server from further attempts.
func (h *History) Exclude(server string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.excluded == nil {
		h.excluded = map[string]bool{}
	}
	h.excluded[server] = true
}

// MayRetry reports whether the request may be sent to one more server after its attempts have failed. Hedges that
// were refused do not count: they changed nothing.
func (h *History) MayRetry(limits Limits) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.hasServersLeft(h.begun-h.refusedHedges) && (h.runs == 0 || h.mayRunAgain(limits))
}

// MayHedge reports whether the request may be sent to one more server beside the pending attempts. Each
// of these counts as one that the server runs. Hedges that were refused do not count, so that the caller has to
// bound how many follow each other, and wait between them.
func (h *History) MayHedge(limits Limits) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.hasServersLeft(h.begun-h.refusedHedges) && h.mayRunAgain(limits)
}

// mayRunAgain reports whether one more server may run the request. The mutex must be held.
func (h *History) mayRunAgain(limits Limits) bool {
	return limits.IsRepeatable && h.runs+h.pending < limits.MaxRuns
}

// hasServersLeft reports whether one more server may be tried after a number of attempts. The mutex must be held.
func (h *History) hasServersLeft(tried int) bool {
	return tried-h.connectFailures < maxServers && h.connectFailures < maxConnectFailures
}

// Begun returns the number of attempts.
func (h *History) Begun() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.begun
}

// Runs returns how many servers may have run the request, by the attempts with a result.
func (h *History) Runs() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.runs
}

// NeedsRetry reports whether one more attempt needs a further retry from the retry budget. An attempt that reached no
// server leaves its retry to the next one.
func (h *History) NeedsRetry() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.arrivals+h.pending > h.retries
}

// AddRetry records a retry that the retry budget has allowed.
func (h *History) AddRetry() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.retries++
}

// HasArrived reports whether the request may have reached a server, by the attempts with a result.
func (h *History) HasArrived() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.arrivals > 0
}

// Excluded returns the servers that get no further attempt.
func (h *History) Excluded() map[string]bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return maps.Clone(h.excluded)
}

// IsZoneUnreachable reports whether no connection to a server of a zone could be opened.
func (h *History) IsZoneUnreachable(zone string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.unreachableZones[zone]
}
