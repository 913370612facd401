package gateway

import (
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/quarantine"
)

// Counters of crashes under requests, of suspected crashes that a check refuted, and of
// contents that were quarantined, each of them once for each failed trial.
const (
	countCrashes        = "quarantine_ends_noted"
	countCrashesRefuted = "quarantine_ends_refuted"
	countQuarantined    = "quarantine_requests_held"
)

// beginningTime bounds the time from the first event of an answer until a server that crashes as
// it begins to write the answer has done so.
const beginningTime = time.Second

// maxLoggedSuspects bounds the digests in the log line of one crash.
const maxLoggedSuspects = 16

// isClosedByPeer reports whether the peer closed or reset the connection. A link that drops
// packets causes a timeout instead.
func isClosedByPeer(err error) bool {
	for _, closeErr := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closeErr) {
			return true
		}
	}
	return false
}

// checkForCrash starts a check whether a server crashed while the request was in flight there.
// A running server may also have broken off an answer or refused a surplus connection. If
// crashes are recorded for its digests already, the request waits for the result; otherwise it
// continues meanwhile. The parts of its prompt are no suspects if the server had been writing the
// answer for some time.
func (a *attempt) checkForCrash(firstEventAt time.Time) {
	j, server := a.job, a.server
	suspects := []quarantine.Digest{j.contentDigest()}
	if firstEventAt.IsZero() || time.Since(firstEventAt) < beginningTime {
		suspects = append(suspects, j.partDigests(server.Release)...)
	}
	var checked <-chan struct{}
	for _, digest := range suspects {
		checked = j.server.crashChecks.add(server, quarantine.Crash{
			Digest:   digest,
			Start:    server.StartID(),
			Trial:    a.trialOf(digest),
			Duration: time.Since(a.sentAt),
		}, j.server.recordCrashes)
	}
	if len(j.server.ledger.CrashedStarts(suspects...)) > 0 {
		<-checked
	}
}

// recordCrashes checks whether a server is down, and if so records a crash for each request
// that was in flight there.
func (s *Server) recordCrashes(server fleet.Server) {
	startedAt := time.Now()
	isDown := s.backends.IsDown(server.Address)
	crashes := s.crashChecks.finish(server)
	s.logCrashCheck(server, isDown, time.Since(startedAt), crashes)
	if !isDown {
		metrics.GetOrRegisterCounter(countCrashesRefuted, s.registry).Inc(int64(len(crashes)))
		return
	}
	var unconfirmed []quarantine.Crash
	for _, crash := range crashes {
		switch {
		case s.ledger.RecordCrash(crash):
			s.reportCrash(crash)
		case s.ledger.AwaitsAnswer(crash):
			unconfirmed = append(unconfirmed, crash)
		}
	}
	if len(unconfirmed) > 0 {
		time.AfterFunc(quarantine.AnswerWait, func() { s.reportUnanswered(unconfirmed) })
	}
}

// reportCrash counts a crash and reports it to all daemons.
func (s *Server) reportCrash(crash quarantine.Crash) {
	metrics.GetOrRegisterCounter(countCrashes, s.registry).Inc(1)
	s.source.ReportCrash(crash)
}

// reportUnanswered reports those crashes under parts of prompts that no answer has cleared.
func (s *Server) reportUnanswered(crashes []quarantine.Crash) {
	for _, crash := range crashes {
		if s.ledger.AwaitsAnswer(crash) {
			crash.Age = quarantine.AnswerWait
			s.reportCrash(crash)
		}
	}
}

// logCrashCheck writes the log line about a check.
func (s *Server) logCrashCheck(server fleet.Server, isDown bool, took time.Duration, crashes []quarantine.Crash) {
	mayWrite, suppressed := s.connectThrottle.Allow("crash/" + server.Service)
	if !mayWrite {
		return
	}
	var suspects []quarantine.Digest
	for _, crash := range crashes {
		if !slices.Contains(suspects, crash.Digest) && len(suspects) < maxLoggedSuspects {
			suspects = append(suspects, crash.Digest)
		}
	}
	s.log.Info("servers: checked for a crash",
		zap.String("server", server.ID),
		zap.Bool("is_down", isDown),
		zap.Int64("took_ms", took.Milliseconds()),
		zap.Int64("last_success_age_ms", s.lastConnect.ageMs()),
		zap.Int("suspects", len(crashes)),
		zap.Strings("first_suspects", texts(suspects)),
		zap.Int("lines_left_out", suppressed))
}

// crashChecks holds the running checks of servers that may have crashed, one per server start
// for all requests that were in flight there. The zero value is empty.
type crashChecks struct {
	mutex   sync.Mutex
	pending map[string]*crashCheck
}

// crashCheck is one check. done is closed when its crashes have been recorded.
type crashCheck struct {
	crashes []quarantine.Crash
	done    chan struct{}
}

// add adds a possible crash to the check of its server, which it starts with run if there is
// none. It returns a channel that is closed when the check is over.
func (c *crashChecks) add(server fleet.Server, crash quarantine.Crash, run func(fleet.Server)) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if pending, ok := c.pending[crash.Start]; ok {
		pending.crashes = append(pending.crashes, crash)
		return pending.done
	}
	if c.pending == nil {
		c.pending = map[string]*crashCheck{}
	}
	pending := &crashCheck{
		crashes: []quarantine.Crash{
			crash,
		},
		done: make(chan struct{}),
	}
	c.pending[crash.Start] = pending
	go func() {
		defer close(pending.done)
		run(server)
	}()
	return pending.done
}

// finish removes the check of a server and returns the possible crashes added to it.
func (c *crashChecks) finish(server fleet.Server) []quarantine.Crash {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	finished := c.pending[server.StartID()]
	delete(c.pending, server.StartID())
	return finished.crashes
}
