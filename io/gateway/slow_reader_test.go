package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
	"headcourse/platform/wire"
)

// endlessStream answers requests with events of 16 KiB until the client disconnects.
type endlessStream struct {
	// begin is closed when the answers may begin.
	begin chan struct{}
	// arrived and finished count requests, and written counts bytes.
	arrived, finished, written atomic.Int64
}

// handler returns the server's handler.
func (s *endlessStream) handler() http.HandlerFunc {
	data := strings.Repeat("x", 16<<10)
	return func(w http.ResponseWriter, r *http.Request) {
		defer s.finished.Add(1)
		s.arrived.Add(1)
		select {
		case <-s.begin:
		case <-r.Context().Done():
			return
		}
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; r.Context().Err() == nil; i++ {
			n, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
			if err != nil {
				return
			}
			s.written.Add(int64(n))
		}
	}
}

// waitUntil waits until a condition is true, and fails the test if it stays false.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	const timeout, interval = 30 * time.Second, 10 * time.Millisecond
	for end := time.Now().Add(timeout); !condition(); time.Sleep(interval) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}

// Clients that request a long stream and never read it must not fill the daemon's memory or
// occupy the server: unread data stays at the server, and both connections are closed when the
// client's timeout passes. The answers begin when all requests are at the server, since they
// slow the VM so much that the timeout of a late request could pass before it arrives.
func TestNonReadingClientsAreDisconnectedAtDeadline(t *testing.T) {
	const clients, timeoutMs = 100, 5000
	stream := endlessStream{
		begin: make(chan struct{}),
	}
	servers := startBackends(t, 1, stream.handler())
	server, address := startWithViewWait(t, newSource(serversView(config.Stream, servers...)), time.Minute)
	for i := range clients {
		conn, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		// Limits what the client's kernel buffers, which does not count as the daemon's memory.
		qt.Assert(t, conn.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil)
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: slow-%d\r\n%s: %d\r\n\r\n", path, host, wire.HeaderID, i, wire.HeaderDeadline, timeoutMs)
		qt.Assert(t, err, qt.IsNil)
	}
	waitUntil(t, func() bool { return server.InFlight() == clients && stream.arrived.Load() == clients })
	close(stream.begin)
	waitUntil(t, func() bool { return server.InFlight() == 0 && stream.finished.Load() == clients })
	// Kernels buffer some MB per connection, on both of its sides.
	const maxBytesPerClient = 16 << 20
	qt.Assert(t, stream.written.Load() < clients*maxBytesPerClient, qt.IsTrue, qt.Commentf("%d bytes taken", stream.written.Load()))
}

// A client that reads its answer after its timeout, but within writeGrace, gets the whole answer.
func TestSlowClientWithinWriteGraceGetsWholeAnswer(t *testing.T) {
	servers := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		answerOK(w, r)
	})
	_, address := startWithViewWait(t, newSource(serversView(config.Safe, servers...)), time.Minute)
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	for range 3 {
		// All requests use one connection, and each has its own deadline.
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: r\r\n%s: 100\r\n\r\n", path, host, wire.HeaderID, wire.HeaderDeadline)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(300 * time.Millisecond)
		buffer := make([]byte, 4<<10)
		n, err := conn.Read(buffer)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200"), qt.IsTrue, qt.Commentf("%s", buffer[:n]))
	}
}
