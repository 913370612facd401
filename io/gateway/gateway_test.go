package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/balancer"
	"headcourse/core/config"
	"headcourse/core/confirmation"
	"headcourse/core/demand"
	"headcourse/core/fleet"
	"headcourse/core/pace"
	"headcourse/core/quarantine"
	"headcourse/core/ratelimit"
	"headcourse/core/retry"
	"headcourse/io/gateway"
	"headcourse/platform"
	"headcourse/platform/wire"
)

// host and path are those of the tests' route, testKey is the key of its organisation if it has one.
const (
	host    = "water.example"
	path    = "/status/"
	testKey = "key-1"
)

// testSource is a Source whose view the test sets.
type testSource struct {
	view      gateway.View
	viewReady chan struct{}
	// unreadable is closed if the view cannot be read; nil means never.
	unreadable chan struct{}
	// viewAge is the age of the view. confirm, if set, confirms it and returns whether that succeeded.
	viewAge time.Duration
	confirm func() bool
	// onView, if set, is called when a view has been loaded.
	onView func()
	// overload is the decision about all requests.
	overload gateway.OverloadState
	// sinceViewReady is the time since the view was read; 0 stands for a millisecond.
	sinceViewReady time.Duration
	mutex          sync.Mutex
}

// newSource returns a source whose view has been read.
func newSource(view gateway.View) *testSource {
	s := &testSource{
		view:      view,
		viewReady: make(chan struct{}),
	}
	close(s.viewReady)
	return s
}

// View returns the test's view.
func (s *testSource) View() gateway.View {
	s.mutex.Lock()
	view := s.view
	s.mutex.Unlock()
	if s.onView != nil {
		s.onView()
	}
	return view
}

// setConfig changes the configuration in the view.
func (s *testSource) setConfig(next *config.Config) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.view.Config = next
}

// demandKind returns the kind of the tests' requests.
func demandKind() demand.Kind {
	return demand.Kind{
		Service: "board",
	}
}

// ViewReady is closed when the view has been read.
func (s *testSource) ViewReady() <-chan struct{} { return s.viewReady }

// ViewUnreadable is closed if the test closes it.
func (s *testSource) ViewUnreadable() <-chan struct{} { return s.unreadable }

// SinceViewReady returns what the test set, or one millisecond.
func (s *testSource) SinceViewReady() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(time.Millisecond, s.sinceViewReady)
}

// setSinceViewReady makes the view older.
func (s *testSource) setSinceViewReady(age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sinceViewReady = age
}

// Confirmation returns the evidence for the age that the test set.
func (s *testSource) Confirmation() gateway.Confirmation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return gateway.Confirmation{
		AsOf: time.Now().Add(-s.viewAge),
	}
}

// setViewAge sets the age of the view.
func (s *testSource) setViewAge(age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.viewAge = age
}

// AwaitConfirmation calls what the test set.
func (s *testSource) AwaitConfirmation(time.Duration) bool {
	return s.confirm != nil && s.confirm()
}

// ConfirmationPolicy returns a strict policy.
func (s *testSource) ConfirmationPolicy() confirmation.Policy {
	return confirmation.Policy{
		ApplyBound:         2 * time.Second,
		RevocationBound:    5 * time.Second,
		IsRevocationStrict: true,
	}
}

// setRejectsKeys makes the view too old to accept keys.
func (s *testSource) setRejectsKeys() {
	s.setViewAge(time.Hour)
}

// DaemonCount returns 1.
func (s *testSource) DaemonCount() int { return 1 }

// Preference returns no preference.
func (s *testSource) Preference(demand.Kind) balancer.Preference { return balancer.Preference{} }

// Overload returns what the test set.
func (s *testSource) Overload(demand.Kind, string) gateway.OverloadState { return s.overload }

// Slowdown returns no verdict.
func (s *testSource) Slowdown(fleet.Server) float64 { return 0 }

