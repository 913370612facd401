package caller

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"headcourse/core/idempotency"
	"headcourse/core/outcome"
	"headcourse/io/engine"
)

// relay passes a stream of server-sent events on to the caller, whole events
// at a time. It knows the position of the last event passed on, so that a
// stream whose connection breaks is taken up again at the engine that runs it.
// A stream that cannot be taken up ends with an error event, without [DONE],
// and without the end that HTTP gives a whole body.
type relay struct {
	server  *Server
	job     *job
	stream  *engine.Stream
	address string
	// buffer is read into; pending holds bytes read that do not make up a whole event yet; ready
	// holds whole events not passed on yet.
	buffer   []byte
	pending  []byte
	ready    []byte
	position int
	isWhole  bool
	// failure ends the stream once ready has been passed on.
	failure *outcome.Failure
	resumes int
	kept    []byte
	isEnded bool
}

// Figures of a relay.
const (
	relayBuffer = 4096
	// maxResumes bounds how often one stream is taken up again.
	maxResumes = 3
	resumeWait = 200 * time.Millisecond
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

// Marks of server-sent events.
var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id:")
	doneEvent = []byte("data: [DONE]")
)

// startRelay waits for the first event and then begins the answer. Until the
// first event nothing has been said to the caller, so that the job can still
// be sent again.
func (s *Server) startRelay(c fiber.Ctx, made *job, reply engine.Reply) error {
	started := s.newRelay(made, reply)
	for started.fill() && len(started.ready) == 0 && started.failure == nil {
		continue
	}
	if started.failure != nil && started.position == 0 {
		started.stream.Close()
		s.endPlaces(made)
		return s.startAgain(c, made, started.failure)
	}
	// At its deadline, or when its caller goes away, the engine is told to stop.
	made.endWatch = context.AfterFunc(made.ctx, func() {
		s.cancelWork(made)
	})
	c.Set(headerRequestID, made.id)
	// No outcome yet: the stream's own end tells it, [DONE] or an error event.
	c.Set(fiber.HeaderContentType, reply.ContentType)
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.RequestCtx().Response.SetBodyStream(started, -1)
	return nil
}

// startAgain sends a job again whose stream broke before its first event, or
// gives its failure.
func (s *Server) startAgain(c fiber.Ctx, made *job, failure *outcome.Failure) error {
	var reply engine.Reply
	if s.mayRetry(made, failure) {
		reply, failure = s.attempt(made)
	}
	return s.conclude(c, made, reply, failure)
}

// newRelay returns the relay of a reply.
func (s *Server) newRelay(made *job, reply engine.Reply) *relay {
	return &relay{
		server:  s,
		job:     made,
		stream:  reply.Stream,
		address: made.call.Address,
	}
}

// Read returns the next whole events. Its error ends the caller's connection
// unless it is io.EOF, which it is only after [DONE].
func (r *relay) Read(target []byte) (int, error) {
	for len(r.ready) == 0 {
		if r.isWhole {
			return 0, io.EOF
		}
		if r.failure != nil {
			return 0, r.failure
		}
		r.fill()
	}
	n := copy(target, r.ready)
	r.ready = r.ready[n:]
	return n, nil
}

// fill reads from the engine once, and tells whether there can be more.
func (r *relay) fill() bool {
	if r.buffer == nil {
		r.buffer = make([]byte, relayBuffer)
	}
	n, err := r.stream.Read(r.buffer)
	r.take(r.buffer[:n])
	if r.isWhole {
		return false
	}
	if err != nil || r.job.ctx.Err() != nil || len(r.pending) > maxEvent {
		r.recover(err)
	}
	return r.failure == nil
}

// take moves whole events from the bytes read to ready.
func (r *relay) take(read []byte) {
	r.pending = append(r.pending, read...)
	for !r.isWhole {
		end := bytes.Index(r.pending, eventEnd)
		if end < 0 {
			return
		}
		event := r.pending[:end+len(eventEnd)]
		if r.isNext(event) {
			r.ready = append(r.ready, event...)
			r.keep(event)
		}
		r.pending = r.pending[len(event):]
	}
}

// isNext notes the position of an event, and tells whether it was not passed
// on before: an engine may send again what it sent already.
func (r *relay) isNext(event []byte) bool {
	if bytes.HasPrefix(event, doneEvent) {
		r.isWhole = true
		return true
	}
	for line := range bytes.Lines(event) {
		after, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		position, err := strconv.Atoi(string(bytes.TrimSpace(after)))
		if err != nil {
			return true
		}
		if position <= r.position {
			return false
		}
		r.position = position
	}
	return true
}

// keep gathers the answer of a job whose key was claimed.
func (r *relay) keep(event []byte) {
	if r.job.held != nil && len(r.kept) <= idempotency.MaxKept {
		r.kept = append(r.kept, event...)
	}
}

// recover takes the stream up again after a break, or ends it with a failure.
func (r *relay) recover(cause error) {
	r.pending = nil
	for r.job.ctx.Err() == nil && r.resumes < maxResumes && r.position > 0 {
		r.resumes++
		resumed, err := r.server.source.Engines().Resume(r.address, r.job.id, r.position)
		if err == nil {
			r.stream.Close()
			r.stream = resumed
			r.server.count(counterResume)
			return
		}
		cause = err
		if errors.Is(err, engine.ErrNoStream) {
			break
		}
		time.Sleep(resumeWait)
	}
	r.fail(cause)
}

// fail ends the stream: with an error event if some of it was passed on.
func (r *relay) fail(cause error) {
	r.failure = &outcome.Failure{
		Outcome: outcome.Unknown,
		Reason:  outcome.ReasonConnectionLost,
		Step:    "relay stream",
		Peer:    r.address,
		Cause:   cause,
	}
	if r.job.ctx.Err() != nil {
		r.failure = r.server.endedDuring(r.job)
		r.server.cancelWork(r.job)
	}
	if r.position > 0 {
		r.ready = append(r.ready, encodeError(r.job.id, r.failure)...)
	}
}

// Close is called by the HTTP library when the answer has been written, or
// could not be.
func (r *relay) Close() error {
	if r.isEnded {
		return nil
	}
	r.isEnded = true
	r.stream.Close()
	switch {
	case r.isWhole && len(r.ready) == 0:
		r.server.count(counterOutcome + outcome.Ran.String())
		r.server.keepAnswer(r.job, idempotency.Answer{
			Status:      fiber.StatusOK,
			ContentType: "text/event-stream",
			Body:        r.kept,
		})
	case r.isWhole:
		// The engine ended, but the caller went away before it had all of it.
		r.server.count(counterRefusal + string(outcome.ReasonCallerGone))
		r.server.keepAnswer(r.job, idempotency.Answer{
			Status:      fiber.StatusOK,
			ContentType: "text/event-stream",
			Body:        r.kept,
		})
	default:
		r.endBroken()
	}
	r.job.finish()
	return nil
}

// endBroken counts and settles a stream that did not end whole.
func (r *relay) endBroken() {
	if r.failure == nil {
		// Writing to the caller failed before the engine ended.
		r.job.isGone.Store(true)
		r.job.cancel()
		r.failure = r.server.endedDuring(r.job)
		r.server.cancelWork(r.job)
	}
	r.server.count(counterRefusal + string(r.failure.Reason))
	r.server.count(counterOutcome + outcome.Unknown.String())
	r.server.settleFailure(r.job, r.failure)
	r.server.log.Warn("callers: stream not whole", zap.String("request", r.job.id), zap.Int("position", r.position), zap.Error(r.failure))
}
