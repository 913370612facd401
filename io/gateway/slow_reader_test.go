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

// endlessStream answers with events of 16 KiB for as long as they are taken, and counts the bytes
// that were.
func endlessStream(t *testing.T, taken, ended *atomic.Int64) http.HandlerFunc {
	t.Helper()
	data := strings.Repeat("x", 16<<10)
	return func(w http.ResponseWriter, r *http.Request) {
		defer ended.Add(1)
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; r.Context().Err() == nil; i++ {
			n, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
			if err != nil {
				return
			}
			taken.Add(int64(n))
		}
	}
}

// await waits until something holds, and fails the test if it never does.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	const patience, pause = 30 * time.Second, 10 * time.Millisecond
	for end := time.Now().Add(patience); !holds(); time.Sleep(pause) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}

// Clients that ask for a long stream and read none of it hold neither memory nor the server: what
// is not read stays at the server, and both ends are let go when the client's time is over.
func TestClientsThatDoNotReadHoldNothing(t *testing.T) {
	const clients = 100
	var taken, ended atomic.Int64
	servers := backends(t, 1, endlessStream(t, &taken, &ended))
	server, address := listen(t, newSource(someServers(config.Stream, servers...)), time.Minute)
	for i := range clients {
		conn, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		// What the client's kernel holds is not the daemon's.
		qt.Assert(t, conn.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil)
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: slow-%d\r\n%s: 1500\r\n\r\n", path, host, wire.HeaderID, i, wire.HeaderDeadline)
		qt.Assert(t, err, qt.IsNil)
	}
	await(t, func() bool { return server.Open() == clients })
	await(t, func() bool { return server.Open() == 0 && ended.Load() == clients })
	// Kernels hold some MB of a connection, on both of its sides.
	const mostOfEach = 16 << 20
	qt.Assert(t, taken.Load() < clients*mostOfEach, qt.IsTrue, qt.Commentf("%d bytes taken", taken.Load()))
}

// A client that reads slowly, but within its time, gets the whole answer.
func TestClientThatReadsSlowlyGetsAll(t *testing.T) {
	servers := backends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		answerWhole(w, r)
	})
	_, address := listen(t, newSource(someServers(config.Safe, servers...)), time.Minute)
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	for range 3 {
		// On one connection: each request has a time of its own.
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: r\r\n%s: 100\r\n\r\n", path, host, wire.HeaderID, wire.HeaderDeadline)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(300 * time.Millisecond)
		buffer := make([]byte, 4<<10)
		n, err := conn.Read(buffer)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200"), qt.IsTrue, qt.Commentf("%s", buffer[:n]))
	}
}
