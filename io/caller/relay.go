package caller

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"headcourse/core/eventstream"
	"headcourse/core/idempotency"
	"headcourse/core/outcome"
	"headcourse/io/engine"
)

// relay forwards a stream of server-sent events to the caller, in complete events
// only. It records the position of the last event, so that a stream whose connection
// breaks can be resumed at the engine that runs it. A stream that cannot be resumed
// ends with an error event, without [DONE] and without the last chunk that ends a
// complete HTTP body.
type relay struct {
	server  *Server
	job     *job
	stream  *engine.Stream
	address string
	// buffer is the read buffer. splitter holds the bytes of an incomplete event, ready the
	// complete events that are not forwarded yet.
	buffer     []byte
	splitter   eventstream.Splitter
	ready      []byte
	position   int
	isComplete bool
	// failure ends the stream once ready is empty.
	failure  *outcome.Failure
	resumes  int
	recorded []byte
	isClosed bool
}

const (
	// relayBufferSize is in bytes.
	relayBufferSize = 4096
	// maxResumes is the maximum number of attempts to resume one stream.
	maxResumes = 3
	// resumeDelay is the time between two attempts to resume a stream.
	resumeDelay = 200 * time.Millisecond
)

// The field whose value doneValue ends a complete stream.
var (
	dataField = []byte("data:")
	doneValue = []byte("[DONE]")
)

// startRelay waits for the first event and then starts the answer. As nothing has
// been sent to the caller before the first event, a stream that breaks earlier can
// still be retried.
func (s *Server) startRelay(c fiber.Ctx, j *job, reply engine.Reply) error {
	r := s.newRelay(j, reply)
	for r.fill() && len(r.ready) == 0 && r.failure == nil {
		continue
	}
	if r.failure != nil && r.position == 0 {
		r.stream.Close()
		s.releasePlaces(j)
		return s.resendBrokenStream(c, j, r.failure)
	}
	// The engine's work is cancelled at the deadline, or when the caller disconnects.
	j.stopDeadlineWatch = context.AfterFunc(j.ctx, func() {
		s.cancelWork(j)
	})
	c.Set(headerRequestID, j.id)
	// The outcome header is not set: the stream ends with [DONE] or with an error
	// event that contains the outcome.
	c.Set(fiber.HeaderContentType, reply.ContentType)
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.RequestCtx().Response.SetBodyStream(r, -1)
	return nil
}

// resendBrokenStream retries a job whose stream broke before its first event, or
// answers with the failure if no retry is allowed.
func (s *Server) resendBrokenStream(c fiber.Ctx, j *job, failure *outcome.Failure) error {
	var reply engine.Reply
	if s.mayRetry(j, failure) {
		reply, failure = s.sendWithRetries(j)
	}
	return s.respond(c, j, reply, failure)
}

// newRelay returns a relay for the stream of a reply.
func (s *Server) newRelay(j *job, reply engine.Reply) *relay {
	return &relay{
		server:  s,
		job:     j,
		stream:  reply.Stream,
		address: j.request.Address,
	}
}

