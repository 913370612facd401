package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/attempts"
	"headcourse/core/balancer"
	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/core/quarantine"
	"headcourse/core/request"
	"headcourse/io/backend"
	"headcourse/io/http1"
)

// maxStaleAnswers bounds the heads that are read from a connection in search of the request's
// own answer. The others answer earlier requests.
const maxStaleAnswers = 3

// try is how the next attempt is made.
type try struct {
	// ctx aborts the attempt.
	ctx context.Context
	// lastEventID is the last event that the client has received; 0: none.
	lastEventID int64
	// priority is the request's priority at the server, or noPriority.
	priority int
	// isHedge is set for an attempt beside another one, whose server is silent. avoidsSuspects is set if servers
	// that are silent too must not get it.
	isHedge        bool
	avoidsSuspects bool
	// isResuming is set if the client has received the head of the answer, which only a stream can go on with.
	// lastEventAt is when the client received the last event; zero: none.
	isResuming  bool
	lastEventAt time.Time
}

// firstTry returns how an attempt is made that runs alone.
func (j *job) firstTry() try {
	return try{
		ctx:         j.ctx,
		lastEventID: j.lastEventID,
		lastEventAt: j.lastEventAt,
		priority:    j.serverPriority(j.lastEventAt),
	}
}

// resumingTry returns how an attempt is made that goes on with a stream.
func (j *job) resumingTry() try {
	how := j.firstTry()
	how.isResuming = true
	return how
}

// attempt is one attempt at one server.
type attempt struct {
	try
	job      *job
	server   fleet.Server
	exchange *backend.Exchange
	// peer is the daemon that the connection goes through; empty if it is direct.
	peer string
	// sentAt is the time of the attempt, limitSentAt the same by the clock of the rate limiter.
	sentAt      time.Time
	limitSentAt time.Time
	// trials are the trials that the attempt belongs to; a hedge belongs to none.
	trials []quarantine.Trial
	// watchdog is nil until the request has been written.
	watchdog *watchdog
	// done ends the attempt's part of the server's load; stopAbort ends the link to ctx.
	done      func()
	stopAbort func() bool
}

// release ends the attempt and its exchange, if that has not ended.
func (a *attempt) release() {
	if a.watchdog != nil {
		a.watchdog.abandon()
	}
	if a.exchange != nil {
		a.exchange.Abort()
	}
	if a.stopAbort != nil {
		a.stopAbort()
	}
	a.done()
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt *attempt
	// reason is why the attempt failed; ReasonNone if answer is the server's answer.
	reason request.Reason
	// mayHaveRun is set if the server may have started to run the request.
	mayHaveRun bool
	// closedByPeer is set if the server closed or reset the connection before its answer was
	// complete, as a crashing process does.
	closedByPeer bool
	// firstEventAt is when the first event of a stream that broke off arrived; zero: none did.
	firstEventAt time.Time
	answer       request.Answer
	body         []byte
	stream       *serverStream
}

// mayHaveArrived reports whether any part of the request may have reached the server.
func (r attemptResult) mayHaveArrived() bool {
	switch r.reason {
	case request.ReasonConnectFailed, request.ReasonServersPaused, request.ReasonServersLimited, request.ReasonZoneEvacuated,
		request.ReasonSuperseded:
		return r.mayHaveRun
	default:
		return true
	}
}

// forHistory returns what further attempts depend on.
func (r attemptResult) forHistory() attempts.Result {
	result := attempts.Result{
		Server:           r.attempt.server.ID,
		IsHedge:          r.attempt.isHedge,
		MayHaveRun:       r.mayHaveRun || r.reason == request.ReasonNone,
		MayHaveArrived:   r.mayHaveArrived(),
		HasConnectFailed: r.reason == request.ReasonConnectFailed && !r.mayHaveRun,
	}
	if result.HasConnectFailed {
		result.UnreachableZone = r.attempt.server.Zone
	}
	return result
}

