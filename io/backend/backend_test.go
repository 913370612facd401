package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"headcourse/io/backend"
	"headcourse/io/http1"
	"headcourse/io/tcp"
)

const (
	// maxWait bounds waits for expected events; no test depends on its passing.
	maxWait = 30 * time.Second
	// keepAlive is the keep-alive time that servers name: longer than any test runs.
	keepAlive = time.Hour
	// maxBody bounds bodies, in bytes.
	maxBody = 1 << 20
)

// Requests and answers as bytes on the wire.
const (
	requestHead    = "GET / HTTP/1.1\r\nHost: water.example\r\n\r\n"
	completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
)

// responder answers one request on a connection. It returns false if the connection must be
// closed after it.
type responder func(t *testing.T, conn *net.TCPConn) bool

// respond returns a responder that writes text and keeps the connection.
func respond(text string) responder {
	return func(t *testing.T, conn *net.TCPConn) bool {
		_, err := io.WriteString(conn, text)
		qt.Check(t, err, qt.IsNil)
		return true
	}
}

// respondAndClose returns a responder that writes text and closes the connection.
func respondAndClose(text string) responder {
	return func(t *testing.T, conn *net.TCPConn) bool {
		respond(text)(t, conn)
		return false
	}
}

// server answers each request, over all connections, with its next responder.
type server struct {
	t          *testing.T
	listener   net.Listener
	responders chan responder
}

// startServer starts a server that stops at the end of the test.
func startServer(t *testing.T, responders ...responder) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &server{
		t:          t,
		listener:   listener,
		responders: make(chan responder, len(responders)),
	}
	for _, one := range responders {
		s.responders <- one
	}
	go s.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

// accept accepts connections until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn.(*net.TCPConn))
	}
}

// serveConn answers requests on one connection until it ends. The connection is closed at the
// end of the test at the latest.
func (s *server) serveConn(conn *net.TCPConn) {
	s.t.Cleanup(func() { _ = conn.Close() })
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if next := <-s.responders; !next(s.t, conn) {
			return
		}
	}
}

// send sends a request to the server and reads the head of the answer.
func (s *server) send(client *backend.Client) *backend.Exchange {
	s.t.Helper()
	exchange, err := client.Connect("i-0001", s.listener.Addr().String())
	qt.Assert(s.t, err, qt.IsNil)
	err = exchange.Send([]byte(requestHead), nil)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(exchange.Abort)
	qt.Assert(s.t, exchange.SetReadDeadline(time.Now().Add(maxWait)), qt.IsNil)
	var head fasthttp.ResponseHeader
	qt.Assert(s.t, exchange.ReadHead(&head), qt.IsNil)
	return exchange
}

// roundTrip sends a request, reads the whole answer and returns the connection to the pool.
func (s *server) roundTrip(client *backend.Client) string {
	s.t.Helper()
	exchange := s.send(client)
	body, err := readAll(exchange, maxBody)
	qt.Assert(s.t, err, qt.IsNil)
	exchange.Finish(true, keepAlive)
	return string(body)
}

// openedConns returns how many connections a client has opened.
func openedConns(client *backend.Client) int64 {
	opened, _ := client.ConnectionCounts()
	return opened
}

func TestConnectionIsReusedAfterCompleteAnswer(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nin\r\n7\r\n chunks\r\n0\r\nA: trailer\r\n\r\n"
	interim := "HTTP/1.1 102 Processing\r\n\r\n"
	s := startServer(t, respond(completeAnswer), respond(chunked), respond("HTTP/1.1 204 No Content\r\n\r\n"), respond(interim+completeAnswer))
	client := &backend.Client{}
	qt.Check(t, s.roundTrip(client), qt.Equals, "whole")
	qt.Check(t, s.roundTrip(client), qt.Equals, "in chunks")
	qt.Check(t, s.roundTrip(client), qt.Equals, "")
	qt.Check(t, s.roundTrip(client), qt.Equals, "whole")
	opened, reused := client.ConnectionCounts()
	qt.Assert(t, opened, qt.Equals, int64(1))
	qt.Assert(t, reused, qt.Equals, int64(3))
}

