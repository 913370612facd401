package backend_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"headcourse/io/backend"
)

// Guards against a server that stops in the middle of the head of its answer, which is then read as a whole head (MIXED, ORDER).
func TestCutHeadIsNotRead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Type: text/plain\r\nContent-Length: 15\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for length := range len(head) {
			cut := head[:length]
			s := startServer(t, respondAndClose(cut))
			exchange, err := (&backend.Client{}).Connect("i-0001", s.listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, exchange.Send([]byte(requestHead), nil), qt.IsNil)
			qt.Assert(t, exchange.SetReadDeadline(time.Now().Add(maxWait)), qt.IsNil)
			err = exchange.ReadHead(new(fasthttp.ResponseHeader))
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", cut))
			exchange.Abort()
		}
	}
}
