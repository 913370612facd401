package http1_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

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

// Guards against a peer that stops in the middle of its answer, after which callers get a 200 with an empty or short body.
func TestCallFailsIfAnswerIsCut(t *testing.T) {
	const whole = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\n{}"
	for length := range len(whole) {
		_, _, err := call(t, whole[:length])
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", whole[:length]))
	}
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
	for length := range len(chunked) {
		_, _, err := call(t, chunked[:length])
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", chunked[:length]))
	}
}

// Guards against heads that are read otherwise if they arrive in pieces.
func TestHeadInPiecesIsRead(t *testing.T) {
	reader := bufio.NewReader(iotest.OneByteReader(strings.NewReader("\r\nHTTP/1.1 201 OK\r\nX-Any: a\r\nContent-Length: 2\r\n\r\n{}")))
	var head fasthttp.ResponseHeader
	qt.Assert(t, http1.ReadHead(reader, &head), qt.IsNil)
	qt.Check(t, head.StatusCode(), qt.Equals, fasthttp.StatusCreated)
	qt.Check(t, string(head.Peek("X-Any")), qt.Equals, "a")
	rest, err := io.ReadAll(reader)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(rest), qt.Equals, "{}")
}

// Guards against errors that do not tell a connection without an answer from one with a part of it.
func TestEndInsideHeadIsUnexpected(t *testing.T) {
	var head fasthttp.ResponseHeader
	read := func(text string) error {
		return http1.ReadHead(bufio.NewReader(strings.NewReader(text)), &head)
	}
	qt.Check(t, read(""), qt.Equals, io.EOF)
	qt.Check(t, read("HTTP/1.1 200 OK\r\n"), qt.Equals, io.ErrUnexpectedEOF)
	qt.Check(t, read("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("a", 8<<10)), qt.ErrorIs, http1.ErrInvalidHead)
}

// FuzzReadHead checks that what is read as a head ends at its first empty line and has a status and names of fields.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("\r\nHTTP/1.0 404 \r\nX Odd : a\r\n b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(content), len(content)+1)
		var head fasthttp.ResponseHeader
		if http1.ReadHead(reader, &head) != nil {
			return
		}
		rest, err := io.ReadAll(reader)
		qt.Assert(t, err, qt.IsNil)
		begun := bytes.TrimLeft(content, "\r\n")
		_, body, isEnded := bytes.Cut(begun, []byte("\r\n\r\n"))
		qt.Assert(t, isEnded, qt.IsTrue)
		qt.Check(t, string(rest), qt.Equals, string(body))
		qt.Check(t, string(begun[:7]), qt.Equals, "HTTP/1.")
		qt.Check(t, head.StatusCode(), qt.Equals, int(begun[9]-'0')*100+int(begun[10]-'0')*10+int(begun[11]-'0'))
		for name := range head.All() {
			qt.Check(t, httpguts.ValidHeaderFieldName(string(name)), qt.IsTrue)
		}
	})
}
