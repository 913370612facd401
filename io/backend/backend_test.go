package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"headcourse/io/backend"
	"headcourse/io/http1"
)

const (
	// patience bounds what must come; nothing depends on its passing.
	patience = 30 * time.Second
	// long is how long servers are said to keep connections: longer than any
	// test runs.
	long = time.Hour
	// limit bounds bodies.
	limit = 1 << 20
)

// Requests and answers as they stand on the wire.
const (
	requestHead = "GET / HTTP/1.1\r\nHost: water.example\r\n\r\n"
	wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
)

// act answers one request on a connection; it returns false where the
// connection ends after it.
type act func(t *testing.T, conn *net.TCPConn) bool

// say returns an act that writes some bytes, and then keeps the connection.
func say(text string) act {
	return func(t *testing.T, conn *net.TCPConn) bool {
		_, err := io.WriteString(conn, text)
		qt.Check(t, err, qt.IsNil)
		return true
	}
}

// sayAndClose returns an act that writes some bytes and closes.
func sayAndClose(text string) act {
	return func(t *testing.T, conn *net.TCPConn) bool {
		say(text)(t, conn)
		return false
	}
}

// server answers the requests that it gets, over all connections, by one act
// each.
type server struct {
	t        *testing.T
	listener net.Listener
	acts     chan act
}

// serve starts a server that ends with the test.
func serve(t *testing.T, acts ...act) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &server{
		t:        t,
		listener: listener,
		acts:     make(chan act, len(acts)),
	}
	for _, one := range acts {
		s.acts <- one
	}
	go s.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

// accept takes connections until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.converse(conn.(*net.TCPConn))
	}
}

// converse answers on one connection until it ends. Each is closed with the
// test at the latest.
func (s *server) converse(conn *net.TCPConn) {
	s.t.Cleanup(func() { _ = conn.Close() })
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if next := <-s.acts; !next(s.t, conn) {
			return
		}
	}
}

// send sends a request to the server.
func (s *server) send(client *backend.Client) *backend.Exchange {
	s.t.Helper()
	exchange, err := client.Connect("i-0001", s.listener.Addr().String())
	qt.Assert(s.t, err, qt.IsNil)
	err = exchange.Send([]byte(requestHead), nil)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(exchange.Abort)
	qt.Assert(s.t, exchange.SetReadDeadline(time.Now().Add(patience)), qt.IsNil)
	var head fasthttp.ResponseHeader
	qt.Assert(s.t, exchange.ReadHead(&head), qt.IsNil)
	return exchange
}

// ask sends a request, reads the whole answer and gives the connection back.
func (s *server) ask(client *backend.Client) string {
	s.t.Helper()
	exchange := s.send(client)
	body, err := exchange.ReadAll(limit)
	qt.Assert(s.t, err, qt.IsNil)
	exchange.Finish(true, long)
	return string(body)
}

// opened returns how many connections a client has made.
func opened(client *backend.Client) int64 {
	made, _ := client.Counts()
	return made
}

func TestConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nin\r\n7\r\n chunks\r\n0\r\nA: trailer\r\n\r\n"
	interim := "HTTP/1.1 102 Processing\r\n\r\n"
	s := serve(t, say(wholeAnswer), say(chunked), say("HTTP/1.1 204 No Content\r\n\r\n"), say(interim+wholeAnswer))
	client := &backend.Client{}
	qt.Check(t, s.ask(client), qt.Equals, "whole")
	qt.Check(t, s.ask(client), qt.Equals, "in chunks")
	qt.Check(t, s.ask(client), qt.Equals, "")
	qt.Check(t, s.ask(client), qt.Equals, "whole")
	made, reused := client.Counts()
	qt.Assert(t, made, qt.Equals, int64(1))
	qt.Assert(t, reused, qt.Equals, int64(3))
}

func TestConnectionWithSurplusBytesIsNotUsedAgain(t *testing.T) {
	s := serve(t, say(wholeAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"), say(wholeAnswer))
	client := &backend.Client{}
	qt.Assert(t, s.ask(client), qt.Equals, "whole")
	qt.Assert(t, s.ask(client), qt.Equals, "whole")
	qt.Assert(t, opened(client), qt.Equals, int64(2))
}

// awaitTaken waits until the peer's kernel has taken all that was sent, the end
// of the connection included.
func awaitTaken(t *testing.T, conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	const pause = time.Millisecond
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pause) {
		left := 0
		var ioctlErr error
		qt.Assert(t, raw.Control(func(fd uintptr) {
			left, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		}), qt.IsNil)
		qt.Assert(t, ioctlErr, qt.IsNil)
		if left == 0 {
			return
		}
	}
	t.Error("the peer did not take what was sent")
}

func TestKeptConnectionIsLookedAtBeforeItIsUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		// late happens while the connection is kept.
		late func(conn *net.TCPConn) error
	}{
		{
			name: "surplus bytes",
			late: func(conn *net.TCPConn) error {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign")
				return err
			},
		},
		{
			name: "closed by the peer",
			late: func(conn *net.TCPConn) error {
				return conn.CloseWrite()
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			kept, done := make(chan struct{}), make(chan struct{})
			s := serve(t, func(t *testing.T, conn *net.TCPConn) bool {
				defer close(done)
				say(wholeAnswer)(t, conn)
				<-kept
				qt.Check(t, c.late(conn), qt.IsNil)
				awaitTaken(t, conn)
				return true
			}, say(wholeAnswer))
			client := &backend.Client{}
			qt.Assert(t, s.ask(client), qt.Equals, "whole")
			close(kept)
			<-done
			qt.Assert(t, s.ask(client), qt.Equals, "whole")
			qt.Assert(t, opened(client), qt.Equals, int64(2))
		})
	}
}

