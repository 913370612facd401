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

// crash ends the server under a request, and starts it again some time later: in turns
// under a new id and under the one that it had, before its entry has lapsed.
func (p *Platform) crash(s *Server, r *http.Request) {
	time.Sleep(crashTime)
	if s.dead() {
		return
	}
	p.mutex.Lock()
	p.crashes[r.URL.Path]++
	keepsID := p.crashes[r.URL.Path]%2 == 0
	p.mutex.Unlock()
	// Before the clients know of the crash.
	p.restarts.Add(1)
	startAgain := s.Restart
	if keepsID {
		s.Stop()
	} else {
		s.Kill()
		startAgain = func() error { return p.StartLike(s) }
	}
	time.AfterFunc(restartTime, func() {
		defer p.restarts.Done()
		if err := startAgain(); err != nil {
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

// AwaitRestarts waits until each server that has crashed has started again.
func (p *Platform) AwaitRestarts() {
	p.restarts.Wait()
}
