package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// CrashingSegment is the last segment of the path of requests that crash every server that
// starts to run them.
const CrashingSegment = "crashing"

// crashDelay is how long a server runs a request before it crashes. restartDelay is the time
// from the crash to the next start.
const (
	crashDelay   = 15 * time.Millisecond
	restartDelay = 400 * time.Millisecond
)

// isCrashing reports whether a request crashes the server that runs it.
func isCrashing(r *http.Request) bool {
	return strings.HasSuffix(r.URL.Path, "/"+CrashingSegment)
}

// crash ends the server that runs the request and restarts it after restartDelay. Crashes for
// one path alternate between a replacement with a new ID and a restart under the old ID, before
// its entry expires. A server that was killed or has crashed before crashDelay has passed is not
// restarted, and the result is false.
func (p *Platform) crash(s *Server, r *http.Request) bool {
	s.mutex.Lock()
	crashed := s.crashed
	s.mutex.Unlock()
	time.Sleep(crashDelay)
	if !s.beginCrash(crashed) {
		return false
	}
	p.mutex.Lock()
	p.crashes[r.URL.Path]++
	keepsID := p.crashes[r.URL.Path]%2 == 0
	p.mutex.Unlock()
	// Add precedes the end of the server, so that AwaitRestarts waits for every crash that a
	// client has observed.
	p.restarts.Add(1)
	restart := s.Restart
	if keepsID {
		s.Stop()
	} else {
		s.Kill()
		restart = func() error { return p.StartReplacement(s) }
	}
	time.AfterFunc(restartDelay, func() {
		defer p.restarts.Done()
		if err := restart(); err != nil {
			p.recordViolation("restart a crashed server: " + err.Error())
		}
	})
	return true
}

// beginCrash reports whether the start whose end closes crashed goes on and no other request
// crashes it.
func (s *Server) beginCrash(crashed chan struct{}) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.crashed != crashed || s.isCrashing {
		return false
	}
	select {
	case <-crashed:
		return false
	default:
		s.isCrashing = true
		return true
	}
}

// Crashes returns the number of servers that crashed while they ran requests for the path.
func (p *Platform) Crashes(path string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.crashes[path]
}

// CrashRack ends all servers of a domain of engines at once, as a loss of power does, and restarts
// them under their IDs after restartDelay.
func (p *Platform) CrashRack(domain string) {
	for _, server := range p.Servers(ServiceModel) {
		if server.domain != domain {
			continue
		}
		p.restarts.Add(1)
		server.Stop()
		time.AfterFunc(restartDelay, func() {
			defer p.restarts.Done()
			if err := server.Restart(); err != nil {
				p.recordViolation("restart a server of " + domain + ": " + err.Error())
			}
		})
	}
}

// Rack returns the name of a domain of engines by its number.
func Rack(number int) string {
	return fmt.Sprintf("rack-%d", number)
}

// AwaitRestarts waits until every crashed server has restarted.
func (p *Platform) AwaitRestarts() {
	p.restarts.Wait()
}
