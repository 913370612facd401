package gateway

import (
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/io/logline"
	"headcourse/io/tcp"
)

// Counters of connections of clients: that could not be accepted at once, that were closed to make
// room for others, and that were refused since there was no room.
const (
	countAcceptFailed = "client_accepts_failed"
	countConnsEvicted = "client_connections_evicted"
	countConnsRefused = "client_connections_refused"
)

const (
	// openingTime is how long a new connection may take to send the head of a request before it is
	// closed if others need room.
	openingTime = time.Second
	// spreadFraction is the part of the limit of connections above which answers ask the clients to
	// close theirs, so that connections which have gathered at this daemon spread to others.
	spreadFraction = 0.75
)

// clientListener accepts the connections of clients, of which there is a limit. At the limit it closes
// the least used one for each new one, or refuses the new one if all are in use: its client then
// tries another daemon.
type clientListener struct {
	*tcp.Listener
	server *Server
}

// Accept returns the next connection for which there is room.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.makeRoom() {
			return newClientConn(conn), nil
		}
		metrics.GetOrRegisterCounter(countConnsRefused, l.server.registry).Inc(1)
		reset(conn)
	}
}

// makeRoom reports whether one more connection of a client may be open, and closes another if
// necessary.
func (s *Server) makeRoom() bool {
	if s.maxClientConns == 0 || s.conns.Len() < s.maxClientConns {
		return true
	}
	if !s.conns.CloseLeastUsed(openingTime) {
		return false
	}
	metrics.GetOrRegisterCounter(countConnsEvicted, s.registry).Inc(1)
	return true
}

// hasManyClients reports whether clients should move to other daemons.
func (s *Server) hasManyClients() bool {
	return s.maxClientConns > 0 && float64(s.conns.Len()) > spreadFraction*float64(s.maxClientConns)
}

// reset closes a connection so that its peer notices at once that no request was read.
func reset(conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// recordAcceptError counts and logs an error after which accepting is retried.
func (s *Server) recordAcceptError(err error) {
	metrics.GetOrRegisterCounter(countAcceptFailed, s.registry).Inc(1)
	mayWrite, suppressed := s.acceptThrottle.Allow("")
	if !mayWrite {
		return
	}
	s.log.Error("clients: connection not accepted",
		zap.Int("open", s.conns.Len()),
		zap.Int("lines_left_out", suppressed),
		logline.ErrorField(err))
}