// Read returns bytes of the next complete events. It returns io.EOF only after
// [DONE]; any other error makes the HTTP library close the caller's connection.
func (r *relay) Read(target []byte) (int, error) {
	for len(r.ready) == 0 {
		if r.isComplete {
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

// fill reads from the engine once, and reports whether there may be more to read.
func (r *relay) fill() bool {
	if r.buffer == nil {
		r.buffer = make([]byte, relayBufferSize)
	}
	n, err := r.stream.Read(r.buffer)
	r.splitEvents(r.buffer[:n])
	if r.isComplete {
		return false
	}
	if err != nil || r.job.ctx.Err() != nil || r.splitter.IsEventTooLong() {
		r.resumeOrFail(err)
	}
	return r.failure == nil
}

// splitEvents appends data to the splitter, and moves complete events to ready.
func (r *relay) splitEvents(data []byte) {
	r.splitter.Write(data)
	for !r.isComplete {
		event, ok := r.splitter.Next()
		if !ok {
			return
		}
		if r.acceptEvent(event) {
			r.ready = append(r.ready, event.Raw...)
			r.recordEvent(event.Raw)
		}
	}
}

// acceptEvent records the position of an event, and reports whether the event is new:
// a resumed engine may repeat events.
func (r *relay) acceptEvent(event eventstream.Event) bool {
	if event.ID == 0 {
		r.isComplete = isDone(event.Raw)
		return true
	}
	if event.ID <= int64(r.position) {
		return false
	}
	r.position = int(event.ID)
	return true
}

// isDone reports whether an event is the last one of a complete stream.
func isDone(event []byte) bool {
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		value, ok := bytes.CutPrefix(line, dataField)
		if ok && bytes.Equal(bytes.TrimSpace(value), doneValue) {
			return true
		}
	}
	return false
}

// isLineEnd reports whether a character ends a line of an event stream.
func isLineEnd(character rune) bool {
	return character == '\r' || character == '\n'
}

// recordEvent appends an event to the answer to be stored, if the job has a claimed key
// and the answer does not exceed idempotency.MaxStoredBody yet.
func (r *relay) recordEvent(event []byte) {
	if r.job.claim != nil && len(r.recorded) <= idempotency.MaxStoredBody {
		r.recorded = append(r.recorded, event...)
	}
}

// resumeOrFail resumes the stream after its connection broke, or ends it with a failure.
func (r *relay) resumeOrFail(cause error) {
	r.splitter = eventstream.Splitter{}
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
		time.Sleep(resumeDelay)
	}
	r.fail(cause)
}

// fail ends the stream. If an event with a position was accepted, it ends with an error
// event.
func (r *relay) fail(cause error) {
	r.failure = &outcome.Failure{
		Outcome: outcome.Unknown,
		Reason:  outcome.ReasonConnectionLost,
		Step:    "relay stream",
		Peer:    r.address,
		Cause:   cause,
	}
	if r.job.ctx.Err() != nil {
		r.failure = r.server.endedAfterSend(r.job)
		r.server.cancelWork(r.job)
	}
	if r.position > 0 {
		r.ready = append(r.ready, encodeErrorEvent(r.job.id, r.failure)...)
	}
}

// Close ends the relay. The HTTP library calls it when the answer has been written
// or writing has failed.
func (r *relay) Close() error {
	if r.isClosed {
		return nil
	}
	r.isClosed = true
	r.stream.Close()
	switch {
	case r.isComplete && len(r.ready) == 0:
		r.server.count(counterOutcome + outcome.Ran.String())
		r.server.storeAnswer(r.job, idempotency.Answer{
			Status:      fiber.StatusOK,
			ContentType: "text/event-stream",
			Body:        r.recorded,
		})
	case r.isComplete:
		// The engine finished, but the caller disconnected before it got all events.
		r.server.count(counterRefusal + string(outcome.ReasonCallerGone))
		r.server.storeAnswer(r.job, idempotency.Answer{
			Status:      fiber.StatusOK,
			ContentType: "text/event-stream",
			Body:        r.recorded,
		})
	default:
		r.closeIncomplete()
	}
	r.job.finish()
	return nil
}

// closeIncomplete counts an incomplete stream and settles its claim.
func (r *relay) closeIncomplete() {
	if r.failure == nil {
		// Writing to the caller failed before the engine finished.
		r.job.isCallerDisconnected.Store(true)
		r.job.cancel()
		r.failure = r.server.endedAfterSend(r.job)
		r.server.cancelWork(r.job)
	}
	r.server.count(counterRefusal + string(r.failure.Reason))
	r.server.count(counterOutcome + outcome.Unknown.String())
	r.server.settleFailedClaim(r.job, r.failure)
	r.server.log.Warn("callers: stream not whole", zap.String("request", r.job.id), zap.Int("position", r.position), zap.Error(r.failure))
}
