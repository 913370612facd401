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

// peer is a server that counts its requests and connections.
type peer struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// startPeer starts a peer. The function serve answers one request of a connection, and returns
// whether to keep the connection.
func startPeer(t *testing.T, serve func(number int64, conn net.Conn) bool) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = listener.Close()
	})
	p := &peer{
		listener: listener,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go p.serveConn(conn, serve)
		}
	}()
	return p
}

// serveConn serves one connection.
func (p *peer) serveConn(conn net.Conn, serve func(number int64, conn net.Conn) bool) {
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

// writeEmptyAnswer writes a successful answer without a body.
func writeEmptyAnswer(conn net.Conn) {
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
}

// send sends one request and returns the error.
func send(client *http1.Client, address, method string, useNewConn bool) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("/")
	request.Header.SetMethod(method)
	return client.Do(address, request, response, useNewConn, false)
}

// Guards against the default of the library, which sends GET, HEAD and PUT up to five times if
// a connection closes without an answer.
func TestBrokenExchangeIsNeverRetried(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "POST", "DELETE"} {
		closing := startPeer(t, func(int64, net.Conn) bool {
			return false
		})
		client := &http1.Client{}
		err := send(client, closing.listener.Addr().String(), method, false)
		var failed *http1.Error
		qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf(method))
		qt.Assert(t, failed.MayHaveBeenSent, qt.IsTrue)
		qt.Assert(t, closing.requests.Load(), qt.Equals, int64(1), qt.Commentf(method))
	}
}

// The request is written to a pooled connection that the peer is closing, so it is unknown
// whether the peer read it.
func TestPooledConnectionThatClosesReportsPossiblySent(t *testing.T) {
	closing := startPeer(t, func(number int64, conn net.Conn) bool {
		if number == 1 {
			writeEmptyAnswer(conn)
			return true
		}
		return false
	})
	client := &http1.Client{}
	address := closing.listener.Addr().String()
	qt.Assert(t, send(client, address, "GET", false), qt.IsNil)
	err := send(client, address, "GET", false)
	var failed *http1.Error
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
	qt.Assert(t, failed.MayHaveBeenSent, qt.IsTrue)
	qt.Assert(t, closing.requests.Load(), qt.Equals, int64(2))
}

// A request that must not be repeated needs a connection that the peer cannot have closed
// before.
func TestRequestsOnNewConnectionsShareNone(t *testing.T) {
	healthy := startPeer(t, func(_ int64, conn net.Conn) bool {
		writeEmptyAnswer(conn)
		return true
	})
	client := &http1.Client{}
	address := healthy.listener.Addr().String()
	for range 4 {
		qt.Assert(t, send(client, address, "POST", true), qt.IsNil)
	}
	qt.Assert(t, healthy.conns.Load(), qt.Equals, int64(4))
}

func TestRefusedConnectionReportsNothingSent(t *testing.T) {
	closed := startPeer(t, nil)
	address := closed.listener.Addr().String()
	qt.Assert(t, closed.listener.Close(), qt.IsNil)
	err := send(&http1.Client{}, address, "POST", true)
	var failed *http1.Error
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
	qt.Assert(t, failed.MayHaveBeenSent, qt.IsFalse)
	qt.Assert(t, failed.Refused, qt.IsTrue)
	qt.Assert(t, failed.Peer, qt.Equals, address)
}