func TestAnswerThatIsCutShortIsNotWhole(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
	}{
		{
			name:   "shorter than its length",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		},
		{
			name:   "within a chunk",
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nshort",
		},
		{
			name:   "without the last chunk",
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		},
		{
			name:   "without the end of the trailer",
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, sayAndClose(c.answer), say(wholeAnswer))
			client := &backend.Client{}
			exchange := s.send(client)
			_, err := exchange.ReadAll(limit)
			qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
			exchange.Finish(true, long)
			qt.Assert(t, s.ask(client), qt.Equals, "whole")
			qt.Assert(t, opened(client), qt.Equals, int64(2))
		})
	}
}

// untilEnd is an answer whose body ends with its connection.
const untilEnd = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end"

func TestBodyMayEndWithItsConnection(t *testing.T) {
	s := serve(t, sayAndClose(untilEnd), say(wholeAnswer))
	client := &backend.Client{}
	qt.Assert(t, s.ask(client), qt.Equals, "until the end")
	qt.Assert(t, s.ask(client), qt.Equals, "whole")
	qt.Assert(t, opened(client), qt.Equals, int64(2))
}

func TestAbortedBodyThatEndsWithItsConnectionIsNotWhole(t *testing.T) {
	s := serve(t, say(untilEnd))
	exchange := s.send(&backend.Client{})
	exchange.Abort()
	_, err := exchange.ReadAll(limit)
	qt.Assert(t, err, qt.IsNotNil)
}

func TestAnswerLongerThanTheLimitIsAnError(t *testing.T) {
	s := serve(t, say(wholeAnswer))
	exchange := s.send(&backend.Client{})
	_, err := exchange.ReadAll(len("whole") - 1)
	qt.Assert(t, err, qt.ErrorMatches, "read body of answer: more than 4 bytes")
}

func TestRefusedConnectionSaysThatNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	_, err = (&backend.Client{}).Connect("i-0001", address)
	var failed *http1.Error
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
	qt.Assert(t, failed.Sent, qt.IsFalse)
	qt.Assert(t, failed.Refused, qt.IsTrue)
	qt.Assert(t, failed.Peer, qt.Equals, address)
}

func TestSweepClosesConnectionsToUnknownServers(t *testing.T) {
	s := serve(t, say(wholeAnswer), say(wholeAnswer), say(wholeAnswer))
	client := &backend.Client{}
	s.ask(client)
	client.Sweep(func(string) bool { return true })
	s.ask(client)
	qt.Assert(t, opened(client), qt.Equals, int64(1))
	client.Sweep(func(string) bool { return false })
	s.ask(client)
	qt.Assert(t, opened(client), qt.Equals, int64(2))
}

// A kept connection may go silent for good without a word: the packets of a machine
// that was cut off are dropped, not refused.
func TestKeptConnectionThatIsSilentForGoodIsNotUsedAgain(t *testing.T) {
	ignore := func(*testing.T, *net.TCPConn) bool {
		return true
	}
	s := serve(t, say(wholeAnswer), ignore, say(wholeAnswer))
	client := &backend.Client{}
	qt.Assert(t, s.ask(client), qt.Equals, "whole")

	exchange, err := client.Connect("i-0001", s.listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	err = exchange.Send([]byte(requestHead), nil)
	qt.Assert(t, err, qt.IsNil)
	const shortly = 50 * time.Millisecond
	qt.Assert(t, exchange.SetReadDeadline(time.Now().Add(shortly)), qt.IsNil)
	var head fasthttp.ResponseHeader
	qt.Assert(t, exchange.ReadHead(&head), qt.IsNotNil)
	exchange.Abort()

	qt.Assert(t, s.ask(client), qt.Equals, "whole")
	made, reused := client.Counts()
	qt.Assert(t, made, qt.Equals, int64(2))
	qt.Assert(t, reused, qt.Equals, int64(1))
}

// A connection for which nothing was written is used for the next request, and no longer
// than the server keeps it.
func TestConnectionThatWasNotUsedIsKept(t *testing.T) {
	s := serve(t, say(wholeAnswer), say(wholeAnswer), say(wholeAnswer))
	client := &backend.Client{}
	for range 2 {
		exchange, err := client.Connect("i-0001", s.listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		exchange.Release()
		qt.Assert(t, s.ask(client), qt.Equals, "whole")
	}
	qt.Assert(t, opened(client), qt.Equals, int64(1))
}
