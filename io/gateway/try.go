package gateway

import (
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/balancer"
	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/core/request"
	"headcourse/io/backend"
	"headcourse/io/http1"
)

// maxMisplaced bounds how many answers to other requests are read past.
const maxMisplaced = 3

// tried is the end of one send.
type tried struct {
	server fleet.Server
	// reason is why the send failed; none when answer is the server's answer.
	reason request.Reason
	// mayHaveRun tells that the server may have begun to run the request.
	mayHaveRun bool
	// wasEnded tells that the server closed or reset the connection before its answer
	// was whole, as a process that crashes does.
	wasEnded bool
	answer   request.Answer
	body     []byte
	stream   *stream
}

// mayHaveArrived tells whether any of the request may have reached the server.
func (t tried) mayHaveArrived() bool {
	switch t.reason {
	case request.ReasonConnect, request.ReasonPaused, request.ReasonLimited, request.ReasonEvacuated:
		return t.mayHaveRun
	default:
		return true
	}
}

// try sends the request to one server, after the last event that the client
// has, and reads its answer, or a stream's up to its first event.
func (j *job) try(last int64) tried {
	if !j.maySendContent() {
		return tried{
			reason: request.ReasonCrashes,
		}
	}
	// After agreeing on a trial, which waits for the store: the view may be too old now.
	if j.config.NeedsKey(j.route) && !j.server.source.MayAcceptKeys() {
		return tried{
			reason: request.ReasonStale,
		}
	}
	left := j.left()
	if left < leastLeft {
		return tried{
			reason: request.ReasonDeadline,
		}
	}
	chosen, ok := j.pick()
	if !ok {
		return tried{
			reason: j.whyNoServer(),
		}
	}
	defer chosen.room.Release()
	server := chosen.server
	j.sends++
	j.sentAt = time.Now()
	j.excluded[server.ID] = true
	head := j.server.dialect.WriteHead(j.request, request.Attempt{
		Server:       server.ID,
		Organisation: j.organisation,
		Left:         left,
		Priority:     j.level(),
		LastEvent:    last,
	})
	result := j.exchangeWith(chosen, head)
	result.server = server
	if result.mayHaveRun || result.reason == request.ReasonNone {
		j.runs++
	}
	if result.mayHaveArrived() {
		j.arrivals++
	}
	if result.stream != nil {
		result.stream.done = chosen.done
	} else {
		chosen.done()
		j.hold(nil)
	}
	j.judge(server, result)
	j.note(server, result.reason)
	return result
}

// exchangeWith sends the request and reads the answer.
func (j *job) exchangeWith(chosen choice, head []byte) tried {
	server := chosen.server
	exchange, err := j.send(chosen, head)
	switch {
	case errors.Is(err, errPaused):
		return tried{
			reason: request.ReasonPaused,
		}
	case errors.Is(err, errLimited):
		return tried{
			reason: request.ReasonLimited,
		}
	case errors.Is(err, errEvacuated):
		return tried{
			reason: request.ReasonEvacuated,
		}
	case err != nil:
		var failed *http1.Error
		sent := errors.As(err, &failed) && failed.Sent
		return tried{
			reason:     request.ReasonConnect,
			mayHaveRun: sent,
		}
	}
	j.hold(exchange)
	watch := j.watchFirst(server, exchange)
	defer watch.stop()
	if err = exchange.SetReadDeadline(time.Now().Add(j.left())); err != nil {
		exchange.Abort()
		return j.broken(watch, err)
	}
	answer, isMisplaced, err := j.readHead(server, exchange)
	if err != nil {
		exchange.Abort()
		return j.broken(watch, err)
	}
	mayKeep := !answer.Close && !isMisplaced
	switch {
	case answer.NotRun:
		return j.refusedBy(exchange, answer, mayKeep)
	case !isProper(answer, j.request):
		exchange.Abort()
		return tried{
			reason:     request.ReasonBadAnswer,
			mayHaveRun: true,
		}
	case j.isStream(answer):
		return j.begin(server, exchange, answer, mayKeep, watch)
	default:
		return j.readWhole(exchange, answer, mayKeep, watch)
	}
}

// Errors of requests that were not written: errPaused where the server has said that it wants
// none, errLimited where it gets as many as it takes, errEvacuated where its zone is evacuated.
var (
	errPaused    = errors.New("the server wants no request")
	errLimited   = errors.New("the server takes no more requests now")
	errEvacuated = errors.New("the server's zone is evacuated")
)

// send writes the request to a server. It returns errPaused, errLimited or errEvacuated where
// that has come to hold since the server was chosen: on a busy machine, or where the connection
// was slow to come up, that may be hundreds of milliseconds later.
func (j *job) send(chosen choice, head []byte) (*backend.Exchange, error) {
	server := chosen.server
	exchange, err := j.server.backends.Connect(server.ID, server.Address)
	if err != nil {
		return nil, err
	}
	if j.server.directives.Forbids(server.Start()) {
		exchange.Release()
		return nil, errPaused
	}
	if j.server.isLeft(j.server.source.View(), server) {
		exchange.Release()
		return nil, errEvacuated
	}
	if !j.takeRoom(chosen) {
		exchange.Release()
		return nil, errLimited
	}
	return exchange, exchange.Send(head, j.request.Body)
}

