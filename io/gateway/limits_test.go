package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/core/ratelimit"
	"headcourse/io/gateway"
	"headcourse/platform/wire"
)

// tinyLimit is a limit, in requests per second, that allows no second request within any test.
const tinyLimit = "0.0001"

// startLimitedBackends starts servers that name a limit in all answers, and returns their
// addresses and a counter of their requests.
func startLimitedBackends(t *testing.T, count int, limit string) ([]string, *atomic.Int64) {
	t.Helper()
	var received atomic.Int64
	return startBackends(t, count, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set(wire.HeaderLimit, limit)
		answerOK(w, r)
	}), &received
}

func TestServerAtItsRateLimitIsNoCandidate(t *testing.T) {
	limited, received := startLimitedBackends(t, 1, tinyLimit)
	healthy := startBackends(t, 1, answerOK)
	_, address := startWithViewWait(t, newSource(serversView(config.Safe, limited[0], healthy[0])), time.Minute)
	for received.Load() == 0 {
		sendRequests(t, address, 1)
	}
	for _, status := range sendRequests(t, address, 20) {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, received.Load(), qt.Equals, int64(1))
}

// If all servers are at their limit, a request is refused at once, as not run: it reached no
// server. This daemon's next request is allowed in minutes, but other daemons have quotas too.
func TestRequestIsRefusedAtOnceWhenAllServersAreAtTheirLimit(t *testing.T) {
	limited, received := startLimitedBackends(t, 2, tinyLimit)
	opts := newOptions(newSource(serversView(config.Safe, limited...)))
	server := startGateway(t, opts)
	for received.Load() < int64(len(limited)) {
		sendRequests(t, server.Address(), 1)
	}
	delays := map[time.Duration]bool{}
	for i := range 20 {
		status, header := sendRequest(t, server.Address(), "r"+strconv.Itoa(i), time.Hour)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		delay := retryAfterOf(t, header)
		qt.Assert(t, delay >= 900*time.Millisecond && delay <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", delay))
		delays[delay] = true
	}
	qt.Assert(t, len(delays) > 10, qt.IsTrue)
	qt.Assert(t, received.Load(), qt.Equals, int64(len(limited)))
	refused := metrics.GetOrRegisterCounter("requests_refused.servers_limited", opts.Registry).Count()
	qt.Assert(t, refused >= int64(20), qt.IsTrue)
}

// If the limit allows this daemon its next request within the client's timeout, Retry-After is
// the time until then.
func TestRetryAfterMatchesTimeUntilLimitAllowsRequest(t *testing.T) {
	limited, received := startLimitedBackends(t, 1, "1")
	_, address := startWithViewWait(t, newSource(serversView(config.Safe, limited...)), time.Minute)
	sendRequests(t, address, 1)
	qt.Assert(t, received.Load(), qt.Equals, int64(1))
	status, header := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	// The limit allows one request after a second; Retry-After has jitter.
	delay := retryAfterOf(t, header)
	qt.Assert(t, delay > 0 && delay < 2*time.Second, qt.IsTrue, qt.Commentf("%s", delay))
}

// The limit is meant for the daemons, not for clients.
func TestServerLimitHeaderIsNotForwarded(t *testing.T) {
	limited, _ := startLimitedBackends(t, 1, "1000")
	_, address := startWithViewWait(t, newSource(serversView(config.Safe, limited...)), time.Minute)
	status, header := sendRequest(t, address, "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, header.Get(wire.HeaderLimit), qt.Equals, "")
}

// A limit in a failed answer or a broken stream counts too: neither a retry of the request nor
// the next request goes to that server. Only requests that reached it are counted.
func TestLimitAppliesToRetriesAndBrokenStreams(t *testing.T) {
	var received atomic.Int64
	failing := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set(wire.HeaderLimit, tinyLimit)
		answerOneEvent(t, w, r)
		panic(http.ErrAbortHandler)
	})
	healthy := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		answerOK(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, err := io.WriteString(w, "id: 2\ndata: second\n\n")
		qt.Check(t, err, qt.IsNil)
	})
	_, address := startWithViewWait(t, newSource(serversView(config.Stream, failing[0], healthy[0])), time.Minute)
	for received.Load() == 0 {
		sendRequests(t, address, 1)
	}
	time.Sleep(ejectionTime)
	for _, status := range sendRequests(t, address, 20) {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, received.Load(), qt.Equals, int64(1))
}

