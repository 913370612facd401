package http1_test

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/io/http1"
)

// peer is a backend server that counts the requests that it reads and treats
// each connection as told.
type peer struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// listen starts a peer; serve answers one request of a connection and tells
// whether to keep the connection.
func listen(t *testing.T, serve func(number int64, conn net.Conn) bool) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = listener.Close()
	})
	started := &peer{
		listener: listener,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			started.conns.Add(1)
			go started.talk(conn, serve)
		}
	}()
	return started
}

// talk serves one connection.
func (p *peer) talk(conn net.Conn, serve func(number int64, conn net.Conn) bool) {
	defer func() {
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		var request fasthttp.Request
		if request.Read(reader) != nil {
			return
		}
		if !serve(p.requests.Add(1), conn) {
			return
		}
	}
}

// answer writes an empty answer.
func answer(conn net.Conn) {
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
}

// send sends one request and returns the error.
func send(client *http1.Client, address, method string, isFresh bool) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("/")
	request.Header.SetMethod(method)
	return client.Do(address, request, response, isFresh, false)
}

// TestBrokenExchangeIsNeverRepeated: the library by itself tries GET, HEAD and
// PUT up to five times when a connection closes without an answer.
func TestBrokenExchangeIsNeverRepeated(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "POST", "DELETE"} {
		broken := listen(t, func(int64, net.Conn) bool {
			return false
		})
		client := &http1.Client{}
		err := send(client, broken.listener.Addr().String(), method, false)
		var failed *http1.Error
		qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf(method))
		qt.Assert(t, failed.Sent, qt.IsTrue)
		qt.Assert(t, broken.requests.Load(), qt.Equals, int64(1), qt.Commentf(method))
	}
}

// TestKeptConnectionThatDiesIsUnknown: the request was written to a connection
// that the peer was closing; nobody knows whether the peer read it.
func TestKeptConnectionThatDiesIsUnknown(t *testing.T) {
	dying := listen(t, func(number int64, conn net.Conn) bool {
		if number == 1 {
			answer(conn)
			return true
		}
		return false
	})
	client := &http1.Client{}
	address := dying.listener.Addr().String()
	qt.Assert(t, send(client, address, "GET", false), qt.IsNil)
	err := send(client, address, "GET", false)
	var failed *http1.Error
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
	qt.Assert(t, failed.Sent, qt.IsTrue)
	qt.Assert(t, dying.requests.Load(), qt.Equals, int64(2))
}

// TestFreshRequestsNeverShareAConnection: what may not be repeated goes over a
// connection that cannot have been closed before.
func TestFreshRequestsNeverShareAConnection(t *testing.T) {
	well := listen(t, func(_ int64, conn net.Conn) bool {
		answer(conn)
		return true
	})
	client := &http1.Client{}
	address := well.listener.Addr().String()
	for range 4 {
		qt.Assert(t, send(client, address, "POST", true), qt.IsNil)
	}
	qt.Assert(t, well.conns.Load(), qt.Equals, int64(4))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	gone := listen(t, nil)
	address := gone.listener.Addr().String()
	qt.Assert(t, gone.listener.Close(), qt.IsNil)
	err := send(&http1.Client{}, address, "POST", true)
	var failed *http1.Error
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
	qt.Assert(t, failed.Sent, qt.IsFalse)
	qt.Assert(t, failed.Refused, qt.IsTrue)
	qt.Assert(t, failed.Peer, qt.Equals, address)
}
