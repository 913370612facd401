// Package config holds the operator's configuration of the entry VMs: routes,
// services, organisations and their keys.
//
// A Config is read whole and never changed after New, so that any number of
// goroutines may look routes and keys up while a newer version is prepared.
package config

import (
	"sort"
	"strings"
	"time"

	"headcourse/core/usage"
)

// Kind tells how often a request of a route may run.
type Kind int

// The kinds of routes. The zero value is the one that may not be repeated, so
// that a kind nobody knows is never run twice.
const (
	Unsafe Kind = iota
	Safe
	Stream
)

// Config is one version of the configuration. The zero value has no routes and
// stands for "none known yet".
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
}

// Route sends the requests of one host and path prefix to backend servers.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request is held; Goal is when an answer, or
	// a stream's first event, should be there; PauseGoal is the longest pause
	// between two events of a stream.
	Timeout   time.Duration
	Goal      time.Duration
	PauseGoal time.Duration
	// Priority is the rank of the requests; 0 goes first.
	Priority int
	Backends []Backend
	// MaxAttempts is the largest number of backend servers that may run one
	// request.
	MaxAttempts int
	// Public routes need no key. Resumable streams may be taken up elsewhere.
	Public    bool
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Backend is one service of a route, with its part of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of backend servers that do the same.
type Service struct {
	Name string
	// HealthPath answers whether a backend server considers itself well.
	HealthPath string
	// MaxConns is how many connections one backend server takes from all VMs.
	MaxConns int
	// Cold is what a backend server bears that has just started.
	Cold Cold
	// Engine is set for model engines, whose backend servers form groups.
	Engine *Engine
}

// Cold describes the cold start of a backend server. The zero value is one that is never
// cold.
type Cold struct {
	// Start is how long the server stays cold after a start.
	Start time.Duration
	// PerSecond is how many requests a second it bears meanwhile; 0: not told.
	PerSecond float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Capacity is how many requests a group runs at once.
	Capacity int
	Models   []Model
	// LoadsPerSecond bounds how many loads of weights may begin; above
	// LoadsAtOnce each load takes proportionally longer.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// Form is the time between the order to serve and serving.
	Form time.Duration
	// StagedModels is how many models' weights a host keeps.
	StagedModels int
	// Step is the time in which each running request gets one more token where one
	// runs alone; each further one adds StepPerRequest. 0: not told.
	Step           time.Duration
	StepPerRequest time.Duration
	// ReadPerSecond is how many prompt tokens a group reads in a second; 0: not told.
	ReadPerSecond float64
	// Chunk is how many prompt tokens are read at most before tokens are written again;
	// 0: not told.
	Chunk int
	// TokensPerEvent is how many tokens one event of a stream holds: those that are written
	// for a request before prompts are read again.
	TokensPerEvent int
	// Usual is the mean size of requests over all models.
	Usual usage.Size
}

// Model is a model that groups of an engine can serve.
type Model struct {
	Name string
	// Size is how many backend servers form a group.
	Size int
	// Share is the model's part of the work at the start.
	Share float64
	// Pace is a factor on all times of the model.
	Pace float64
	// Load is the time of a load from the weight store, Warm from the host.
	Load time.Duration
	Warm time.Duration
}

// Organisation sends requests under its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the route's where HasPriority is true.
	Priority    int
	HasPriority bool
}

// Limits bound what a client may send and how long it may stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// New returns the configuration with its look-up tables.
func New(read Config) *Config {
	made := &read
	made.hosts = map[string][]*Route{}
	made.services = map[string]*Service{}
	made.keys = map[string]*Organisation{}
	for i := range made.Routes {
		route := &made.Routes[i]
		host := strings.ToLower(route.Host)
		made.hosts[host] = append(made.hosts[host], route)
	}
	for _, routes := range made.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range made.Services {
		made.services[made.Services[i].Name] = &made.Services[i]
	}
	for i := range made.Organisations {
		for _, key := range made.Organisations[i].Keys {
			made.keys[key] = &made.Organisations[i]
		}
	}
	return made
}

// Route returns the route of a host and a path: the longest prefix wins. It
// returns nil where there is none.
func (c *Config) Route(host, path string) *Route {
	host = strings.ToLower(host)
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (c *Config) Service(name string) *Service {
	return c.services[name]
}

// NeedsKey tells whether requests of a route must carry a key.
func (c *Config) NeedsKey(route *Route) bool {
	return len(c.Organisations) > 0 && !route.Public
}

// Organisation returns the holder of a key, or nil.
func (c *Config) Organisation(key string) *Organisation {
	return c.keys[key]
}

// Model returns a model of the engine by its name, and whether there is one.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}
