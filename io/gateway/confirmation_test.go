package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/io/gateway"
	"headcourse/platform/wire"
)

const (
	// supersededAge is older than the bound for changes and younger than that for withdrawn keys.
	supersededAge = 2500 * time.Millisecond
	formerService = "former"
	nextService   = "next"
)

// startNamedServer starts a server of a service that seals its answers with its service.
func startNamedServer(t *testing.T, service string) fleet.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
		w.Header().Set(wire.HeaderSeal, service)
	}))
	t.Cleanup(server.Close)
	return fleet.Server{
		ID:       "i-" + service,
		Service:  service,
		Address:  server.Listener.Addr().String(),
		Capacity: 6,
	}
}

// routedTo returns a configuration whose only route leads to a service.
func routedTo(service string) *config.Config {
	return config.New(config.Config{
		Routes: []config.Route{
			{
				Name:        "status",
				Host:        host,
				Prefix:      path,
				Kind:        config.Safe,
				LatencyGoal: time.Minute,
				Timeout:     time.Hour,
				Backends: []config.Backend{
					{
						Service: service,
						Weight:  1,
					},
				},
				MaxAttempts: 2,
			},
		},
	})
}

// newSupersededSource returns a source whose view may lack a change in force, with servers of both services.
func newSupersededSource(t *testing.T, known *config.Config) *testSource {
	t.Helper()
	source := newSource(gateway.View{
		Config: known,
		Fleet: fleet.View{}.WithSnapshot(1, []fleet.Server{
			startNamedServer(t, formerService),
			startNamedServer(t, nextService),
		}, time.Now()),
	})
	source.setViewAge(supersededAge)
	return source
}

// confirmWith makes a confirmation of the view bring a configuration.
func (s *testSource) confirmWith(next *config.Config) {
	s.confirm = func() bool {
		s.setConfig(next)
		s.setViewAge(0)
		return true
	}
}

// Guards against a route in force that is refused, or waits for the client's next attempt, because the daemon stood still
// and its view lacks the route.
func TestUnknownRouteIsServedOnceViewIsConfirmed(t *testing.T) {
	source := newSupersededSource(t, config.New(config.Config{}))
	source.confirmWith(routedTo(nextService))
	_, address := startWithViewWait(t, source, time.Minute)
	status, header := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, header.Get(wire.HeaderSeal), qt.Equals, nextService)
}

// Guards against a request that a former service serves after its route was moved, by a view that is older than the
// bound for changes.
func TestMovedRouteIsServedByNextServiceOnceViewIsConfirmed(t *testing.T) {
	source := newSupersededSource(t, routedTo(formerService))
	source.confirmWith(routedTo(nextService))
	_, address := startWithViewWait(t, source, time.Minute)
	status, header := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, header.Get(wire.HeaderSeal), qt.Equals, nextService)
}

// Guards against a request that is served by the view from before its wait, if the view became newer without becoming recent
// enough for refusals.
func TestRequestIsServedByNewerViewThatIsNotConfirmed(t *testing.T) {
	source := newSupersededSource(t, routedTo(formerService))
	source.confirm = func() bool {
		source.setConfig(routedTo(nextService))
		source.setViewAge(time.Second)
		return false
	}
	_, address := startWithViewWait(t, source, time.Minute)
	status, header := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, header.Get(wire.HeaderSeal), qt.Equals, nextService)
}

// Guards against an outage of the store that stops what the last known configuration allows.
func TestKnownRouteIsServedWhileNothingConfirmsView(t *testing.T) {
	source := newSupersededSource(t, routedTo(formerService))
	_, address := startWithViewWait(t, source, time.Minute)
	status, header := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, header.Get(wire.HeaderSeal), qt.Equals, formerService)
}

// Guards against a refusal by a former view with the age of the next one, which is confirmed between the two reads.
func TestViewIsNotJudgedByConfirmationOfNextView(t *testing.T) {
	source := newSupersededSource(t, config.New(config.Config{}))
	source.onView = func() {
		source.setViewAge(0)
	}
	source.confirm = func() bool {
		source.setViewAge(supersededAge)
		return false
	}
	_, address := startWithViewWait(t, source, time.Minute)
	status, _ := sendRequest(t, address, "r1", time.Hour)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
}