func TestConnectionWithUnexpectedBytesIsNotReused(t *testing.T) {
	s := startServer(t, respond(completeAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"), respond(completeAnswer))
	client := &backend.Client{}
	qt.Assert(t, s.roundTrip(client), qt.Equals, "whole")
	qt.Assert(t, s.roundTrip(client), qt.Equals, "whole")
	qt.Assert(t, openedConns(client), qt.Equals, int64(2))
}

// waitUntilAcked waits until the peer's kernel has acknowledged everything that was sent,
// including the FIN.
func waitUntilAcked(t *testing.T, conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	const interval = time.Millisecond
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(interval) {
		unacked := 0
		var ioctlErr error
		qt.Assert(t, raw.Control(func(fd uintptr) {
			unacked, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		}), qt.IsNil)
		qt.Assert(t, ioctlErr, qt.IsNil)
		if unacked == 0 {
			return
		}
	}
	t.Error("peer did not acknowledge the sent bytes")
}

func TestIdleConnectionIsCheckedBeforeReuse(t *testing.T) {
	for _, c := range []struct {
		name string
		// whileIdle is called while the connection is idle.
		whileIdle func(conn *net.TCPConn) error
	}{
		{
			name: "unexpected bytes",
			whileIdle: func(conn *net.TCPConn) error {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign")
				return err
			},
		},
		{
			name: "closed by the peer",
			whileIdle: func(conn *net.TCPConn) error {
				return conn.CloseWrite()
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			isIdle, done := make(chan struct{}), make(chan struct{})
			s := startServer(t, func(t *testing.T, conn *net.TCPConn) bool {
				defer close(done)
				respond(completeAnswer)(t, conn)
				<-isIdle
				qt.Check(t, c.whileIdle(conn), qt.IsNil)
				waitUntilAcked(t, conn)
				return true
			}, respond(completeAnswer))
			client := &backend.Client{}
			qt.Assert(t, s.roundTrip(client), qt.Equals, "whole")
			close(isIdle)
			<-done
			qt.Assert(t, s.roundTrip(client), qt.Equals, "whole")
			qt.Assert(t, openedConns(client), qt.Equals, int64(2))
		})
	}
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
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
			s := startServer(t, respondAndClose(c.answer), respond(completeAnswer))
			client := &backend.Client{}
			exchange := s.send(client)
			_, err := readAll(exchange, maxBody)
			qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
			exchange.Finish(true, keepAlive)
			qt.Assert(t, s.roundTrip(client), qt.Equals, "whole")
			qt.Assert(t, openedConns(client), qt.Equals, int64(2))
		})
	}
}

// closeDelimitedAnswer is an answer whose body ends when its connection closes.
const closeDelimitedAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end"

func TestBodyWithoutLengthEndsWithConnection(t *testing.T) {
	s := startServer(t, respondAndClose(closeDelimitedAnswer), respond(completeAnswer))
	client := &backend.Client{}
	qt.Assert(t, s.roundTrip(client), qt.Equals, "until the end")
	qt.Assert(t, s.roundTrip(client), qt.Equals, "whole")
	qt.Assert(t, openedConns(client), qt.Equals, int64(2))
}

func TestAbortedBodyWithoutLengthIsIncomplete(t *testing.T) {
	s := startServer(t, respond(closeDelimitedAnswer))
	exchange := s.send(&backend.Client{})
	exchange.Abort()
	_, err := readAll(exchange, maxBody)
	qt.Assert(t, err, qt.IsNotNil)
}

func TestAnswerOverSizeLimitIsAnError(t *testing.T) {
	s := startServer(t, respond(completeAnswer))
	exchange := s.send(&backend.Client{})
	_, err := readAll(exchange, len("whole")-1)
	qt.Assert(t, err, qt.ErrorIs, backend.ErrBodyTooLong)
}

func TestRefusedConnectionReportsNothingSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	_, err = (&backend.Client{}).Connect("i-0001", address)
	var failed *http1.Error
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
	qt.Assert(t, failed.MayHaveBeenSent, qt.IsFalse)
	qt.Assert(t, failed.Refused, qt.IsTrue)
	qt.Assert(t, failed.Peer, qt.Equals, address)
}

func TestSweepClosesConnectionsToUnknownServers(t *testing.T) {
	s := startServer(t, respond(completeAnswer), respond(completeAnswer), respond(completeAnswer))
	client := &backend.Client{}
	s.roundTrip(client)
	client.Sweep(func(string) bool { return true })
	s.roundTrip(client)
	qt.Assert(t, openedConns(client), qt.Equals, int64(1))
	client.Sweep(func(string) bool { return false })
	s.roundTrip(client)
	qt.Assert(t, openedConns(client), qt.Equals, int64(2))
}

// Guards against reuse of an unresponsive connection: packets from a VM that has been cut off
// are dropped, so an idle connection may stop responding without being closed.
func TestUnresponsiveConnectionIsNotReused(t *testing.T) {
	ignore := func(*testing.T, *net.TCPConn) bool {
		return true
	}
	s := startServer(t, respond(completeAnswer), ignore, respond(completeAnswer))
	client := &backend.Client{}
	qt.Assert(t, s.roundTrip(client), qt.Equals, "whole")

	exchange, err := client.Connect("i-0001", s.listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	err = exchange.Send([]byte(requestHead), nil)
	qt.Assert(t, err, qt.IsNil)
	const readTimeout = 50 * time.Millisecond
	qt.Assert(t, exchange.SetReadDeadline(time.Now().Add(readTimeout)), qt.IsNil)
	var head fasthttp.ResponseHeader
	qt.Assert(t, exchange.ReadHead(&head), qt.IsNotNil)
	exchange.Abort()

	qt.Assert(t, s.roundTrip(client), qt.Equals, "whole")
	opened, reused := client.ConnectionCounts()
	qt.Assert(t, opened, qt.Equals, int64(2))
	qt.Assert(t, reused, qt.Equals, int64(1))
}

// A connection for which nothing was written is used for the next request, but not beyond the
// server's keep-alive time.
func TestUnusedConnectionIsReleasedForReuse(t *testing.T) {
	s := startServer(t, respond(completeAnswer), respond(completeAnswer), respond(completeAnswer))
	client := &backend.Client{}
	for range 2 {
		exchange, err := client.Connect("i-0001", s.listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		exchange.Release()
		qt.Assert(t, s.roundTrip(client), qt.Equals, "whole")
	}
	qt.Assert(t, openedConns(client), qt.Equals, int64(1))
}

// failingDialer fails all connects.
type failingDialer struct {
	isConfirmed bool
	isRefused   bool
}

// Dial fails.
func (f failingDialer) Dial(string, time.Duration) (net.Conn, error) {
	return nil, &tcp.DialError{
		Refused:   f.isRefused,
		Confirmed: f.isConfirmed,
		Cause:     errors.New("no connection"),
	}
}

// Guards against a server that is taken for crashed, and a request for the cause of it, because a daemon has lost its
// own links or the server does not answer for a while.
func TestServerIsDownOnlyIfRefusingAndConfirmed(t *testing.T) {
	for _, failing := range failedConnects {
		client := &backend.Client{
			Dialer: failing,
		}
		qt.Check(t, client.IsDown("127.0.0.1:1"), qt.Equals, failing.isRefused && failing.isConfirmed)
	}
	client := &backend.Client{
		Dialer: silentDialer{},
	}
	qt.Check(t, client.IsDown("127.0.0.1:1"), qt.IsFalse)
	client.Dialer = nil
	qt.Check(t, client.IsDown(closedAddress(t)), qt.IsTrue)
}

// silentDialer is a direct dialer whose connects are not answered.
type silentDialer struct{}

// Dial fails with a timeout.
func (silentDialer) Dial(string, time.Duration) (net.Conn, error) {
	return nil, &net.OpError{
		Op:  "dial",
		Err: os.ErrDeadlineExceeded,
	}
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

// closingDialer connects, and closes the server's listener then.
type closingDialer struct {
	listener net.Listener
}

// Dial connects to an address.
func (d closingDialer) Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := tcp.DirectDialer{}.Dial(address, timeout)
	_ = d.listener.Close()
	return conn, err
}

// failedConnects are all ways in which a connect fails.
var failedConnects = []failingDialer{
	{},
	{
		isRefused: true,
	},
	{
		isConfirmed: true,
	},
	{
		isRefused:   true,
		isConfirmed: true,
	},
}

// Guards against a running server whose answers are taken for broken, since it rejects surplus connections or is slow to
// accept them, and against answers of a crashed server that are taken for whole, since nothing confirms that the refusal is the
// server's fault, or since its listener has not been closed yet.
func TestServerIsUnreachedOnlyIfNothingShowsThatItRuns(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	client := &backend.Client{}
	qt.Check(t, client.IsUnreached(listener.Addr().String()), qt.IsFalse)
	qt.Assert(t, listener.Close(), qt.IsNil)
	qt.Check(t, client.IsUnreached(listener.Addr().String()), qt.IsTrue)

	for _, failing := range failedConnects {
		client = &backend.Client{
			Dialer: failing,
		}
		qt.Check(t, client.IsUnreached("127.0.0.1:1"), qt.Equals, failing.isRefused)
	}

	// A listener that is closed resets the connections that it has not accepted.
	dying, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	client = &backend.Client{
		Dialer: closingDialer{
			listener: dying,
		},
	}
	qt.Check(t, client.IsUnreached(dying.Addr().String()), qt.IsTrue)
}

// lostLinks are links of which some are lost.
type lostLinks struct {
	isDetoured bool
}

// IsDetoured reports whether the link to the server is lost.
func (l *lostLinks) IsDetoured(string) bool {
	return l.isDetoured
}

// HasDetours reports that some link is lost.
func (l *lostLinks) HasDetours() bool {
	return true
}

// Guards against requests on kept connections that hang, while new connections would not.
func TestKeptConnectionOfLostLinkIsNotReused(t *testing.T) {
	for _, test := range []struct {
		name       string
		isDetoured bool
		idleTime   time.Duration
		wantReused int64
	}{
		{
			name:       "other link lost a moment ago",
			wantReused: 1,
		},
		{
			name:       "link of this server lost",
			isDetoured: true,
		},
		{
			name:     "other link lost, long idle",
			idleTime: 400 * time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startServer(t, respond(completeAnswer), respond(completeAnswer))
			client := &backend.Client{
				Links: &lostLinks{
					isDetoured: test.isDetoured,
				},
			}
			s.roundTrip(client)
			time.Sleep(test.idleTime)
			s.roundTrip(client)
			_, reused := client.ConnectionCounts()
			qt.Assert(t, reused, qt.Equals, test.wantReused)
		})
	}
}

// Guards against an answer without a length that seems complete although its server reset the connection, of which only
// the write of the request's body took notice.
func TestResetDuringBodyIsNoEndOfAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			go func() {
				_, _ = io.CopyN(io.Discard, conn, 1<<20)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	client := &backend.Client{}
	const attempts = 30
	const length = 32 << 20
	ends := 0
	for range attempts {
		exchange, err := client.Connect("i-0001", listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, exchange.Send([]byte("POST / HTTP/1.1\r\nHost: water.example\r\nContent-Length: 33554432\r\n\r\n"), make([]byte, length)), qt.IsNil)
		qt.Assert(t, exchange.SetReadDeadline(time.Now().Add(maxWait)), qt.IsNil)
		var head fasthttp.ResponseHeader
		if exchange.ReadHead(&head) == nil {
			ends++
			_, err = readAll(exchange, maxBody)
			qt.Check(t, err, qt.IsNotNil)
		}
		exchange.Abort()
	}
	t.Logf("%d of %d answers had a head", ends, attempts)
}
