package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"headcourse/core/config"
	"headcourse/core/eventstream"
	"headcourse/core/fleet"
	"headcourse/core/quarantine"
	"headcourse/core/request"
	"headcourse/io/gateway"
	"headcourse/io/tcp"
	"headcourse/platform/wire"
)

// clientAnswer is an answer as a client receives it. err is set if the answer did not end as complete.
type clientAnswer struct {
	status int
	body   string
	err    error
}

// requestAnswer sends a request through a new gateway and reads the answer.
func requestAnswer(t *testing.T, view gateway.View) clientAnswer {
	t.Helper()
	return readAnswer(t, startGateway(t, newOptions(newSource(view))).Address(), func() {})
}

// readAnswer sends a request and reads the answer. It calls onHead between its head and its body.
func readAnswer(t *testing.T, address string, onHead func()) clientAnswer {
	t.Helper()
	sent, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	sent.Host = host
	sent.Header.Set(wire.HeaderID, "r1")
	sent.Header.Set(wire.HeaderKey, testKey)
	sent.Header.Set(wire.HeaderDeadline, strconv.FormatInt(time.Minute.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(sent)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	onHead()
	body, err := io.ReadAll(response.Body)
	return clientAnswer{
		status: response.StatusCode,
		body:   string(body),
		err:    err,
	}
}

// streamView returns a view of two servers of streams, which may be resumed or not.
func streamView(isResumable bool, servers ...*rawServer) gateway.View {
	var addresses []string
	for _, server := range servers {
		addresses = append(addresses, server.address())
	}
	view := serversView(config.Stream, addresses...)
	view.Config.Routes[0].Resumable = isResumable
	return view
}

// brokenStreams are the first parts of streams that were broken off, by name. Each has delivered the number of
// whole events.
var brokenStreams = map[string]struct {
	answer rawAnswer
	events int
}{
	"close inside an event": {
		answer: rawAnswer{
			contentType: eventStreamType,
			body:        "id: 1\ndata: 1\n\nid: 2\nda",
		},
		events: 1,
	},
	"close before the blank line of an event": {
		answer: rawAnswer{
			contentType: eventStreamType,
			body:        "id: 1\ndata: 1\n\nid: 2\ndata: 2\n",
		},
		events: 1,
	},
	"close inside the first event": {
		answer: rawAnswer{
			contentType: eventStreamType,
			body:        "id: 1\nda",
		},
	},
	"close before the first event": {
		answer: rawAnswer{
			contentType: eventStreamType,
		},
	},
	"last chunk inside an event": {
		answer: chunkedAnswer("id: 1\ndata: 1\n\nid: 2\nda"),
		events: 1,
	},
	"length ends inside an event": {
		answer: rawAnswer{
			contentType: eventStreamType,
			header:      "Content-Length: 23",
			body:        "id: 1\ndata: 1\n\nid: 2\nda",
		},
		events: 1,
	},
	"close inside an event after an interim answer": {
		answer: rawAnswer{
			contentType:     eventStreamType,
			precedingAnswer: interimAnswer,
			body:            "id: 1\ndata: 1\n\nid: 2\nda",
		},
		events: 1,
	},
	"close inside an event after a stale answer": {
		answer: rawAnswer{
			contentType:     eventStreamType,
			precedingAnswer: staleAnswer,
			body:            "id: 1\ndata: 1\n\nid: 2\nda",
		},
		events: 1,
	},
	"reset inside an event": {
		answer: rawAnswer{
			contentType: eventStreamType,
			body:        "id: 1\ndata: 1\n\nid: 2\nda",
			resets:      true,
		},
		events: 1,
	},
}

// Guards against streams that were broken off inside an event and end as complete (ORDER).
func TestStreamThatEndsInsideEventIsNotComplete(t *testing.T) {
	for name, broken := range brokenStreams {
		t.Run(name+", resumable", func(t *testing.T) {
			respond := firstThen(broken.answer, wholeStream)
			answer := requestAnswer(t, streamView(true, startRawServer(t, respond), startRawServer(t, respond)))
			qt.Check(t, answer.status, qt.Equals, http.StatusOK)
			qt.Check(t, answer.err, qt.IsNil)
			qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
		})
		t.Run(name+", not resumable", func(t *testing.T) {
			respond := firstThen(broken.answer, wholeStream)
			answer := requestAnswer(t, streamView(false, startRawServer(t, respond), startRawServer(t, respond)))
			if broken.events == 0 {
				qt.Check(t, answer.status, qt.Equals, http.StatusBadGateway)
				return
			}
			qt.Check(t, answer.status, qt.Equals, http.StatusOK)
			qt.Check(t, answer.err, qt.ErrorIs, io.ErrUnexpectedEOF)
			// What the client has received is whole events only.
			qt.Check(t, numberedEvents(0)[:len(answer.body)], qt.Equals, answer.body)
			qt.Check(t, answer.body+numberedEvents(broken.events), qt.Equals, numberedEvents(0))
		})
	}
}

// Guards against answers of servers that crashed and whose connections their kernels closed in order: without a
// length or chunks, they end like complete ones.
func TestUnframedAnswerOfCrashedServerIsNotComplete(t *testing.T) {
	t.Run("stream that ends between events", func(t *testing.T) {
		respond := firstThen(rawAnswer{
			contentType: eventStreamType,
			body:        "id: 1\ndata: 1\n\n",
			stops:       true,
		}, wholeStream)
		answer := requestAnswer(t, streamView(true, startRawServer(t, respond), startRawServer(t, respond)))
		qt.Check(t, answer.err, qt.IsNil)
		qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
	})
	t.Run("stream of a server that has started again", func(t *testing.T) {
		proceed := make(chan struct{})
		respond := firstThen(rawAnswer{
			contentType: eventStreamType,
			body:        "id: 1\ndata: 1\n\n",
			proceed:     proceed,
		}, wholeStream)
		source := newSource(streamView(true, startRawServer(t, respond), startRawServer(t, respond)))
		answer := readAnswer(t, startGateway(t, newOptions(source)).Address(), func() {
			servers := source.view.Fleet.Servers()
			for i := range servers {
				servers[i].StartedAtMs++
			}
			source.view.Fleet = fleet.View{}.WithSnapshot(2, servers, time.Now())
			close(proceed)
		})
		qt.Check(t, answer.err, qt.IsNil)
		qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
	})
	crashing := rawAnswer{
		contentType: "text/plain",
		body:        "level",
		stops:       true,
	}
	whole := func(int) rawAnswer {
		return rawAnswer{
			contentType: "text/plain",
			body:        "level 4",
		}
	}
	t.Run("plain answer that may be repeated", func(t *testing.T) {
		respond := firstThen(crashing, whole)
		answer := requestAnswer(t, serversView(config.Safe, startRawServer(t, respond).address(), startRawServer(t, respond).address()))
		qt.Check(t, answer.status, qt.Equals, http.StatusOK)
		qt.Check(t, answer.body, qt.Equals, "level 4")
	})
	t.Run("plain answer that may not be repeated", func(t *testing.T) {
		answer := requestAnswer(t, serversView(config.Unsafe, startRawServer(t, firstThen(crashing, whole)).address()))
		qt.Check(t, answer.status, qt.Equals, http.StatusBadGateway)
	})
}

// Guards against streams that end as complete although their server crashed, since no other server of the service accepts
// connects either, as after the loss of a whole domain: nothing then confirms that it is the server's fault.
func TestUnframedStreamIsNotCompleteIfNoServerConnects(t *testing.T) {
	for name, failure := range map[string]*tcp.DialError{
		"refusal that nothing confirms": {
			Refused: true,
			Cause:   syscall.ECONNREFUSED,
		},
		"connect that is not tried": {
			Cause: tcp.ErrNoPath,
		},
	} {
		t.Run(name, func(t *testing.T) {
			dialer := &refusingDialer{
				failure: failure,
			}
			server := startRawServer(t, func(int) rawAnswer {
				dialer.refuses.Store(true)
				return rawAnswer{
					contentType: eventStreamType,
					body:        "id: 1\ndata: 1\n\n",
				}
			})
			options := newOptions(newSource(streamView(true, server)))
			options.Dialer = dialer
			answer := readAnswer(t, startGateway(t, options).Address(), func() {})
			qt.Check(t, answer.err, qt.IsNotNil)
			qt.Check(t, answer.body, qt.Equals, "id: 1\ndata: 1\n\n")
		})
	}
}

// Guards against complete answers that are taken for broken ones: the close of the connection is a proper end
// of an answer, and a stream may use any line end of the format and end with comments or blank lines.
func TestUnframedAnswerOfRunningServerIsComplete(t *testing.T) {
	for name, body := range map[string]string{
		"line feeds":                  numberedEvents(0),
		"carriage returns":            "id: 1\rdata: 1\r\rid: 2\rdata: 2\r\r",
		"both":                        "id: 1\r\ndata: 1\r\n\r\nid: 2\r\ndata: 2\r\n\r\n",
		"mixed line ends":             "id: 1\rdata: 1\n\r\nid: 2\r\ndata: 2\r\rid: 3\ndata: 3\n\r",
		"byte order mark":             "\ufeffid: 1\ndata: 1\n\n",
		"comment without a line end":  "id: 1\ndata: 1\n\n: end",
		"comment and blank lines":     ": start\n\nid: 1\ndata: 1\n\n\n: end\n\n\n",
		"events without IDs":          "data: 1\n\ndata: 2\n\n",
		"line of a version, no event": "weight-versions: 4\nid: 1\ndata: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := startRawServer(t, func(int) rawAnswer {
				return rawAnswer{
					contentType: eventStreamType,
					body:        body,
				}
			})
			answer := requestAnswer(t, streamView(true, server))
			qt.Check(t, answer.err, qt.IsNil)
			qt.Check(t, answer.body, qt.Equals, body)
			qt.Check(t, server.requests.Load(), qt.Equals, int64(1))
		})
	}
	t.Run("plain answer", func(t *testing.T) {
		server := startRawServer(t, func(int) rawAnswer {
			return rawAnswer{
				contentType: "text/plain",
				body:        "level 4",
			}
		})
		answer := requestAnswer(t, serversView(config.Unsafe, server.address()))
		qt.Check(t, answer.status, qt.Equals, http.StatusOK)
		qt.Check(t, answer.body, qt.Equals, "level 4")
	})
}

