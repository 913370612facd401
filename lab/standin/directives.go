package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"headcourse/platform/wire"
)

// Headers of the stand-in's own clients, which daemons pass on: by which daemon a request
// comes, and when its client sent it.
const (
	headerDaemon = "Lab-Daemon"
	headerSent   = "Lab-Sent"
)

// What daemons are allowed, as the users' rules have it.
const (
	// pauseGrace is how soon after a server's answer its pause begins, pauseSends how many
	// requests may come in it all the same: they were under way.
	pauseGrace = 500 * time.Millisecond
	pauseSends = 2
	// leaveGrace is how long after a server's answer clients may still send what reaches it.
	leaveGrace = 2 * time.Second
)

// promises are what servers said to daemons, and what came from these since. The zero value
// is empty.
type promises struct {
	mutex  sync.Mutex
	spoken map[spokenKey]*spoken
	// excused counts the troubles of each daemon for which it cannot be blamed; those of
	// everybody stand under the empty name.
	excused map[string]int
	// limits are those of servers that name one, by their IDs.
	limits map[string]*limitSpoken
	counts DirectiveCounts
}

// DirectiveCounts is what daemons were asked that can be blamed for it, and what came from
// them all the same.
type DirectiveCounts struct {
	Pauses  int
	Leaves  int
	InPause int
	// Limits counts the daemons that a server told its limit, Limited the requests that
	// came from these to such servers.
	Limits  int
	Limited int
}

// DirectiveCounts returns the counts so far.
func (p *Platform) DirectiveCounts() DirectiveCounts {
	p.promises.mutex.Lock()
	defer p.promises.mutex.Unlock()
	return p.promises.counts
}

// spokenKey names a server and the daemon that it spoke to.
type spokenKey struct {
	server string
	daemon string
}

// spoken is what a server said to a daemon.
type spoken struct {
	pauses []*pauseSpoken
	left   time.Time
}

// pauseSpoken is one pause that was asked for, and the requests that came in it.
type pauseSpoken struct {
	from, till time.Time
	came       int
}

// Excuse begins (1) or ends (-1) a trouble of a daemon, or of all where its name is empty,
// for which it cannot be blamed: what was said to it before may be lost.
func (p *Platform) Excuse(daemon string, change int) {
	p.promises.mutex.Lock()
	defer p.promises.mutex.Unlock()
	if p.promises.excused == nil {
		p.promises.excused = map[string]int{}
	}
	p.promises.excused[daemon] += change
	for key := range p.promises.spoken {
		if daemon == "" || key.daemon == daemon {
			delete(p.promises.spoken, key)
		}
	}
	for _, spoken := range p.promises.limits {
		spoken.forgetDaemon(daemon)
	}
}

// forgetServer forgets what a server said, which starts again.
func (p *promises) forgetServer(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key := range p.spoken {
		if key.server == id {
			delete(p.spoken, key)
		}
	}
	delete(p.limits, id)
}

// isChecked tells whether a daemon can be blamed now. The mutex is held.
func (p *promises) isChecked(daemon string) bool {
	return daemon != "" && p.excused[""] == 0 && p.excused[daemon] == 0
}

// to returns what a server said to a daemon; nil where it is not checked. The mutex is held.
func (p *promises) to(server, daemon string) *spoken {
	if !p.isChecked(daemon) {
		return nil
	}
	key := spokenKey{
		server: server,
		daemon: daemon,
	}
	if p.spoken == nil {
		p.spoken = map[spokenKey]*spoken{}
	}
	if p.spoken[key] == nil {
		p.spoken[key] = &spoken{}
	}
	return p.spoken[key]
}

// AskForPauses has the server turn all requests away, and ask with each for a pause; 0 ends
// it.
func (s *Server) AskForPauses(pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pause = pause
	s.mood = Good
	if pause > 0 {
		s.mood = Shedding
	}
}

// LeaveByAnswersAlone has the server say in all its answers that it leaves, while its entry
// says that it is ready; it ends some time later.
func (s *Server) LeaveByAnswersAlone() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isLeaving = true
	time.AfterFunc(leaveTime+leaveGrace, s.Kill)
}

// askForPause has an answer that turns a request away ask for a pause, if the server does.
func (s *Server) askForPause(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	pause := s.pause
	s.mutex.Unlock()
	if pause == 0 {
		return
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	now := time.Now()
	told := &s.platform.promises
	told.mutex.Lock()
	defer told.mutex.Unlock()
	if heard := told.to(s.id, r.Header.Get(headerDaemon)); heard != nil {
		told.counts.Pauses++
		heard.pauses = append(heard.pauses, &pauseSpoken{
			from: now.Add(pauseGrace),
			till: now.Add(pause),
		})
	}
}

// sayOwn puts on all answers what the server says of itself: that it leaves, and its limit.
func (s *Server) sayOwn(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		isLeaving := s.isLeaving
		s.mutex.Unlock()
		if isLeaving {
			w.Header().Set(wire.HeaderLeaving, "1")
		}
		isLimited := s.sayLimit(w)
		next.ServeHTTP(w, r)
		if r.Context().Err() != nil {
			// A daemon that broke off, as its client did, has perhaps not read the answer.
			return
		}
		if isLeaving {
			s.platform.promises.noteLeave(s.id, r.Header.Get(headerDaemon))
		}
		if isLimited {
			s.platform.promises.noteLimit(s.id, r.Header.Get(headerDaemon))
		}
	})
}

// noteLeave notes that a server has told a daemon that it leaves.
func (p *promises) noteLeave(server, daemon string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if heard := p.to(server, daemon); heard != nil && heard.left.IsZero() {
		heard.left = time.Now()
		p.counts.Leaves++
	}
}

// checkDirectives notes a request that comes although the server has said that it wants none
// from that daemon.
func (p *Platform) checkDirectives(s *Server, r *http.Request) {
	daemon := r.Header.Get(headerDaemon)
	now := time.Now()
	p.promises.mutex.Lock()
	defer p.promises.mutex.Unlock()
	heard := p.promises.to(s.id, daemon)
	if heard == nil {
		return
	}
	for _, pause := range heard.pauses {
		if now.Before(pause.from) || !now.Before(pause.till) {
			continue
		}
		pause.came++
		p.promises.counts.InPause++
		if pause.came == pauseSends+1 {
			p.violate(fmt.Sprintf("%s had asked %s for a pause and got more than %d requests in it", s.id, daemon, pauseSends))
		}
	}
	sent, err := strconv.ParseInt(r.Header.Get(headerSent), 10, 64)
	if err == nil && !heard.left.IsZero() && time.UnixMilli(sent).After(heard.left.Add(leaveGrace)) {
		p.violate(fmt.Sprintf("%s had told %s that it leaves and got request %s, sent %s later", s.id, daemon, r.Header.Get(wire.HeaderID), time.UnixMilli(sent).Sub(heard.left)))
	}
}
