package backend_test

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"headcourse/io/backend"
)

// idleClosingServer closes connections that have been idle for its keep-alive time, or for up to maxExtra
// longer.
type idleClosingServer struct {
	listener  net.Listener
	keepAlive time.Duration
	maxExtra  time.Duration
}

// startIdleClosingServer starts a server that stops at the end of the test.
func startIdleClosingServer(t *testing.T, keepAlive, maxExtra time.Duration) *idleClosingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	s := &idleClosingServer{
		listener:  listener,
		keepAlive: keepAlive,
		maxExtra:  maxExtra,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn)
		}
	}()
	return s
}

// serveConn answers requests until the connection has been idle for too long.
func (s *idleClosingServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		idleTime := s.keepAlive + time.Duration(rand.Int64N(int64(s.maxExtra)+1))
		_ = conn.SetReadDeadline(time.Now().Add(idleTime))
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, completeAnswer); err != nil {
			return
		}
	}
}

// roundTrip sends a request and releases the connection after the answer.
func (s *idleClosingServer) roundTrip(connect func(server, address string) (*backend.Exchange, error)) error {
	exchange, err := connect("i-0001", s.listener.Addr().String())
	if err != nil {
		return err
	}
	defer exchange.Abort()
	if err = exchange.Send([]byte(requestHead), nil); err != nil {
		return err
	}
	if err = exchange.SetReadDeadline(time.Now().Add(maxWait)); err != nil {
		return err
	}
	var head fasthttp.ResponseHeader
	if err = exchange.ReadHead(&head); err != nil {
		return err
	}
	if _, err = readAll(exchange, maxBody); err != nil {
		return err
	}
	exchange.Finish(true, s.keepAlive)
	return nil
}

// slowDialer opens connections on which what is written arrives late, as on a busy link.
type slowDialer struct {
	delay time.Duration
}

// Dial opens a connection.
func (d slowDialer) Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return slowConn{
		TCPConn: conn.(*net.TCPConn),
		delay:   d.delay,
	}, nil
}

// slowConn delays writes, after the check for a closed connection.
type slowConn struct {
	*net.TCPConn
	delay time.Duration
}

// Write writes after the delay.
func (c slowConn) Write(content []byte) (int, error) {
	time.Sleep(c.delay)
	return c.TCPConn.Write(content)
}

// Guards against requests that are lost because they cross with the server's close of an idle connection.
func TestNoRequestCrossesWithCloseOfIdleConnection(t *testing.T) {
	const (
		clients  = 150
		requests = 6
		// maxIdle is above the time after which connections are dropped, so that requests are also sent
		// at the last possible moment.
		maxIdle = 1100 * time.Millisecond
		// linkDelay is well above that of a link, which is a few milliseconds: without a margin, some
		// requests of this test are lost.
		linkDelay = 50 * time.Millisecond
	)
	for _, maxExtra := range []time.Duration{0, 500 * time.Millisecond} {
		t.Run(maxExtra.String(), func(t *testing.T) {
			t.Parallel()
			s := startIdleClosingServer(t, time.Second, maxExtra)
			var reused, lost atomic.Int64
			var waiting sync.WaitGroup
			for range clients {
				waiting.Go(func() {
					client := &backend.Client{
						Dialer: slowDialer{
							delay: linkDelay,
						},
					}
					for range requests {
						if err := s.roundTrip(client.ConnectRepeatable); err != nil {
							t.Log(err)
							lost.Add(1)
						}
						time.Sleep(time.Duration(rand.Int64N(int64(maxIdle))))
					}
					_, count := client.ConnectionCounts()
					reused.Add(count)
					client.Sweep(func(string) bool { return false })
				})
			}
			waiting.Wait()
			t.Logf("%d of %d requests reused a connection", reused.Load(), clients*requests)
			qt.Check(t, lost.Load(), qt.Equals, int64(0))
			qt.Check(t, reused.Load() > clients*(requests-1)/2, qt.IsTrue)
		})
	}
}

// Guards against a request that must not be lost on a connection that the server may be about to close,
// and against the loss of that connection for requests that may be repeated.
func TestUnrepeatableRequestAvoidsConnectionNearItsEnd(t *testing.T) {
	s := startIdleClosingServer(t, time.Second, 0)
	client := &backend.Client{}
	address := s.listener.Addr().String()
	qt.Check(t, client.HasIdle("i-0001", address), qt.IsFalse)
	qt.Assert(t, s.roundTrip(client.Connect), qt.IsNil)
	qt.Assert(t, s.roundTrip(client.Connect), qt.IsNil)
	opened, reused := client.ConnectionCounts()
	qt.Assert(t, opened, qt.Equals, int64(1))
	qt.Assert(t, reused, qt.Equals, int64(1))

	time.Sleep(400 * time.Millisecond)
	qt.Check(t, client.HasIdle("i-0001", address), qt.IsTrue)
	exchange, err := client.Connect("i-0001", address)
	qt.Assert(t, err, qt.IsNil)
	defer exchange.Abort()
	qt.Assert(t, openedConns(client), qt.Equals, int64(2))
	qt.Assert(t, s.roundTrip(client.ConnectRepeatable), qt.IsNil)
	qt.Assert(t, openedConns(client), qt.Equals, int64(2))

	time.Sleep(800 * time.Millisecond)
	qt.Check(t, client.HasIdle("i-0001", address), qt.IsFalse)
	qt.Assert(t, s.roundTrip(client.ConnectRepeatable), qt.IsNil)
	qt.Assert(t, openedConns(client), qt.Equals, int64(3))
}
