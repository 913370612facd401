package gateway

import (
	"context"
	"time"

	"headcourse/core/balancer"
	"headcourse/core/request"
)

// hedge is an attempt at another server beside one whose server is silent. The first answer wins: if the silent
// server goes on, the hedge is aborted; if the hedge has an answer, or for a stream its next event, the silent exchange is
// aborted. A hedge that fails changes nothing. Its fields are guarded by the watchdog's mutex, except that result is
// constant once done is closed.
type hedge struct {
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	result attemptResult
	// evidence is that of the decision to start the hedge.
	evidence silenceEvidence
}

// startHedge starts a hedge if there may be one, and logs the decision. The caller holds the mutex.
func (w *watchdog) startHedge(evidence silenceEvidence) {
	j := w.attempt.job
	mayHedge := w.watch.IsAwaiting() && w.isResumable && len(w.attempt.trials) == 0 && j.history.MayHedge(j.limits())
	if !mayHedge || !w.hasAlternative(evidence.isLinkLost) || !j.payHedge() {
		w.logSilence(silenceKept, evidence)
		return
	}
	w.logSilence(silenceHedged, evidence)
	w.hedgeCount++
	h := &hedge{
		done:     make(chan struct{}),
		evidence: evidence,
	}
	h.ctx, h.cancel = context.WithCancel(w.attempt.ctx)
	w.hedge = h
	how := try{
		ctx:         h.ctx,
		lastEventID: w.lastEventID,
		lastEventAt: w.lastEventAt(),
		priority:    j.serverPriority(w.lastEventAt()),
		isHedge:     true,
		isResuming:  w.attempt.isResuming || w.phase == balancer.PhaseNextEvent,
		// Only this daemon's link to the silent servers may be lost.
		avoidsSuspects: !evidence.isLinkLost,
	}
	j.hasHedged.Store(true)
	j.hedges.Add(1)
	go func() {
		defer j.hedges.Done()
		defer close(h.done)
		w.runHedge(h, how)
	}()
}

// payHedge is payAttempt for a hedge.
func (j *job) payHedge() bool {
	if !j.payAttempt() {
		return false
	}
	j.server.count(countRetried, request.ReasonStalled)
	return true
}

// lastEventAt returns when the client received the last event; zero: none. The caller holds the mutex.
func (w *watchdog) lastEventAt() time.Time {
	if w.phase == balancer.PhaseNextEvent {
		return w.watch.Since()
	}
	return w.attempt.lastEventAt
}

// maxHedgeTries bounds the servers that one hedge tries. Those that refuse it may get a later hedge of the request.
const maxHedgeTries = 2

// runHedge tries servers until one has an answer, none may be tried any more, or the hedge is cancelled.
func (w *watchdog) runHedge(h *hedge, how try) {
	j := w.attempt.job
	for tries := 1; ; tries++ {
		result := j.attempt(how)
		if result.reason == request.ReasonNone {
			w.moveTo(h, result)
			return
		}
		isOver := tries >= maxHedgeTries || h.ctx.Err() != nil || result.attempt == nil || result.reason == request.ReasonDeadline
		if isOver || !j.history.MayHedge(j.limits()) || len(j.untriedServers()) == 0 || !j.payHedge() {
			w.endHedge(h, result)
			return
		}
	}
}

// moveTo lets the hedge win, unless the silent server has gone on meanwhile.
func (w *watchdog) moveTo(h *hedge, result attemptResult) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	h.result = result
	if w.hedge != h {
		h.discard()
		return
	}
	w.isMoved = true
	w.logSilence(silenceMoved, h.evidence)
	w.attempt.exchange.Abort()
}

// endHedge records that the hedge has failed, so that there may be another one.
func (w *watchdog) endHedge(h *hedge, result attemptResult) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	h.result = result
	if w.hedge == h {
		w.hedge = nil
		w.logSilence(silenceNotMoved, h.evidence)
	}
}

// discard releases the result of a hedge that another answer has preceded.
func (h *hedge) discard() {
	if h.result.stream != nil {
		h.result.attempt.release()
		h.result.attempt.job.trail.add(h.result.attempt, request.ReasonSuperseded)
	}
}

// cancelHedge aborts the hedge, if there is one that has not won. The caller holds the mutex.
func (w *watchdog) cancelHedge() {
	if w.hedge == nil || w.isMoved {
		return
	}
	w.logSilence(silenceContinued, w.hedge.evidence)
	w.hedge.cancel()
	w.hedge = nil
}

// settle ends the watchdog after the server has answered, and reports whether that answer counts. It does not if a
// hedge has won meanwhile.
func (w *watchdog) settle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopTimer()
	w.cancelHedge()
	return !w.isMoved
}

// abandon ends the watchdog and its hedge, whether that has won or not.
func (w *watchdog) abandon() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopTimer()
	if w.hedge == nil {
		return
	}
	if w.isMoved {
		w.hedge.discard()
	}
	w.hedge.cancel()
	w.hedge = nil
}

// takeHedge ends the watchdog after its attempt has failed, waits for the hedge if there is one, and returns its
// result. isAnswered is false if there is none, or if it failed too.
func (w *watchdog) takeHedge() (result attemptResult, isAnswered bool) {
	w.mutex.Lock()
	w.stopTimer()
	h := w.hedge
	w.mutex.Unlock()
	if h == nil {
		return attemptResult{}, false
	}
	<-h.done
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hedge = nil
	return h.result, w.isMoved
}

// hasMoved reports whether the request has moved to the server of a hedge.
func (w *watchdog) hasMoved() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.isMoved
}
