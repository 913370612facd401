package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/io/gateway"
	"headcourse/platform/wire"
)

// requestedPause is the pause that the tests' servers request: longer than any test takes.
const requestedPause = 20 * time.Minute

// ejectionTime is longer than a daemon ejects a server by itself after its first refusal.
const ejectionTime = 500 * time.Millisecond

// refuseWithPause answers that the server did not run the request, and requests a pause.
func refuseWithPause(w http.ResponseWriter, r *http.Request, pause time.Duration) {
	w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
	w.Header().Set(wire.HeaderNotExecuted, "1")
	w.Header().Set("Retry-After", strconv.Itoa(int(pause.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// answerOneEvent answers with a stream of one event and leaves it open.
func answerOneEvent(t *testing.T, w http.ResponseWriter, r *http.Request) {
	t.Helper()
	answerOK(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	_, err := io.WriteString(w, "id: 1\ndata: first\n\n")
	qt.Check(t, err, qt.IsNil)
	w.(http.Flusher).Flush()
}

// sendRequests sends requests one after the other and returns the statuses of their answers.
func sendRequests(t *testing.T, address string, count int) []int {
	t.Helper()
	var statuses []int
	for i := range count {
		status, _ := sendRequest(t, address, "many"+strconv.Itoa(i), 10*requestedPause)
		statuses = append(statuses, status)
	}
	return statuses
}

// Servers that refused requests, and requested a pause of three seconds in each answer,
// received up to six requests from one daemon within the pause. Daemons ignored the requested
// pause: they ejected a refusing server for 0.4 s or more of their own choice, a success of an
// earlier request ended the ejection at once, and an ejected server was tried again if no other
// was left. Log lines of these attempts showed all three causes.
func TestPausedServerReceivesNoRequests(t *testing.T) {
	t.Run("after the daemon's own ejection ends", func(t *testing.T) {
		var received atomic.Int64
		paused := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
			received.Add(1)
			refuseWithPause(w, r, requestedPause)
		})
		healthy := startBackends(t, 1, answerOK)
		core, logs := observer.New(zap.InfoLevel)
		opts := newOptions(newSource(serversView(config.Safe, paused[0], healthy[0])))
		opts.Log = zap.New(core)
		server := startGateway(t, opts)
		for received.Load() == 0 {
			sendRequests(t, server.Address(), 1)
		}
		for range 2 {
			time.Sleep(ejectionTime)
			for _, status := range sendRequests(t, server.Address(), 20) {
				qt.Assert(t, status, qt.Equals, http.StatusOK)
			}
		}
		for _, line := range logs.FilterMessage("clients: sent to a server that asked for a pause").All() {
			t.Log(line.ContextMap())
		}
		qt.Assert(t, received.Load(), qt.Equals, int64(1))
	})
	t.Run("after an earlier request succeeds", func(t *testing.T) {
		var began, refused atomic.Int64
		endStream := make(chan struct{})
		paused := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
			if began.Add(1) > 1 {
				refused.Add(1)
				refuseWithPause(w, r, requestedPause)
				return
			}
			answerOneEvent(t, w, r)
			<-endStream
		})
		healthy := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
			// While this server has requests in flight, the paused one looks less loaded.
			time.Sleep(50 * time.Millisecond)
			answerOneEvent(t, w, r)
		})
		_, address := startWithViewWait(t, newSource(serversView(config.Stream, paused[0], healthy[0])), time.Minute)
		var clients conc.WaitGroup
		for refused.Load() == 0 {
			clients.Go(func() { sendRequests(t, address, 1) })
			time.Sleep(10 * time.Millisecond)
		}
		close(endStream)
		clients.Wait()
		// Several requests may have been in flight at the same time.
		before := refused.Load()
		for range 20 {
			clients.Go(func() { sendRequests(t, address, 1) })
		}
		clients.Wait()
		qt.Assert(t, refused.Load(), qt.Equals, before)
	})
	t.Run("when no other server is available", func(t *testing.T) {
		var received atomic.Int64
		paused := startBackends(t, 2, func(w http.ResponseWriter, r *http.Request) {
			received.Add(1)
			refuseWithPause(w, r, requestedPause)
		})
		_, address := startWithViewWait(t, newSource(serversView(config.Safe, paused...)), time.Minute)
		for _, status := range sendRequests(t, address, 5) {
			qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		}
		qt.Assert(t, received.Load(), qt.Equals, int64(2))
	})
}

// Clients whose Retry-After ended before the pauses found no server again and lost their last
// retry. If all retried at the same moment, they would be refused together.
func TestRetryAfterCoversShortestPauseOfAllServers(t *testing.T) {
	var received atomic.Int64
	longer := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		refuseWithPause(w, r, 2*requestedPause)
	})
	shorter := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		refuseWithPause(w, r, requestedPause)
	})
	_, address := startWithViewWait(t, newSource(serversView(config.Safe, longer[0], shorter[0])), time.Minute)
	delays := map[time.Duration]bool{}
	for i := range 20 {
		status, header := sendRequest(t, address, "r"+strconv.Itoa(i), 10*requestedPause)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		delay := retryAfterOf(t, header)
		// The test itself takes less than a minute.
		qt.Assert(t, delay >= requestedPause-time.Minute && delay < 2*requestedPause-time.Minute, qt.IsTrue, qt.Commentf("%s", delay))
		delays[delay] = true
	}
	qt.Assert(t, len(delays) > 10, qt.IsTrue)
	qt.Assert(t, received.Load(), qt.Equals, int64(2))
}

