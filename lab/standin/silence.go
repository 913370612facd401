package standin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Place is where a server that stands still holds requests.
type Place int

// Everywhere holds the whole process, as a stop signal does: the kernel accepts connections and keeps what arrives
// and the process reads and writes nothing. At the other places only the work on requests is held: before the head,
// between the head and the first event, between events, and before the last chunk or the second half of an answer.
const (
	Everywhere Place = iota
	BeforeHead
	BeforeFirstEvent
	BetweenEvents
	BeforeEnd
	placeCount
)

// String returns the name of the place in logs.
func (p Place) String() string {
	return [...]string{"everywhere", "before the head", "before the first event", "between events", "before the end"}[p]
}

// heldArrivalTime is how long after a silence the requests arrive that were held.
const heldArrivalTime = 200 * time.Millisecond

// stillness is until when one start of a server holds requests at each place.
type stillness struct {
	// ended is closed when the start ends; then nothing is held.
	ended <-chan struct{}
	mutex sync.Mutex
	until [placeCount]time.Time
	// heldUntil is until when the server's socket holds arrivals in another process.
	heldUntil time.Time
}

// StandStill makes the server hold all requests that reach a place for a duration, and then go on as if nothing had
// been. Silences may overlap.
func (s *Server) StandStill(place Place, duration time.Duration) {
	t := s.currentStillness()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if until := time.Now().Add(duration); until.After(t.until[place]) {
		t.until[place] = until
	}
}

// HoldArrivals tells the server that its socket is in another process, which stands still for a duration from now on.
func (s *Server) HoldArrivals(duration time.Duration) {
	t := s.currentStillness()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.heldUntil = time.Now().Add(duration)
}

// currentStillness returns the silences of the server's current start.
func (s *Server) currentStillness() *stillness {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stillness
}

// remaining returns how long requests are still held at a place.
func (t *stillness) remaining(place Place) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Until(t.until[place])
}

// isStill reports whether requests are held at a place now.
func (t *stillness) isStill(place Place) bool {
	return t.remaining(place) > 0
}

// pass waits until requests are no longer held at a place.
func (t *stillness) pass(place Place) {
	for {
		remaining := t.remaining(place)
		if remaining <= 0 {
			return
		}
		select {
		case <-t.ended:
			return
		case <-time.After(remaining):
		}
	}
}

// hasHeldArrivals reports whether arriving requests may have been held since they were sent. Then their arrival says
// nothing about what the daemon knew when it sent them.
func (t *stillness) hasHeldArrivals() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return min(time.Since(t.until[Everywhere]), time.Since(t.heldUntil)) < heldArrivalTime
}

// stillListener is the listener of a server that may stand still.
type stillListener struct {
	net.Listener
	stillness *stillness
}

// Accept returns the next connection, not before the server goes on.
func (l stillListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.stillness.pass(Everywhere)
	if err != nil {
		return nil, err
	}
	return &stillConn{
		Conn:      conn,
		stillness: l.stillness,
	}, nil
}

// stillConn is a connection of a server that may stand still.
type stillConn struct {
	net.Conn
	stillness *stillness
}

// Read reads bytes and returns them not before the server goes on.
func (c *stillConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.stillness.pass(Everywhere)
	return n, err
}

// Write writes bytes, not before the server goes on.
func (c *stillConn) Write(content []byte) (int, error) {
	c.stillness.pass(Everywhere)
	return c.Conn.Write(content)
}

// CloseWrite ends what the server sends, not before the server goes on.
func (c *stillConn) CloseWrite() error {
	c.stillness.pass(Everywhere)
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		return socket.CloseWrite()
	}
	return nil
}

// SetLinger sets what a close does with bytes that are not sent yet.
func (c *stillConn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// writeHeldAnswer writes the first half of an answer, and the rest once the server no longer holds the end of answers.
func (s *Server) writeHeldAnswer(w http.ResponseWriter, content string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = io.WriteString(w, content[:len(content)/2])
	_ = http.NewResponseController(w).Flush()
	s.currentStillness().pass(BeforeEnd)
	_, _ = io.WriteString(w, content[len(content)/2:])
}

// holdFirstEvent writes the head of a stream, and returns once the server no longer holds first events.
func (s *Server) holdFirstEvent(controller *http.ResponseController) {
	if t := s.currentStillness(); t.isStill(BeforeFirstEvent) {
		_ = controller.Flush()
		t.pass(BeforeFirstEvent)
	}
}

// IsPlain reports whether the server is of a plain service, and not an engine.
func (s *Server) IsPlain() bool {
	return s.domain == ""
}

// Group returns the name and epoch of the open group that the server is the head of, or an empty text if there is none.
func (s *Server) Group() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if group := s.state.Group; group != nil && group.State == "open" {
		return group.Name + "-" + strconv.FormatInt(group.Epoch, 10)
	}
	return ""
}