// Guards against streams that are taken for plain answers, and so delivered at their end and as complete: the
// media type is case-insensitive and may have parameters.
func TestStreamIsRecognisedByMediaType(t *testing.T) {
	for _, contentType := range []string{"Text/Event-Stream; charset=utf-8", "text/event-stream;charset=utf-8", "TEXT/EVENT-STREAM ; a=b"} {
		respond := firstThen(rawAnswer{
			contentType: contentType,
			body:        "id: 1\ndata: 1\n\nid: 2\nda",
		}, wholeStream)
		answer := requestAnswer(t, streamView(true, startRawServer(t, respond), startRawServer(t, respond)))
		qt.Check(t, answer.err, qt.IsNil)
		qt.Check(t, answer.body, qt.Equals, numberedEvents(0), qt.Commentf(contentType))
	}
}

// Guards against streams on routes of another kind, which are read as a whole, and delivered with a length although
// they end inside an event.
func TestBufferedStreamThatEndsInsideEventIsNotComplete(t *testing.T) {
	for name, broken := range brokenStreams {
		whole := func(int) rawAnswer { return chunkedAnswer(numberedEvents(0)) }
		respond := firstThen(broken.answer, whole)
		view := serversView(config.Safe, startRawServer(t, respond).address(), startRawServer(t, respond).address())
		answer := requestAnswer(t, view)
		qt.Check(t, answer.status, qt.Equals, http.StatusOK, qt.Commentf(name))
		qt.Check(t, answer.body, qt.Equals, numberedEvents(0), qt.Commentf(name))

		view = serversView(config.Unsafe, startRawServer(t, func(int) rawAnswer { return broken.answer }).address())
		qt.Check(t, requestAnswer(t, view).status, qt.Equals, http.StatusBadGateway, qt.Commentf(name))
	}
}

