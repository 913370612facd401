package gateway_test

import (
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

	"headcourse/core/config"
	"headcourse/core/quarantine"
	"headcourse/io/gateway"
	"headcourse/platform/wire"
)

// ledgerSource is a source that hears which ends others are to be told of.
type ledgerSource struct {
	*source
	mutex   sync.Mutex
	ended   []quarantine.End
	cleared []quarantine.Cleared
	// refusesTrials tells that other daemons do not agree to a trial.
	refusesTrials bool
}

// Ended notes an end.
func (s *ledgerSource) Ended(end quarantine.End) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = append(s.ended, end)
}

// Cleared notes what is to be removed.
func (s *ledgerSource) Cleared(cleared quarantine.Cleared) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cleared = append(s.cleared, cleared)
}

// MayTry tells what the test chose.
func (s *ledgerSource) MayTry(quarantine.Trial) bool { return !s.refusesTrials }

// heard returns what others are to be told.
func (s *ledgerSource) heard() (ended []quarantine.End, cleared []quarantine.Cleared) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ended, s.cleared
}

// listenWith starts a gateway that shares a ledger with the test.
func listenWith(t *testing.T, from gateway.Source, ledger *quarantine.Ledger) *gateway.Server {
	t.Helper()
	used := options(from)
	used.Ledger = ledger
	return start(t, used)
}

// contentOfAsk is the content of what ask sends.
func contentOfAsk() quarantine.Digest {
	return quarantine.DigestOf(path, "", nil)
}

// backends starts some servers with one handler and returns their addresses.
func backends(t *testing.T, count int, handler http.HandlerFunc) []string {
	t.Helper()
	var addresses []string
	for range count {
		backend := httptest.NewServer(handler)
		t.Cleanup(func() {
			backend.CloseClientConnections()
			backend.Close()
		})
		addresses = append(addresses, backend.Listener.Addr().String())
	}
	return addresses
}

// crashing starts some servers that answer a request in their own way and end, and returns
// their addresses.
func crashing(t *testing.T, count int, answer http.HandlerFunc) []string {
	t.Helper()
	var addresses []string
	for range count {
		var backend *httptest.Server
		backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer(w, r)
			qt.Check(t, backend.Listener.Close(), qt.IsNil)
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(backend.Close)
		addresses = append(addresses, backend.Listener.Addr().String())
	}
	return addresses
}

// answerWhole answers a request whole.
func answerWhole(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
	w.Header().Set(wire.HeaderSeal, "seal")
}

// suspect has a ledger know of two ends under what ask sends.
func suspect(ledger *quarantine.Ledger) {
	for _, start := range []string{"a", "b"} {
		ledger.Told(quarantine.End{
			Digest: contentOfAsk(),
			Start:  start,
		})
	}
}

// holdNow has a ledger know of an end under a trial of what ask sends.
func holdNow(ledger *quarantine.Ledger) {
	ledger.Told(quarantine.End{
		Digest: contentOfAsk(),
		Start:  "c",
		Trial:  1,
	})
}

func TestHeldRequestIsRefusedBeforeItIsSent(t *testing.T) {
	for _, kind := range []config.Kind{config.Safe, config.Unsafe, config.Stream} {
		var arrived atomic.Int64
		addresses := crashing(t, 8, func(http.ResponseWriter, *http.Request) {
			arrived.Add(1)
		})
		from := &ledgerSource{
			source: newSource(someServers(kind, addresses...)),
		}
		var ledger quarantine.Ledger
		server := listenWith(t, from, &ledger)
		for turn := 0; ledger.Decide(contentOfAsk()).Step != quarantine.Hold; turn++ {
			status, _ := ask(t, server.Address(), "r"+strconv.Itoa(turn), time.Minute)
			// Servers that may have run it, or only such as have ended, were asked.
			qt.Assert(t, status == http.StatusBadGateway || status == http.StatusServiceUnavailable, qt.IsTrue)
		}
		// Two ends, and that of the trial.
		ended, _ := from.heard()
		qt.Assert(t, ended[len(ended)-1].Trial, qt.Equals, 1)

		before := arrived.Load()
		status, header := ask(t, server.Address(), "again", time.Minute)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		// The next trial is minutes away, and the client is told so.
		qt.Assert(t, comesBack(t, header) > 9*time.Minute, qt.IsTrue)
		qt.Assert(t, arrived.Load(), qt.Equals, before)
	}
}

