package gateway

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/io/http1"
	"headcourse/io/logline"
)

// countConnectFailed is the prefix of the counters of failed connects to backend servers,
// completed by connectRefused or connectTimedOut.
const (
	countConnectFailed = "server_connects_failed."
	connectRefused     = "refused"
	connectTimedOut    = "timed_out"
)

// lastSuccess is the time of the last success of an operation. The zero value means none yet. It
// is safe for concurrent use.
type lastSuccess struct {
	unixNano atomic.Int64
}

// record records a success now.
func (l *lastSuccess) record() {
	l.unixNano.Store(time.Now().UnixNano())
}

// ageMs returns the time since the last success in milliseconds; -1 if there was none.
func (l *lastSuccess) ageMs() int64 {
	at := l.unixNano.Load()
	if at == 0 {
		return -1
	}
	return time.Since(time.Unix(0, at)).Milliseconds()
}

// recordConnect counts a connect to a server and logs it if it failed. The age of the last success
// at any server shows whether only this server cannot be reached.
func (s *Server) recordConnect(server fleet.Server, startedAt time.Time, err error) {
	if err == nil {
		s.lastConnect.record()
		return
	}
	kind := connectTimedOut
	var failed *http1.Error
	if errors.As(err, &failed) && failed.Refused {
		kind = connectRefused
	}
	metrics.GetOrRegisterCounter(countConnectFailed+kind, s.registry).Inc(1)
	mayWrite, suppressed := s.connectThrottle.Allow(server.Service)
	if !mayWrite {
		return
	}
	s.log.Info("servers: connect failed",
		zap.String("server", server.ID),
		zap.String("service", server.Service),
		zap.String("kind", kind),
		zap.Int64("took_ms", time.Since(startedAt).Milliseconds()),
		zap.Int64("last_success_age_ms", s.lastConnect.ageMs()),
		zap.Int("lines_left_out", suppressed),
		logline.ErrorField(err))
}
