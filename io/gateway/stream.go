package gateway

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/balancer"
	"headcourse/core/eventstream"
	"headcourse/core/fleet"
	"headcourse/core/request"
	"headcourse/io/backend"
)

// readSize is how much of a stream is read at once.
const readSize = 4 << 10

// joined is the pause below which two events came together.
const joined = time.Millisecond

// stream passes a server's events on to the client, whole events only and each
// at once. When the server breaks off or falls silent, the stream goes on at
// another server after the last event passed on, within the same answer. A
// stream that cannot go on ends without the mark that HTTP gives a whole body.
type stream struct {
	job      *job
	server   fleet.Server
	exchange *backend.Exchange
	answer   request.Answer
	mayKeep  bool
	done     func()
	watch    *watchdog

	splitter eventstream.Splitter
	ready    []byte
	isWhole  bool
	// isUnnumbered tells that an event had no id, so that nobody could go on
	// after it.
	isUnnumbered bool
	// sent is when the request was sent; heard is when this server's last event
	// came.
	sent  time.Time
	heard time.Time
	// failure is an error that came together with events; it counts when these have
	// been passed on.
	failure error
	buffer  [readSize]byte
	closed  bool
}

// Read returns the next whole events. Its error ends the client's connection
// unless it is io.EOF, which it is only after a whole answer.
func (s *stream) Read(target []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.isWhole {
			return 0, io.EOF
		}
		if s.watch == nil {
			s.watch = s.job.watchPauses(s.server, s.exchange)
		}
		err := s.read()
		if err == nil || errors.Is(err, io.EOF) {
			continue
		}
		if err = s.resume(err); err != nil {
			return 0, err
		}
	}
	n := copy(target, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// read reads from the server once and moves whole events to ready.
func (s *stream) read() error {
	if s.failure != nil {
		return s.failure
	}
	n, err := s.exchange.Read(s.buffer[:])
	if n > 0 {
		s.splitter.Write(s.buffer[:n])
		s.takeEvents()
	}
	if errors.Is(err, io.EOF) {
		s.isWhole = true
		s.ready = append(s.ready, s.splitter.Rest()...)
		s.exchange.Finish(s.mayKeep, s.answer.KeepFor)
		return err
	}
	if err != nil && len(s.ready) > 0 {
		// The next server goes on after these events, so they must not be lost.
		s.failure = err
		return nil
	}
	return err
}

// takeEvents moves whole events to ready, without those that the client has.
func (s *stream) takeEvents() {
	for {
		event, ok := s.splitter.Next()
		if !ok {
			return
		}
		if event.ID != 0 && event.ID <= s.job.last {
			continue
		}
		if event.ID == 0 {
			s.isUnnumbered = true
		} else {
			s.job.last = event.ID
		}
		s.ready = append(s.ready, event.Raw...)
		s.noteEvent()
	}
}

// noteEvent measures when events come.
func (s *stream) noteEvent() {
	now := time.Now()
	s.job.server.tracker.Heard(s.server.ID)
	if s.watch != nil {
		s.watch.feed()
	}
	tracker := &s.job.server.tracker
	if s.heard.IsZero() {
		tracker.Silence(s.job.kind(), balancer.First, now.Sub(s.sent))
	} else if pause := now.Sub(s.heard); pause > joined {
		tracker.Silence(s.job.kind(), balancer.Pause, pause)
	}
	if s.job.events == 0 {
		s.job.tellOverload()
		s.job.firstEvent = now.Sub(s.job.request.Arrived)
	} else {
		s.job.longestPause = max(s.job.longestPause, now.Sub(s.job.lastEventAt))
	}
	s.job.events++
	s.job.lastEventAt = now
	s.heard = now
}

// resume goes on at another server after an error of this one, or returns why the stream
// ends.
func (s *stream) resume(err error) error {
	failed := s.job.broken(s.watch, err)
	s.release()
	if failed.reason != request.ReasonClientGone && failed.reason != request.ReasonDeadline {
		s.job.judge(s.server, failed)
		s.job.note(s.server, failed.reason)
	}
	for !s.isUnnumbered && s.job.maySendAgain(failed) {
		next := s.job.try(s.job.last)
		if next.reason == request.ReasonNone && next.stream != nil {
			s.adopt(next)
			s.job.server.count(countResumed, failed.reason)
			return nil
		}
		failed = next
		if failed.reason == request.ReasonNone {
			failed.reason = request.ReasonBadAnswer
		}
	}
	s.job.server.count(countFailed, failed.reason)
	s.job.end(fasthttp.StatusOK, failed.reason)
	return errors.Errorf("stream ended early: %s", failed.reason)
}

// adopt takes over another server's stream, whose first events are ready.
func (s *stream) adopt(next tried) {
	s.server = next.server
	s.exchange = next.stream.exchange
	s.answer = next.answer
	s.mayKeep = next.stream.mayKeep
	s.done = next.stream.done
	s.splitter = next.stream.splitter
	s.ready = next.stream.ready
	s.failure = next.stream.failure
	s.isWhole = next.stream.isWhole
	s.isUnnumbered = next.stream.isUnnumbered
	s.sent = next.stream.sent
	s.heard = next.stream.heard
	s.watch = nil
}

// release ends the exchange under way.
func (s *stream) release() {
	if s.watch != nil {
		s.watch.stop()
	}
	s.exchange.Abort()
	if s.done != nil {
		s.done()
	}
}

// Close is called by the HTTP library when the answer has been written, or
// could not be.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.release()
	if !s.isWhole || len(s.ready) > 0 {
		s.job.end(fasthttp.StatusOK, request.ReasonClientGone)
		return nil
	}
	perEvent := s.heard.Sub(s.sent).Seconds() / float64(max(1, s.job.events))
	s.job.server.tracker.Succeeded(s.server.ID, perEvent)
	s.job.noteSize()
	s.job.clear(s.answer, s.exchange)
	s.job.end(fasthttp.StatusOK, request.ReasonNone)
	return nil
}
