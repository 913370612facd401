package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/retryledger"
	"headcourse/platform/wire"
)

// Capacity and times of the stand-in's servers, shorter than those of a real deployment to
// keep tests fast.
const (
	serverCapacity         = 26
	loadTime               = 120 * time.Millisecond
	processingTime         = 5 * time.Millisecond
	eventInterval          = 10 * time.Millisecond
	incompleteGroupTimeout = 1500 * time.Millisecond
	entryTTL               = 700 * time.Millisecond
	tokensPerEvent         = 5
	// drainTime is how long a server that is draining still answers requests.
	drainTime = 2500 * time.Millisecond
)

// zones are the availability zones. All daemons are in the first one; servers are in the first
// Size.Zones.
var zones = []string{"lab-a", "lab-b", "lab-c"}

// Zone returns the name of a zone by its number.
func Zone(number int) string {
	return zones[number%len(zones)]
}

// Names in the stand-in's configuration.
const (
	Host         = "water.example"
	KeyCuenca    = "key-of-cuenca"
	KeyLoja      = "key-of-loja"
	ServicePlain = "board"
	// ServiceRare is a plain service that only requests to PathRare are for.
	ServiceRare  = "archive"
	ServiceModel = "engines"
	ModelLarge   = "large"
	ModelSmall   = "small"
	PathSafe     = "/status/"
	PathRare     = "/archive/"
	PathUnsafe   = "/orders/"
	PathLarge    = "/large/"
	PathSmall    = "/small/"
)

// Platform is the whole stand-in. Use Start.
type Platform struct {
	Store *Store

	// mutex is acquired after the mutex of a server, never before: a server that carries out
	// an order holds its own mutex while it calls the platform.
	mutex        sync.Mutex
	ordersMutex  sync.Mutex
	servers      map[string]*Server
	serverCount  int
	config       wire.Config
	readyMembers map[string]bool
	runs         map[string]int
	// crashes counts the servers that crashed, by the path of the request.
	crashes map[string]int
	// crashingParts are the parts of prompts that crash servers.
	crashingParts crashingParts
	// restarts counts the pending restarts of crashed servers.
	restarts   sync.WaitGroup
	violations []string
	// directives are the directives that servers sent to daemons.
	directives directiveLedger
	// evacuations are the zones that the operator has evacuated.
	evacuations evacuations
	// overload records arrivals and refusals of requests.
	overload overloadLedger
	// retries has the ledger of repeated arrivals of each service.
	retries           map[string]*retryledger.Ledger
	settingsDir       string
	advertisedAddress func(address string) (string, error)
}

// Size is the number of servers and zones of a stand-in.
type Size struct {
	Domains          int
	ServersPerDomain int
	PlainServers     int
	// RareServers is the number of servers of ServiceRare.
	RareServers int
	// Zones is the number of zones over which domains and plain servers are distributed in
	// turn; 0 means one.
	Zones int
	// AdvertisedAddress, if set, returns the address that the platform advertises for a server
	// that listens at address, such as the address of a proxy.
	AdvertisedAddress func(address string) (string, error)
}

// zone returns the zone of a domain or plain server by its number.
func (s Size) zone(number int) string {
	return Zone(number % max(1, s.Zones))
}

