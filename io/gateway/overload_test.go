package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"headcourse/core/config"
	"headcourse/core/demand"
	"headcourse/core/overload"
	"headcourse/io/gateway"
	"headcourse/platform/wire"
)

// overloadedKind is the decision about a kind none of whose requests may have priority.
func overloadedKind(backlog time.Duration) gateway.OverloadState {
	return gateway.OverloadState{
		Decision: overload.Decision{
			IsKnown:      true,
			IsOverloaded: true,
			Backlog:      backlog,
		},
	}
}

// startStreamingBackend starts a server that answers each request with one event, and counts them.
func startStreamingBackend(t *testing.T) (*httptest.Server, *atomic.Int64) {
	t.Helper()
	var received atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: only\n\n")
	}))
	t.Cleanup(backend.Close)
	return backend, &received
}

// limitDeferred limits the deferred requests of a gateway, in requests per second. The first one after the
// start of a limit passes.
func limitDeferred(t *testing.T, server *gateway.Server, address string, perSecond float64) {
	t.Helper()
	server.SetDeferredRate(demandKind(), perSecond)
	status, _ := sendRequest(t, address, "r0", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

// Guards against requests that fill the servers although they will be late, so that those that could be
// in time find no free slot; and against a held request that is never sent.
func TestRequestWithoutPriorityIsHeldDuringOverload(t *testing.T) {
	backend, received := startStreamingBackend(t)
	source := newSource(singleServerView(backend, config.Stream))
	source.overload = overloadedKind(time.Second)
	server, address := startWithViewWait(t, source, time.Minute)
	limitDeferred(t, server, address, 2)
	status := make(chan int, 1)
	go func() {
		code, _ := sendRequest(t, address, "r1", time.Minute)
		status <- code
	}()
	time.Sleep(100 * time.Millisecond)
	qt.Check(t, received.Load(), qt.Equals, int64(1))
	qt.Assert(t, <-status, qt.Equals, http.StatusOK)
	qt.Assert(t, received.Load(), qt.Equals, int64(2))
}

// Guards against requests that wait although their client will have given up before there is capacity, and
// against a second refusal of a client that has come back.
func TestRequestBehindALongBacklogIsRefusedOnce(t *testing.T) {
	backend, received := startStreamingBackend(t)
	view := singleServerView(backend, config.Stream)
	view.Config.Routes[0].LatencyGoal = time.Second
	source := newSource(view)
	source.overload = overloadedKind(20 * time.Second)
	server, address := startWithViewWait(t, source, time.Minute)
	limitDeferred(t, server, address, 0)
	status, header := sendRequest(t, address, "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	// The client waits for at most a third of its time.
	delay := retryAfterOf(t, header)
	qt.Assert(t, delay >= 13*time.Second && delay <= 20*time.Second, qt.IsTrue, qt.Commentf("%s", delay))
	qt.Assert(t, received.Load(), qt.Equals, int64(1))

	status, _ = sendRequest(t, address, "r2", 40*time.Second)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, received.Load(), qt.Equals, int64(2))
}

// Guards against refusals in a slight overload, in which servers serve nearly all requests in time.
func TestSlightOverloadRefusesNothing(t *testing.T) {
	backend, _ := startStreamingBackend(t)
	source := newSource(singleServerView(backend, config.Stream))
	source.overload = overloadedKind(20 * time.Second)
	source.overload.PriorityFraction = 0.95
	server, address := startWithViewWait(t, source, time.Minute)
	limitDeferred(t, server, address, 0)
	for _, id := range []string{"r1", "r2", "r3"} {
		status, _ := sendRequest(t, address, id, time.Minute)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
}

// Guards against a held request that is sent although its client has gone, or although its route has been
// removed while it was held.
func TestHeldRequestIsWithdrawn(t *testing.T) {
	backend, received := startStreamingBackend(t)
	source := newSource(singleServerView(backend, config.Stream))
	source.overload = overloadedKind(time.Second)
	server, address := startWithViewWait(t, source, time.Minute)
	limitDeferred(t, server, address, 1.3)

	ctx, disconnect := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer disconnect()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = host
	request.Header.Set(wire.HeaderID, "r1")
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(time.Minute.Milliseconds(), 10))
	answer, err := http.DefaultClient.Do(request)
	if err == nil {
		qt.Check(t, answer.Body.Close(), qt.IsNil)
	}
	qt.Assert(t, err, qt.IsNotNil)
	// The first request must have left the queue, so that the second one is next.
	time.Sleep(300 * time.Millisecond)

	status := make(chan int, 1)
	go func() {
		code, _ := sendRequest(t, address, "r2", time.Minute)
		status <- code
	}()
	time.Sleep(100 * time.Millisecond)
	source.setConfig(config.New(config.Config{
		Version: 2,
	}))
	qt.Assert(t, <-status, qt.Equals, http.StatusNotFound)
	time.Sleep(time.Second)
	qt.Assert(t, received.Load(), qt.Equals, int64(1))
}

// A daemon that stops must send what it has read within its grace.
func TestStoppingDaemonHoldsNoRequest(t *testing.T) {
	backend, received := startStreamingBackend(t)
	source := newSource(singleServerView(backend, config.Stream))
	source.overload = overloadedKind(time.Millisecond)
	server, address := startWithViewWait(t, source, time.Minute)
	server.Drain(time.Minute)
	server.SetDeferredRate(demandKind(), 0)
	status, _ := sendRequest(t, address, "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, received.Load(), qt.Equals, int64(1))
}

// Guards against requests that were held before the stop and use up the grace of the stop.
func TestStoppingDaemonReleasesHeldRequests(t *testing.T) {
	backend, received := startStreamingBackend(t)
	source := newSource(singleServerView(backend, config.Stream))
	source.overload = overloadedKind(time.Second)
	server, address := startWithViewWait(t, source, time.Minute)
	limitDeferred(t, server, address, 1.2)
	status := make(chan int, 1)
	go func() {
		code, _ := sendRequest(t, address, "r1", time.Minute)
		status <- code
	}()
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, server.HeldRequestsOf(demandKind()), qt.Equals, 1)
	server.Drain(time.Minute)
	// None is held from then on, although the next token is due later.
	qt.Check(t, server.HeldRequests(), qt.Equals, 0)
	qt.Assert(t, <-status, qt.Equals, http.StatusOK)
	qt.Assert(t, received.Load(), qt.Equals, int64(2))
}

// Guards against requests of a kind that are held or refused by the last rate that was set before the kind
// was removed from the configuration.
func TestRemovedKindIsNotLimited(t *testing.T) {
	backend, received := startStreamingBackend(t)
	source := newSource(singleServerView(backend, config.Stream))
	source.overload = overloadedKind(time.Second)
	server, address := startWithViewWait(t, source, time.Minute)
	limitDeferred(t, server, address, 0)
	server.RetainDeferredRates([]demand.Kind{demandKind()})
	status, _ := sendRequest(t, address, "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	server.RetainDeferredRates(nil)
	status, _ = sendRequest(t, address, "r2", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, received.Load(), qt.Equals, int64(2))
}

// Guards against held requests of a route without a latency goal that are released as if they were late,
// behind those that arrived after them.
func TestHeldRequestWithoutLatencyGoalIsNotLate(t *testing.T) {
	var mutex sync.Mutex
	var received []string
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		received = append(received, r.Header.Get(wire.HeaderID))
		mutex.Unlock()
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: only\n\n")
	}))
	t.Cleanup(backend.Close)
	withGoal := singleServerView(backend, config.Stream)
	view := singleServerView(backend, config.Stream)
	view.Config.Routes[0].LatencyGoal = 0
	source := newSource(view)
	source.overload = overloadedKind(time.Second)
	server, address := startWithViewWait(t, source, time.Minute)
	limitDeferred(t, server, address, 3)
	var group sync.WaitGroup
	for _, id := range []string{"r1", "r2"} {
		group.Go(func() {
			status, _ := sendRequest(t, address, id, time.Minute)
			qt.Check(t, status, qt.Equals, http.StatusOK)
		})
		time.Sleep(50 * time.Millisecond)
		source.setConfig(withGoal.Config)
	}
	group.Wait()
	qt.Assert(t, received, qt.DeepEquals, []string{"r0", "r1", "r2"})
}

