package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"headcourse/platform/wire"
)

// What all daemons together are allowed, as the users' rules have it: from limitContact after
// a server first named a limit, in any limitWindow, limitFactor of what the limit allows and
// limitExtra requests of the daemons that had been told for limitGrace.
const (
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitExtra   = 5
	limitGrace   = 500 * time.Millisecond
)

// limitSpoken is what a server says of its limit, and what came of it. The zero value is a
// server that names none.
type limitSpoken struct {
	// words are the limits that it names, each from its time on.
	words []limitWord
	first time.Time
	// told is when each daemon was first told.
	told map[string]time.Time
	came []limitArrival
	// isBroken tells that it got too many, which is noted once.
	isBroken bool
}

// limitWord is a limit from a time on.
type limitWord struct {
	at        time.Time
	perSecond float64
}

// limitArrival is a request of a daemon that had been told.
type limitArrival struct {
	at     time.Time
	daemon string
}

// NameLimit has the server name a limit in all its answers: so many requests a second, from
// all daemons together.
func (s *Server) NameLimit(perSecond float64) {
	s.setLimit(&perSecond)
}

// ChangeLimit has a server that names a limit name another one.
func (s *Server) ChangeLimit(perSecond float64) {
	s.mutex.Lock()
	isNamed := s.limit != nil
	s.mutex.Unlock()
	if isNamed {
		s.NameLimit(perSecond)
	}
}

// EndLimit has the server name no limit any more.
func (s *Server) EndLimit() {
	s.setLimit(nil)
}

// setLimit changes what the server names; nil: none.
func (s *Server) setLimit(perSecond *float64) {
	s.mutex.Lock()
	s.limit = perSecond
	s.mutex.Unlock()
	told := &s.platform.promises
	told.mutex.Lock()
	defer told.mutex.Unlock()
	if perSecond == nil {
		delete(told.limits, s.id)
		return
	}
	if told.limits == nil {
		told.limits = map[string]*limitSpoken{}
	}
	spoken := told.limits[s.id]
	if spoken == nil {
		spoken = &limitSpoken{
			told: map[string]time.Time{},
		}
		told.limits[s.id] = spoken
	}
	spoken.words = append(spoken.words, limitWord{
		at:        time.Now(),
		perSecond: *perSecond,
	})
}

// sayLimit puts the limit on an answer, and tells whether there is one.
func (s *Server) sayLimit(w http.ResponseWriter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limit == nil {
		return false
	}
	w.Header().Set(wire.HeaderLimit, strconv.FormatFloat(*s.limit, 'f', -1, 64))
	return true
}

// noteLimit notes that a server has told a daemon its limit.
func (p *promises) noteLimit(server, daemon string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	spoken := p.limits[server]
	if spoken == nil || !p.isChecked(daemon) {
		return
	}
	now := time.Now()
	if spoken.first.IsZero() {
		spoken.first = now
	}
	if spoken.told[daemon].IsZero() {
		spoken.told[daemon] = now
		p.counts.Limits++
	}
}

// checkLimit notes a request to a server that has named a limit, and that it gets too many.
func (p *Platform) checkLimit(s *Server, daemon string) {
	p.promises.mutex.Lock()
	defer p.promises.mutex.Unlock()
	spoken := p.promises.limits[s.id]
	now := time.Now()
	if spoken == nil || !p.promises.isChecked(daemon) || !spoken.counts(daemon, now) {
		return
	}
	p.promises.counts.Limited++
	spoken.came = append(spoken.came, limitArrival{
		at:     now,
		daemon: daemon,
	})
	spoken.came = slices.DeleteFunc(spoken.came, func(one limitArrival) bool {
		return now.Sub(one.at) >= limitWindow
	})
	allowed := limitFactor*limitWindow.Seconds()*spoken.highest(now) + limitExtra
	if float64(len(spoken.came)) <= allowed || spoken.isBroken {
		return
	}
	spoken.isBroken = true
	p.violate(fmt.Sprintf("%s named a limit and got %d requests in %s from %d daemons that it had told; allowed %.1f", s.id, len(spoken.came), limitWindow, len(spoken.told), allowed))
}

// counts tells whether a daemon's requests count now.
func (l *limitSpoken) counts(daemon string, now time.Time) bool {
	told := l.told[daemon]
	return !told.IsZero() && now.Sub(told) >= limitGrace && now.Sub(l.first) >= limitContact
}

// highest returns the highest limit that was named in the last window, and for as long before
// as answers may be on their way.
func (l *limitSpoken) highest(now time.Time) float64 {
	highest := 0.0
	for i, word := range l.words {
		isOver := i+1 < len(l.words) && now.Sub(l.words[i+1].at) > limitWindow+limitGrace
		if !isOver {
			highest = max(highest, word.perSecond)
		}
	}
	return highest
}

// forgetDaemon forgets what a server told a daemon, and what came of it; all where its name
// is empty.
func (l *limitSpoken) forgetDaemon(daemon string) {
	if daemon == "" {
		clear(l.told)
		l.came = nil
		return
	}
	delete(l.told, daemon)
	l.came = slices.DeleteFunc(l.came, func(one limitArrival) bool {
		return one.daemon == daemon
	})
}
