package gateway

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/eventstream"
	"headcourse/core/request"
)

// stream passes a server's events on to the client, each as soon as it is complete. If the
// server breaks off, or another one that was asked during a silence has the next event first, the stream
// resumes there after the last event passed on, within the same answer. A stream that cannot be resumed ends
// without the terminating chunk, so the client sees that it is incomplete.
type stream struct {
	job *job
	// current is the stream of the server whose events are passed on.
	current  *serverStream
	pending  []byte
	isClosed bool
}

// newStream returns a stream that begins with a server's first events.
func newStream(j *job, first *serverStream) *stream {
	s := &stream{
		job: j,
	}
	s.switchTo(first)
	return s
}

// switchTo continues with another server's stream.
func (s *stream) switchTo(next *serverStream) {
	s.current = next
	for _, event := range next.first {
		s.accept(event)
	}
	next.first = nil
}

// Read returns the next complete events. It returns io.EOF only after a complete answer; any
// other error closes the client's connection.
func (s *stream) Read(target []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.current.isComplete {
			return 0, io.EOF
		}
		err := s.current.next(s.accept)
		if err == nil || errors.Is(err, io.EOF) {
			continue
		}
		if err = s.resume(err); err != nil {
			return 0, err
		}
	}
	n := copy(target, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// accept appends an event to what the client receives, unless the client has received it from another server.
func (s *stream) accept(event eventstream.Event) {
	if event.ID != 0 && event.ID <= s.job.lastEventID {
		return
	}
	s.pending = append(s.pending, event.Raw...)
	if !event.IsComment {
		s.job.recordEvent(event.ID)
	}
}

// recordEvent records an event that the client receives.
func (j *job) recordEvent(id int64) {
	now := time.Now()
	j.run.RecordEvent()
	if id != 0 {
		j.lastEventID = id
	}
	if j.eventCount == 0 {
		j.recordTimeliness()
		j.timeToFirstEvent = now.Sub(j.request.ReceivedAt)
	} else {
		j.longestEventGap = max(j.longestEventGap, now.Sub(j.lastEventAt))
	}
	j.eventCount++
	j.lastEventAt = now
}

// resume continues the stream at another server after an error, or returns the error that ends
// it.
func (s *stream) resume(err error) error {
	failing := s.current.attempt
	failed := failing.brokenResult(err)
	failed.firstEventAt = s.current.firstEventAt
	if failed.reason != request.ReasonClientGone && failed.reason != request.ReasonDeadline {
		failing.reportOutcome(failed)
		s.job.trail.add(failing, failed.reason)
	}
	failing.done()
	next, isAnswered := failing.takeHedge()
	failing.release()
	if isAnswered {
		s.resumeAt(next, failed.reason)
		return nil
	}
	for !s.current.hasEventWithoutID && s.job.mayRetry(failed) {
		next = s.job.attempt(s.job.resumingTry())
		if next.reason == request.ReasonNone {
			s.resumeAt(next, failed.reason)
			return nil
		}
		failed = next
	}
	s.job.server.count(countFailed, failed.reason)
	s.job.finish(fasthttp.StatusOK, failed.reason)
	return errors.Errorf("stream ended early: %s", failed.reason)
}

// resumeAt continues with another server's stream after the former one failed for a reason.
func (s *stream) resumeAt(next attemptResult, reason request.Reason) {
	s.switchTo(next.stream)
	s.job.server.count(countResumed, reason)
}

// Close is called by the HTTP library when the answer has been written or could not be written.
func (s *stream) Close() error {
	if s.isClosed {
		return nil
	}
	s.isClosed = true
	current := s.current
	current.attempt.release()
	if !current.isComplete || len(s.pending) > 0 {
		s.job.finish(fasthttp.StatusOK, request.ReasonClientGone)
		return nil
	}
	perEvent := current.lastEventAt.Sub(current.sentAt).Seconds() / float64(max(1, s.job.eventCount))
	s.job.server.tracker.RecordSuccess(current.attempt.server.ID, perEvent, current.sentAt)
	s.job.recordAnswerSize()
	current.attempt.clearSuspicion(current.answer, current.eventCount > 0)
	s.job.finish(fasthttp.StatusOK, request.ReasonNone)
	return nil
}