// IsDegraded returns false.
func (s *testSource) IsDegraded(fleet.Server) bool { return false }

// HasUnresponsiveMember returns false.
func (s *testSource) HasUnresponsiveMember(fleet.Server) bool { return false }

// LimitPosition returns the position of a single daemon.
func (s *testSource) LimitPosition(fleet.Server) ratelimit.Position {
	return ratelimit.Position{
		Total: 1,
	}
}

// ObserveLimit does nothing.
func (s *testSource) ObserveLimit(fleet.Server, ratelimit.Limit) {}

// ObserveColdServer does nothing.
func (s *testSource) ObserveColdServer(fleet.Server) {}

// ReportStall does nothing.
func (s *testSource) ReportStall(fleet.Server) {}

// ReportCrash does nothing.
func (s *testSource) ReportCrash(quarantine.Crash) {}

// RemoveCrashReports does nothing.
func (s *testSource) RemoveCrashReports(quarantine.StoredRows) {}

// ClaimTrials returns true.
func (s *testSource) ClaimTrials([]quarantine.Trial) bool { return true }

// ReleaseTrials does nothing.
func (s *testSource) ReleaseTrials([]quarantine.Trial) {}

// newOptions returns the options of a test's gateway.
func newOptions(source gateway.Source) gateway.Options {
	return gateway.Options{
		Address:  "127.0.0.1:0",
		Source:   source,
		Codec:    platform.Codec{},
		Meter:    &demand.Meter{},
		Budgets:  &retry.Budgets{},
		Ledger:   &quarantine.Ledger{},
		Limits:   &ratelimit.Limiter{},
		Paces:    &pace.Recorder{},
		Registry: metrics.NewRegistry(),
		Log:      zap.NewNop(),
	}
}

// startGateway starts a gateway that is killed at the end of the test.
func startGateway(t *testing.T, options gateway.Options) *gateway.Server {
	t.Helper()
	server, err := gateway.Listen(options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Kill)
	return server
}

// startWithViewWait starts a gateway that holds requests for maxWait until the first view, and
// returns it with its address.
func startWithViewWait(t *testing.T, source gateway.Source, maxWait time.Duration) (*gateway.Server, string) {
	t.Helper()
	opts := newOptions(source)
	opts.MaxViewWait = maxWait
	server := startGateway(t, opts)
	return server, server.Address()
}

// sendRequest sends a request with a timeout and returns the status and the header of the
// answer.
func sendRequest(t *testing.T, address, id string, wait time.Duration) (status int, header http.Header) {
	t.Helper()
	return send(t, address, map[string]string{
		wire.HeaderID:       id,
		wire.HeaderDeadline: strconv.FormatInt(wait.Milliseconds(), 10),
	})
}

// sendRequestWithParts is sendRequest for a prompt with the given parts.
func sendRequestWithParts(t *testing.T, address, id, parts string) (status int, header http.Header) {
	t.Helper()
	return send(t, address, map[string]string{
		wire.HeaderID:          id,
		wire.HeaderPromptParts: parts,
	})
}

// send sends a request with the given headers and returns the status and header of its answer.
func send(t *testing.T, address string, headers map[string]string) (status int, header http.Header) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = host
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer func() {
		_ = answer.Body.Close()
	}()
	_, err = io.ReadAll(answer.Body)
	qt.Assert(t, err, qt.IsNil)
	return answer.StatusCode, answer.Header
}

// singleServerView returns a view of one backend server behind one route.
func singleServerView(backend *httptest.Server, kind config.Kind) gateway.View {
	return serversView(kind, backend.Listener.Addr().String())
}