// Only one daemon may try a suspected request at a time, and none without the store.
func TestSuspectedRequestIsNotSentWhereOthersDoNotAgree(t *testing.T) {
	var arrived atomic.Int64
	from := &ledgerSource{
		source: newSource(someServers(config.Safe, backends(t, 2, func(http.ResponseWriter, *http.Request) {
			arrived.Add(1)
		})...)),
		refusesTrials: true,
	}
	var ledger quarantine.Ledger
	suspect(&ledger)
	server := listenWith(t, from, &ledger)
	status, header := ask(t, server.Address(), "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, comesBack(t, header) <= 2*time.Second, qt.IsTrue)
	qt.Assert(t, arrived.Load(), qt.Equals, int64(0))
}

// A request that waits for its turn at a busy server would crash it later, with all that
// run there.
func TestHeldRequestIsBrokenOffWhereItWaits(t *testing.T) {
	arrived, left := make(chan struct{}, 1), make(chan struct{})
	addresses := backends(t, 2, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		close(left)
	})
	var ledger quarantine.Ledger
	server := listenWith(t, newSource(someServers(config.Safe, addresses...)), &ledger)
	answered := make(chan int)
	go func() {
		status, _ := ask(t, server.Address(), "r1", time.Hour)
		answered <- status
	}()
	<-arrived
	suspect(&ledger)
	holdNow(&ledger)
	<-left
	// Its server may have run it, and no other is asked.
	qt.Assert(t, <-answered, qt.Equals, http.StatusBadGateway)
}

// A stream that broke off goes on elsewhere, but not under a content that servers end
// under, unless the others agree to a trial.
func TestSuspectedStreamDoesNotGoOnElsewhere(t *testing.T) {
	var arrived atomic.Int64
	addresses := crashing(t, 3, func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		answerWhole(w, r)
		_, err := io.WriteString(w, "id: 1\ndata: first\n\n")
		qt.Check(t, err, qt.IsNil)
		w.(http.Flusher).Flush()
	})
	from := &ledgerSource{
		source:        newSource(someServers(config.Stream, addresses...)),
		refusesTrials: true,
	}
	var ledger quarantine.Ledger
	ledger.Told(quarantine.End{
		Digest: contentOfAsk(),
		Start:  "a",
	})
	server := listenWith(t, from, &ledger)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address()+path, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = host
	request.Header.Set(wire.HeaderID, "r1")
	answer, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(answer.Body)
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("a stream that broke off must not look whole"))
	qt.Assert(t, answer.Body.Close(), qt.IsNil)
	qt.Assert(t, arrived.Load(), qt.Equals, int64(1))
}

