package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"headcourse/core/balancer"
	"headcourse/core/fleet"
	"headcourse/io/backend"
)

// watchdog looks after an exchange whose server may fall silent.
//
// What silence means depends on the model and the load, so the tracker learns
// how long servers of the same kind are usually silent. After an unusual
// silence the server is rested: others take the new requests until it is heard
// again, which costs little when it was only busy. After a much longer one the
// request itself goes to another server, if it may: there it begins anew, which
// costs the other server's time, so this must not be done to a busy server.
type watchdog struct {
	job      *job
	server   fleet.Server
	exchange *backend.Exchange
	// phase is what is waited for; kind is the servers that are compared.
	phase balancer.Phase
	kind  string
	// mayMove tells that the request may run at another server as well.
	mayMove bool

	mutex sync.Mutex
	timer *time.Timer
	// fed is when the server last sent something; isRested tells that it has
	// been rested since; fired that the exchange was aborted.
	fed      time.Time
	isRested bool
	stopped  bool
	fired    atomic.Bool
}

// watchFirst watches for the beginning of an answer. The send is not counted
// among the job's runs yet.
func (j *job) watchFirst(server fleet.Server, exchange *backend.Exchange) *watchdog {
	return j.watch(server, exchange, balancer.First, j.runs+1)
}

// watchPauses watches for the next event of a stream, whose send is counted.
func (j *job) watchPauses(server fleet.Server, exchange *backend.Exchange) *watchdog {
	return j.watch(server, exchange, balancer.Pause, j.runs)
}

// watch starts a watchdog. Requests that are not repeated have none: nothing
// can be done for them, and their length tells little.
func (j *job) watch(server fleet.Server, exchange *backend.Exchange, phase balancer.Phase, runs int) *watchdog {
	w := &watchdog{
		job:      j,
		server:   server,
		exchange: exchange,
		phase:    phase,
		kind:     j.kind(),
		mayMove:  j.route.Repeatable() && runs < j.route.MaxAttempts && j.sends < maxSends,
		fed:      time.Now(),
	}
	if !j.route.Repeatable() {
		return w
	}
	limits := j.server.tracker.Limits(w.kind, phase)
	w.mutex.Lock()
	w.timer = time.AfterFunc(limits.Rest, w.look)
	w.mutex.Unlock()
	return w
}

// kind names the servers whose silences are alike.
func (j *job) kind() string {
	return j.service + "/" + j.request.Model + "/" + j.route.Name
}

// feed notes that the server sent something for this request.
func (w *watchdog) feed() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fed = time.Now()
	w.isRested = false
}

// look runs when a limit may have passed.
func (w *watchdog) look() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	tracker := &w.job.server.tracker
	limits := tracker.Limits(w.kind, w.phase)
	silent := min(time.Since(w.fed), tracker.SilentFor(w.server.ID))
	step, again := limits.Step(silent, w.job.server.source.IsStill(w.server))
	if step != balancer.Wait && !w.isRested {
		w.isRested = true
		tracker.Rest(w.server.ID)
		w.job.server.source.Stalled(w.server)
	}
	if step == balancer.Move {
		w.job.server.source.Stalled(w.server)
		if w.mayMove && w.hasOther() && w.job.payAhead() {
			w.fired.Store(true)
			w.exchange.Abort()
			return
		}
	}
	w.timer.Reset(again)
}

// hasFired tells whether the exchange was aborted for its silence.
func (w *watchdog) hasFired() bool {
	return w.fired.Load()
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// hasOther tells whether another server could take the request now.
func (w *watchdog) hasOther() bool {
	for _, other := range w.job.server.serving(w.job.service, w.job.request.Model) {
		if other.ID != w.server.ID && !w.job.server.tracker.IsResting(other.ID) {
			return true
		}
	}
	return false
}
