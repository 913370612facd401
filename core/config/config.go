// Package config holds the operator's configuration of the entry VMs: routes,
// services, organisations and their keys.
//
// A Config is immutable after New, so that any number of goroutines may look up
// routes and keys while a newer version is prepared.
package config

import (
	"slices"
	"sort"
	"strings"
	"time"

	"headcourse/core/usage"
)

// Kind determines whether a request of a route may run more than once.
type Kind int

// The kinds of routes. The zero value is the kind that may not be repeated, so
// that a request of an unknown kind never runs twice.
const (
	Unsafe Kind = iota
	Safe
	Stream
)

// Config is one version of the configuration. The zero value has no routes and
// means that no configuration is known yet.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	routesByHost       map[string][]*Route
	servicesByName     map[string]*Service
	organisationsByKey map[string]*Organisation
	// hasOrganisationPriorities is set if the priority of any organisation replaces that of routes.
	hasOrganisationPriorities bool
}

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum duration of a request. LatencyGoal is the time within which
	// the answer, or the first event of a stream, should arrive. EventGapGoal is the
	// time within which each further event of a stream should arrive.
	Timeout      time.Duration
	LatencyGoal  time.Duration
	EventGapGoal time.Duration
	// Priority of the requests; 0 is the most urgent.
	Priority int
	Backends []Backend
	// MaxAttempts is the maximum number of backend servers that may run one
	// request.
	MaxAttempts int
	// Public routes need no key. A Resumable stream may be resumed at another
	// backend server.
	Public    bool
	Resumable bool
}

// HasBackend reports whether the route sends requests to a service.
func (r *Route) HasBackend(service string) bool {
	return slices.ContainsFunc(r.Backends, func(backend Backend) bool {
		return backend.Service == service && backend.Weight > 0
	})
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Backend is one service of a route. It gets a part of the requests that is
// proportional to its Weight.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the health check of a backend server.
	HealthPath string
	// MaxConns is the maximum number of connections that one backend server accepts from
	// all entry VMs together.
	MaxConns int
	// ColdStart describes the backend servers after their start.
	ColdStart ColdStart
	// Engine is set for model engines, whose backend servers form groups.
	Engine *Engine
}

// ColdStart describes the cold start of a backend server. With the zero value servers are
// never cold.
type ColdStart struct {
	// Duration is how long the server stays cold after a start.
	Duration time.Duration
	// RequestsPerSecond is how many requests a second a cold server can serve; 0: unknown.
	RequestsPerSecond float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Capacity is how many requests a group runs at the same time.
	Capacity int
	Models   []Model
	// LoadsPerSecond limits how many loads of weights may begin. If more than
	// FullSpeedLoads run at the same time, each takes proportionally longer.
	LoadsPerSecond float64
	FullSpeedLoads int
	// FormationTime is the time between the order to serve and serving.
	FormationTime time.Duration
	// StagedModels is the number of models whose weights are kept on a host.
	StagedModels int
	// StepTime is the time to generate one token for a single running request; each
	// further running request adds StepTimePerRequest. 0: unknown.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// PrefillTokensPerSecond is how many prompt tokens a group reads in a second; 0: unknown.
	PrefillTokensPerSecond float64
	// PrefillChunkTokens is the maximum number of prompt tokens that are read before tokens are
	// generated again; 0: unknown.
	PrefillChunkTokens int
	// TokensPerEvent is how many tokens one event of a stream contains. It is the number
	// of tokens that are generated for a request before prompts are read again.
	TokensPerEvent int
	// MeanRequestSize is the mean size of the requests of all models.
	MeanRequestSize usage.Size
}

// Model is a model that groups of engines can serve.
type Model struct {
	Name string
	// GroupSize is the number of backend servers of a group.
	GroupSize int
	// InitialShare is the model's part of the demand that is assumed at the start.
	InitialShare float64
	// TimeFactor is a factor that all times of the engine are multiplied by.
	TimeFactor float64
	// LoadTime is how long loading from the weight store takes, WarmLoadTime from the host.
	LoadTime     time.Duration
	WarmLoadTime time.Duration
}

// Organisation sends requests under its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces that of the route if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Limits are the maximum sizes of requests, and how long clients may take to send a
// header or leave a connection idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// New returns the configuration with its lookup tables.
func New(parsed Config) *Config {
	indexed := &parsed
	indexed.routesByHost = map[string][]*Route{}
	indexed.servicesByName = map[string]*Service{}
	indexed.organisationsByKey = map[string]*Organisation{}
	for i := range indexed.Routes {
		route := &indexed.Routes[i]
		host := strings.ToLower(route.Host)
		indexed.routesByHost[host] = append(indexed.routesByHost[host], route)
	}
	for _, routes := range indexed.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range indexed.Services {
		indexed.servicesByName[indexed.Services[i].Name] = &indexed.Services[i]
	}
	for i := range indexed.Organisations {
		indexed.hasOrganisationPriorities = indexed.hasOrganisationPriorities || indexed.Organisations[i].HasPriority
		for _, key := range indexed.Organisations[i].Keys {
			indexed.organisationsByKey[key] = &indexed.Organisations[i]
		}
	}
	return indexed
}

// Route returns the route of a host and a path, the one with the longest prefix.
// It returns nil if there is none.
func (c *Config) Route(host, path string) *Route {
	host = strings.ToLower(host)
	for _, route := range c.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (c *Config) Service(name string) *Service {
	return c.servicesByName[name]
}

// LargestAnswer returns the number of events of a stream of at most maxTokens tokens on a route, by the services that may
// write it; 0 if maxTokens is 0.
func (c *Config) LargestAnswer(route *Route, maxTokens int) int {
	largest := 0
	for _, backend := range route.Backends {
		tokensPerEvent := 1
		if service := c.Service(backend.Service); service != nil && service.Engine != nil {
			tokensPerEvent = max(1, service.Engine.TokensPerEvent)
		}
		events := maxTokens / tokensPerEvent
		if maxTokens%tokensPerEvent > 0 {
			events++
		}
		largest = max(largest, events)
	}
	return largest
}

// NeedsKey reports whether requests of a route must carry a key.
func (c *Config) NeedsKey(route *Route) bool {
	return len(c.Organisations) > 0 && !route.Public
}

// HasOrganisationPriorities reports whether the priority of any organisation replaces that of routes.
func (c *Config) HasOrganisationPriorities() bool {
	return c.hasOrganisationPriorities
}

// Organisation returns the organisation that has a key, or nil.
func (c *Config) Organisation(key string) *Organisation {
	return c.organisationsByKey[key]
}

// Model returns a model of the engine by its name, and whether it exists.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}