// Guards against a request that crashes servers and is not suspected, since the connections of its servers were
// closed in order.
func TestCrashInsideUnframedStreamIsRecorded(t *testing.T) {
	crashing := startRawServer(t, func(int) rawAnswer {
		return rawAnswer{
			contentType: eventStreamType,
			body:        "id: 1\ndata: 1\n\nid: 2\nda",
			stops:       true,
		}
	})
	source := &ledgerSource{
		testSource: newSource(streamView(false, crashing)),
	}
	server := startWithLedger(t, source, &quarantine.Ledger{})
	answer := readAnswer(t, server.Address(), func() {})
	qt.Check(t, answer.err, qt.ErrorIs, io.ErrUnexpectedEOF)
	for {
		// The check runs beside the request.
		if crashed, _ := source.reported(); len(crashed) == 1 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against an answer that is not the server's own answer to the request and reaches the client as a success:
// it is not signed, belongs to another request, or is encoded.
func TestForeignAnswerIsNotDelivered(t *testing.T) {
	const text = "level 4"
	framed := []rawAnswer{
		{
			body: text,
		},
		{
			header: "Content-Length: 7",
			body:   text,
		},
		{
			header: "Transfer-Encoding: chunked",
			body:   inChunks(text),
		},
	}
	for _, foreign := range framed {
		foreign.contentType = "text/plain"
		unsigned, other, encoded := foreign, foreign, foreign
		unsigned.isUnsigned = true
		other.id = "another"
		encoded.header = strings.TrimPrefix(foreign.header+"\r\nContent-Encoding: gzip", "\r\n")
		for _, answer := range []rawAnswer{unsigned, other, encoded} {
			comment := qt.Commentf("%+v", answer)
			own := func(int) rawAnswer { return foreign }
			respond := firstThen(answer, own)
			received := requestAnswer(t, serversView(config.Safe, startRawServer(t, respond).address(), startRawServer(t, respond).address()))
			qt.Check(t, received.status, qt.Equals, http.StatusOK, comment)
			qt.Check(t, received.body, qt.Equals, text, comment)

			foreignOnly := startRawServer(t, func(int) rawAnswer { return answer })
			received = requestAnswer(t, serversView(config.Unsafe, foreignOnly.address()))
			qt.Check(t, received.status, qt.Equals, http.StatusBadGateway, comment)
		}
	}
}

// Guards against memory that grows without a bound while a server sends a stream without blank lines.
func TestEventThatIsTooLongEndsStream(t *testing.T) {
	endless := func(int) rawAnswer {
		return rawAnswer{
			contentType: eventStreamType,
			body:        "id: 1\ndata: 1\n\nid: 2\ndata: " + strings.Repeat("x", 2*eventstream.MaxEventBytes),
			proceed:     make(chan struct{}),
		}
	}
	opts := newOptions(newSource(streamView(true, startRawServer(t, endless), startRawServer(t, endless))))
	answer := readAnswer(t, startGateway(t, opts).Address(), func() {})
	qt.Check(t, answer.status, qt.Equals, http.StatusOK)
	qt.Check(t, answer.err, qt.ErrorIs, io.ErrUnexpectedEOF)
	qt.Check(t, answer.body, qt.Equals, "id: 1\ndata: 1\n\n")
	// Without the bound, the stream would fail by a stall or its deadline.
	failed := metrics.GetOrRegisterCounter("requests_failed."+string(request.ReasonBadAnswer), opts.Registry)
	qt.Check(t, failed.Count(), qt.Equals, int64(1))
}

// Guards against an answer to HEAD whose length is taken for that of a body, which never comes.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	server := startRawServer(t, func(int) rawAnswer {
		return rawAnswer{
			contentType: "text/plain",
			header:      "Content-Length: 7",
			proceed:     t.Context().Done(),
		}
	})
	address := startGateway(t, newOptions(newSource(serversView(config.Safe, server.address())))).Address()
	sent, err := http.NewRequestWithContext(t.Context(), http.MethodHead, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	sent.Host = host
	sent.Header.Set(wire.HeaderID, "r1")
	sent.Header.Set(wire.HeaderDeadline, "2000")
	response, err := http.DefaultClient.Do(sent)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, response.Body.Close(), qt.IsNil)
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
}