// attempt sends the request to one server and reads its answer, or for a stream the events up
// to the first one that the client has not received. If a hedge has an answer first, it returns that.
func (j *job) attempt(how try) attemptResult {
	if reason := j.checkBeforeAttempt(how); reason != request.ReasonNone {
		return attemptResult{
			reason: reason,
		}
	}
	selected, ok := j.selectServer(how)
	if !ok {
		return attemptResult{
			reason: j.noServerReason(),
		}
	}
	defer selected.reservation.Release()
	if !j.isDecidedFor(selected.server) {
		// The server has appeared since the check.
		selected.done()
		return attemptResult{
			reason: request.ReasonNoServer,
		}
	}
	a := &attempt{
		try:    how,
		job:    j,
		server: selected.server,
		sentAt: time.Now(),
		done:   selected.done,
	}
	if !how.isHedge {
		a.trials = j.trials
	}
	j.history.Begin(a.server.ID)
	result := a.run(selected)
	if result.reason == request.ReasonNone && how.isResuming && result.stream == nil {
		result.reason = request.ReasonBadAnswer
		result.mayHaveRun = true
	}
	if result.reason == request.ReasonNone && !a.watchdog.settle() {
		result = a.brokenResult(nil)
	}
	result.attempt = a
	j.history.End(result.forHistory())
	a.reportOutcome(result)
	j.trail.add(a, result.reason)
	if result.reason == request.ReasonNone {
		if result.stream == nil {
			a.release()
		}
		return result
	}
	a.done()
	hedged, isAnswered := a.takeHedge()
	a.release()
	if isAnswered {
		return hedged
	}
	return result
}

// takeHedge waits for the hedge of an attempt that has failed, if it has one, and returns its answer.
func (a *attempt) takeHedge() (result attemptResult, isAnswered bool) {
	if a.watchdog == nil {
		return attemptResult{}, false
	}
	return a.watchdog.takeHedge()
}

// checkBeforeAttempt returns why the request must not be sent to any server, or ReasonNone.
func (j *job) checkBeforeAttempt(how try) request.Reason {
	check := j.checkQuarantine
	if how.isHedge {
		check = j.checkQuarantineOfHedge
	}
	if reason := check(); reason != request.ReasonNone {
		return reason
	}
	// The agreement on a trial waits for the store, so the view may have become too old.
	if j.config.NeedsKey(j.route) && !j.server.source.ConfirmationPolicy().MayAcceptKeys(j.server.source.Confirmation().age(j.server.clock)) {
		return request.ReasonConfigurationStale
	}
	if j.timeLeft() < minTimeLeft {
		return request.ReasonDeadline
	}
	// A request that has not run is given back, so that another daemon can serve it.
	if j.history.Runs() == 0 && !j.mayFinish() {
		return request.ReasonDaemonStopping
	}
	return request.ReasonNone
}

// run sends the request and reads the answer.
func (a *attempt) run(selected selection) attemptResult {
	j := a.job
	head := j.server.codec.WriteHead(j.request, request.Attempt{
		ServerID:     a.server.ID,
		Organisation: j.organisation,
		Remaining:    j.timeLeft(),
		Priority:     a.priority,
		LastEventID:  a.lastEventID,
	})
	if err := a.send(selected, head); err != nil {
		return a.sendFailure(err)
	}
	if err := a.exchange.SetReadDeadline(time.Now().Add(j.timeLeft())); err != nil {
		return a.brokenResult(err)
	}
	a.watchdog = a.watchAnswerStart()
	answer, hadStaleAnswer, err := a.readAnswerHead()
	if err != nil {
		return a.brokenResult(err)
	}
	isReusable := !answer.Close && !hadStaleAnswer
	switch {
	case answer.IsNotExecuted:
		return a.handleRefusal(answer, isReusable)
	case !isAuthentic(answer, j.request):
		a.exchange.Abort()
		return attemptResult{
			reason:     request.ReasonBadAnswer,
			mayHaveRun: true,
		}
	case j.isStream(answer):
		return a.beginStream(answer, isReusable)
	default:
		return a.readBody(answer, isReusable)
	}
}

// Errors of requests that were not written: the server is paused or draining (errPaused), at its
// rate limit (errLimited), or in an evacuated zone (errEvacuated), or the attempt was aborted (errAborted).
var (
	errPaused    = errors.New("server is paused or draining")
	errLimited   = errors.New("server is at its rate limit")
	errEvacuated = errors.New("server is in an evacuated zone")
	errAborted   = errors.New("attempt was aborted")
)

