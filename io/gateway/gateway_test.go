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
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"headcourse/core/balancer"
	"headcourse/core/config"
	"headcourse/core/demand"
	"headcourse/core/fleet"
	"headcourse/core/quarantine"
	"headcourse/core/ratelimit"
	"headcourse/core/retry"
	"headcourse/io/gateway"
	"headcourse/platform"
	"headcourse/platform/wire"
)

// host and path are where the tests' route is.
const (
	host = "water.example"
	path = "/status/"
)

// source is a view that the tests give.
type source struct {
	view  gateway.View
	known chan struct{}
	// unreadable is closed when the view cannot be read; nil: never.
	unreadable chan struct{}
	// isRevoked and isOutdated tell that keys may not be accepted by the view, and
	// that nothing may be denied by it.
	isRevoked  bool
	isOutdated bool
}

// newSource returns a source of a view that is known.
func newSource(view gateway.View) *source {
	s := &source{
		view:  view,
		known: make(chan struct{}),
	}
	close(s.known)
	return s
}

// View returns the view.
func (s *source) View() gateway.View { return s.view }

// Known is closed when the view is known.
func (s *source) Known() <-chan struct{} { return s.known }

// Unreadable is closed when the test says so.
func (s *source) Unreadable() <-chan struct{} { return s.unreadable }

// KnownFor is always a moment.
func (s *source) KnownFor() time.Duration { return time.Millisecond }

// Age is always 0.
func (s *source) Age() time.Duration { return 0 }

// MayAcceptKeys tells what the test chose.
func (s *source) MayAcceptKeys() bool { return !s.isRevoked }

// IsCurrent tells what the test chose.
func (s *source) IsCurrent() bool { return !s.isOutdated }

// Daemons is always 1.
func (s *source) Daemons() int { return 1 }

// Preference is none.
func (s *source) Preference(demand.Kind) balancer.Preference { return balancer.Preference{} }

// IsTroubled is never true.
func (s *source) IsTroubled(fleet.Server) bool { return false }

// IsStill is never true.
func (s *source) IsStill(fleet.Server) bool { return false }

// LimitPlace is that of the only daemon.
func (s *source) LimitPlace(fleet.Server) ratelimit.Place {
	return ratelimit.Place{
		Of: 1,
	}
}

// LimitObserved notes nothing.
func (s *source) LimitObserved(fleet.Server, ratelimit.Limit) {}

// ServerCold notes nothing.
func (s *source) ServerCold(fleet.Server) {}

// Stalled notes nothing.
func (s *source) Stalled(fleet.Server) {}

// Ended notes nothing.
func (s *source) Ended(quarantine.End) {}

// Cleared notes nothing.
func (s *source) Cleared(quarantine.Cleared) {}

// MayTry always agrees.
func (s *source) MayTry(quarantine.Trial) bool { return true }

// options are what a gateway of a test needs.
func options(from gateway.Source) gateway.Options {
	return gateway.Options{
		Address:  "127.0.0.1:0",
		Source:   from,
		Dialect:  platform.Dialect{},
		Meter:    &demand.Meter{},
		Budgets:  &retry.Budgets{},
		Ledger:   &quarantine.Ledger{},
		Limits:   &ratelimit.Book{},
		Registry: metrics.NewRegistry(),
		Log:      zap.NewNop(),
	}
}

// start starts a gateway that ends with the test.
func start(t *testing.T, options gateway.Options) *gateway.Server {
	t.Helper()
	server, err := gateway.Listen(options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Kill)
	return server
}

// listen starts a gateway that holds requests for a time, and returns its address.
func listen(t *testing.T, from gateway.Source, patience time.Duration) (*gateway.Server, string) {
	t.Helper()
	used := options(from)
	used.ViewPatience = patience
	server := start(t, used)
	return server, server.Address()
}

// ask sends a request that waits so long and returns the answer's status.
func ask(t *testing.T, address, id string, wait time.Duration) (status int, header http.Header) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = host
	request.Header.Set(wire.HeaderID, id)
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(wait.Milliseconds(), 10))
	answer, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer func() {
		_ = answer.Body.Close()
	}()
	_, err = io.ReadAll(answer.Body)
	qt.Assert(t, err, qt.IsNil)
	return answer.StatusCode, answer.Header
}

