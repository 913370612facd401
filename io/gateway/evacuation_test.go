package gateway_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"headcourse/core/config"
	"headcourse/core/evacuation"
	"headcourse/core/fleet"
	"headcourse/core/ratelimit"
	"headcourse/io/gateway"
)

// zonedServersView returns a view of backend servers, each in a zone of its own: "0", "1" and
// so on.
func zonedServersView(kind config.Kind, addresses ...string) gateway.View {
	view := serversView(kind, addresses...)
	var servers []fleet.Server
	for _, server := range view.Fleet.Servers() {
		server.Zone = server.ID[len("i-"):]
		servers = append(servers, server)
	}
	view.Fleet = fleet.View{}.WithSnapshot(1, servers, time.Time{})
	return view
}

// evacuatedZones returns zones that receive no requests from leaveAt on.
func evacuatedZones(leaveAt time.Time, zones ...string) evacuation.Zones {
	var all evacuation.Zones
	for _, zone := range zones {
		all = all.With(zone, evacuation.Evacuation{
			LeaveAt: leaveAt,
		})
	}
	return all
}

// startCountingBackends starts servers that answer every request, and returns their addresses
// and a counter of their requests.
func startCountingBackends(t *testing.T, count int) ([]string, *atomic.Int64) {
	t.Helper()
	var received atomic.Int64
	return startBackends(t, count, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		answerOK(w, r)
	}), &received
}

func TestEvacuatedZoneReceivesNoRequests(t *testing.T) {
	inEvacuatedZone, received := startCountingBackends(t, 1)
	healthy, _ := startCountingBackends(t, 1)
	view := zonedServersView(config.Safe, inEvacuatedZone[0], healthy[0])
	view.Evacuated = evacuatedZones(time.Now(), "0")
	_, address := startWithViewWait(t, newSource(view), time.Minute)
	for _, status := range sendRequests(t, address, 20) {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, received.Load(), qt.Equals, int64(0))
}

// Until the evacuation takes effect at this daemon, its requests still go to the zone, so that
// groups can form elsewhere.
func TestZoneReceivesRequestsUntilEvacuationStarts(t *testing.T) {
	healthy, received := startCountingBackends(t, 1)
	view := zonedServersView(config.Safe, healthy[0])
	view.Evacuated = evacuatedZones(time.Now().Add(time.Hour), "0")
	_, address := startWithViewWait(t, newSource(view), time.Minute)
	for _, status := range sendRequests(t, address, 5) {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, received.Load(), qt.Equals, int64(5))
}

// If all zones are evacuated, a request is refused at once, with a reason of its own.
func TestRequestIsRefusedAtOnceWhenAllZonesAreEvacuated(t *testing.T) {
	servers, received := startCountingBackends(t, 2)
	view := zonedServersView(config.Safe, servers...)
	view.Evacuated = evacuatedZones(time.Now(), "0", "1")
	opts := newOptions(newSource(view))
	server := startGateway(t, opts)
	for i := range 5 {
		status, header := sendRequest(t, server.Address(), "r"+strconv.Itoa(i), time.Hour)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		// A group forms elsewhere within 2 s.
		qt.Assert(t, retryAfterOf(t, header) >= 900*time.Millisecond, qt.IsTrue)
	}
	qt.Assert(t, received.Load(), qt.Equals, int64(0))
	refused := metrics.GetOrRegisterCounter("requests_refused.zone_evacuated", opts.Registry).Count()
	qt.Assert(t, refused, qt.Equals, int64(5))
}

// A cold server receives no more requests than its cold rate allows, and the other servers
// receive the rest.
func TestColdServerIsRateLimited(t *testing.T) {
	cold, received := startCountingBackends(t, 1)
	healthy, _ := startCountingBackends(t, 1)
	opts := newOptions(newSource(serversView(config.Safe, cold[0], healthy[0])))
	opts.Limits.SetColdLimit("i-0", ratelimit.NewColdLimit(2, 1.5, 5), time.Hour)
	server := startGateway(t, opts)
	for _, status := range sendRequests(t, server.Address(), 40) {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	const allowed = 1.5*2 + 5
	qt.Assert(t, received.Load() <= allowed, qt.IsTrue, qt.Commentf("%d requests at once", received.Load()))
}