// Guards against refused requests that count as having waited for no time, which would hide how long held
// ones wait.
func TestRefusedRequestIsNoSampleOfTheTimeHeld(t *testing.T) {
	backend, _ := startStreamingBackend(t)
	source := newSource(singleServerView(backend, config.Stream))
	source.overload = overloadedKind(time.Second)
	opts := newOptions(source)
	opts.MaxViewWait = time.Minute
	server := startGateway(t, opts)
	limitDeferred(t, server, server.Address(), 0)
	held, ok := opts.Registry.Get("deferred_ms").(metrics.Histogram)
	qt.Assert(t, ok, qt.IsTrue)
	before := held.Count()
	status, _ := sendRequest(t, server.Address(), "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, held.Count(), qt.Equals, before)
}

// Guards against a held request that changes its service when any other part of the configuration changes:
// its demand and its retries are counted for the service that was selected first.
func TestHeldRequestKeepsItsService(t *testing.T) {
	backend, received := startStreamingBackend(t)
	view := singleServerView(backend, config.Stream)
	source := newSource(view)
	source.overload = overloadedKind(time.Second)
	server, address := startWithViewWait(t, source, time.Minute)
	limitDeferred(t, server, address, 2)
	status := make(chan int, 1)
	go func() {
		code, _ := sendRequest(t, address, "r1", time.Minute)
		status <- code
	}()
	time.Sleep(100 * time.Millisecond)
	routes := append([]config.Route(nil), view.Config.Routes...)
	routes[0].Backends = []config.Backend{
		{
			Service: "board",
			Weight:  1,
		},
		{
			Service: "other",
			Weight:  1_000_000,
		},
	}
	source.setConfig(config.New(config.Config{
		Version: 2,
		Routes:  routes,
	}))
	qt.Assert(t, <-status, qt.Equals, http.StatusOK)
	qt.Assert(t, received.Load(), qt.Equals, int64(2))
}