// oneServer returns a view of one backend server behind one route.
func oneServer(backend *httptest.Server, kind config.Kind) gateway.View {
	return someServers(kind, backend.Listener.Addr().String())
}

// someServers returns a view of backend servers behind one route.
func someServers(kind config.Kind, addresses ...string) gateway.View {
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
					Name:     "status",
					Host:     host,
					Prefix:   path,
					Kind:     kind,
					Goal:     time.Minute,
					Timeout:  time.Hour,
					Priority: 2,
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
		Fleet: fleet.View{}.WithAll(1, servers, time.Now()),
	}
}

// After a restart of all daemons, hundreds of requests were refused in the tenths of
// a second before the first view was read.
func TestRequestBeforeTheFirstViewIsHeldUntilItIsRead(t *testing.T) {
	from := &source{
		view: gateway.View{
			Config: config.New(config.Config{}),
		},
		known: make(chan struct{}),
	}
	server, address := listen(t, from, time.Minute)
	go func() {
		for server.Open() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(from.known)
	}()
	status, _ := ask(t, address, "r1", time.Hour)
	// The configuration has no routes; before it was known the answer is 503.
	qt.Assert(t, status, qt.Equals, http.StatusNotFound)
}

// Where the store cannot be read nobody knows when it can: 231 requests were held for
// 0.7 s and then refused, of which all that follow at once are refused too.
func TestRequestIsNotHeldWhileTheStoreCannotBeRead(t *testing.T) {
	from := &source{
		known:      make(chan struct{}),
		unreadable: make(chan struct{}),
	}
	close(from.unreadable)
	_, address := listen(t, from, time.Hour)
	status, header := ask(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, comesBack(t, header) >= 1500*time.Millisecond, qt.IsTrue)
}

// comesBack returns when a refused client is to try again.
func comesBack(t *testing.T, header http.Header) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	qt.Assert(t, err, qt.IsNil)
	return time.Duration(seconds * float64(time.Second))
}

// A client that is sent back too soon spends its last try while nothing can serve it;
// one that is sent back later than a third of its time does not obey.
func TestRetryAfterIsWhenServiceIsExpected(t *testing.T) {
	from := newSource(someServers(config.Stream))
	_, address := listen(t, from, time.Minute)
	drawn := map[time.Duration]bool{}
	for i := range 20 {
		status, header := ask(t, address, "r"+strconv.Itoa(i), time.Minute)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		pause := comesBack(t, header)
		qt.Assert(t, pause >= 900*time.Millisecond && pause <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", pause))
		drawn[pause] = true
	}
	// Clients that were refused together do not return together.
	qt.Assert(t, len(drawn) > 10, qt.IsTrue)

	_, header := ask(t, address, "short", 600*time.Millisecond)
	qt.Assert(t, comesBack(t, header) <= 200*time.Millisecond, qt.IsTrue)
}

func TestRequestWithoutAViewIsRefusedInTheEnd(t *testing.T) {
	_, address := listen(t, &source{
		known: make(chan struct{}),
	}, time.Millisecond)
	status, header := ask(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// A view that may be outdated denies nothing: the route may have been added since.
func TestOutdatedViewRefusesWhatItDoesNotHold(t *testing.T) {
	from := newSource(gateway.View{
		Config: config.New(config.Config{}),
	})
	_, address := listen(t, from, time.Minute)
	status, _ := ask(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusNotFound)

	from.isOutdated = true
	status, header := ask(t, address, "r2", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Found after a loss of power of all daemons: clients that had waited for seconds
// went before those that could still be in time.
func TestClientThatIsLateAlreadyYieldsWithinItsPriority(t *testing.T) {
	levels := make(chan string, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		levels <- r.Header.Get(wire.HeaderPriority)
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, "seal")
	}))
	t.Cleanup(backend.Close)
	_, address := listen(t, newSource(oneServer(backend, config.Safe)), time.Minute)

	status, _ := ask(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, <-levels, qt.Equals, "4")

	// It has waited for half an hour, which is past its goal.
	status, _ = ask(t, address, "r2", 30*time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, <-levels, qt.Equals, "5")
}

// A server that works on for a client who has left wastes a place (GONE).
func TestServerIsLeftWhenItsClientGoes(t *testing.T) {
	left := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, err := io.WriteString(w, "id: 1\ndata: first\n\n")
		qt.Check(t, err, qt.IsNil)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(left)
	}))
	t.Cleanup(func() {
		backend.CloseClientConnections()
		backend.Close()
	})
	_, address := listen(t, newSource(oneServer(backend, config.Stream)), time.Minute)

	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = host
	request.Header.Set(wire.HeaderID, "r1")
	// The deadline must not be what ends the work.
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(time.Hour.Milliseconds(), 10))
	answer, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(answer.Body, make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)

	leave()
	qt.Check(t, answer.Body.Close(), qt.IsNil)
	select {
	case <-left:
	case <-time.After(45 * time.Second):
		t.Fatal("the server still works for a client that has left")
	}
}

