package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// silenceDecision is what a daemon does about a server that has been silent for unusually long.
type silenceDecision string

// The decisions: the server gets no new requests (avoided); the request is sent to another server too (hedged), or is not
// since that is not possible (kept). The results of a hedge: the other server had an answer first (moved), the silent one
// went on first (continued), or the other one had none (not_moved).
const (
	silenceAvoided   silenceDecision = "avoided"
	silenceHedged    silenceDecision = "hedged"
	silenceKept      silenceDecision = "kept"
	silenceMoved     silenceDecision = "moved"
	silenceContinued silenceDecision = "continued"
	silenceNotMoved  silenceDecision = "not_moved"
)

// countSilences is the prefix of counters of these decisions.
const countSilences = "silences."

// silenceEvidence is what a decision about a silence rests on.
type silenceEvidence struct {
	silentFor time.Duration
	// late is how late the timer of the watchdog ran: for so long this daemon itself stood still.
	late time.Duration
	// isLinkLost is set if new connections to the server go through other daemons.
	isLinkLost bool
}

// logSilence counts a decision and writes a log line with its evidence. The caller holds the mutex.
func (w *watchdog) logSilence(decision silenceDecision, evidence silenceEvidence) {
	j, server := w.attempt.job, w.attempt.server
	s := j.server
	metrics.GetOrRegisterCounter(countSilences+string(decision), s.registry).Inc(1)
	mayWrite, suppressed := s.silenceThrottle.Allow(server.ID + "/" + string(decision))
	if !mayWrite {
		return
	}
	servers := s.availableServers(j.service, j.request.Model)
	suspects := 0
	for _, other := range servers {
		if s.tracker.IsSuspect(other.ID) {
			suspects++
		}
	}
	s.log.Info("servers: silent",
		zap.String("request_id", j.request.ID),
		zap.String("server", server.ID),
		zap.String("group", server.Membership.Group),
		zap.String("decision", string(decision)),
		zap.String("phase", w.phase.String()),
		zap.Int64("silence_ms", evidence.silentFor.Milliseconds()),
		zap.Int64("exchange_silence_ms", w.watch.Duration().Milliseconds()),
		zap.Int64("timer_late_ms", evidence.late.Milliseconds()),
		zap.Bool("is_link_lost", evidence.isLinkLost),
		zap.Bool("is_reported", s.source.HasUnresponsiveMember(server)),
		zap.Bool("may_hedge", j.history.MayHedge(j.limits())),
		zap.Int("servers", len(servers)),
		zap.Int("suspects", suspects),
		zap.Int("lines_left_out", suppressed))
}