// readWhole reads the body of an answer that is not a stream.
func (j *job) readWhole(exchange *backend.Exchange, answer request.Answer, mayKeep bool, watch *watchdog) tried {
	body, err := exchange.ReadAll(answerLimit)
	if err != nil {
		exchange.Abort()
		return j.broken(watch, err)
	}
	exchange.Finish(mayKeep, answer.KeepFor)
	j.clear(answer, exchange)
	result := tried{
		answer: answer,
		body:   body,
	}
	if answer.Status >= fasthttp.StatusInternalServerError {
		result.reason = request.ReasonServerError
		result.mayHaveRun = true
	}
	return result
}

// readHead reads the head of the request's own answer. Answers to earlier
// requests may stand before it; they are read past, and the connection is not
// used again.
func (j *job) readHead(server fleet.Server, exchange *backend.Exchange) (answer request.Answer, isMisplaced bool, err error) {
	for range maxMisplaced {
		var head fasthttp.ResponseHeader
		if err = exchange.ReadHead(&head); err != nil {
			return answer, isMisplaced, err
		}
		answer = j.server.dialect.ReadAnswer(&head)
		j.server.heed(server, answer.Directive)
		j.heedLimit(server, answer)
		j.server.heedCold(server, answer.ColdFor)
		if answer.ID == j.request.ID || answer.ID == "" {
			return answer, isMisplaced, nil
		}
		isMisplaced = true
		if _, err = exchange.ReadAll(answerLimit); err != nil {
			return answer, isMisplaced, err
		}
	}
	return answer, isMisplaced, errors.New("read answer: only answers to other requests")
}

// refusedBy returns the end of a send that the server says it did not run.
func (j *job) refusedBy(exchange *backend.Exchange, answer request.Answer, mayKeep bool) tried {
	if _, err := exchange.ReadAll(answerLimit); err != nil {
		exchange.Abort()
	} else {
		exchange.Finish(mayKeep, answer.KeepFor)
	}
	reason := request.ReasonRefused
	if answer.Status == fasthttp.StatusMisdirectedRequest {
		reason = request.ReasonOtherServer
	}
	return tried{
		reason: reason,
	}
}

// isProper tells whether an answer is the server's own to this request.
func isProper(answer request.Answer, r *request.Request) bool {
	if answer.Status >= fasthttp.StatusOK && answer.Status < fasthttp.StatusMultipleChoices {
		return answer.Signed && answer.ID == r.ID && !answer.Encoded
	}
	return true
}

// isStream tells whether an answer is passed on event by event.
func (j *job) isStream(answer request.Answer) bool {
	if j.route.Kind != config.Stream || answer.Status != fasthttp.StatusOK {
		return false
	}
	for _, header := range answer.Headers {
		if header.Name == fasthttp.HeaderContentType {
			return strings.HasPrefix(header.Value, "text/event-stream")
		}
	}
	return false
}

// broken returns the end of a send that broke off or ran out of time.
func (j *job) broken(watch *watchdog, err error) tried {
	reason := request.ReasonBroken
	switch {
	case j.isGone.Load():
		reason = request.ReasonClientGone
	case j.isHeld.Load():
		reason = request.ReasonCrashes
	case watch.hasFired():
		reason = request.ReasonStalled
	case j.left() < leastLeft:
		reason = request.ReasonDeadline
	}
	return tried{
		reason:     reason,
		mayHaveRun: true,
		wasEnded:   reason == request.ReasonBroken && isEnd(err),
	}
}

// judge tells the tracker how the server did.
func (j *job) judge(server fleet.Server, result tried) {
	tracker := &j.server.tracker
	switch result.reason {
	case request.ReasonNone:
		tracker.Heard(server.ID)
		if result.stream == nil {
			took := time.Since(j.sentAt)
			tracker.Succeeded(server.ID, took.Seconds())
			tracker.Silence(j.kind(), balancer.First, took)
		}
	case request.ReasonConnect, request.ReasonOtherServer, request.ReasonRefused:
		tracker.Failed(server.ID, false)
	case request.ReasonStalled:
		tracker.Rest(server.ID)
	case request.ReasonServerError, request.ReasonBroken, request.ReasonBadAnswer:
		tracker.Heard(server.ID)
		tracker.Failed(server.ID, true)
	}
	if result.wasEnded {
		j.noteEnd(server)
	}
}

// begin reads a stream up to its first event.
func (j *job) begin(server fleet.Server, exchange *backend.Exchange, answer request.Answer, mayKeep bool, watch *watchdog) tried {
	started := &stream{
		job:      j,
		server:   server,
		exchange: exchange,
		answer:   answer,
		mayKeep:  mayKeep,
		sent:     watch.fed,
	}
	for len(started.ready) == 0 && !started.isWhole {
		if err := started.read(); err != nil && !errors.Is(err, io.EOF) {
			exchange.Abort()
			return j.broken(watch, err)
		}
	}
	return tried{
		answer: answer,
		stream: started,
	}
}
