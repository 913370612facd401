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

// zonedServers returns a view of backend servers, each in a zone of its own: "0", "1" and so on.
func zonedServers(kind config.Kind, addresses ...string) gateway.View {
	view := someServers(kind, addresses...)
	var servers []fleet.Server
	for _, server := range view.Fleet.Servers() {
		server.Zone = server.ID[len("i-"):]
		servers = append(servers, server)
	}
	view.Fleet = fleet.View{}.WithAll(1, servers, time.Time{})
	return view
}

// evacuated returns the zones of a view that are left from a time on.
func evacuated(from time.Time, zones ...string) evacuation.Zones {
	var all evacuation.Zones
	for _, zone := range zones {
		all = all.With(zone, evacuation.Evacuation{
			LeaveAt: from,
		})
	}
	return all
}

// countedBackends returns servers that answer whole, and what counts their requests.
func countedBackends(t *testing.T, count int) ([]string, *atomic.Int64) {
	t.Helper()
	var asked atomic.Int64
	return backends(t, count, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		answerWhole(w, r)
	}), &asked
}

func TestServersOfAnEvacuatedZoneGetNothing(t *testing.T) {
	left, asked := countedBackends(t, 1)
	well, _ := countedBackends(t, 1)
	view := zonedServers(config.Safe, left[0], well[0])
	view.Evacuated = evacuated(time.Now(), "0")
	_, address := listen(t, newSource(view), time.Minute)
	for _, status := range askMany(t, address, 20) {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, asked.Load(), qt.Equals, int64(0))
}

// Until a daemon leaves the zone its requests go on there: groups form elsewhere meanwhile.
func TestZoneIsUsedUntilItIsLeft(t *testing.T) {
	well, asked := countedBackends(t, 1)
	view := zonedServers(config.Safe, well[0])
	view.Evacuated = evacuated(time.Now().Add(time.Hour), "0")
	_, address := listen(t, newSource(view), time.Minute)
	for _, status := range askMany(t, address, 5) {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, asked.Load(), qt.Equals, int64(5))
}

// Where all zones are evacuated, a request is refused at once, by a reason of its own.
func TestRequestWithoutAZoneIsRefusedAtOnce(t *testing.T) {
	servers, asked := countedBackends(t, 2)
	view := zonedServers(config.Safe, servers...)
	view.Evacuated = evacuated(time.Now(), "0", "1")
	used := options(newSource(view))
	server := start(t, used)
	for i := range 5 {
		status, header := ask(t, server.Address(), "r"+strconv.Itoa(i), time.Hour)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		// A group forms elsewhere within 2 s.
		qt.Assert(t, comesBack(t, header) >= 900*time.Millisecond, qt.IsTrue)
	}
	qt.Assert(t, asked.Load(), qt.Equals, int64(0))
	refused := metrics.GetOrRegisterCounter("requests_refused.zone_evacuated", used.Registry).Count()
	qt.Assert(t, refused, qt.Equals, int64(5))
}

// A cold server gets as many requests as it bears, and the others the rest.
func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	cold, asked := countedBackends(t, 1)
	well, _ := countedBackends(t, 1)
	used := options(newSource(someServers(config.Safe, cold[0], well[0])))
	used.Limits.LimitCold("i-0", ratelimit.Cold(2, 1.5, 5), time.Hour)
	server := start(t, used)
	for _, status := range askMany(t, server.Address(), 40) {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	const allowed = 1.5*2 + 5
	qt.Assert(t, asked.Load() <= allowed, qt.IsTrue, qt.Commentf("%d requests at once", asked.Load()))
}
