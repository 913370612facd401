// Package declaration parses, checks and compares the YAML files that operators
// keep in version control.
//
// A declaration names the organisations with their limits, the operators, the
// zones, the models with their replicas, and the plain services. Applying it
// creates a numbered revision. Each problem is reported with its file, line and
// field, for example:
//
//	caudal-andino.yaml:14: models[0].vms_per_replica: must be 1 to 64, not 80
package declaration

import (
	"strings"
	"time"
)

// Declaration describes one deployment. Lists keep the order of the files.
type Declaration struct {
	Deployment    string         `yaml:"deployment"    json:"deployment"`
	Region        string         `yaml:"region"        json:"region"`
	Weights       Weights        `yaml:"weights"       json:"weights"`
	Limits        Limits         `yaml:"limits"        json:"limits"`
	Zones         []Zone         `yaml:"zones"         json:"zones"`
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Operators     []Operator     `yaml:"operators"     json:"operators"`
	Models        []Model        `yaml:"models"        json:"models"`
	Services      []Service      `yaml:"services"      json:"services"`
}

// Weights are the costs to the operator of one second of downtime of a group, and
// of one second of a stranded accelerator.
type Weights struct {
	GroupDowntime        float64 `yaml:"group_downtime"        json:"group_downtime"`
	StrandedAccelerators float64 `yaml:"stranded_accelerators" json:"stranded_accelerators"`
}

// Limits bound how long requests are queued and run, how long the answers of
// idempotency keys are kept, and how many groups load at the same time.
type Limits struct {
	QueueWait Duration `yaml:"queue_wait" json:"queue_wait"`
	Deadline  Duration `yaml:"deadline"   json:"deadline"`
	KeepKeys  Duration `yaml:"keep_keys"  json:"keep_keys"`
	// ParallelLoads is how many groups of one plan load at the same time. It
	// limits the load on the weight store.
	ParallelLoads int `yaml:"parallel_loads" json:"parallel_loads"`
}

// Zone is one availability zone. Zones of one data centre have the same Site.
type Zone struct {
	Name   string `yaml:"name"   json:"name"`
	Site   string `yaml:"site"   json:"site"`
	Region string `yaml:"region" json:"region"`
}

// Organisation sends requests under its keys. KeyHashes are SHA-256 hashes of the
// keys in hexadecimal; the keys themselves are never stored.
type Organisation struct {
	Name              string   `yaml:"name"                json:"name"`
	KeyHashes         []string `yaml:"key_hashes"          json:"key_hashes"`
	Share             int      `yaml:"share"               json:"share"`
	MaxInFlight       int      `yaml:"max_in_flight"       json:"max_in_flight"`
	MaxQueued         int      `yaml:"max_queued"          json:"max_queued"`
	RequestsPerSecond float64  `yaml:"requests_per_second" json:"requests_per_second"`
}

// Operator may apply declarations, propose intents and confirm plans.
type Operator struct {
	Name      string   `yaml:"name"       json:"name"`
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
}

// Model is served by replicas. Each replica is a serving group of VMsPerReplica
// VMs of one fabric domain. Replicas maps each zone to its number of groups.
type Model struct {
	Name          string         `yaml:"name"            json:"name"`
	Version       string         `yaml:"version"         json:"version"`
	Adapter       string         `yaml:"adapter"         json:"adapter"`
	Role          string         `yaml:"role"            json:"role"`
	VMsPerReplica int            `yaml:"vms_per_replica" json:"vms_per_replica"`
	LoadTime      Duration       `yaml:"load_time"       json:"load_time"`
	Replicas      map[string]int `yaml:"replicas"        json:"replicas"`
}

// Service is a plain service. Requests whose path is under Prefix go to its VMs.
type Service struct {
	Name          string     `yaml:"name"           json:"name"`
	Prefix        string     `yaml:"prefix"         json:"prefix"`
	NotRepeatable []Endpoint `yaml:"not_repeatable" json:"not_repeatable"`
}

// Endpoint selects requests by method and path prefix.
type Endpoint struct {
	Method string `yaml:"method" json:"method"`
	Path   string `yaml:"path"   json:"path"`
}

// Duration is a length of time written with its unit, such as 1.5s or 2m.
type Duration string

// Or returns the duration, or fallback if it is empty or invalid.
func (d Duration) Or(fallback time.Duration) time.Duration {
	parsed, err := time.ParseDuration(string(d))
	if err != nil {
		return fallback
	}
	return parsed
}

// Defaults of limits and load times that a declaration leaves out.
const (
	DefaultQueueWait = 10 * time.Second
	DefaultDeadline  = 2 * time.Minute
	DefaultKeepKeys  = time.Hour
	DefaultLoadTime  = 30 * time.Second
	// DefaultParallelLoads replaces Limits.ParallelLoads of 0.
	DefaultParallelLoads = 4
)

// ParallelLoadsOrDefault returns ParallelLoads or its default.
func (l Limits) ParallelLoadsOrDefault() int {
	if l.ParallelLoads == 0 {
		return DefaultParallelLoads
	}
	return l.ParallelLoads
}

// Model returns the model with the name, and whether it is declared.
func (d Declaration) Model(name string) (Model, bool) {
	for _, model := range d.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// ServiceFor returns the service with the longest prefix that contains path, and
// whether there is one.
func (d Declaration) ServiceFor(path string) (Service, bool) {
	var longest Service
	for _, service := range d.Services {
		if isUnder(path, service.Prefix) && len(service.Prefix) > len(longest.Prefix) {
			longest = service
		}
	}
	return longest, longest.Name != ""
}

// Repeatable reports whether a request to the service may be sent twice.
func (s Service) Repeatable(method, path string) bool {
	for _, endpoint := range s.NotRepeatable {
		if endpoint.Method == method && isUnder(path, endpoint.Path) {
			return false
		}
	}
	return true
}

// ZonesOfSite returns the names of the zones of a site.
func (d Declaration) ZonesOfSite(site string) []string {
	var names []string
	for _, zone := range d.Zones {
		if zone.Site == site {
			names = append(names, zone.Name)
		}
	}
	return names
}

// HasZone reports whether a zone is declared.
func (d Declaration) HasZone(name string) bool {
	for _, zone := range d.Zones {
		if zone.Name == name {
			return true
		}
	}
	return false
}

// isUnder reports whether path equals prefix or is below it.
func isUnder(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