// Guards against events that are held back until the end of the stream, since their lines end with a carriage
// return alone.
func TestEventsAreDeliveredAtOnceWhateverTheirLineEnds(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r", "\r\n"} {
		proceed := make(chan struct{})
		server := startRawServer(t, func(int) rawAnswer {
			return rawAnswer{
				contentType: eventStreamType,
				body:        "id: 1" + lineEnd + "data: 1" + lineEnd + lineEnd,
				proceed:     proceed,
				rest:        "id: 2" + lineEnd + "data: 2" + lineEnd + lineEnd,
			}
		})
		address := startGateway(t, newOptions(newSource(streamView(true, server)))).Address()
		const limit = 20 * time.Second
		var isTooLate atomic.Bool
		timer := time.AfterFunc(limit, func() {
			isTooLate.Store(true)
			close(proceed)
		})
		answer := readAnswer(t, address, func() {
			if timer.Stop() {
				close(proceed)
			}
		})
		qt.Check(t, isTooLate.Load(), qt.IsFalse, qt.Commentf("the first event is held back, line end %q", lineEnd))
		qt.Check(t, answer.err, qt.IsNil)
		qt.Check(t, answer.body, qt.Equals, "id: 1"+lineEnd+"data: 1"+lineEnd+lineEnd+"id: 2"+lineEnd+"data: 2"+lineEnd+lineEnd)
	}
}
