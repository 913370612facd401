package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/io/backend"
)

// Parts of a route's goals after which silence counts as a stall. They leave
// the rest of the goal for another server to read the prompt and go on.
const (
	firstShare = 0.55
	pauseShare = 0.5
	// safeShare is the same for requests that are answered whole.
	safeShare = 0.7
	// leastSilence is the shortest silence that counts: an engine reads a long
	// prompt between two events of the others.
	leastSilence = 80 * time.Millisecond
	// longestCalm bounds how often a stall is put off because the server is
	// heard by other requests.
	longestCalm = 6
)

// watchdog aborts an exchange whose server falls silent, if the request can go
// to another server. A server that is heard by other requests meanwhile is only
// busy, and is given more time.
type watchdog struct {
	job      *job
	server   fleet.Server
	exchange *backend.Exchange
	limit    time.Duration
	// mayMove tells that the request may run at another server as well.
	mayMove bool

	mutex   sync.Mutex
	timer   *time.Timer
	fed     time.Time
	putOff  int
	stopped bool
	bitten  atomic.Bool
}

// watchFirst watches for the beginning of an answer. The send is not counted
// among the job's runs yet.
func (j *job) watchFirst(server fleet.Server, exchange *backend.Exchange) *watchdog {
	var limit time.Duration
	switch j.route.Kind {
	case config.Stream:
		limit = time.Duration(firstShare * float64(j.route.Goal))
	case config.Safe:
		limit = time.Duration(safeShare * float64(j.route.Goal))
	case config.Unsafe:
	}
	return j.watch(server, exchange, limit, j.runs+1)
}

// watchPauses watches for the next event of a stream, whose send is counted.
func (j *job) watchPauses(server fleet.Server, exchange *backend.Exchange) *watchdog {
	return j.watch(server, exchange, time.Duration(pauseShare*float64(j.route.PauseGoal)), j.runs)
}

// watch starts a watchdog; without a limit it never bites.
func (j *job) watch(server fleet.Server, exchange *backend.Exchange, limit time.Duration, runs int) *watchdog {
	w := &watchdog{
		job:      j,
		server:   server,
		exchange: exchange,
		limit:    max(limit, leastSilence),
		mayMove:  j.route.Repeatable() && runs < j.route.MaxAttempts && j.sends < maxSends,
		fed:      time.Now(),
	}
	if limit > 0 {
		w.mutex.Lock()
		w.timer = time.AfterFunc(w.limit, w.look)
		w.mutex.Unlock()
	}
	return w
}

// feed notes that the server sent something for this request.
func (w *watchdog) feed() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fed = time.Now()
	w.putOff = 0
}

// look runs when the limit may have passed.
func (w *watchdog) look() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	silent := time.Since(w.fed)
	if silent < w.limit {
		w.timer.Reset(w.limit - silent)
		return
	}
	if w.job.server.tracker.SilentFor(w.server.ID) < w.limit && w.putOff < longestCalm {
		w.putOff++
		w.timer.Reset(w.limit / 2)
		return
	}
	if w.mayMove && w.hasOther() {
		w.bitten.Store(true)
		w.exchange.Abort()
		return
	}
	w.job.server.tracker.Failed(w.server.ID, false)
	w.job.server.source.Stalled(w.server)
}

// hasBitten tells whether the exchange was aborted for its silence.
func (w *watchdog) hasBitten() bool {
	return w.bitten.Load()
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
	for _, other := range w.job.server.source.View().Fleet.Serving(w.job.service, w.job.request.Model) {
		if other.ID != w.server.ID && !w.job.server.tracker.IsResting(other.ID) {
			return true
		}
	}
	return false
}
