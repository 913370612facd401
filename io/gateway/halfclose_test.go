package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
	"headcourse/platform/wire"
)

// Guards against a 503, which says that a request has not run and will not, for a request that a server runs while its
// client has closed its sending side and still reads.
func TestHalfClosedClientIsNotToldThatItsRequestHasNotRun(t *testing.T) {
	goesOn := make(chan struct{})
	defer close(goesOn)
	server := startRawServer(t, func(int) rawAnswer {
		return rawAnswer{
			headAfter: goesOn,
		}
	})
	_, address := startWithViewWait(t, newSource(serversView(config.Unsafe, server.address())), time.Minute)
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: r1\r\nContent-Length: 4\r\n\r\nbody", path, host, wire.HeaderID)
	qt.Assert(t, err, qt.IsNil)
	for server.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusBadGateway)
}
