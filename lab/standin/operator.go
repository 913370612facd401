package standin

import (
	"time"

	"headcourse/platform/wire"
)

// PathAdded is the path of a route that the operator adds and removes. No client uses it.
const PathAdded = "/added/"

// WithIdleTimeout returns a change of the time for which clients' connections may stay idle.
func WithIdleTimeout(timeout time.Duration) func(config *wire.Config) {
	return func(config *wire.Config) {
		config.Limits.IdleTimeoutMs = float64(timeout.Milliseconds())
	}
}

// WithRouteTimeout returns a change of the time-out of all routes.
func WithRouteTimeout(timeout time.Duration) func(config *wire.Config) {
	return func(config *wire.Config) {
		routes := make([]wire.Route, 0, len(config.Routes))
		for _, route := range config.Routes {
			route.TimeoutMs = float64(timeout.Milliseconds())
			routes = append(routes, route)
		}
		config.Routes = routes
	}
}

// RouteTimeout returns the shortest time-out of the routes in the configuration.
func (p *Platform) RouteTimeout() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	shortest := p.config.Routes[0].TimeoutMs
	for _, route := range p.config.Routes {
		shortest = min(shortest, route.TimeoutMs)
	}
	return time.Duration(shortest * float64(time.Millisecond))
}

// WithAddedRoute adds a route to the plain service, or removes it if it is there.
func WithAddedRoute(config *wire.Config) {
	var routes []wire.Route
	for _, route := range config.Routes {
		if route.PathPrefix != PathAdded {
			routes = append(routes, route)
		}
	}
	if len(routes) == len(config.Routes) {
		routes = append(routes, newRoute(PathAdded, wire.KindSafe, ServicePlain))
	}
	config.Routes = routes
}