// serversView returns a view of backend servers behind one route.
func serversView(kind config.Kind, addresses ...string) gateway.View {
	var servers []fleet.Server
	for i, address := range addresses {
		servers = append(servers, fleet.Server{
			ID:       "i-" + strconv.Itoa(i),
			Service:  "board",
			Address:  address,
			Capacity: 6,
		})
	}
	return gateway.View{
		Config: config.New(config.Config{
			Routes: []config.Route{
				{
					Name:        "status",
					Host:        host,
					Prefix:      path,
					Kind:        kind,
					LatencyGoal: time.Minute,
					Timeout:     time.Hour,
					Priority:    2,
					Backends: []config.Backend{
						{
							Service: "board",
							Weight:  1,
						},
					},
					MaxAttempts: 2,
					Resumable:   kind == config.Stream,
				},
			},
		}),
		Fleet: fleet.View{}.WithSnapshot(1, servers, time.Now()),
	}
}

// After a restart of all daemons, hundreds of requests were refused in the tenths of a second
// before the first view was read.
func TestRequestWaitsForFirstView(t *testing.T) {
	source := &testSource{
		view: gateway.View{
			Config: config.New(config.Config{}),
		},
		viewReady: make(chan struct{}),
	}
	server, address := startWithViewWait(t, source, time.Minute)
	go func() {
		for server.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(source.viewReady)
	}()
	status, _ := sendRequest(t, address, "r1", time.Hour)
	// The configuration has no routes; before it has been read, the answer is 503.
	qt.Assert(t, status, qt.Equals, http.StatusNotFound)
}

// While the store is unreadable, the time until the first view is unknown. 231 requests were
// held for 0.7 s and then refused, and so were all that followed.
func TestRequestIsRefusedAtOnceWhenStoreIsUnreadable(t *testing.T) {
	source := &testSource{
		viewReady:  make(chan struct{}),
		unreadable: make(chan struct{}),
	}
	close(source.unreadable)
	_, address := startWithViewWait(t, source, time.Hour)
	status, header := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, retryAfterOf(t, header) >= 1500*time.Millisecond, qt.IsTrue)
}

// retryAfterOf returns the delay in a Retry-After header.
func retryAfterOf(t *testing.T, header http.Header) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	qt.Assert(t, err, qt.IsNil)
	return time.Duration(seconds * float64(time.Second))
}

// If Retry-After is too short, the client's last retry fails as well. A client ignores a delay
// longer than a third of its timeout.
func TestRetryAfterMatchesExpectedRecoveryTime(t *testing.T) {
	source := newSource(serversView(config.Stream))
	_, address := startWithViewWait(t, source, time.Minute)
	delays := map[time.Duration]bool{}
	for i := range 20 {
		status, header := sendRequest(t, address, "r"+strconv.Itoa(i), time.Minute)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		delay := retryAfterOf(t, header)
		qt.Assert(t, delay >= 900*time.Millisecond && delay <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", delay))
		delays[delay] = true
	}
	// Clients that were refused together must not retry together.
	qt.Assert(t, len(delays) > 10, qt.IsTrue)

	_, header := sendRequest(t, address, "short", 600*time.Millisecond)
	qt.Assert(t, retryAfterOf(t, header) <= 200*time.Millisecond, qt.IsTrue)
}

func TestRequestIsRefusedWhenViewWaitTimesOut(t *testing.T) {
	_, address := startWithViewWait(t, &testSource{
		viewReady: make(chan struct{}),
	}, time.Millisecond)
	status, header := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// A stale view must not reject a route that it does not contain: the route may have been added
// since.
func TestStaleViewAnswersUnavailableForUnknownRoute(t *testing.T) {
	source := newSource(gateway.View{
		Config: config.New(config.Config{}),
	})
	_, address := startWithViewWait(t, source, time.Minute)
	status, _ := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusNotFound)

	source.setViewAge(3 * time.Second)
	status, header := sendRequest(t, address, "r2", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Guards against late requests being served first. After a loss of power of all daemons,
// clients that had waited for seconds were served before those that could still be in time.
func TestLateRequestGetsLowerServerPriority(t *testing.T) {
	priorities := make(chan string, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		priorities <- r.Header.Get(wire.HeaderPriority)
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, "seal")
	}))
	t.Cleanup(backend.Close)
	_, address := startWithViewWait(t, newSource(singleServerView(backend, config.Safe)), time.Minute)

	status, _ := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, <-priorities, qt.Equals, "4")

	// The client has waited for half an hour already, which is past its goal.
	status, _ = sendRequest(t, address, "r2", 30*time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, <-priorities, qt.Equals, "5")
}

