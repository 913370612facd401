package shutdown

import (
	"sync"
	"time"
)

// Bounds of what is kept of a kind of request.
const (
	// maxEnded is the number of requests that are kept of each kind, the latest ones.
	maxEnded = 100
	// minEnded is the number of ended requests below which nothing is known of a kind.
	minEnded = 10
	// maxKinds bounds the kinds of requests; nothing is learned of further ones.
	maxKinds = 500
)

// Request is what is known of a request before it runs.
type Request struct {
	// Kind groups requests whose answers come at about the same pace.
	Kind string
	// LargestAnswer is the number of events of the longest answer that the request allows; 0: unknown.
	LargestAnswer int
}

// Durations learns how long requests take, by their kind, from those that have ended with a whole answer and from those that
// still run. The zero value knows nothing and is safe for concurrent use.
type Durations struct {
	mutex sync.Mutex
	kinds map[string]*kind
}

// kind is what is known of one kind of request.
type kind struct {
	// ended is a ring; next is the place of the next request in it once it is full.
	ended   []observation
	next    int
	running map[*Run]struct{}
}

// Run is a request in flight. The zero value belongs to no kind, and nothing is learned from it.
type Run struct {
	durations *Durations
	request   Request
	startedAt time.Time
	// firstEventAt and lastEventAt are when the client received the first and the last event.
	firstEventAt time.Time
	lastEventAt  time.Time
	events       int
}

// Begin records the start of a request. Its Run must be ended.
func (d *Durations) Begin(request Request) *Run {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.kinds[request.Kind]
	if known == nil {
		if len(d.kinds) >= maxKinds {
			return &Run{}
		}
		if d.kinds == nil {
			d.kinds = map[string]*kind{}
		}
		known = &kind{
			running: map[*Run]struct{}{},
		}
		d.kinds[request.Kind] = known
	}
	run := &Run{
		durations: d,
		request:   request,
		startedAt: time.Now(),
	}
	known.running[run] = struct{}{}
	return run
}

// RecordEvent records that the client has received an event of the answer.
func (r *Run) RecordEvent() {
	if r.durations == nil {
		return
	}
	r.durations.mutex.Lock()
	defer r.durations.mutex.Unlock()
	r.lastEventAt = time.Now()
	if r.events == 0 {
		r.firstEventAt = r.lastEventAt
	}
	r.events++
}

// End records the end of the request. Nothing is learned from one that did not end with a whole answer: it may have failed at
// once, or been cut. Only the first call has an effect.
func (r *Run) End(isWhole bool) {
	if r.durations == nil {
		return
	}
	r.durations.mutex.Lock()
	defer r.durations.mutex.Unlock()
	known := r.durations.kinds[r.request.Kind]
	if known == nil {
		return
	}
	if _, isRunning := known.running[r]; !isRunning {
		return
	}
	delete(known.running, r)
	if isWhole {
		known.add(r.observe(false))
	}
	// A client may name any kind.
	if len(known.running) == 0 && len(known.ended) == 0 {
		delete(r.durations.kinds, r.request.Kind)
	}
}

// add keeps an ended request in the place of the oldest one.
func (k *kind) add(ended observation) {
	if len(k.ended) < maxEnded {
		k.ended = append(k.ended, ended)
		return
	}
	k.ended[k.next] = ended
	k.next = (k.next + 1) % maxEnded
}

// Expected returns how long nearly all requests like one take; 0: unknown. If nearly as many still run as have ended by any
// time, it is how long the longest answer takes that the request allows.
func (d *Durations) Expected(request Request) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.kinds[request.Kind]
	if known == nil || len(known.ended) < minEnded {
		return 0
	}
	observations := append([]observation(nil), known.ended...)
	for run := range known.running {
		observations = append(observations, run.observe(true))
	}
	if expected, ok := typicalDuration(observations, request.LargestAnswer); ok {
		return expected
	}
	return largestDuration(observations, request.LargestAnswer)
}
