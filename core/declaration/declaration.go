// Package declaration reads the YAML that operators keep in version control.
//
// A declaration names the organisations with their limits, the operators, the
// zones, the models with their replicas, and the plain services. It becomes
// one numbered revision when it is applied. Every mistake is reported with the
// file, the line and the field, for example:
//
//	caudal-andino.yaml:14: models[0].vms_per_replica: must be 1 to 64
//
// Organisations and zones are the brief's words; the glossary maps them.
package declaration

import (
	"strings"
	"time"
)

// Declaration is one deployment. Lists keep the order of the files.
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

// Weights are what the operator loses by each measure: by a second of one
// group's downtime, and by a second of one stranded accelerator.
type Weights struct {
	GroupDowntime        float64 `yaml:"group_downtime"        json:"group_downtime"`
	StrandedAccelerators float64 `yaml:"stranded_accelerators" json:"stranded_accelerators"`
}

// Limits bound how long requests wait and work.
type Limits struct {
	QueueWait Duration `yaml:"queue_wait" json:"queue_wait"`
	Deadline  Duration `yaml:"deadline"   json:"deadline"`
	KeepKeys  Duration `yaml:"keep_keys"  json:"keep_keys"`
	// ParallelLoads is how many groups of one plan load at the same time, for
	// the sake of the weight store.
	ParallelLoads int `yaml:"parallel_loads" json:"parallel_loads"`
}

// Zone is one availability zone. Site groups zones of one data centre.
type Zone struct {
	Name   string `yaml:"name"   json:"name"`
	Site   string `yaml:"site"   json:"site"`
	Region string `yaml:"region" json:"region"`
}

// Organisation is one customer. KeyHashes are SHA-256 in hexadecimal; the keys
// themselves are nowhere in the system.
type Organisation struct {
	Name              string   `yaml:"name"                json:"name"`
	KeyHashes         []string `yaml:"key_hashes"          json:"key_hashes"`
	Share             int      `yaml:"share"               json:"share"`
	MaxInFlight       int      `yaml:"max_in_flight"       json:"max_in_flight"`
	MaxQueued         int      `yaml:"max_queued"          json:"max_queued"`
	RequestsPerSecond float64  `yaml:"requests_per_second" json:"requests_per_second"`
}

// Operator may state intents and confirm plans.
type Operator struct {
	Name      string   `yaml:"name"       json:"name"`
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
}

// Model is served by replicas, each a serving group of VMsPerReplica VMs of
// one fabric domain. Replicas maps a zone to the number of groups there.
type Model struct {
	Name          string         `yaml:"name"            json:"name"`
	Version       string         `yaml:"version"         json:"version"`
	Adapter       string         `yaml:"adapter"         json:"adapter"`
	Role          string         `yaml:"role"            json:"role"`
	VMsPerReplica int            `yaml:"vms_per_replica" json:"vms_per_replica"`
	LoadTime      Duration       `yaml:"load_time"       json:"load_time"`
	Replicas      map[string]int `yaml:"replicas"        json:"replicas"`
}

// Service is a plain service; requests under Prefix go to its VMs.
type Service struct {
	Name          string     `yaml:"name"           json:"name"`
	Prefix        string     `yaml:"prefix"         json:"prefix"`
	NotRepeatable []Endpoint `yaml:"not_repeatable" json:"not_repeatable"`
}

// Endpoint names requests by method and by path prefix.
type Endpoint struct {
	Method string `yaml:"method" json:"method"`
	Path   string `yaml:"path"   json:"path"`
}

// Duration is a length of time written with its unit, such as 1.5s or 2m.
type Duration string

// Or returns the duration, or fallback where none was declared.
func (d Duration) Or(fallback time.Duration) time.Duration {
	parsed, err := time.ParseDuration(string(d))
	if err != nil {
		return fallback
	}
	return parsed
}

// Defaults of durations that a declaration leaves out.
const (
	DefaultQueueWait = 10 * time.Second
	DefaultDeadline  = 2 * time.Minute
	DefaultKeepKeys  = time.Hour
	DefaultLoadTime  = 30 * time.Second
	// DefaultParallelLoads stands in for Limits.ParallelLoads of 0.
	DefaultParallelLoads = 4
)

// Parallel returns ParallelLoads or its default.
func (l Limits) Parallel() int {
	if l.ParallelLoads == 0 {
		return DefaultParallelLoads
	}
	return l.ParallelLoads
}

// Model returns the model of that name.
func (d Declaration) Model(name string) (Model, bool) {
	for _, model := range d.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// ServiceFor returns the service with the longest prefix that path is under.
func (d Declaration) ServiceFor(path string) (Service, bool) {
	var found Service
	for _, service := range d.Services {
		if isUnder(path, service.Prefix) && len(service.Prefix) > len(found.Prefix) {
			found = service
		}
	}
	return found, found.Name != ""
}

// Repeatable tells whether a request to the service may be sent twice.
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

// HasZone tells whether a zone is declared.
func (d Declaration) HasZone(name string) bool {
	for _, zone := range d.Zones {
		if zone.Name == name {
			return true
		}
	}
	return false
}

// isUnder tells whether path is prefix or lies below it.
func isUnder(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
