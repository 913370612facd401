package gateway

import (
	"slices"
	"sync"
	"time"

	"headcourse/core/balancer"
	"headcourse/core/fleet"
	"headcourse/core/silence"
)

// watchdog watches an exchange for a silence of its server.
//
// The normal length of a silence depends on the model and the load, so the tracker learns how
// long servers of the same class are usually silent. After an unusual silence the server is
// ejected: new requests go to other servers until it sends something again, which costs little
// if it was only busy. After a much longer silence the request is also sent to another server, if
// allowed. That costs this server's time, so it must not be done for a server that is only busy.
//
// No silence ends the exchange: a server that stands still for a second goes on as if nothing had
// been, while the other one may refuse the request, fail or be silent as well. The exchange is
// aborted only once the other server has begun to answer.
type watchdog struct {
	attempt *attempt
	// phase is the part of the answer that is awaited; class is the class of requests whose
	// silences are compared.
	phase balancer.Phase
	class string

	startedAt time.Time

	mutex     sync.Mutex
	timer     *time.Timer
	watch     silence.Watch
	isEjected bool
	isStopped bool
	// lastEventID is the last event of the stream that has been read. isResumable is set unless an event had
	// no ID.
	lastEventID int64
	isResumable bool
	// hedge is the attempt beside this one, or nil. isMoved is set if it has an answer, so that this exchange is
	// aborted.
	hedge   *hedge
	isMoved bool
	// hedgeCount counts the hedges since the last event. The wait for the next one doubles with each.
	hedgeCount int
}

// maxHedgeBackoff is how often the wait for the next hedge doubles.
const maxHedgeBackoff = 3

// watchAnswerStart watches for the start of an answer.
func (a *attempt) watchAnswerStart() *watchdog {
	return a.startWatchdog(balancer.PhaseFirstEvent, a.lastEventID, false)
}

// startWatchdog starts a watchdog. For routes that are not repeatable the watchdog has no
// timer: such a request gets no hedge, and its duration shows little about the server.
func (a *attempt) startWatchdog(phase balancer.Phase, lastEventID int64, hasEventWithoutID bool) *watchdog {
	w := &watchdog{
		attempt:     a,
		phase:       phase,
		class:       a.job.requestClass(),
		startedAt:   time.Now(),
		watch:       silence.Watch{}.WithAwaiting(),
		lastEventID: lastEventID,
		isResumable: !hasEventWithoutID,
	}
	if !a.job.route.Repeatable() {
		return w
	}
	thresholds := a.job.server.tracker.SilenceThresholds(w.class, phase)
	w.mutex.Lock()
	w.watch = w.watch.WithTimer(thresholds.Eject)
	w.timer = time.AfterFunc(thresholds.Eject, w.check)
	w.mutex.Unlock()
	return w
}

// requestClass returns the class of requests whose silences are comparable.
func (j *job) requestClass() string {
	return j.service + "/" + j.request.Model + "/" + j.route.Name
}

// setAwaiting records that the daemon begins or ceases to await the server's bytes.
func (w *watchdog) setAwaiting(isAwaiting bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if isAwaiting {
		w.watch = w.watch.WithAwaiting()
	} else {
		w.watch = w.watch.WithoutAwaiting()
	}
}

// recordProgress records that the server sent an event, which ends a hedge.
func (w *watchdog) recordProgress(lastEventID int64, hasEventWithoutID bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watch = w.watch.WithProgress()
	w.isEjected = false
	w.hedgeCount = 0
	w.lastEventID = lastEventID
	w.isResumable = !hasEventWithoutID
	w.cancelHedge()
}

// check runs when a silence threshold may have been exceeded.
func (w *watchdog) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.isStopped || w.isMoved {
		return
	}
	s := w.attempt.job.server
	thresholds := s.tracker.SilenceThresholds(w.class, w.phase)
	late := w.watch.Lateness()
	w.watch = w.watch.WithTimerRun()
	isLinkLost := w.isLinkLost()
	silentFor := w.silentFor(isLinkLost)
	isReported := s.source.HasUnresponsiveMember(w.attempt.server)
	evidence := silenceEvidence{
		silentFor:  silentFor,
		late:       late,
		isLinkLost: isLinkLost,
	}
	action, next := thresholds.Action(silentFor, isLinkLost || isReported)
	if action != balancer.Wait && !isLinkLost {
		w.avoidServer(evidence)
	}
	if action == balancer.Hedge && w.hedge == nil {
		w.startHedge(evidence)
		next <<= min(w.hedgeCount, maxHedgeBackoff)
	}
	w.watch = w.watch.WithTimer(next)
	w.timer.Reset(next)
}

// avoidServer ejects the server, once a silence, and reports that its requests stall. The caller holds the mutex.
func (w *watchdog) avoidServer(evidence silenceEvidence) {
	s := w.attempt.job.server
	s.source.ReportStall(w.attempt.server)
	if w.isEjected {
		return
	}
	w.isEjected = true
	s.tracker.Eject(w.attempt.server.ID)
	w.logSilence(silenceAvoided, evidence)
}

// silentFor returns how long the server has been silent. Progress of other requests counts, unless this exchange's own
// link is lost. The caller holds the mutex.
func (w *watchdog) silentFor(isLinkLost bool) time.Duration {
	silentFor := w.watch.Duration()
	if isLinkLost {
		return silentFor
	}
	return min(silentFor, w.attempt.job.server.tracker.SilenceDuration(w.attempt.server.ID))
}

// isLinkLost reports whether new connections to the server go through other daemons, while this exchange
// has a direct one. Other requests then make progress at the server although this one cannot.
func (w *watchdog) isLinkLost() bool {
	return w.attempt.peer == "" && w.attempt.job.server.backends.IsLinkLost(w.attempt.server.Address)
}

// stopTimer stops the timer. The caller holds the mutex.
func (w *watchdog) stopTimer() {
	w.isStopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// hasAlternative reports whether a server that the request has not tried yet may be better: one that is no
// suspect, or any if only this daemon's link to the silent one is lost.
func (w *watchdog) hasAlternative(isLinkLost bool) bool {
	j := w.attempt.job
	return slices.ContainsFunc(j.untriedServers(), func(candidate fleet.Server) bool {
		return isLinkLost || !j.server.tracker.IsSuspect(candidate.ID)
	})
}