// Start starts a platform that writes settings files into dir.
func Start(dir string, size Size) (*Platform, error) {
	store, err := startStore()
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Store:             store,
		servers:           map[string]*Server{},
		readyMembers:      map[string]bool{},
		runs:              map[string]int{},
		crashes:           map[string]int{},
		retries:           newRetryLedgers(),
		settingsDir:       dir,
		advertisedAddress: size.AdvertisedAddress,
		config:            withColdStarts(initialConfig()),
	}
	p.writeConfig()
	for d := range size.Domains {
		for range size.ServersPerDomain {
			if err = p.startServer(ServiceModel, Rack(d), size.zone(d)); err != nil {
				return nil, err
			}
		}
	}
	for i := range size.PlainServers {
		if err = p.startServer(ServicePlain, "", size.zone(i)); err != nil {
			return nil, err
		}
	}
	for i := range size.RareServers {
		if err = p.startServer(ServiceRare, "", size.zone(i)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Close ends all servers and the store.
func (p *Platform) Close() {
	for _, server := range p.Servers(ServiceModel) {
		_ = server.http.Close()
	}
	for _, server := range append(p.Servers(ServicePlain), p.Servers(ServiceRare)...) {
		_ = server.http.Close()
	}
	_ = p.Store.server.Close()
}

// newRoute returns a route by its path to a service.
func newRoute(path, kind, service string) wire.Route {
	return wire.Route{
		Name:        path,
		Host:        Host,
		PathPrefix:  path,
		Kind:        kind,
		TimeoutMs:   6000,
		GoalMs:      300,
		Service:     service,
		MaxAttempts: 2,
		Resumable:   kind == wire.KindStream,
		GapGoalMs:   200,
	}
}

// newModel returns a model whose groups have a number of servers and a share of the demand.
func newModel(name string, size int, share float64) wire.Model {
	return wire.Model{
		Name:    name,
		Size:    size,
		Share:   share,
		Pace:    1,
		LoadS:   loadTime.Seconds(),
		WarmupS: loadTime.Seconds(),
	}
}

// initialConfig returns the configuration that the platform starts with.
func initialConfig() wire.Config {
	unsafe := newRoute(PathUnsafe, wire.KindUnsafe, ServicePlain)
	unsafe.MaxAttempts = 1
	return wire.Config{
		Version: 1,
		Routes: []wire.Route{
			newRoute(PathSafe, wire.KindSafe, ServicePlain),
			newRoute(PathRare, wire.KindSafe, ServiceRare),
			unsafe,
			newRoute(PathLarge, wire.KindStream, ServiceModel),
			newRoute(PathSmall, wire.KindStream, ServiceModel),
		},
		Services: []wire.Service{
			{
				Name:     ServicePlain,
				MaxConns: 100,
			},
			{
				Name:     ServiceRare,
				MaxConns: 100,
			},
			{
				Name:     ServiceModel,
				MaxConns: 400,
				Engine: &wire.Engine{
					Capacity: serverCapacity,
					Models: []wire.Model{
						newModel(ModelLarge, 4, 0.67),
						newModel(ModelSmall, 2, 0.33),
					},
					LoadsPerS:      40,
					LoadsAtOnce:    20,
					CachedPrefixes: 1,
					FormMs:         10,
				},
			},
		},
		Limits: wire.Limits{
			MaxHeaderBytes: 16384,
			MaxBodyBytes:   1 << 20,
		},
		Tenants: []wire.Tenant{
			{
				Name:    "cuenca",
				APIKeys: []string{KeyCuenca},
			},
			{
				Name:    "loja",
				APIKeys: []string{KeyLoja},
			},
		},
	}
}

// writeConfig writes the row of the configuration.
func (p *Platform) writeConfig() {
	encoded, err := json.Marshal(p.config)
	if err != nil {
		p.recordViolation("encode configuration: " + err.Error())
		return
	}
	p.Store.putFromPlatform(wire.TableConfig, wire.KeyConfig, encoded)
}

// ChangeConfig changes the configuration and increments its version.
func (p *Platform) ChangeConfig(change func(config *wire.Config)) {
	p.mutex.Lock()
	change(&p.config)
	p.config.Version++
	p.mutex.Unlock()
	p.writeConfig()
}

// WriteRawConfig writes a value, valid or not, into the row of the configuration.
func (p *Platform) WriteRawConfig(value string) {
	p.Store.putFromPlatform(wire.TableConfig, wire.KeyConfig, []byte(value))
}

// Servers returns the servers of a service that were not killed, ordered by ID. Servers that
// are stopped until a restart are included.
func (p *Platform) Servers(service string) []*Server {
	return slices.DeleteFunc(p.allServers(service), (*Server).wasKilled)
}

// allServers returns all servers of a service that were ever started, ordered by ID.
func (p *Platform) allServers(service string) []*Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var all []*Server
	for n := 1; n <= p.serverCount; n++ {
		server, ok := p.servers[fmt.Sprintf("i-%04d", n)]
		if ok && server.service == service {
			all = append(all, server)
		}
	}
	return all
}

// wasKilled reports whether the server was killed.
func (s *Server) wasKilled() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isKilled
}

// Heads returns the heads of a model's groups that are open and complete.
func (p *Platform) Heads(model string) []*Server {
	var heads []*Server
	for _, server := range p.Servers(ServiceModel) {
		server.mutex.Lock()
		group, models := server.state.Group, server.state.Models
		server.mutex.Unlock()
		isOpen := group != nil && group.Rank == 0 && group.State == "open"
		if isOpen && len(models) > 0 && models[0].Name == model && p.isComplete(server) {
			heads = append(heads, server)
		}
	}
	return heads
}

// Members returns the members of the group that the server joined last, also after it left the
// group.
func (p *Platform) Members(head *Server) []*Server {
	head.mutex.Lock()
	ids := head.members
	head.mutex.Unlock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var members []*Server
	for _, id := range ids {
		members = append(members, p.servers[id])
	}
	return members
}

// isComplete reports whether all other members of a head's group are still in the group and
// none of them was killed. It returns false if the head is in no group.
func (p *Platform) isComplete(head *Server) bool {
	head.mutex.Lock()
	group := head.state.Group
	head.mutex.Unlock()
	if group == nil {
		return false
	}
	for _, member := range p.Members(head) {
		if member == head {
			continue
		}
		member.mutex.Lock()
		memberGroup, isMemberKilled := member.state.Group, member.isKilled
		member.mutex.Unlock()
		if isMemberKilled || memberGroup == nil || memberGroup.Name != group.Name || memberGroup.Epoch != group.Epoch {
			return false
		}
	}
	return true
}

// RecordViolation records a violation that a caller detected.
func (p *Platform) RecordViolation(violation string) {
	p.recordViolation(violation)
}

// StartReplacement starts an empty server with the service, domain and zone of another.
func (p *Platform) StartReplacement(template *Server) error {
	return p.startServer(template.service, template.domain, template.state.Zone)
}