// A server that continues to work for a client that has disconnected wastes a slot (GONE).
func TestBackendExchangeIsAbortedWhenClientDisconnects(t *testing.T) {
	aborted := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, err := io.WriteString(w, "id: 1\ndata: first\n\n")
		qt.Check(t, err, qt.IsNil)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(aborted)
	}))
	t.Cleanup(func() {
		backend.CloseClientConnections()
		backend.Close()
	})
	_, address := startWithViewWait(t, newSource(singleServerView(backend, config.Stream)), time.Minute)

	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = host
	request.Header.Set(wire.HeaderID, "r1")
	// The deadline must not end the exchange in this test.
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(time.Hour.Milliseconds(), 10))
	answer, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(answer.Body, make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)

	disconnect()
	qt.Check(t, answer.Body.Close(), qt.IsNil)
	select {
	case <-aborted:
	case <-time.After(45 * time.Second):
		t.Fatal("server still works for a disconnected client")
	}
}

// startTruncatingServer starts a server of streams of three events. A request for the whole
// stream gets two events and the start of a chunk that is never completed; a request that
// resumes after an event gets the rest.
func startTruncatingServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveTruncated(conn)
		}
	}()
	return listener.Addr().String()
}

// serveTruncated answers one request.
func serveTruncated(conn net.Conn) {
	defer func() {
		_ = conn.Close()
	}()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		wire.HeaderSeal + ": seal\r\n" + wire.HeaderID + ": " + request.Header.Get(wire.HeaderID) + "\r\n\r\n"
	last, err := strconv.Atoi(request.Header.Get(wire.HeaderLastEvent))
	if err != nil {
		last = 0
	}
	events := ""
	for i := last + 1; i <= 3; i++ {
		events += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	answer := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events), events)
	if last == 0 {
		// Two events of a chunk with a larger declared size.
		answer = fmt.Sprintf("%x\r\n%s", 2*len(events), events[:len(events)*2/3])
	}
	// A write to a disconnected client may fail.
	_, _ = io.WriteString(conn, head+answer)
}

// Guards against the loss of events that are read together with the end of a connection: the
// next server resumed after them, so the client never received them. Found by a fault-injection
// run (ORDER, mix with seed 459474126019).
func TestEventsReadWithConnectionErrorAreDelivered(t *testing.T) {
	_, address := startWithViewWait(t, newSource(serversView(config.Stream, startTruncatingServer(t), startTruncatingServer(t))), time.Minute)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = host
	request.Header.Set(wire.HeaderID, "r1")
	answer, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer func() {
		_ = answer.Body.Close()
	}()
	body, err := io.ReadAll(answer.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n")
}

// A request was held while the VM was suspended, and was then sent with its full timeout
// although its client had disconnected.
func TestRequestIsNotSentAfterDeadlinePassedDuringSuspend(t *testing.T) {
	var arrived atomic.Int64
	addresses := startBackends(t, 1, func(http.ResponseWriter, *http.Request) {
		arrived.Add(1)
	})
	var suspended atomic.Int64
	source := newSource(serversView(config.Safe, addresses...))
	source.viewReady = make(chan struct{})
	opts := newOptions(source)
	opts.MaxViewWait = time.Hour
	opts.Clock.Suspended = func() time.Duration { return time.Duration(suspended.Load()) }
	server := startGateway(t, opts)
	go func() {
		for server.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		suspended.Add(int64(2 * time.Hour))
		close(source.viewReady)
	}()
	status, _ := sendRequest(t, server.Address(), "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, arrived.Load(), qt.Equals, int64(0))
}