// sendFailure returns the result of an attempt whose request could not be written.
func (a *attempt) sendFailure(err error) attemptResult {
	switch {
	case errors.Is(err, errAborted):
		return attemptResult{
			reason: a.brokenResult(err).reason,
		}
	case errors.Is(err, errPaused):
		return attemptResult{
			reason: request.ReasonServersPaused,
		}
	case errors.Is(err, errLimited):
		return attemptResult{
			reason: request.ReasonServersLimited,
		}
	case errors.Is(err, errEvacuated):
		return attemptResult{
			reason: request.ReasonZoneEvacuated,
		}
	}
	var failed *http1.Error
	return attemptResult{
		reason:     request.ReasonConnectFailed,
		mayHaveRun: errors.As(err, &failed) && failed.MayHaveBeenSent,
	}
}

// send writes the request to the server. It returns errPaused, errLimited or errEvacuated if the
// server has become unavailable since its selection. On a busy VM or a slow connection that may
// be hundreds of milliseconds later.
func (a *attempt) send(selected selection, head []byte) error {
	s := a.job.server
	startedAt := time.Now()
	exchange, err := a.connect()
	s.recordConnect(a.server, startedAt, err)
	if err != nil {
		return err
	}
	if s.directives.IsExcluded(a.server.StartID()) {
		exchange.Release()
		return errPaused
	}
	if s.isEvacuated(s.source.View(), a.server) {
		exchange.Release()
		return errEvacuated
	}
	if a.ctx.Err() != nil {
		exchange.Release()
		return errAborted
	}
	if !a.useReservation(selected.reservation) {
		exchange.Release()
		return errLimited
	}
	a.exchange = exchange
	a.peer = exchange.Peer()
	a.stopAbort = context.AfterFunc(a.ctx, exchange.Abort)
	return exchange.Send(head, a.job.request.Body)
}

// connect returns an exchange with the server, on a connection that suits the route.
func (a *attempt) connect() (*backend.Exchange, error) {
	if a.job.route.Repeatable() {
		return a.job.server.backends.ConnectRepeatable(a.server.ID, a.server.Address)
	}
	return a.job.server.backends.Connect(a.server.ID, a.server.Address)
}

// readBody reads the body of an answer that is not a stream.
func (a *attempt) readBody(answer request.Answer, isReusable bool) attemptResult {
	body, reserved, err := a.exchange.ReadBody(maxAnswerBytes, &a.job.server.answerMemory)
	a.job.reservedBytes.Add(reserved)
	if err != nil {
		return a.brokenResult(err)
	}
	if err = a.job.checkBufferedEnd(a.server, a.exchange.Framing(), answer, body); err != nil {
		return a.brokenResult(err)
	}
	a.exchange.Finish(isReusable, answer.KeepAlive)
	a.clearSuspicion(answer, len(body) > 0)
	result := attemptResult{
		answer: answer,
		body:   body,
	}
	if answer.Status >= fasthttp.StatusInternalServerError {
		result.reason = request.ReasonServerError
		result.mayHaveRun = true
	}
	return result
}

// readAnswerHead reads the head of the request's own answer. It skips answers to earlier
// requests on the same connection; after one, the connection is not reused.
func (a *attempt) readAnswerHead() (answer request.Answer, hadStaleAnswer bool, err error) {
	s := a.job.server
	for range maxStaleAnswers {
		var head fasthttp.ResponseHeader
		if err = a.exchange.ReadHead(&head); err != nil {
			return answer, hadStaleAnswer, err
		}
		answer = s.codec.ReadAnswer(&head)
		s.recordDirective(a.server, answer.Directive)
		a.recordLimit(answer)
		s.recordCold(a.server, answer.ColdFor)
		if answer.ID == a.job.request.ID || answer.ID == "" {
			return answer, hadStaleAnswer, nil
		}
		hadStaleAnswer = true
		if err = a.exchange.Discard(maxAnswerBytes); err != nil {
			return answer, hadStaleAnswer, err
		}
	}
	return answer, hadStaleAnswer, errors.New("read answer: all answers on the connection belong to other requests")
}

