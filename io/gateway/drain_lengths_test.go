package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
	"headcourse/io/gateway"
	"headcourse/platform/wire"
)

// eventInterval is the time from one event of a timed stream to the next.
const eventInterval = 50 * time.Millisecond

// startTimedBackend starts a server that writes as many events as a request allows tokens, one each eventInterval.
func startTimedBackend(t *testing.T) *httptest.Server {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, tokens, _ := strings.Cut(r.Header.Get(wire.HeaderTokens), ",")
		events, _ := strconv.Atoi(tokens)
		w.Header().Set("Content-Type", eventStreamType)
		w.Header().Set(wire.HeaderSeal, "seal")
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		for i := range events {
			time.Sleep(eventInterval)
			// A gateway that stops disconnects.
			_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", i+1)
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(backend.Close)
	return backend
}

// timedAnswer is the answer to a timed stream. err is set if it was cut.
type timedAnswer struct {
	status int
	events int
	err    error
}

// sendTimedStream sends a request for a stream of a number of events on a connection of its own, at a time.
func sendTimedStream(t *testing.T, server *gateway.Server, events int, at time.Time) <-chan timedAnswer {
	t.Helper()
	conn, reader := dial(t, server)
	answered := make(chan timedAnswer, 1)
	go func() {
		time.Sleep(time.Until(at))
		writeHead(t, conn, "r1", 0, fmt.Sprintf("%s: 1,%d\r\n", wire.HeaderTokens, events))
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			answered <- timedAnswer{
				err: err,
			}
			return
		}
		defer func() { _ = answer.Body.Close() }()
		body, err := io.ReadAll(answer.Body)
		answered <- timedAnswer{
			status: answer.StatusCode,
			events: strings.Count(string(body), "\n\n"),
			err:    err,
		}
	}()
	return answered
}

// Guards against long streams that a stopping daemon takes after its notice, since only short ones have ended on their route, and
// cuts at the end of the stop (LOST).
func TestLongStreamIsNotTakenByDurationOfShortOnes(t *testing.T) {
	t.Parallel()
	const (
		shortEvents = 3
		longEvents  = 60
		// sentAfter is after the notice. A long stream takes more than what is left, a short one much less.
		sentAfter = 2200 * time.Millisecond
	)
	view := singleServerView(startTimedBackend(t), config.Stream)
	view.Config.Routes[0].Resumable = false
	server, _ := startWithViewWait(t, newSource(view), time.Minute)
	var learned []<-chan timedAnswer
	for range 20 {
		learned = append(learned, sendTimedStream(t, server, shortEvents, time.Now()))
	}
	for _, answered := range learned {
		qt.Assert(t, (<-answered).events, qt.Equals, shortEvents)
	}
	sentAt := time.Now().Add(sentAfter)
	long := sendTimedStream(t, server, longEvents, sentAt)
	short := sendTimedStream(t, server, shortEvents, sentAt)
	stopped := make(chan error, 1)
	go func() { stopped <- drain(server) }()
	refused := <-long
	qt.Check(t, refused.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, refused.err, qt.IsNil)
	served := <-short
	qt.Check(t, served.status, qt.Equals, http.StatusOK)
	qt.Check(t, served.events, qt.Equals, shortEvents)
	qt.Check(t, served.err, qt.IsNil)
	qt.Check(t, <-stopped, qt.IsNil)
}
