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

	"headcourse/platform/wire"
)

// Figures of the stand-in: a real deployment's, made quick.
const (
	slots          = 26
	loadTime       = 120 * time.Millisecond
	workTime       = 5 * time.Millisecond
	eventTime      = 10 * time.Millisecond
	stallTime      = 1500 * time.Millisecond
	lapse          = 700 * time.Millisecond
	tokensPerEvent = 5
	// leaveTime is how long a leaving server still serves.
	leaveTime = 2500 * time.Millisecond
)

// zones are the availability zones: daemons are in the first one, servers in as many as the
// stand-in is made with.
var zones = []string{"lab-a", "lab-b", "lab-c"}

// Zone returns the name of a zone by its number.
func Zone(number int) string {
	return zones[number%len(zones)]
}

// Names that the stand-in's configuration uses.
const (
	Host         = "water.example"
	KeyOne       = "key-of-cuenca"
	KeyTwo       = "key-of-loja"
	ServicePlain = "board"
	ServiceModel = "engines"
	ModelLarge   = "large"
	ModelSmall   = "small"
	PathSafe     = "/status/"
	PathUnsafe   = "/orders/"
	PathLarge    = "/large/"
	PathSmall    = "/small/"
)

// Platform is the stand-in as a whole. Use Start.
type Platform struct {
	Store *Store

	// mutex is taken after those of servers, never before: servers that carry out orders hold
	// their own while they call the platform.
	mutex   sync.Mutex
	orders  sync.Mutex
	servers map[string]*Server
	next    int
	config  wire.Config
	ready   map[string]bool
	runs    map[string]int
	// crashes counts the servers that crashed, by the path of the request.
	crashes map[string]int
	// restarts are the starts of crashed servers that are due.
	restarts sync.WaitGroup
	broken   []string
	// promises are what servers said to daemons about further requests.
	promises promises
	// evacuated are the zones that the operator has evacuated.
	evacuated evacuations
	dir       string
	lead      func(address string) (string, error)
}

// Size is how large a stand-in is.
type Size struct {
	Domains   int
	PerDomain int
	Plain     int
	// Zones is in how many zones the domains, and the plain servers, are in turn; 0: in one.
	Zones int
	// Lead, if set, returns the address by which others reach a server that
	// listens at address, such as that of a proxy.
	Lead func(address string) (string, error)
}

// zone returns the zone of a domain or plain server by its number.
func (s Size) zone(number int) string {
	return Zone(number % max(1, s.Zones))
}

// Start starts a platform whose settings files are written into dir.
func Start(dir string, size Size) (*Platform, error) {
	store, err := startStore()
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Store:   store,
		servers: map[string]*Server{},
		ready:   map[string]bool{},
		runs:    map[string]int{},
		crashes: map[string]int{},
		dir:     dir,
		lead:    size.Lead,
		config:  withColdStarts(firstConfig()),
	}
	p.writeConfig()
	for d := range size.Domains {
		for range size.PerDomain {
			if err = p.startServer(ServiceModel, fmt.Sprintf("rack-%d", d), size.zone(d)); err != nil {
				return nil, err
			}
		}
	}
	for i := range size.Plain {
		if err = p.startServer(ServicePlain, "", size.zone(i)); err != nil {
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
	for _, server := range p.Servers(ServicePlain) {
		_ = server.http.Close()
	}
	_ = p.Store.server.Close()
}

// firstConfig returns the configuration that the platform starts with.
func firstConfig() wire.Config {
	route := func(path, kind, service string) wire.Route {
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
	unsafe := route(PathUnsafe, wire.KindUnsafe, ServicePlain)
	unsafe.MaxAttempts = 1
	model := func(name string, size int, share float64) wire.Model {
		return wire.Model{
			Name:    name,
			Size:    size,
			Share:   share,
			Pace:    1,
			LoadS:   loadTime.Seconds(),
			WarmupS: loadTime.Seconds(),
		}
	}
	return wire.Config{
		Version: 1,
		Routes: []wire.Route{
			route(PathSafe, wire.KindSafe, ServicePlain),
			unsafe,
			route(PathLarge, wire.KindStream, ServiceModel),
			route(PathSmall, wire.KindStream, ServiceModel),
		},
		Services: []wire.Service{
			{
				Name:     ServicePlain,
				MaxConns: 100,
			},
			{
				Name:     ServiceModel,
				MaxConns: 400,
				Engine: &wire.Engine{
					Capacity: slots,
					Models: []wire.Model{
						model(ModelLarge, 4, 0.67),
						model(ModelSmall, 2, 0.33),
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
				APIKeys: []string{KeyOne},
			},
			{
				Name:    "loja",
				APIKeys: []string{KeyTwo},
			},
		},
	}
}

// writeConfig writes the configuration's row.
func (p *Platform) writeConfig() {
	encoded, err := json.Marshal(p.config)
	if err != nil {
		p.violate("encode configuration: " + err.Error())
		return
	}
	p.Store.put(wire.TableConfig, wire.KeyConfig, encoded)
}

// ChangeConfig changes the configuration and raises its version.
func (p *Platform) ChangeConfig(change func(config *wire.Config)) {
	p.mutex.Lock()
	change(&p.config)
	p.config.Version++
	p.mutex.Unlock()
	p.writeConfig()
}

// WriteRawConfig writes something that may be no configuration.
func (p *Platform) WriteRawConfig(value string) {
	p.Store.put(wire.TableConfig, wire.KeyConfig, []byte(value))
}

// Servers returns the servers of a service that live, by id.
func (p *Platform) Servers(service string) []*Server {
	return slices.DeleteFunc(p.started(service), (*Server).dead)
}

// started returns all servers of a service that were ever started, by id.
func (p *Platform) started(service string) []*Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var all []*Server
	for n := 1; n <= p.next; n++ {
		server, ok := p.servers[fmt.Sprintf("i-%04d", n)]
		if ok && server.service == service {
			all = append(all, server)
		}
	}
	return all
}

// dead tells whether the server was killed.
func (s *Server) dead() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isDead
}

// Heads returns the heads of the open, whole groups of a model.
func (p *Platform) Heads(model string) []*Server {
	var heads []*Server
	for _, server := range p.Servers(ServiceModel) {
		server.mutex.Lock()
		group, models := server.state.Group, server.state.Models
		server.mutex.Unlock()
		isOpen := group != nil && group.Rank == 0 && group.State == "open"
		if isOpen && len(models) > 0 && models[0].Name == model && p.isWhole(server) {
			heads = append(heads, server)
		}
	}
	return heads
}

// Members returns the servers of a head's group.
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

// isWhole tells whether all members of a head's group live and are in it.
func (p *Platform) isWhole(head *Server) bool {
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
		own, isDead := member.state.Group, member.isDead
		member.mutex.Unlock()
		if isDead || own == nil || own.Name != group.Name || own.Epoch != group.Epoch {
			return false
		}
	}
	return true
}

// Violate notes something that a caller saw and that must never happen.
func (p *Platform) Violate(what string) {
	p.violate(what)
}

// StartLike starts an empty server of the service and the domain of another.
func (p *Platform) StartLike(former *Server) error {
	return p.startServer(former.service, former.domain, former.state.Zone)
}

// violate notes something that must never happen.
func (p *Platform) violate(what string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.broken = append(p.broken, what)
}

// Violations returns what must never happen and did.
func (p *Platform) Violations() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]string{}, p.broken...)
}

