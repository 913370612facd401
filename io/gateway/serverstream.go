package gateway

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/balancer"
	"headcourse/core/completeness"
	"headcourse/core/eventstream"
	"headcourse/core/request"
)

// streamBufferSize is the size of one read from a stream, in bytes.
const streamBufferSize = 4 << 10

const (
	// minEventGap is the gap below which two events count as received together.
	minEventGap = time.Millisecond
	// paceInterval is the time over which one sample of a server's pace is measured.
	paceInterval = 200 * time.Millisecond
)

// errEventTooLong reports that a server sent an event of more than eventstream.MaxEventBytes.
var errEventTooLong = errors.New("event too long")

// serverStream reads the events of one server's stream. A client may get the events of several servers in turn (stream).
type serverStream struct {
	attempt    *attempt
	answer     request.Answer
	isReusable bool

	splitter eventstream.Splitter
	// first are the events that arrived before the stream was passed on, in the order of arrival.
	first      []eventstream.Event
	isComplete bool
	// hasEvent is set after the first event that is no comment. hasEventWithoutID is set if an event had no ID, after which the
	// stream cannot be resumed.
	hasEvent          bool
	hasEventWithoutID bool
	// lastEventID is the ID of the last event; before the first one it is that of the last event that the client has.
	lastEventID int64
	// sentAt is when the request was sent; firstEventAt and lastEventAt are when this server's first
	// and last event arrived; eventCount counts its events.
	sentAt       time.Time
	firstEventAt time.Time
	lastEventAt  time.Time
	eventCount   int
	// paceFrom is the time of the event from which the server's pace is measured, and paceEvents the
	// number of events since.
	paceFrom   time.Time
	paceEvents int
	// deferredErr is an error that arrived together with events. It is returned after these
	// have been passed on.
	deferredErr error
	buffer      [streamBufferSize]byte
}

// beginStream reads a stream up to its first event. A comment suffices unless the attempt is a hedge: it does not
// show that the server makes progress.
func (a *attempt) beginStream(answer request.Answer, isReusable bool) attemptResult {
	started := &serverStream{
		attempt:     a,
		answer:      answer,
		isReusable:  isReusable,
		lastEventID: a.lastEventID,
		sentAt:      a.watchdog.startedAt,
	}
	leadBytes := 0
	keep := func(event eventstream.Event) {
		leadBytes += len(event.Raw)
		event.Raw = bytes.Clone(event.Raw)
		started.first = append(started.first, event)
	}
	for !started.hasBegun() && !started.isComplete {
		if err := started.read(keep); err != nil && !errors.Is(err, io.EOF) {
			return a.brokenResult(err)
		}
		if leadBytes > eventstream.MaxEventBytes {
			return a.brokenResult(errEventTooLong)
		}
	}
	return attemptResult{
		answer: answer,
		stream: started,
	}
}

// hasBegun reports whether the stream can be passed on.
func (s *serverStream) hasBegun() bool {
	if s.attempt.isHedge {
		return s.hasEvent
	}
	return len(s.first) > 0
}

// next reads from the server once, and passes complete events on. It returns io.EOF only after a complete answer.
func (s *serverStream) next(pass func(eventstream.Event)) error {
	a := s.attempt
	if a.watchdog.phase == balancer.PhaseFirstEvent {
		a.watchdog = a.startWatchdog(balancer.PhaseNextEvent, s.lastEventID, s.hasEventWithoutID)
	}
	a.watchdog.setAwaiting(true)
	defer a.watchdog.setAwaiting(false)
	return s.read(pass)
}

// read reads from the server once, and passes complete events on. It returns io.EOF only after a complete answer.
func (s *serverStream) read(pass func(eventstream.Event)) error {
	err := s.deferredErr
	hasPassed := false
	if err == nil {
		var n int
		n, err = s.attempt.exchange.Read(s.buffer[:])
		s.splitter.Write(s.buffer[:n])
		hasPassed = s.extractEvents(pass)
		if s.splitter.IsEventTooLong() {
			err = errEventTooLong
		}
	}
	if err != nil && hasPassed {
		// A further server resumes after these events, so they must be delivered first.
		s.deferredErr = err
		return nil
	}
	if errors.Is(err, io.EOF) {
		return s.end(pass)
	}
	return err
}

// end ends a stream whose framing has ended. It returns io.EOF, or an error if the stream is not complete.
func (s *serverStream) end(pass func(eventstream.Event)) error {
	a := s.attempt
	remainder := s.splitter.Remainder()
	if err := a.job.checkEnd(a.server, completeness.End{
		Framing:            a.exchange.Framing(),
		IsStream:           true,
		EventCount:         s.eventCount,
		HasUnfinishedEvent: s.splitter.HasUnfinishedEvent(),
	}, len(remainder)); err != nil {
		return err
	}
	s.isComplete = true
	if len(remainder) > 0 {
		pass(eventstream.Event{
			Raw:       remainder,
			IsComment: true,
		})
	}
	a.exchange.Finish(s.isReusable, s.answer.KeepAlive)
	return io.EOF
}

// extractEvents passes complete events on, except those that the client had when the request was sent. It reports
// whether there were any.
func (s *serverStream) extractEvents(pass func(eventstream.Event)) bool {
	hasPassed := false
	for {
		event, ok := s.splitter.Next()
		if !ok {
			return hasPassed
		}
		if !event.IsComment {
			s.eventCount++
			if event.ID != 0 && event.ID <= s.attempt.lastEventID {
				continue
			}
			s.recordEvent(event)
		}
		hasPassed = true
		pass(event)
	}
}

// recordEvent records the arrival of an event.
func (s *serverStream) recordEvent(event eventstream.Event) {
	now := time.Now()
	s.hasEvent = true
	if event.ID == 0 {
		s.hasEventWithoutID = true
	} else {
		s.lastEventID = max(s.lastEventID, event.ID)
	}
	j := s.attempt.job
	tracker := &j.server.tracker
	tracker.RecordActivity(s.attempt.server.ID)
	s.attempt.watchdog.recordProgress(s.lastEventID, s.hasEventWithoutID)
	if s.lastEventAt.IsZero() {
		s.firstEventAt = now
		tracker.RecordSilence(j.requestClass(), balancer.PhaseFirstEvent, now.Sub(s.sentAt))
	} else if gap := now.Sub(s.lastEventAt); gap > minEventGap {
		tracker.RecordSilence(j.requestClass(), balancer.PhaseNextEvent, gap)
	}
	s.recordPace(now)
	s.lastEventAt = now
}

// recordPace records the time per event of the server, from this server's second event on: the first one
// waits for a slot and for prompts.
func (s *serverStream) recordPace(now time.Time) {
	if s.lastEventAt.IsZero() {
		s.paceFrom = now
		return
	}
	s.paceEvents++
	if elapsed := now.Sub(s.paceFrom); elapsed >= paceInterval {
		j := s.attempt.job
		class := j.service + "/" + j.request.Model
		j.server.paces.Record(s.attempt.server.ID, class, elapsed/time.Duration(s.paceEvents))
		s.paceFrom = now
		s.paceEvents = 0
	}
}
