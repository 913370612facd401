package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
	"headcourse/platform/wire"
)

// endlessServer is a backend server that begins its answers with some bytes and then repeats others until the gateway
// closes the connection.
type endlessServer struct {
	listener net.Listener
	// written counts the bytes that the gateway has accepted.
	written atomic.Int64
	// closed receives a value when the gateway has closed the connection of an answer.
	closed chan struct{}
}

// startEndlessServer starts a server. In begin and repeated, ID stands for the ID of the request.
func startEndlessServer(t *testing.T, begin, repeated string) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	s := &endlessServer{
		listener: listener,
		closed:   make(chan struct{}, 16),
	}
	go func() {
		for {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			go s.serve(conn, begin, repeated)
		}
	}()
	return s
}

// serve answers one request without end.
func (s *endlessServer) serve(conn net.Conn, begin, repeated string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	id := request.Header.Get(wire.HeaderID)
	const repeatsPerWrite = 64
	next := strings.ReplaceAll(begin, "ID", id)
	for {
		n, writeErr := io.WriteString(conn, next)
		s.written.Add(int64(n))
		if writeErr != nil {
			s.closed <- struct{}{}
			return
		}
		next = strings.Repeat(strings.ReplaceAll(repeated, "ID", id), repeatsPerWrite)
	}
}

// answerHead is the beginning of a head that is valid so far.
const answerHead = "HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": ID\r\n" + wire.HeaderSeal + ": seal\r\n"

// Guards against a server whose bytes are no answer and don't end, and hold a request, a connection and memory until the
// client's timeout.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const (
		// maxBytes is what one connection may deliver: the largest body, and what fits into buffers.
		maxBytes = 48 << 20
		patience = 30 * time.Second
	)
	for name, answer := range map[string]struct {
		begin, repeated string
		kind            config.Kind
		// isServed is set if the bytes begin with a whole answer.
		isServed bool
	}{
		"bytes that are no head": {
			repeated: "\x00\xff\x17",
		},
		"status line": {
			begin:    "HTTP/1.1 200 ",
			repeated: "O",
		},
		"head": {
			begin:    answerHead,
			repeated: "X-More: more\r\n",
		},
		"header line": {
			begin:    answerHead + "X-More: ",
			repeated: "more",
		},
		"interim answers": {
			repeated: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
		},
		"answers to other requests": {
			repeated: "HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": other\r\nContent-Length: 5\r\n\r\nother",
		},
		"body without a length": {
			begin:    answerHead + "\r\n",
			repeated: "more bytes ",
		},
		"body beyond its length": {
			begin:    answerHead + "Content-Length: 5\r\n\r\nwhole",
			repeated: "more",
			isServed: true,
		},
		"body in chunks": {
			begin:    answerHead + "Transfer-Encoding: chunked\r\n\r\n",
			repeated: "400\r\n" + strings.Repeat("m", 1024) + "\r\n",
		},
		"chunks of nonsense": {
			begin:    answerHead + "Transfer-Encoding: chunked\r\n\r\n",
			repeated: "zz\x00\xff",
		},
		"size of a chunk": {
			begin:    answerHead + "Transfer-Encoding: chunked\r\n\r\n",
			repeated: "0",
		},
		"extension of a chunk": {
			begin:    answerHead + "Transfer-Encoding: chunked\r\n\r\n4;",
			repeated: "x",
		},
		"trailers": {
			begin:    answerHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
			repeated: "X-More: more\r\n",
		},
		"event": {
			begin:    answerHead + "Content-Type: " + eventStreamType + "\r\n\r\n",
			repeated: "data: more\n",
			kind:     config.Stream,
		},
		"line of an event": {
			begin:    answerHead + "Content-Type: " + eventStreamType + "\r\n\r\ndata: ",
			repeated: "more",
			kind:     config.Stream,
		},
		"answer that says the request has not run": {
			begin:    "HTTP/1.1 503 Busy\r\n" + wire.HeaderID + ": ID\r\n" + wire.HeaderNotExecuted + ": 1\r\n\r\n",
			repeated: "busy",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startEndlessServer(t, answer.begin, answer.repeated)
			_, address := startWithViewWait(t, newSource(serversView(answer.kind, server.listener.Addr().String())), time.Minute)
			statuses := make(chan int, 1)
			go func() {
				request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
				if err != nil {
					return
				}
				request.Host = host
				request.Header.Set(wire.HeaderID, "r1")
				received, err := http.DefaultClient.Do(request)
				if err != nil {
					statuses <- 0
					return
				}
				defer func() { _ = received.Body.Close() }()
				if _, err = io.Copy(io.Discard, received.Body); err != nil {
					statuses <- 0
					return
				}
				statuses <- received.StatusCode
			}()
			select {
			case status := <-statuses:
				qt.Check(t, status == http.StatusOK, qt.Equals, answer.isServed, qt.Commentf("status %d", status))
			case <-time.After(patience):
				t.Errorf("the request is held, the server has sent %d bytes", server.written.Load())
			}
			select {
			case <-server.closed:
			case <-time.After(patience):
				t.Errorf("the connection is open, the server has sent %d bytes", server.written.Load())
			}
			qt.Check(t, server.written.Load() < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", server.written.Load()))
		})
	}
}

// Guards against a hedge whose server sends comments without end, which were all kept until the client's timeout.
func TestCommentsWithoutEndInHedgeAreCutOff(t *testing.T) {
	t.Parallel()
	const maxTaken = 24 << 20
	var taken atomic.Int64
	aborted := make(chan struct{}, 16)
	server, _ := startRoles(t, viewOf(config.Stream), func(w http.ResponseWriter, r *http.Request) {
		beginEvents(w, r)
		writeEvents(w, 1, 1)
		<-r.Context().Done()
	}, func(w http.ResponseWriter, r *http.Request) {
		beginEvents(w, r)
		comments := strings.Repeat(": more\n\n", 1<<10)
		for {
			n, err := io.WriteString(w, comments)
			taken.Add(int64(n))
			if err != nil {
				aborted <- struct{}{}
				return
			}
		}
	})
	go func() {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address()+path, nil)
		if err != nil {
			return
		}
		request.Host = host
		request.Header.Set(wire.HeaderID, "r1")
		answer, err := http.DefaultClient.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
	}()
	awaitAbort(t, aborted)
	qt.Assert(t, taken.Load() < maxTaken, qt.IsTrue, qt.Commentf("%d bytes", taken.Load()))
}