// Concurrent requests do not exceed the server's limit, and the server is used without a limit
// again once its answers name none.
func TestLimitEndsWhenAnswersNoLongerNameIt(t *testing.T) {
	var received atomic.Int64
	var isOver atomic.Bool
	addresses := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		if !isOver.Load() {
			w.Header().Set(wire.HeaderLimit, "2")
		}
		answerOK(w, r)
	})
	_, address := startWithViewWait(t, newSource(serversView(config.Safe, addresses...)), time.Minute)
	sendRequests(t, address, 1)
	time.Sleep(600 * time.Millisecond)
	before := received.Load()
	var clients conc.WaitGroup
	for range 20 {
		clients.Go(func() { sendRequests(t, address, 1) })
	}
	clients.Wait()
	// What the limit allows while all of them run, plus a burst: far fewer than were sent.
	const maxReceived = 10
	qt.Assert(t, received.Load()-before >= 1 && received.Load()-before <= maxReceived, qt.IsTrue, qt.Commentf("%d", received.Load()-before))

	isOver.Store(true)
	for statuses := sendRequests(t, address, 1); statuses[0] != http.StatusOK; statuses = sendRequests(t, address, 1) {
		time.Sleep(10 * time.Millisecond)
	}
	for _, status := range sendRequests(t, address, 20) {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
}

// noQuotaSource is a testSource whose daemon may have no quota of limits.
type noQuotaSource struct {
	*testSource
	// hasNoQuota is set if this daemon has no quota.
	hasNoQuota atomic.Bool
}

// LimitPosition returns the position after all daemons with a quota if hasNoQuota is set.
func (s *noQuotaSource) LimitPosition(server fleet.Server) ratelimit.Position {
	position := s.testSource.LimitPosition(server)
	if s.hasNoQuota.Load() {
		position.Rank = position.Total
	}
	return position
}

// A daemon without a quota of any server's limit cannot determine when a client can be served,
// but other daemons may have a quota.
func TestRetryAfterIsShortWhenDaemonHasNoQuota(t *testing.T) {
	addresses, received := startLimitedBackends(t, 1, "20")
	source := &noQuotaSource{
		testSource: newSource(serversView(config.Safe, addresses...)),
	}
	source.hasNoQuota.Store(true)
	_, address := startWithViewWait(t, gateway.Source(source), time.Minute)
	sendRequests(t, address, 1)
	qt.Assert(t, received.Load(), qt.Equals, int64(1))
	status, header := sendRequest(t, address, "r1", time.Minute)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	delay := retryAfterOf(t, header)
	qt.Assert(t, delay > 0 && delay <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", delay))
	qt.Assert(t, received.Load(), qt.Equals, int64(1))
}

// A server may request a pause and also name the limit that applies after it.
func TestLimitAppliesAfterPause(t *testing.T) {
	const pause = time.Second
	var received atomic.Int64
	addresses := startBackends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderLimit, "0.5")
		if received.Add(1) == 1 {
			refuseWithPause(w, r, pause)
			return
		}
		answerOK(w, r)
	})
	_, address := startWithViewWait(t, newSource(serversView(config.Safe, addresses...)), time.Minute)
	sendRequests(t, address, 1)
	var reasons []string
	for received.Load() == 1 {
		reason := refusalReason(t, address)
		if len(reasons) == 0 || reasons[len(reasons)-1] != reason {
			reasons = append(reasons, reason)
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, reasons[:2], qt.DeepEquals, []string{"servers_paused", "servers_limited"})
}

// refusalReason sends a request and returns the reason of its refusal, or an empty string if a
// server answered.
func refusalReason(t *testing.T, address string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = host
	request.Header.Set(wire.HeaderID, "reason")
	answer, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	qt.Assert(t, err, qt.IsNil)
	return strings.TrimSpace(string(body))
}
