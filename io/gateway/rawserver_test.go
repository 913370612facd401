package gateway_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/platform/wire"
)

// rawServer is a backend server that controls every byte of its answers and how its connections end.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
}

// rawAnswer is one answer.
type rawAnswer struct {
	// headAfter, if set, is awaited before the head.
	headAfter <-chan struct{}
	// version is the version in the status line; empty: HTTP/1.1. status is the rest of that line; empty: 200.
	version     string
	status      string
	contentType string
	// header is a further header field. Without a length or chunks there, only the close of the connection
	// marks the end of the answer.
	header string
	// precedingAnswer is written before this one.
	precedingAnswer string
	// id replaces the ID of the request, if it is set. isUnsigned leaves the signature out.
	id         string
	isUnsigned bool
	body       string
	// proceed, if set, is awaited between body and rest.
	proceed <-chan struct{}
	rest    string
	// headBytes, if set, is how much of the head is written before the connection ends.
	headBytes int
	// resets makes the connection end with a reset instead of an orderly close.
	resets bool
	// stops makes the server stop listening before the connection ends, as a process that crashes does.
	stops bool
}

// startRawServer starts a server. The function respond returns its answer to a request that resumes after the
// event lastEventID, 0 for the whole answer.
func startRawServer(t *testing.T, respond func(lastEventID int) rawAnswer) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{
		listener: listener,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, respond)
		}
	}()
	return s
}

// address returns the IP:port of the server.
func (s *rawServer) address() string {
	return s.listener.Addr().String()
}

// serve answers one request. Writes to a disconnected gateway may fail.
func (s *rawServer) serve(conn net.Conn, respond func(lastEventID int) rawAnswer) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// The body is read, since unread bytes turn the close of a connection into a reset.
	if _, err = io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	s.requests.Add(1)
	lastEventID, _ := strconv.Atoi(request.Header.Get(wire.HeaderLastEvent))
	answer := respond(lastEventID)
	if answer.headAfter != nil {
		<-answer.headAfter
	}
	head := answer.precedingAnswer + cmp.Or(answer.version, "HTTP/1.1") + " " + cmp.Or(answer.status, "200 OK") + "\r\n" +
		wire.HeaderID + ": " + cmp.Or(answer.id, request.Header.Get(wire.HeaderID)) + "\r\n" +
		"Content-Type: " + answer.contentType + "\r\n"
	if !answer.isUnsigned {
		head += wire.HeaderSeal + ": seal\r\n"
	}
	if answer.header != "" {
		head += answer.header + "\r\n"
	}
	if head += "\r\n"; answer.headBytes > 0 {
		_, _ = io.WriteString(conn, head[:min(answer.headBytes, len(head)-1)])
	} else {
		_, _ = io.WriteString(conn, head+answer.body)
	}
	if answer.proceed != nil {
		<-answer.proceed
		_, _ = io.WriteString(conn, answer.rest)
	}
	if answer.stops {
		_ = s.listener.Close()
	}
	if answer.resets {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Answers that may precede the answer to a request.
const (
	interimAnswer = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	staleAnswer   = "HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": former\r\n" + wire.HeaderSeal + ": seal\r\nContent-Length: 5\r\n\r\nother"
)

// eventStreamType is the content type of event streams.
const eventStreamType = "text/event-stream"

// numberedEvents returns the events after lastEventID of a stream of three.
func numberedEvents(lastEventID int) string {
	var events strings.Builder
	for i := lastEventID + 1; i <= 3; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: %d\n\n", i, i)
	}
	return events.String()
}

// wholeStream responds with the rest of a stream of three events.
func wholeStream(lastEventID int) rawAnswer {
	return chunkedAnswer(numberedEvents(lastEventID))
}

// firstThen returns a function that responds to its first request with an answer, and to all further ones as
// respond does. Servers may share it.
func firstThen(first rawAnswer, respond func(lastEventID int) rawAnswer) func(lastEventID int) rawAnswer {
	var hasResponded atomic.Bool
	return func(lastEventID int) rawAnswer {
		if hasResponded.CompareAndSwap(false, true) {
			return first
		}
		return respond(lastEventID)
	}
}

// chunkedAnswer returns a complete stream in chunks.
func chunkedAnswer(body string) rawAnswer {
	return rawAnswer{
		contentType: eventStreamType,
		header:      "Transfer-Encoding: chunked",
		body:        inChunks(body),
	}
}

// inChunks returns a body as one chunk and the last chunk.
func inChunks(body string) string {
	if body == "" {
		return "0\r\n\r\n"
	}
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}