// noteReady notes that a member was ready under a group's name and epoch.
func (p *Platform) noteReady(id, group string, epoch int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ready[fmt.Sprintf("%s %s %d", id, group, epoch)] = true
}

// checkReady notes a head that opens before all members were ready.
func (p *Platform) checkReady(head *Server) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	group := head.state.Group
	for _, id := range head.members {
		if !p.ready[fmt.Sprintf("%s %s %d", id, group.Name, group.Epoch)] {
			p.broken = append(p.broken, fmt.Sprintf("group %s opened, but %s was never ready in it", group.Name, id))
		}
	}
}

// checkFree notes a server that joins while the head of its group serves.
func (p *Platform) checkFree(s *Server) {
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
	own, isDead := head.state.Group, head.isDead
	head.mutex.Unlock()
	if !isDead && own != nil && own.Name == group.Name && own.Epoch == group.Epoch && own.State == "open" {
		p.violate(fmt.Sprintf("%s joined another group while its head %s served", s.id, head.id))
	}
}

// noteRun notes that a server runs a request, and what is wrong with it.
func (p *Platform) noteRun(s *Server, r *http.Request, id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runs[id]++
	isUnsafe := len(r.URL.Path) >= len(PathUnsafe) && r.URL.Path[:len(PathUnsafe)] == PathUnsafe
	if isUnsafe && p.runs[id] > 1 {
		p.broken = append(p.broken, "request "+id+" may not be repeated and ran again at "+s.id)
	}
	if r.Header.Get(wire.HeaderKey) != "" {
		p.broken = append(p.broken, "request "+id+" came with its key")
	}
	if tenant := r.Header.Get(wire.HeaderTenant); tenant != "cuenca" && tenant != "loja" {
		p.broken = append(p.broken, "request "+id+" came for organisation "+tenant)
	}
}

// Runs returns how often a request was run.
func (p *Platform) Runs(id string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.runs[id]
}

// settingsText is a settings file as the platform writes it.
const settingsText = `NodeName: %q
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
  GraceS: 4
  RetryRatio: 0.2
  RetryWindowS: 10
  RetryBurst: 100
  StallMs: 1500
  CeilingWindowS: 5
  CeilingExcess: 1.1
  ColdExcess: 1.5
  ColdSlack: 5
  EvacuateMs: 1500
Platform:
  Address: %q
`

// WriteSettings writes the settings file of a daemon and returns its path. Ports
// of 0 let the daemon pick free ones.
func (p *Platform) WriteSettings(name string, clients, ready, relay int) (string, error) {
	return p.WriteSettingsFor(name, p.Store.address, clients, ready, relay)
}

// WriteSettingsFor is WriteSettings for a daemon that reaches the store by another
// address, such as that of a proxy.
func (p *Platform) WriteSettingsFor(name, store string, clients, ready, relay int) (string, error) {
	path := filepath.Join(p.dir, name+".yaml")
	text := fmt.Sprintf(settingsText, name, Zone(0), clients, ready, relay, relay, store)
	const readable = 0o600
	return path, errors.Wrapf(os.WriteFile(path, []byte(text), readable), "write settings of %s", name)
}
