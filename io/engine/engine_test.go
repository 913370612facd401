package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"headcourse/core/outcome"
	"headcourse/io/engine"
)

// startUnframedServer starts a server that answers one request without a length or chunks. If it crashes, it stops
// listening before it closes the connection in order.
func startUnframedServer(t *testing.T, body string, crashes bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"+body)
		if crashes {
			_ = listener.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against the first part of an answer that is taken, and stored for the request's idempotency key, as all
// of it: without a length or chunks, it ends in the same way when its server crashes.
func TestUnframedAnswerOfCrashedServerHasUnknownOutcome(t *testing.T) {
	client := engine.New(time.Minute)
	reply, err := client.Send(engine.Call{
		Address: startUnframedServer(t, "level 4", false),
		Method:  http.MethodPost,
		Path:    "/",
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(reply.Body), qt.Equals, "level 4")

	_, err = client.Send(engine.Call{
		Address: startUnframedServer(t, "level", true),
		Method:  http.MethodPost,
		Path:    "/",
	})
	var failure *outcome.Failure
	qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
	qt.Assert(t, failure.Outcome, qt.Equals, outcome.Unknown)
	qt.Assert(t, failure.Reason, qt.Equals, outcome.ReasonConnectionLost)
}
