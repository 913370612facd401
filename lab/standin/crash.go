package standin

import (
	"net/http"
	"strings"
	"time"
)

// NameCrashing is the last part of the paths of requests that crash each server which
// begins to run them.
const NameCrashing = "crashing"

// Times of a crash: crashTime is how long a server runs a request that crashes it, and
// restartTime how long the next start takes.
const (
	crashTime   = 15 * time.Millisecond
	restartTime = 400 * time.Millisecond
)

// isCrashing tells whether a request crashes servers.
func isCrashing(r *http.Request) bool {
	return strings.HasSuffix(r.URL.Path, "/"+NameCrashing)
}

// crash ends the server under a request, and starts another in its place some time later.
func (p *Platform) crash(s *Server, r *http.Request) {
	time.Sleep(crashTime)
	s.mutex.Lock()
	wasDead := s.isDead
	s.mutex.Unlock()
	if wasDead {
		return
	}
	p.mutex.Lock()
	p.crashes[r.URL.Path]++
	p.mutex.Unlock()
	s.Kill()
	time.AfterFunc(restartTime, func() {
		if err := p.StartLike(s); err != nil {
			p.violate("start a server again: " + err.Error())
		}
	})
}

// Crashes returns how many servers have crashed under requests for a path.
func (p *Platform) Crashes(path string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.crashes[path]
}