// recordViolation records a violation of the users' rules.
func (p *Platform) recordViolation(violation string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	// The time is that of the daemons' log lines.
	now := time.Now().UTC().Format("15:04:05.000")
	p.violations = append(p.violations, now+" "+violation)
}

// Violations returns the recorded violations.
func (p *Platform) Violations() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append(p.retryViolations(), p.violations...)
}

// recordReady records that a server was a ready member of a group in an epoch.
func (p *Platform) recordReady(id, group string, epoch int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readyMembers[fmt.Sprintf("%s %s %d", id, group, epoch)] = true
}

// checkMembersReady records a violation if a head opens its group before all members were
// ready.
func (p *Platform) checkMembersReady(head *Server) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	group := head.state.Group
	for _, id := range head.members {
		if !p.readyMembers[fmt.Sprintf("%s %s %d", id, group.Name, group.Epoch)] {
			p.violations = append(p.violations, fmt.Sprintf("group %s opened, but its member %s was never ready", group.Name, id))
		}
	}
}

// checkFormerGroupClosed records a violation if a server joins a group while the head of its
// former group still accepts requests.
func (p *Platform) checkFormerGroupClosed(s *Server) {
	group := s.state.Group
	if group == nil || group.Rank == 0 {
		return
	}
	p.mutex.Lock()
	head := p.servers[s.members[0]]
	p.mutex.Unlock()
	if head == nil || head == s {
		return
	}
	head.mutex.Lock()
	headGroup, isHeadKilled := head.state.Group, head.isKilled
	head.mutex.Unlock()
	if !isHeadKilled && headGroup != nil && headGroup.Name == group.Name && headGroup.Epoch == group.Epoch && (headGroup.State == "open" || headGroup.State == "closing") {
		p.recordViolation(fmt.Sprintf("%s joined another group while its former head %s still accepted requests", s.id, head.id))
	}
}

// recordRun counts a run of a request. It records a violation if the request may not be
// repeated but ran before, if it still has the caller's key, or if it names an unknown
// organisation.
func (p *Platform) recordRun(s *Server, r *http.Request, id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runs[id]++
	isUnsafe := len(r.URL.Path) >= len(PathUnsafe) && r.URL.Path[:len(PathUnsafe)] == PathUnsafe
	if isUnsafe && p.runs[id] > 1 {
		p.violations = append(p.violations, "request "+id+" may not be repeated, but ran again on "+s.id)
	}
	if r.Header.Get(wire.HeaderKey) != "" {
		p.violations = append(p.violations, "request "+id+" was forwarded with the caller's key")
	}
	if tenant := r.Header.Get(wire.HeaderTenant); tenant != "cuenca" && tenant != "loja" {
		p.violations = append(p.violations, "request "+id+" was forwarded with the unknown organisation "+tenant)
	}
}

// Runs returns how often a request was run.
func (p *Platform) Runs(id string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.runs[id]
}

// StopTimeout is the time between SIGTERM and SIGKILL of daemons.
const StopTimeout = 4 * time.Second

// settingsTemplate is the text of a settings file.
const settingsTemplate = `NodeName: %q
Role: "entry"
Ip: "127.0.0.1"
Zone: %q
Listen:
  Front: "127.0.0.1:%d"
  Ready: "127.0.0.1:%d"
PortRange:
  - %d
  - %d
Bootstrap: true
Limits:
  MaxFds: 4100
HeartbeatMs: 300
Bounds:
  ContactMs: 900
  ConfigApplyMs: 2000
  RevokeMs: 5000
  StrictRevoke: true
  DrainMs: 2000
  GraceS: %g
  RetryRatio: %g
  RetryWindowS: %g
  RetryBurst: %d
  StallMs: 1500
  CeilingWindowS: 5
  CeilingExcess: 1.1
  ColdExcess: 1.5
  ColdSlack: 5
  EvacuateMs: 1500
Platform:
  Address: %q
`

// lastPort returns the last port of the range that begins with a daemon's port for relays; 0 means
// any free port.
func lastPort(relayPort int) int {
	if relayPort == 0 {
		return 0
	}
	return relayPort + 1
}

// WriteSettings writes the settings file of a daemon and returns its path. A port of 0 makes
// the daemon choose a free port. The port after relayPort must be free too.
func (p *Platform) WriteSettings(name string, clientPort, readyPort, relayPort int) (string, error) {
	return p.WriteSettingsWithStore(name, p.Store.address, clientPort, readyPort, relayPort)
}

// WriteSettingsWithStore writes the settings file of a daemon that reaches the store by the
// given address, such as that of a proxy.
func (p *Platform) WriteSettingsWithStore(name, storeAddress string, clientPort, readyPort, relayPort int) (string, error) {
	path := filepath.Join(p.settingsDir, name+".yaml")
	text := fmt.Sprintf(settingsTemplate, name, Zone(0), clientPort, readyPort, relayPort, lastPort(relayPort), StopTimeout.Seconds(), RetryShare, RetryWindow.Seconds(), RetryBurst, storeAddress)
	const fileMode = 0o600
	return path, errors.Wrapf(os.WriteFile(path, []byte(text), fileMode), "write settings of %s", name)
}
