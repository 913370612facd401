package gateway

import (
	"io"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/quarantine"
)

// Counters of requests under which servers end.
const (
	countEnds = "quarantine_ends_noted"
	countHeld = "quarantine_requests_held"
)

// isEnd tells whether a connection was closed or reset by its peer. A link that loses
// packets ends in a timeout instead.
func isEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// maySendContent tells, right before the request would be sent, whether servers ended
// under its content so often that it may not be: then only on a trial, to which all daemons
// agree.
func (j *job) maySendContent() bool {
	decision := j.server.ledger.Decide(j.digest())
	j.trial = decision.Trial.Number
	j.heldFor = decision.Pause
	switch decision.Step {
	case quarantine.Send:
		return true
	case quarantine.Try:
		mayTry := j.server.source.MayTry(decision.Trial)
		j.server.log.Info("clients: trial of a suspected request",
			zap.String("request_id", j.request.ID),
			zap.Stringer("content", j.digest()),
			zap.Int("trial", j.trial),
			zap.Strings("ended", j.server.ledger.Ends(j.digest())),
			zap.Bool("is_agreed", mayTry))
		return mayTry
	default:
		return false
	}
}

// noteEnd notes that a server ended while the request was under way there.
func (j *job) noteEnd(server fleet.Server) {
	end := quarantine.End{
		Digest: j.digest(),
		Start:  server.Start(),
		Trial:  j.trial,
	}
	if j.server.ledger.Note(end) {
		metrics.GetOrRegisterCounter(countEnds, j.server.registry).Inc(1)
		j.server.source.Ended(end)
	}
}

// clear notes that a server answered the request whole and lives: servers that ended
// under it ended for another reason.
func (j *job) clear() {
	if cleared := j.server.ledger.Answered(j.digest()); cleared.IsAny() {
		j.server.source.Cleared(cleared)
	}
}

// endHeld breaks off what is under way with a content that is held from now on: where it
// still waits for its turn, it would crash one server more, with all that run there.
func (s *Server) endHeld(digest quarantine.Digest) {
	metrics.GetOrRegisterCounter(countHeld, s.registry).Inc(1)
	jobs := s.underWay.with(digest)
	for _, j := range jobs {
		j.isHeld.Store(true)
		j.abort()
	}
	s.log.Warn("clients: request held, a server ended under its trial",
		zap.Stringer("content", digest),
		zap.Strings("ended", s.ledger.Ends(digest)),
		zap.Int("broken_off", len(jobs)))
}

// underWay finds the requests under way by their content. The zero value is empty.
type underWay struct {
	mutex sync.Mutex
	jobs  map[quarantine.Digest]map[*job]struct{}
}

// enter adds a request.
func (u *underWay) enter(j *job) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.jobs == nil {
		u.jobs = map[quarantine.Digest]map[*job]struct{}{}
	}
	if u.jobs[j.digest()] == nil {
		u.jobs[j.digest()] = map[*job]struct{}{}
	}
	u.jobs[j.digest()][j] = struct{}{}
}

// leave removes a request, if it is there.
func (u *underWay) leave(j *job) {
	if !j.isDigested {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.jobs[j.content], j)
	if len(u.jobs[j.content]) == 0 {
		delete(u.jobs, j.content)
	}
}

// with returns the requests with a content.
func (u *underWay) with(digest quarantine.Digest) []*job {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var jobs []*job
	for j := range u.jobs[digest] {
		jobs = append(jobs, j)
	}
	return jobs
}
