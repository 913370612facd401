package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"headcourse/core/attempts"
	"headcourse/core/config"
	"headcourse/core/quarantine"
	"headcourse/core/request"
	"headcourse/core/shutdown"
	"headcourse/core/usage"
)

const (
	// noPriority means that no priority is sent, so the backend server sets it.
	noPriority = -1
	// minTimeLeft is the minimum time that must remain before the deadline for another attempt.
	minTimeLeft = 5 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer that is not a stream.
	maxAnswerBytes = 32 << 20
)

// job is a client request while it is served.
type job struct {
	server  *Server
	request *request.Request
	config  *config.Config
	// confirmation is the evidence for the age of config, and decidedAge that age when the request's key was accepted, or
	// its key or route refused; 0 if neither was judged.
	confirmation Confirmation
	decidedAge   time.Duration
	route        *config.Route
	organisation string
	service      string
	priority     int
	// expectedAnswer is the expected length of the answer, in tokens; 0: unknown.
	expectedAnswer float64
	// firstAttemptAt is the estimated time of the client's first attempt, which is before this
	// one if the client retries.
	firstAttemptAt time.Time
	// acceptedAt is when the request was accepted; deadline is when its client stops waiting.
	// Both are by the gateway's clock.
	acceptedAt time.Time
	deadline   time.Time
	// yields is set if the request gives way to others of its kind because not all can be in
	// time. overload is the decision by the totals of all daemons, if they are known, and
	// priorityFraction the fraction of the requests like this one that do not yield. deferredFor is how
	// long the request was held.
	yields           bool
	isDemandRecorded bool
	overload         OverloadState
	priorityFraction float64
	deferredFor      time.Duration
	stopClientWatch  func()
	// run measures how long the request takes; nil until it is taken.
	run *shutdown.Run
	// expectedDuration is how long the request was expected to take when a stop judged it last; 0: unknown.
	expectedDuration atomic.Int64

	// ctx ends when the client has disconnected, when the request is quarantined, and when it is
	// finished. All exchanges are then aborted.
	ctx    context.Context
	cancel context.CancelFunc
	// history counts the attempts, which may run beside each other; hedges are those that run beside a
	// silent one.
	history   attempts.History
	hedges    sync.WaitGroup
	hasHedged atomic.Bool
	// trail is the attempts as the log line of the request names them.
	trail attemptTrail
	// cachedDigest is the digest of the request's content; it is valid if hasDigest is set.
	cachedDigest quarantine.Digest
	hasDigest    bool
	// decidedReleases are the releases of servers for which the quarantine was checked last.
	decidedReleases []string
	// indexedDigests are the digests by which inFlight finds the request.
	indexedDigests []quarantine.Digest
	// isRetryBudgetSpent is set if the request was not retried because the retry budget was
	// empty.
	isRetryBudgetSpent bool
	// lastEventID is the ID of the last event that the client has received.
	lastEventID int64

	isClientGone atomic.Bool
	// isCutOff is set if the daemon has ended before the request.
	isCutOff atomic.Bool
	// isQuarantined is set if a server crashed under the trial of a request with the same
	// content or part of its prompt: this request is aborted and not retried. trials are the trials
	// that the next attempt belongs to unless it is a hedge, and refusedClaims counts the trials that other daemons
	// did not agree to. heldBy is the digest that holds the request, and quarantineLeft is how long
	// it does so.
	isQuarantined atomic.Bool
	trials        []quarantine.Trial
	// quarantineMutex guards the decision of the quarantine, which a hedge asks for too.
	quarantineMutex sync.Mutex
	refusedClaims   int
	heldBy          quarantine.Digest
	quarantineLeft  time.Duration
	isFinished      atomic.Bool
	// reservedBytes are taken from the memory for answers. isBodyHeld is set if the client still gets a body that holds some.
	reservedBytes atomic.Int64
	isBodyHeld    bool

	// The other fields measure a stream's events as the client receives them.
	lastEventAt      time.Time
	timeToFirstEvent time.Duration
	longestEventGap  time.Duration
	eventCount       int
}

// abortForClient aborts the exchanges of a client that has closed its connection.
func (j *job) abortForClient() {
	j.isClientGone.Store(true)
	j.cancel()
}

// timeLeft returns the time until the client's deadline.
func (j *job) timeLeft() time.Duration {
	return j.server.clock.Until(j.deadline)
}

