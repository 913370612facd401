package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/completeness"
	"headcourse/core/quarantine"
	"headcourse/core/request"
)

// checkQuarantine checks, right before the request would be sent, whether the crashes recorded for
// its digests allow that. A suspect may be sent only in a trial that all daemons agree to; others
// wait a short time for the result. It returns the reason if the request must not be sent.
func (j *job) checkQuarantine() request.Reason {
	if j.mayResendTrials() {
		return request.ReasonNone
	}
	j.trials = nil
	deadline := time.Now().Add(min(quarantine.MaxTrialWait, j.timeLeft()/2))
	for {
		decision := j.decide()
		switch {
		case decision.Action == quarantine.Send:
			return request.ReasonNone
		case decision.Action == quarantine.SendAsTrial && len(j.untriedServers()) == 0:
			// Without a server a trial would have no result, and the next one would have to wait.
			return j.noServerReason()
		case decision.Action == quarantine.SendAsTrial && j.claimTrials(decision.Trials):
			return request.ReasonNone
		}
		if !j.mayAwaitTrial(decision, deadline) {
			return request.ReasonCrashesServers
		}
		time.Sleep(trialPollInterval)
	}
}

// checkQuarantineOfHedge is checkQuarantine for a hedge. A suspect is not sent to a second server beside the first, and
// nothing waits for the store.
func (j *job) checkQuarantineOfHedge() request.Reason {
	if j.decide().Action != quarantine.Send {
		return request.ReasonCrashesServers
	}
	return request.ReasonNone
}

// decide returns the quarantine's decision on the request's digests.
func (j *job) decide() quarantine.Decision {
	j.quarantineMutex.Lock()
	defer j.quarantineMutex.Unlock()
	j.decidedReleases = j.releases()
	digests := j.digests()
	j.server.inFlightByDigest.add(j, digests)
	decision := j.server.ledger.Decide(digests...)
	j.quarantineLeft = decision.RetryAfter
	j.heldBy = decision.HeldBy
	return decision
}

// mayAwaitTrial reports whether the request may wait for the result of a trial. A request that is
// known to crash servers, or whose client has disconnected, does not wait.
func (j *job) mayAwaitTrial(decision quarantine.Decision, deadline time.Time) bool {
	return decision.MayWait && time.Now().Before(deadline) && j.refusedClaims < maxRefusedClaims && !j.isClientGone.Load() && !j.isQuarantined.Load()
}

// clearSuspicion records that a server answered the request completely without crashing, so
// earlier crashes had another cause. Only a success proves that the request ran to its end: a
// failure may be the answer to a request that waited in a queue until its deadline. An answer
// whose end is the end of its connection proves nothing either, since it looks the same if the
// server crashes. An empty answer does not show that the server began to write one, which may be
// what crashes it on a part of the prompt.
func (a *attempt) clearSuspicion(answer request.Answer, hasContent bool) {
	j := a.job
	isSuccess := answer.Status >= fasthttp.StatusOK && answer.Status < fasthttp.StatusMultipleChoices
	if !isSuccess || a.exchange.Framing() == completeness.FramedByClose {
		return
	}
	cleared := []quarantine.Digest{j.contentDigest()}
	if hasContent {
		cleared = append(cleared, j.partDigests(a.server.Release)...)
	}
	for _, digest := range cleared {
		if rows := j.server.ledger.RecordAnswer(digest, a.sentAt); rows.HasRows() {
			j.server.source.RemoveCrashReports(rows)
		}
	}
}

// abortQuarantined aborts the requests in flight with a digest that has just been quarantined. One
// that still waits in a queue would crash one more server, with all the requests that run
// there.
func (s *Server) abortQuarantined(digest quarantine.Digest) {
	metrics.GetOrRegisterCounter(countQuarantined, s.registry).Inc(1)
	jobs := s.inFlightByDigest.find(digest)
	for _, j := range jobs {
		j.isQuarantined.Store(true)
		j.cancel()
	}
	s.log.Warn("clients: request held, a server ended under its trial",
		zap.Stringer("digest", digest),
		zap.Strings("ended", s.ledger.CrashedStarts(digest)),
		zap.Int("broken_off", len(jobs)))
}