// markDraining marks an answer as that of a server that drains.
func markDraining(w http.ResponseWriter) {
	w.Header().Set(wire.HeaderLeaving, "1")
}

// A draining server's answers announce it some time before its entry does, and some entries
// never do: daemons that used the entry alone sent it requests until it stopped.
func TestDrainingServerReceivesNoRequests(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"whole answer": func(w http.ResponseWriter, r *http.Request) {
			markDraining(w)
			answerOK(w, r)
		},
		"refusal": func(w http.ResponseWriter, _ *http.Request) {
			markDraining(w)
			w.Header().Set(wire.HeaderNotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"other server": func(w http.ResponseWriter, _ *http.Request) {
			markDraining(w)
			w.WriteHeader(http.StatusMisdirectedRequest)
		},
		"error": func(w http.ResponseWriter, r *http.Request) {
			markDraining(w)
			answerOK(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		},
		"stream that breaks off": func(w http.ResponseWriter, r *http.Request) {
			markDraining(w)
			answerOneEvent(t, w, r)
			panic(http.ErrAbortHandler)
		},
		"answer to an earlier request": func(w http.ResponseWriter, _ *http.Request) {
			markDraining(w)
			w.Header().Set(wire.HeaderID, "earlier")
		},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int64
			leaving := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
				received.Add(1)
				answer(w, r)
			})
			healthy := startBackends(t, 1, answerOK)
			opts := newOptions(newSource(serversView(config.Safe, leaving[0], healthy[0])))
			server := startGateway(t, opts)
			for received.Load() == 0 {
				sendRequests(t, server.Address(), 1)
			}
			// Longer than the daemon's own ejection of a server that failed.
			time.Sleep(ejectionTime)
			for _, status := range sendRequests(t, server.Address(), 20) {
				qt.Assert(t, status, qt.Equals, http.StatusOK)
			}
			qt.Assert(t, received.Load(), qt.Equals, int64(1))
			count := metrics.GetOrRegisterCounter("server_leaves_said", opts.Registry).Count()
			qt.Assert(t, count, qt.Equals, int64(1))
		})
	}
}

// The notice concerns the daemon's connections to the server, not those of clients.
func TestDrainingHeaderIsNotForwarded(t *testing.T) {
	addresses := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		markDraining(w)
		answerOK(w, r)
	})
	_, address := startWithViewWait(t, newSource(serversView(config.Safe, addresses...)), time.Minute)
	status, header := sendRequest(t, address, "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, header.Get(wire.HeaderLeaving), qt.Equals, "")

	// The next request has no server, and is refused at once.
	status, header = sendRequest(t, address, "r2", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, retryAfterOf(t, header) > 0, qt.IsTrue)
}

// changingSource is a testSource whose view changes.
type changingSource struct {
	*testSource
	current atomic.Pointer[gateway.View]
}

// View returns the current view.
func (s *changingSource) View() gateway.View { return *s.current.Load() }

// A server that restarts under its ID is not draining any more. A pause stays in force, since
// the daemon cannot determine whether the former or the new process asked for it before the new
// entry was read.
func TestRestartUnderSameIDKeepsPauseAndEndsDraining(t *testing.T) {
	for _, example := range []struct {
		name   string
		answer http.HandlerFunc
		want   int
	}{
		{
			name: "draining",
			answer: func(w http.ResponseWriter, r *http.Request) {
				markDraining(w)
				answerOK(w, r)
			},
			want: http.StatusOK,
		},
		{
			name: "paused",
			answer: func(w http.ResponseWriter, r *http.Request) {
				refuseWithPause(w, r, requestedPause)
			},
			want: http.StatusServiceUnavailable,
		},
	} {
		t.Run(example.name, func(t *testing.T) {
			var received atomic.Int64
			addresses := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
				if received.Add(1) == 1 {
					example.answer(w, r)
					return
				}
				answerOK(w, r)
			})
			view := serversView(config.Safe, addresses...)
			source := &changingSource{
				testSource: newSource(view),
			}
			source.current.Store(&view)
			server, address := startWithViewWait(t, source, time.Minute)
			sendRequests(t, address, 3)
			qt.Assert(t, received.Load(), qt.Equals, int64(1))

			nextView := view
			before := view.Fleet.Servers()[0]
			restarted := before
			restarted.StartedAtMs++
			nextView.Fleet = view.Fleet.WithSnapshot(2, []fleet.Server{restarted}, time.Now())
			server.RecordRestart(before, restarted)
			source.current.Store(&nextView)
			qt.Assert(t, sendRequests(t, address, 1), qt.DeepEquals, []int{example.want})
		})
	}
}