// What merely ran beside a request that crashes servers is answered in the end, which
// tells that it is none.
func TestAnswerClearsARequestForAllDaemons(t *testing.T) {
	addresses := backends(t, 1, answerWhole)
	from := &ledgerSource{
		source: newSource(someServers(config.Safe, addresses...)),
	}
	var ledger quarantine.Ledger
	told := quarantine.End{
		Digest: contentOfAsk(),
		Start:  "a",
	}
	ledger.Told(told)
	server := listenWith(t, from, &ledger)
	status, _ := ask(t, server.Address(), "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	_, cleared := from.heard()
	qt.Assert(t, cleared, qt.DeepEquals, []quarantine.Cleared{
		{
			Digest: told.Digest,
			Starts: []string{told.Start},
		},
	})
	qt.Assert(t, ledger.Ends(contentOfAsk()), qt.HasLen, 0)
}

// A request that crashes servers waited for its turn until its time was over, was told 504,
// and counted as answered: it was sent on for minutes.
func TestOnlyAWholeSuccessClearsARequest(t *testing.T) {
	for _, answer := range []http.HandlerFunc{
		func(w http.ResponseWriter, r *http.Request) {
			answerWhole(w, r)
			w.WriteHeader(http.StatusGatewayTimeout)
		},
		func(w http.ResponseWriter, r *http.Request) {
			answerWhole(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		},
		func(w http.ResponseWriter, r *http.Request) {
			// It ends with its connection, as it would if the server had crashed.
			conn, buffer, err := http.NewResponseController(w).Hijack()
			qt.Check(t, err, qt.IsNil)
			_, err = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n\r\npart", wire.HeaderID, r.Header.Get(wire.HeaderID), wire.HeaderSeal)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, buffer.Flush(), qt.IsNil)
			qt.Check(t, conn.Close(), qt.IsNil)
		},
	} {
		from := newSource(someServers(config.Unsafe, backends(t, 1, answer)...))
		var ledger quarantine.Ledger
		ledger.Told(quarantine.End{
			Digest: contentOfAsk(),
			Start:  "a",
		})
		server := listenWith(t, from, &ledger)
		_, _ = ask(t, server.Address(), "r1", time.Minute)
		qt.Assert(t, ledger.Ends(contentOfAsk()), qt.DeepEquals, []string{"a"})
	}
}

// Servers reset connections beyond their number and break answers off. Each such break was
// taken for the end of a server; on a day without requests that crash servers two contents
// were held.
func TestServerThatBreaksAnswersOffHasNotEnded(t *testing.T) {
	var arrived atomic.Int64
	from := &ledgerSource{
		source: newSource(someServers(config.Safe, backends(t, 4, func(http.ResponseWriter, *http.Request) {
			arrived.Add(1)
			panic(http.ErrAbortHandler)
		})...)),
	}
	var ledger quarantine.Ledger
	ledger.Told(quarantine.End{
		Digest: contentOfAsk(),
		Start:  "a",
	})
	server := listenWith(t, from, &ledger)
	const requests = 5
	for i := range requests {
		status, _ := ask(t, server.Address(), "r"+strconv.Itoa(i), time.Minute)
		qt.Assert(t, status, qt.Equals, http.StatusBadGateway)
	}
	// Each was sent to two servers, as its route allows.
	qt.Assert(t, arrived.Load(), qt.Equals, int64(2*requests))
	ended, _ := from.heard()
	qt.Assert(t, ended, qt.HasLen, 0)
}

// A link that falls silent is no server that ended: a request that is lost with three such
// would be refused for a day.
func TestSilenceIsNoEndOfAServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = listener.Close()
	})
	from := &ledgerSource{
		source: newSource(someServers(config.Unsafe, listener.Addr().String())),
	}
	var ledger quarantine.Ledger
	server := listenWith(t, from, &ledger)
	status, _ := ask(t, server.Address(), "r1", 200*time.Millisecond)
	qt.Assert(t, status, qt.Equals, http.StatusGatewayTimeout)
	ended, _ := from.heard()
	qt.Assert(t, ended, qt.HasLen, 0)
}

// A trial that goes to a server which has ended, since its entry still stands, tells nothing
// of the request.
func TestTrialIsNotSentToAServerThatEndedUnderTheRequest(t *testing.T) {
	var toEnded atomic.Int64
	ended := backends(t, 4, func(w http.ResponseWriter, r *http.Request) {
		toEnded.Add(1)
		answerWhole(w, r)
	})
	well := backends(t, 1, answerWhole)
	var ledger quarantine.Ledger
	for i := range ended {
		ledger.Told(quarantine.End{
			Digest: contentOfAsk(),
			Start:  "i-" + strconv.Itoa(i),
		})
	}
	server := listenWith(t, newSource(someServers(config.Safe, append(ended, well...)...)), &ledger)
	status, _ := ask(t, server.Address(), "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, toEnded.Load(), qt.Equals, int64(0))
}

// Where only such servers are left, they may have started again since.
func TestTrialIsSentToAServerThatEndedWhereNoOtherIsLeft(t *testing.T) {
	addresses := backends(t, 2, answerWhole)
	var ledger quarantine.Ledger
	for i := range addresses {
		ledger.Told(quarantine.End{
			Digest: contentOfAsk(),
			Start:  "i-" + strconv.Itoa(i),
		})
	}
	server := listenWith(t, newSource(someServers(config.Safe, addresses...)), &ledger)
	status, _ := ask(t, server.Address(), "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}
