package http1_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"headcourse/io/http1"
)

// call sends a request to a peer that writes an answer and closes the connection.
func call(t *testing.T, answer string) (status int, body []byte, err error) {
	t.Helper()
	p := startPeer(t, func(_ int64, conn net.Conn) bool {
		_, _ = io.WriteString(conn, answer)
		return false
	})
	return new(http1.Client).CallJSON(p.listener.Addr().String(), "/", nil)
}

// Guards against answers whose status is none, such as 000, which callers of daemons, servers and the store took for a 200.
func TestCallFailsWithoutValidStatus(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/1.11 200 OK"} {
		_, _, err := call(t, line+"\r\nContent-Length: 2\r\n\r\n{}")
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", line))
	}
}

// Guards against fields with blanks or control characters in their names, which callers of daemons, servers and the store took
// for others or passed over.
func TestCallFailsWithInvalidField(t *testing.T) {
	for _, field := range []string{"X Odd: a", "Content-Length : 2", "Content Length: 2", " X-Odd: a", "X\x01Odd: a", "X\x00: a", "X-Odd: a\x01", "X-Odd", ": a", "X-Odd: a\n"} {
		for _, length := range []string{"", "Content-Length: 2\r\n"} {
			_, _, err := call(t, "HTTP/1.1 200 OK\r\n"+length+field+"\r\n\r\n{}")
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", field))
		}
	}
}

// Guards against checks that refuse what servers may send.
func TestCallReadsValidAnswers(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK",
		"HTTP/1.0 200 OK",
		"HTTP/1.1 200",
		"HTTP/1.1 200 ",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK",
		"\r\nHTTP/1.1 200 OK",
	} {
		status, body, err := call(t, head+"\r\nContent-Length: 2\r\nX-Any:\r\n\r\n{}")
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", head))
		qt.Check(t, status, qt.Equals, fasthttp.StatusOK)
		qt.Check(t, string(body), qt.Equals, "{}")
	}
}

// Guards against the head of one answer being taken for the body of another on a connection that is used again.
func TestConnectionWithCheckedHeadsIsReused(t *testing.T) {
	p := startPeer(t, func(_ int64, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		return true
	})
	client := new(http1.Client)
	for range 3 {
		status, body, err := client.CallJSON(p.listener.Addr().String(), "/", nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, status, qt.Equals, fasthttp.StatusOK)
		qt.Check(t, string(body), qt.Equals, "{}")
	}
	qt.Check(t, p.conns.Load(), qt.Equals, int64(1))
}
