package gateway

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/completeness"
	"headcourse/core/fleet"
)

// answerEnd describes the end of an answer that was read without an error.
type answerEnd struct {
	server  fleet.Server
	framing completeness.Framing
	// events counts the complete events of a stream that the client has received, from all servers.
	events int
	// unfinishedBytes is the number of bytes after the last complete event.
	unfinishedBytes int
}

// recordEnd counts the end of an answer and writes a log line about it if it may be incomplete: only the close
// of the connection marks its end, or it ended inside an event.
func (j *job) recordEnd(end answerEnd) {
	metrics.GetOrRegisterCounter(countEnds+string(end.framing), j.server.registry).Inc(1)
	if end.framing != completeness.FramedByClose && end.unfinishedBytes == 0 {
		return
	}
	subject := end.server.Service
	if end.unfinishedBytes > 0 {
		subject += "/unfinished"
	}
	mayWrite, suppressed := j.server.endThrottle.Allow(subject)
	if !mayWrite {
		return
	}
	j.server.log.Info("servers: answer ended",
		zap.String("request_id", j.request.ID),
		zap.String("server", end.server.ID),
		zap.String("framing", string(end.framing)),
		zap.Int("events", end.events),
		zap.Int("unfinished_bytes", end.unfinishedBytes),
		zap.Int("lines_left_out", suppressed))
}