// handleRefusal returns the result of an attempt that the server reports as not run.
func (a *attempt) handleRefusal(answer request.Answer, isReusable bool) attemptResult {
	if err := a.exchange.Discard(maxAnswerBytes); err != nil {
		a.exchange.Abort()
	} else {
		a.exchange.Finish(isReusable, answer.KeepAlive)
	}
	reason := request.ReasonServerRefused
	if answer.Status == fasthttp.StatusMisdirectedRequest {
		reason = request.ReasonOtherServer
	}
	return attemptResult{
		reason: reason,
	}
}

// isAuthentic reports whether an answer comes from the server itself and belongs to this
// request. Answers other than 2xx are not checked.
func isAuthentic(answer request.Answer, r *request.Request) bool {
	if answer.Status >= fasthttp.StatusOK && answer.Status < fasthttp.StatusMultipleChoices {
		return answer.IsSigned && answer.ID == r.ID && !answer.IsEncoded
	}
	return true
}

// isStream reports whether the answer is an event stream on a stream route.
func (j *job) isStream(answer request.Answer) bool {
	return j.route.Kind == config.Stream && answer.Status == fasthttp.StatusOK && isEventStream(answer)
}

// brokenResult aborts the exchange of an attempt that broke off, timed out or was aborted, and returns its result.
func (a *attempt) brokenResult(err error) attemptResult {
	j := a.job
	if a.exchange != nil {
		a.exchange.Abort()
	}
	reason := request.ReasonConnectionBroken
	switch {
	case j.isClientGone.Load():
		reason = request.ReasonClientGone
	case j.isQuarantined.Load():
		reason = request.ReasonCrashesServers
	case j.isCutOff.Load():
		reason = request.ReasonDaemonStopping
	case a.watchdog != nil && a.watchdog.hasMoved():
		reason = request.ReasonStalled
	case a.ctx.Err() != nil:
		reason = request.ReasonSuperseded
	case j.timeLeft() < minTimeLeft:
		reason = request.ReasonDeadline
	case errors.As(err, new(*truncationError)):
		reason = request.ReasonAnswerTruncated
	case errors.Is(err, http1.ErrInvalidHead):
		reason = request.ReasonBadAnswer
		j.recordInvalidAnswer(a.server, err)
	case errors.Is(err, errEventTooLong), errors.Is(err, backend.ErrBodyTooLong):
		reason = request.ReasonBadAnswer
	case errors.Is(err, backend.ErrNoMemory):
		reason = request.ReasonNoMemory
	}
	isBroken := reason == request.ReasonConnectionBroken || reason == request.ReasonAnswerTruncated
	return attemptResult{
		attempt:      a,
		reason:       reason,
		mayHaveRun:   true,
		closedByPeer: isBroken && isClosedByPeer(err),
	}
}

// reportOutcome reports the server's success or failure to the tracker, and starts a check for a
// crash if the server closed the connection.
func (a *attempt) reportOutcome(result attemptResult) {
	tracker := &a.job.server.tracker
	switch result.reason {
	case request.ReasonNone:
		tracker.RecordActivity(a.server.ID)
		if result.stream == nil {
			took := time.Since(a.sentAt)
			tracker.RecordSuccess(a.server.ID, took.Seconds(), a.sentAt)
			tracker.RecordSilence(a.job.requestClass(), balancer.PhaseFirstEvent, took)
		}
	case request.ReasonConnectFailed, request.ReasonOtherServer, request.ReasonServerRefused:
		tracker.RecordFailure(a.server.ID, false)
	case request.ReasonStalled:
		tracker.Eject(a.server.ID)
	case request.ReasonServerError, request.ReasonConnectionBroken, request.ReasonAnswerTruncated, request.ReasonBadAnswer:
		tracker.RecordActivity(a.server.ID)
		tracker.RecordFailure(a.server.ID, true)
	}
	if result.closedByPeer {
		a.checkForCrash(result.firstEventAt)
	}
}
