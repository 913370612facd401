package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"headcourse/core/config"
	"headcourse/core/quarantine"
	"headcourse/core/request"
	"headcourse/core/usage"
	"headcourse/io/backend"
)

// Figures of a job.
const (
	// maxSends bounds how many servers are asked for one request, those that
	// refuse it included.
	maxSends = 3
	// noPriority leaves the priority to the server.
	noPriority = -1
	// leastLeft is the least time that must remain for a send.
	leastLeft = 5 * time.Millisecond
	// answerLimit bounds an answer that is not a stream.
	answerLimit = 32 << 20
)

// job is one request on its way.
type job struct {
	server       *Server
	request      *request.Request
	config       *config.Config
	route        *config.Route
	organisation string
	service      string
	priority     int
	// asked is when the client asked first, as far as known: before this attempt if
	// it tried before.
	asked time.Time
	// came is when the request was taken up, deadline until when its client waits; both
	// by the server's clock.
	came     time.Time
	deadline time.Time
	// yields tells that the request gives way to others of its kind, since not all
	// can be in time.
	yields bool
	forget func()

	// excluded are servers that were asked; sends counts them, runs those that
	// may have run the request.
	excluded map[string]bool
	sends    int
	runs     int
	// arrivals counts the sends that may have reached a server: what was never
	// sent is not sent again.
	arrivals int
	trail    []string
	// content names what the request asks; digest works it out once.
	content    quarantine.Digest
	isDigested bool
	// brokeAfter tells of each send that the server broke off how long it had lasted.
	brokeAfter []time.Duration
	// isPaid tells that the next send has been paid for out of the retry budget.
	isPaid atomic.Bool
	// isBudgetSpent tells that the request was not sent again for want of budget.
	isBudgetSpent bool
	// last is the id of the last event that the client has.
	last int64

	// leaveLane ends the wait for the first event of a request that came late.
	leaveLane func()

	// exchange is the one under way, or nil; mutex guards it, since the client
	// may go away at any time.
	mutex    sync.Mutex
	exchange *backend.Exchange
	isGone   atomic.Bool
	// isHeld tells that a server ended under the trial of a request with the same content:
	// this one is broken off and not sent any more. trial is the number of the trial that
	// its send is, 0: none; heldFor is for how long such requests are held.
	isHeld  atomic.Bool
	trial   int
	heldFor time.Duration
	ended   atomic.Bool

	// sentAt is when the request was last sent; the rest measures a stream's
	// events as the client gets them.
	sentAt time.Time
	// tookRoom is when the request was last sent by the server's clock, by which limits count.
	tookRoom     time.Time
	lastEventAt  time.Time
	firstEvent   time.Duration
	longestPause time.Duration
	events       int
}

// clientGone stops the work for a client that has closed its connection.
func (j *job) clientGone() {
	j.isGone.Store(true)
	j.abort()
}

// abort breaks off the exchange under way.
func (j *job) abort() {
	j.mutex.Lock()
	exchange := j.exchange
	j.mutex.Unlock()
	if exchange != nil {
		exchange.Abort()
	}
}

// digest returns what names the request's content, which its repeats share.
func (j *job) digest() quarantine.Digest {
	if !j.isDigested {
		j.content = quarantine.DigestOf(j.request.Target, j.organisation, j.request.Body)
		j.isDigested = true
	}
	return j.content
}

// left returns how long the client still waits.
func (j *job) left() time.Duration {
	return j.server.clock.Until(j.deadline)
}

// hold notes the exchange under way, so that it ends if the client goes.
func (j *job) hold(exchange *backend.Exchange) {
	j.mutex.Lock()
	j.exchange = exchange
	j.mutex.Unlock()
	if (j.isGone.Load() || j.isHeld.Load()) && exchange != nil {
		exchange.Abort()
	}
}

// serve sends the request until there is an answer for the client, or no
// further send is allowed.
func (j *job) serve(ctx *fasthttp.RequestCtx) {
	j.awaitLane()
	defer j.leaveLane()
	j.server.underWay.enter(j)
	for !j.isGone.Load() {
		result := j.try(j.last)
		if result.reason == request.ReasonNone {
			j.deliver(ctx, result)
			return
		}
		if !j.maySendAgain(result) {
			j.fail(ctx, result)
			return
		}
	}
	j.fail(ctx, tried{
		reason: request.ReasonClientGone,
	})
}

// deliver gives the client a server's answer.
func (j *job) deliver(ctx *fasthttp.RequestCtx, result tried) {
	ctx.SetStatusCode(result.answer.Status)
	for _, header := range result.answer.Headers {
		ctx.Response.Header.Add(header.Name, header.Value)
	}
	if result.stream != nil {
		ctx.Response.SetBodyStream(result.stream, -1)
		return
	}
	ctx.Response.SetBodyRaw(result.body)
	j.end(result.answer.Status, request.ReasonNone)
}

// noteSize notes how large a stream was that was answered whole.
func (j *job) noteSize() {
	service := j.config.Service(j.service)
	if service == nil || service.Engine == nil || j.request.LastEvent > 0 {
		return
	}
	j.server.sizes.Note(j.request.Model, usage.Size{
		Prompt: float64(j.request.PromptTokens),
		Answer: float64(j.events * service.Engine.TokensPerEvent),
	})
}

// fail tells the client that there is no answer, as exactly as is known.
func (j *job) fail(ctx *fasthttp.RequestCtx, result tried) {
	switch {
	case j.isGone.Load():
		ctx.SetConnectionClose()
		j.answerOwn(ctx, fasthttp.StatusServiceUnavailable, request.ReasonClientGone)
	case result.answer.Status >= fasthttp.StatusInternalServerError && result.reason == request.ReasonServerError:
		j.deliver(ctx, result)
	case j.runs == 0:
		j.refuse(ctx, fasthttp.StatusServiceUnavailable, result.reason)
	case result.reason == request.ReasonDeadline:
		j.server.count(countFailed, result.reason)
		j.answerOwn(ctx, fasthttp.StatusGatewayTimeout, result.reason)
	default:
		j.server.count(countFailed, result.reason)
		j.answerOwn(ctx, fasthttp.StatusBadGateway, result.reason)
	}
}

// payAhead pays for the next send out of the retry budget, and tells whether it could. A
// server is not given up without: its silence may end, and a request that is broken off
// and not sent again is lost.
func (j *job) payAhead() bool {
	if j.isPaid.Load() || !j.server.budgets.Of(j.service).Spend() {
		return j.isPaid.Load()
	}
	j.isPaid.Store(true)
	return true
}

// maySendAgain tells whether a failed request may go to another server, and
// counts it if so.
func (j *job) maySendAgain(result tried) bool {
	if j.isGone.Load() || j.isHeld.Load() || j.sends >= maxSends || j.left() < leastLeft {
		return false
	}
	switch result.reason {
	case request.ReasonNoServer, request.ReasonStale, request.ReasonDeadline, request.ReasonClientGone, request.ReasonCrashes:
		return false
	}
	if j.runs > 0 && (!j.route.Repeatable() || j.runs >= j.route.MaxAttempts) {
		return false
	}
	if !j.hasOtherServer() {
		return false
	}
	if j.arrivals > 0 && !j.isPaid.Swap(false) && !j.server.budgets.Of(j.service).Spend() {
		j.server.count(countRefused, request.ReasonNoBudget)
		j.isBudgetSpent = true
		return false
	}
	j.server.count(countSentAgain, result.reason)
	return true
}
