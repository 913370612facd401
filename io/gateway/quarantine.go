package gateway

import (
	"io"
	"slices"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/quarantine"
	"headcourse/core/request"
	"headcourse/io/backend"
)

// Counters of requests under which servers end.
const (
	countEnds   = "quarantine_ends_noted"
	countNoEnds = "quarantine_ends_refuted"
	countHeld   = "quarantine_requests_held"
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
	if j.trial > 0 && j.server.ledger.MayGoOn(j.digest(), j.trial) {
		return true
	}
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
		j.avoidEnded()
		return mayTry
	default:
		return false
	}
}

// avoidEnded excludes servers that ended under the request, whose entries may still stand:
// a trial there tells nothing. Where there are only such, they may have started again.
func (j *job) avoidEnded() {
	ends := j.server.ledger.Ends(j.digest())
	var ended []string
	isOtherLeft := false
	for _, server := range j.server.serving(j.service, j.request.Model) {
		if slices.Contains(ends, server.Start()) {
			ended = append(ended, server.ID)
		} else {
			isOtherLeft = true
		}
	}
	if !isOtherLeft {
		return
	}
	for _, id := range ended {
		j.excluded[id] = true
	}
}

// noteEnd notes that a server ended while the request was under way there, if it did: a
// server may also have broken off an answer, or refused a connection too many. Where servers
// have ended under the content before, the request waits for that; else it goes on meanwhile.
func (j *job) noteEnd(server fleet.Server) {
	isChecked := j.server.checks.add(server, quarantine.End{
		Digest: j.digest(),
		Start:  server.Start(),
		Trial:  j.trial,
	}, j.server.checkEnd)
	if len(j.server.ledger.Ends(j.digest())) > 0 {
		<-isChecked
	}
}

// checkEnd finds out whether a server has ended, and notes the ends of it if it has.
func (s *Server) checkEnd(server fleet.Server) {
	hasEnded := s.backends.HasEnded(server.Address)
	ends := s.checks.take(server)
	if !hasEnded {
		metrics.GetOrRegisterCounter(countNoEnds, s.registry).Inc(int64(len(ends)))
		return
	}
	for _, end := range ends {
		if s.ledger.Note(end) {
			metrics.GetOrRegisterCounter(countEnds, s.registry).Inc(1)
			s.source.Ended(end)
		}
	}
}

// checks are the looks at servers that may have ended, one for all requests that were under
// way there. The zero value has none.
type checks struct {
	mutex sync.Mutex
	open  map[string]*check
}

// check is one look. isDone is closed when its ends have been noted.
type check struct {
	ends   []quarantine.End
	isDone chan struct{}
}

// add adds an end to the look at its server, which look begins if there is none, and returns
// what is closed when it is over.
func (c *checks) add(server fleet.Server, end quarantine.End, look func(fleet.Server)) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if one, ok := c.open[end.Start]; ok {
		one.ends = append(one.ends, end)
		return one.isDone
	}
	if c.open == nil {
		c.open = map[string]*check{}
	}
	one := &check{
		ends: []quarantine.End{
			end,
		},
		isDone: make(chan struct{}),
	}
	c.open[end.Start] = one
	go func() {
		defer close(one.isDone)
		look(server)
	}()
	return one.isDone
}

// take ends the look at a server and returns what was under way there.
func (c *checks) take(server fleet.Server) []quarantine.End {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	one := c.open[server.Start()]
	delete(c.open, server.Start())
	return one.ends
}

// clear notes that a server answered the request whole and lives: servers that ended
// under it ended for another reason. Only a success shows that it ran to its end: a failure
// may be told of a request that waited for its turn until its time was over; and an answer
// that ends with its connection also ends so when its server crashes.
func (j *job) clear(answer request.Answer, exchange *backend.Exchange) {
	isSuccess := answer.Status >= fasthttp.StatusOK && answer.Status < fasthttp.StatusMultipleChoices
	if !isSuccess || exchange.EndsWithConnection() {
		return
	}
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