// serve tries servers until there is an answer for the client or no further attempt is allowed.
func (j *job) serve(ctx *fasthttp.RequestCtx) {
	j.recordDemand()
	if status, reason := j.waitWhileDeferred(); reason != request.ReasonNone {
		j.refuse(ctx, status, reason)
		return
	}
	for !j.isClientGone.Load() {
		result := j.attempt(j.firstTry())
		if result.reason == request.ReasonNone {
			j.deliver(ctx, result)
			return
		}
		if !j.mayRetry(result) {
			j.answerFailure(ctx, result)
			return
		}
	}
	j.answerFailure(ctx, attemptResult{
		reason: request.ReasonClientGone,
	})
}

// deliver passes a server's answer to the client.
func (j *job) deliver(ctx *fasthttp.RequestCtx, result attemptResult) {
	ctx.SetStatusCode(result.answer.Status)
	for _, header := range result.answer.Headers {
		ctx.Response.Header.Add(header.Name, header.Value)
	}
	if result.stream != nil {
		ctx.Response.SetBodyStream(newStream(j, result.stream), -1)
		return
	}
	if j.reservedBytes.Load() == 0 {
		ctx.Response.SetBodyRaw(result.body)
	} else {
		j.isBodyHeld = true
		ctx.Response.SetBodyStream(newHeldBody(j, result.body), len(result.body))
	}
	j.finish(result.answer.Status, request.ReasonNone)
}

// recordAnswerSize records the size of a stream that was answered completely.
func (j *job) recordAnswerSize() {
	service := j.config.Service(j.service)
	if service == nil || service.Engine == nil || j.request.LastEventID > 0 {
		return
	}
	tokens := float64(j.eventCount * service.Engine.TokensPerEvent)
	j.server.sizes.Record(j.request.Model, usage.Size{
		Prompt: float64(j.request.PromptTokens),
		Answer: tokens,
	})
	j.server.hints.Record(j.organisation, j.request.Model, j.request.AnswerTokensHint, j.request.MaxTokens, tokens)
}

// answerFailure answers a request that failed. The status and the reason are as specific as is
// known.
func (j *job) answerFailure(ctx *fasthttp.RequestCtx, result attemptResult) {
	switch {
	case j.isClientGone.Load():
		ctx.SetConnectionClose()
		j.answerWithStatus(ctx, j.statusForGoneClient(), request.ReasonClientGone)
	case result.answer.Status >= fasthttp.StatusInternalServerError && result.reason == request.ReasonServerError:
		j.deliver(ctx, result)
	case j.history.Runs() == 0:
		j.refuse(ctx, fasthttp.StatusServiceUnavailable, result.reason)
	case result.reason == request.ReasonDeadline:
		j.server.count(countFailed, result.reason)
		j.answerWithStatus(ctx, fasthttp.StatusGatewayTimeout, result.reason)
	default:
		j.server.count(countFailed, result.reason)
		j.answerWithStatus(ctx, fasthttp.StatusBadGateway, result.reason)
	}
}

// statusForGoneClient returns the status for a client that has closed its sending side and may still read. 503 says that
// the request has not run.
func (j *job) statusForGoneClient() int {
	if j.history.Runs() == 0 {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}

// limits returns how many servers may run the request.
func (j *job) limits() attempts.Limits {
	return attempts.Limits{
		IsRepeatable: j.route.Repeatable(),
		MaxRuns:      j.route.MaxAttempts,
	}
}

// mayRetry reports whether a failed request may be tried at another server, and counts the
// retry if so.
func (j *job) mayRetry(result attemptResult) bool {
	if j.isClientGone.Load() || j.isQuarantined.Load() || j.isCutOff.Load() || j.timeLeft() < minTimeLeft {
		return false
	}
	switch result.reason {
	case request.ReasonNoServer, request.ReasonConfigurationStale, request.ReasonDeadline, request.ReasonClientGone,
		request.ReasonCrashesServers, request.ReasonDaemonStopping:
		return false
	}
	if !j.history.MayRetry(j.limits()) || len(j.untriedServers()) == 0 {
		return false
	}
	if !j.payAttempt() {
		j.server.count(countRefused, request.ReasonRetryBudgetSpent)
		j.isRetryBudgetSpent = true
		return false
	}
	j.server.count(countRetried, result.reason)
	return true
}
