package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"headcourse/platform/wire"
)

// Headers that the stand-in's clients set and daemons forward: the daemon that the request is
// sent to, and the time at which the client sent it, in Unix milliseconds.
const (
	headerDaemon = "Lab-Daemon"
	headerSent   = "Lab-Sent"
)

// What a daemon may still send after a server's directive, by the users' rules.
const (
	// pauseGrace is the time from a server's answer to the start of the pause that it
	// requests. Requests in flight may still arrive later: up to maxRequestsInPause per pause.
	pauseGrace         = 500 * time.Millisecond
	maxRequestsInPause = 2
	// drainingGrace is how long after a server announces that it is draining clients may still
	// send requests that reach it.
	drainingGrace = 2 * time.Second
)

// directiveLedger records the directives that servers sent to daemons, and the requests that
// daemons sent afterwards. The zero value is empty.
type directiveLedger struct {
	mutex sync.Mutex
	sent  map[directiveKey]*sentDirectives
	// exempt counts, per daemon, the faults in progress for which the daemon is not
	// accountable. The empty name stands for all daemons.
	exempt map[string]int
	// limits holds the servers that announce a limit, by server ID.
	limits map[string]*limitRecord
	counts DirectiveCounts
}

// DirectiveCounts counts the directives that accountable daemons received, and the requests
// that they sent afterwards.
type DirectiveCounts struct {
	PausesRequested int
	DrainsAnnounced int
	RequestsInPause int
	// LimitsReceived counts the pairs of a server and a daemon that received its limit.
	// LimitedRequests counts the requests from such a daemon to such a server.
	LimitsReceived  int
	LimitedRequests int
}

// DirectiveCounts returns the counts so far.
func (p *Platform) DirectiveCounts() DirectiveCounts {
	p.directives.mutex.Lock()
	defer p.directives.mutex.Unlock()
	return p.directives.counts
}

// directiveKey identifies a server and the daemon that received its directives.
type directiveKey struct {
	server string
	daemon string
}

// sentDirectives holds the directives that one server sent to one daemon.
type sentDirectives struct {
	pauses        []*sentPause
	drainingSince time.Time
}

// sentPause is one requested pause and the number of requests that arrived during it.
type sentPause struct {
	from, until time.Time
	requests    int
}

// Exempt begins (1) or ends (-1) an exemption from the checks for one daemon, or for all if
// the name is empty: a fault may make a daemon lose directives that it received before.
func (p *Platform) Exempt(daemon string, change int) {
	p.directives.mutex.Lock()
	defer p.directives.mutex.Unlock()
	if p.directives.exempt == nil {
		p.directives.exempt = map[string]int{}
	}
	p.directives.exempt[daemon] += change
	for key := range p.directives.sent {
		if daemon == "" || key.daemon == daemon {
			delete(p.directives.sent, key)
		}
	}
	for _, record := range p.directives.limits {
		record.removeDaemon(daemon)
	}
}

// removeServer drops the directives of a server, which is about to restart.
func (l *directiveLedger) removeServer(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for key := range l.sent {
		if key.server == id {
			delete(l.sent, key)
		}
	}
	delete(l.limits, id)
}

// isChecked reports whether the daemon is accountable now. The mutex is held.
func (l *directiveLedger) isChecked(daemon string) bool {
	return daemon != "" && l.exempt[""] == 0 && l.exempt[daemon] == 0
}

// directivesSent returns the directives that the server sent to the daemon, or nil if the
// daemon is exempt. The mutex is held.
func (l *directiveLedger) directivesSent(server, daemon string) *sentDirectives {
	if !l.isChecked(daemon) {
		return nil
	}
	key := directiveKey{
		server: server,
		daemon: daemon,
	}
	if l.sent == nil {
		l.sent = map[directiveKey]*sentDirectives{}
	}
	if l.sent[key] == nil {
		l.sent[key] = &sentDirectives{}
	}
	return l.sent[key]
}

// RejectWithRetryAfter makes the server reject all requests and request the pause with each
// rejection; 0 ends this.
func (s *Server) RejectWithRetryAfter(pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retryAfter = pause
	s.behaviour = Normal
	if pause > 0 {
		s.behaviour = Rejecting
	}
}

// DrainInAnswersOnly makes the server announce in all its answers that it is draining, while
// its entry still has the state ready. The server ends after drainTime and drainingGrace.
func (s *Server) DrainInAnswersOnly() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.announcesDraining = true
	time.AfterFunc(drainTime+drainingGrace, s.Kill)
}

// addRetryAfter adds the requested pause to a rejection and records it, if the server requests
// pauses.
func (s *Server) addRetryAfter(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	pause := s.retryAfter
	s.mutex.Unlock()
	if pause == 0 {
		return
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	now := time.Now()
	ledger := &s.platform.directives
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if sent := ledger.directivesSent(s.id, r.Header.Get(headerDaemon)); sent != nil {
		ledger.counts.PausesRequested++
		sent.pauses = append(sent.pauses, &sentPause{
			from:  now.Add(pauseGrace),
			until: now.Add(pause),
		})
	}
}

// addDirectives adds the server's directives to all its answers: that it is draining, and its
// limit.
func (s *Server) addDirectives(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		announcesDraining := s.announcesDraining
		s.mutex.Unlock()
		if announcesDraining {
			w.Header().Set(wire.HeaderLeaving, "1")
		}
		isLimited := s.addLimit(w)
		next.ServeHTTP(w, r)
		s.currentStillness().pass(Everywhere)
		if r.Context().Err() != nil {
			// A daemon that cancelled the request, as its client did, may not have read the
			// answer.
			return
		}
		if announcesDraining {
			s.platform.directives.recordDraining(s.id, r.Header.Get(headerDaemon))
		}
		if isLimited {
			s.platform.directives.recordLimitSent(s.id, r.Header.Get(headerDaemon))
		}
	})
}

// recordDraining records that a server announced to a daemon that it is draining.
func (l *directiveLedger) recordDraining(server, daemon string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if sent := l.directivesSent(server, daemon); sent != nil && sent.drainingSince.IsZero() {
		sent.drainingSince = time.Now()
		l.counts.DrainsAnnounced++
	}
}

// checkDirectives records a violation if more than maxRequestsInPause requests arrive in a
// pause that the server requested from the daemon, or if a request was sent more than
// drainingGrace after the server announced to the daemon that it is draining.
func (p *Platform) checkDirectives(s *Server, r *http.Request) {
	daemon := r.Header.Get(headerDaemon)
	now := time.Now()
	p.directives.mutex.Lock()
	defer p.directives.mutex.Unlock()
	received := p.directives.directivesSent(s.id, daemon)
	if received == nil {
		return
	}
	for _, pause := range received.pauses {
		if now.Before(pause.from) || !now.Before(pause.until) {
			continue
		}
		pause.requests++
		p.directives.counts.RequestsInPause++
		if pause.requests == maxRequestsInPause+1 {
			p.recordViolation(fmt.Sprintf("%s requested a pause from %s and received more than %d requests during it", s.id, daemon, maxRequestsInPause))
		}
	}
	sentMs, err := strconv.ParseInt(r.Header.Get(headerSent), 10, 64)
	if err == nil && !received.drainingSince.IsZero() && time.UnixMilli(sentMs).After(received.drainingSince.Add(drainingGrace)) {
		p.recordViolation(fmt.Sprintf("%s announced to %s that it is draining and received request %s, sent %s later", s.id, daemon, r.Header.Get(wire.HeaderID), time.UnixMilli(sentMs).Sub(received.drainingSince)))
	}
}
