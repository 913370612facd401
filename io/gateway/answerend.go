package gateway

import (
	"io"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/completeness"
	"headcourse/core/eventstream"
	"headcourse/core/fleet"
	"headcourse/core/request"
	"headcourse/io/logline"
)

// truncationError is the error of an answer that was broken off although its framing marks it as complete.
type truncationError struct {
	verdict completeness.Verdict
	framing completeness.Framing
}

// Error returns why the answer is incomplete.
func (e *truncationError) Error() string {
	return "answer broken off: " + string(e.verdict)
}

// Unwrap returns io.ErrUnexpectedEOF if the server closed the connection, as a crashing process does, and nil
// otherwise. The end of a server that leaves is no evidence of a crash.
func (e *truncationError) Unwrap() error {
	if e.framing == completeness.FramedByClose && e.verdict != completeness.ServerGone {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// checkEnd returns a truncationError unless an answer whose framing has ended is complete. The number of
// unfinished bytes after the last event is for the log.
func (j *job) checkEnd(server fleet.Server, end completeness.End, unfinishedBytes int) error {
	verdict := end.Decide()
	if verdict == completeness.NeedsServerState {
		verdict = end.WithServer(j.server.serverState(server)).Decide()
	}
	j.recordEnd(server, end, verdict, unfinishedBytes)
	if verdict == completeness.Complete {
		return nil
	}
	return &truncationError{
		verdict: verdict,
		framing: end.Framing,
	}
}

// checkBufferedEnd is checkEnd for an answer that was read as a whole. An event stream on a route of another kind
// has the format of a stream too.
func (j *job) checkBufferedEnd(server fleet.Server, framing completeness.Framing, answer request.Answer, body []byte) error {
	end := completeness.End{
		Framing: framing,
	}
	if !isEventStream(answer) {
		return j.checkEnd(server, end, 0)
	}
	var splitter eventstream.Splitter
	splitter.Write(body)
	end.IsStream = true
	for event, ok := splitter.Next(); ok; event, ok = splitter.Next() {
		if !event.IsComment {
			end.EventCount++
		}
	}
	end.HasUnfinishedEvent = splitter.HasUnfinishedEvent()
	return j.checkEnd(server, end, len(splitter.Remainder()))
}

// isEventStream reports whether the body of an answer has the format of an event stream.
func isEventStream(answer request.Answer) bool {
	for _, header := range answer.Headers {
		if header.Name == fasthttp.HeaderContentType {
			mediaType, _, _ := strings.Cut(header.Value, ";")
			return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
		}
	}
	return false
}

// serverState returns the state of the start of a server whose answer has just ended with its connection. A server that is
// not reached, be it for this daemon's own links, does not count as running: a client must not take an answer for complete
// that may have been broken off.
func (s *Server) serverState(server fleet.Server) completeness.ServerState {
	entry, isListed := s.source.View().Fleet.Server(server.ID)
	isOtherStart := isListed && entry.StartID() != server.StartID()
	if !isOtherStart && !s.backends.IsUnreached(server.Address) {
		return completeness.Running
	}
	if !isListed || entry.Draining || s.directives.IsDraining(server.StartID()) {
		return completeness.Gone
	}
	return completeness.Down
}

// recordEnd counts the end of an answer, and writes a log line about it if framing alone does not show that it is
// complete.
func (j *job) recordEnd(server fleet.Server, end completeness.End, verdict completeness.Verdict, unfinishedBytes int) {
	metrics.GetOrRegisterCounter(countEnds+string(end.Framing), j.server.registry).Inc(1)
	if verdict == completeness.Complete && end.Framing != completeness.FramedByClose {
		return
	}
	if verdict != completeness.Complete {
		metrics.GetOrRegisterCounter(countTruncated+string(verdict), j.server.registry).Inc(1)
	}
	mayWrite, suppressed := j.server.endThrottle.Allow(server.Service + "/" + string(verdict))
	if !mayWrite {
		return
	}
	j.server.log.Info("servers: answer ended",
		zap.String("request_id", j.request.ID),
		zap.String("server", server.ID),
		zap.String("framing", string(end.Framing)),
		zap.Int("events", end.EventCount),
		zap.Int("unfinished_bytes", unfinishedBytes),
		zap.String("result", string(verdict)),
		zap.Int("lines_left_out", suppressed))
}

// recordInvalidAnswer counts bytes of a server that are no answer, and writes a log line with their first line that is none.
func (j *job) recordInvalidAnswer(server fleet.Server, err error) {
	metrics.GetOrRegisterCounter(countInvalidAnswers, j.server.registry).Inc(1)
	mayWrite, suppressed := j.server.endThrottle.Allow(server.Service + "/invalid")
	if !mayWrite {
		return
	}
	j.server.log.Warn("servers: bytes that are no answer",
		zap.String("request_id", j.request.ID),
		zap.String("server", server.ID),
		logline.ErrorField(err),
		zap.Int("lines_left_out", suppressed))
}