// cutting serves streams of three events over raw connections. A request for the
// whole stream gets two events and the beginning of a chunk that never ends; one that
// goes on after an event gets the rest.
func cutting(t *testing.T) string {
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
			go cutOne(conn)
		}
	}()
	return listener.Addr().String()
}

// cutOne answers one request.
func cutOne(conn net.Conn) {
	defer func() {
		_ = conn.Close()
	}()
	asked, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		wire.HeaderSeal + ": seal\r\n" + wire.HeaderID + ": " + asked.Header.Get(wire.HeaderID) + "\r\n\r\n"
	last, err := strconv.Atoi(asked.Header.Get(wire.HeaderLastEvent))
	if err != nil {
		last = 0
	}
	events := ""
	for i := last + 1; i <= 3; i++ {
		events += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	answer := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events), events)
	if last == 0 {
		// Two events of a chunk that was to be longer.
		answer = fmt.Sprintf("%x\r\n%s", 2*len(events), events[:len(events)*2/3])
	}
	// A client that went away gets nothing.
	_, _ = io.WriteString(conn, head+answer)
}

// Found by a hunt of a deployment of our own (ORDER, mix with seed 459474126019): events
// that were read together with the end of a connection were lost, and the next server
// went on after them.
func TestEventsBeforeABreakAreNotLost(t *testing.T) {
	_, address := listen(t, newSource(someServers(config.Stream, cutting(t), cutting(t))), time.Minute)
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

// Servers ended under one request that came again and again under new ids, and no line told
// that it was one: 26 ends looked like 26 accidents.
func TestLinesOfRepeatsTellThatTheirContentIsTheSame(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(backend.Close)
	core, logs := observer.New(zap.InfoLevel)
	used := options(newSource(oneServer(backend, config.Safe)))
	used.Log = zap.New(core)
	server := start(t, used)

	for _, id := range []string{"first", "again"} {
		status, _ := ask(t, server.Address(), id, time.Minute)
		qt.Assert(t, status, qt.Equals, http.StatusBadGateway)
	}
	lines := logs.FilterMessage("clients: request ended").All()
	qt.Assert(t, lines, qt.HasLen, 2)
	qt.Assert(t, lines[0].ContextMap()["content"], qt.Not(qt.IsNil))
	qt.Assert(t, lines[0].ContextMap()["content"], qt.Equals, lines[1].ContextMap()["content"])
	qt.Assert(t, lines[0].ContextMap()["broke_after_ms"], qt.HasLen, 1)
}

// A request that was held through a sleep of the machine was sent with all of the time that
// its client had had, though the client had left.
func TestRequestOfASuspendedMachineIsNotSentTooLate(t *testing.T) {
	var arrived atomic.Int64
	addresses := backends(t, 1, func(http.ResponseWriter, *http.Request) {
		arrived.Add(1)
	})
	var suspended atomic.Int64
	from := newSource(someServers(config.Safe, addresses...))
	from.known = make(chan struct{})
	used := options(from)
	used.ViewPatience = time.Hour
	used.Clock.Suspended = func() time.Duration { return time.Duration(suspended.Load()) }
	server := start(t, used)
	go func() {
		for server.Open() == 0 {
			time.Sleep(time.Millisecond)
		}
		suspended.Add(int64(2 * time.Hour))
		close(from.known)
	}()
	status, _ := ask(t, server.Address(), "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, arrived.Load(), qt.Equals, int64(0))
}
