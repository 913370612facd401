// Package fleet plays a fleet of daemons in one goroutine on the runtime's
// clock: the real controllers of package control, a table in memory, and fake
// backend servers. Only I/O is faked. Stateful tests bring about failures in
// it and look at Broken, which the oracle fills; the measures are taken in it
// as well. It is to be used on a paused clock.
package fleet

import (
	"context"
	"fmt"
	"time"

	"headcourse/core/contact"
	"headcourse/core/control"
	"headcourse/core/declaration"
	"headcourse/core/placement"
	"headcourse/core/presence"
	"headcourse/core/roster"
	"headcourse/core/table"
	"headcourse/core/vm"
	"headcourse/lab/tablestore"
)

// Figures of the fleet.
const (
	// Tick is the time between two rounds of everything.
	Tick = 250 * time.Millisecond
	// Zones is the number of zones, each with two fabric domains.
	Zones = 3

	loadTime  = 2 * time.Second
	maxTravel = 2 * time.Second
)

// StoreFault is what is wrong with the store, as one daemon sees it.
type StoreFault int

const (
	// StoreFine is: nothing is wrong.
	StoreFine StoreFault = iota
	// StoreDown is: refused before anything is done.
	StoreDown
	// StoreLosesAnswers is: done, but the daemon does not hear of it.
	StoreLosesAnswers
	// StoreDelays is: done later, or never, and the daemon does not hear of it.
	StoreDelays
)

// Host is one daemon of the fleet.
type Host struct {
	Controller *control.Controller
	Fault      StoreFault
	Paused     bool
	CutOff     bool
	after      uint64
	polledAt   time.Time
	positions  map[string]int
	pending    []pendingCommit
	sends      []control.Send
	config     uint64
}

// pendingCommit is a commit whose outcome the daemon does not know yet.
type pendingCommit struct {
	commit control.Commit
	marker string
	tries  int
}

// travelling is an order on its way.
type travelling struct {
	send    control.Send
	arrives time.Time
}

// delayed is a transaction that reaches the store late.
type delayed struct {
	transaction table.Transaction
	arrives     time.Time
}

// heard is what one daemon once said to another, which may hear it again later.
type heard struct {
	by       *Host
	rows     []table.Row
	reports  []contact.Report
	evidence []presence.Evidence
}

// Fleet is everything.
type Fleet struct {
	settings Settings
	memory   *tablestore.Memory
	StoreOut bool
	Servers  map[string]*Server
	IDs      []string
	List     map[string]vm.VM
	Hosts    []*Host
	orders   []travelling
	late     []delayed
	heard    []heard
	born     int
	numbered int
	// delay draws how long an order or a delayed transaction travels.
	Delay func(limit time.Duration) time.Duration
	// accepted holds when each configuration was first seen accepted.
	accepted map[uint64]time.Time
	Broken   []string
}

// fault is the store as one daemon reaches it.
type faultyStore struct {
	fleet *Fleet
	host  *Host
}

// Commit commits as the daemon's fault lets it.
func (f faultyStore) Commit(ctx context.Context, transaction table.Transaction) (uint64, error) {
	switch {
	case f.fleet.StoreOut || f.host.Fault == StoreDown:
		return 0, table.ErrUnavailable
	case f.host.Fault == StoreLosesAnswers:
		_, _ = f.fleet.memory.Commit(ctx, transaction)
		return 0, table.ErrUnknown
	case f.host.Fault == StoreDelays:
		f.fleet.late = append(f.fleet.late, delayed{
			transaction: transaction,
			arrives:     time.Now().Add(f.fleet.Delay(20 * time.Second)),
		})
		return 0, table.ErrUnknown
	default:
		return f.fleet.memory.Commit(ctx, transaction)
	}
}

// Read reads unless the store cannot be reached.
func (f faultyStore) Read(ctx context.Context, key string) (table.Row, error) {
	if f.fleet.StoreOut || f.host.Fault == StoreDown {
		return table.Row{}, table.ErrUnavailable
	}
	return f.fleet.memory.Read(ctx, key)
}

// Scan scans unless the store cannot be reached.
func (f faultyStore) Scan(ctx context.Context, request table.ScanRequest) (table.ScanResult, error) {
	if f.fleet.StoreOut || f.host.Fault == StoreDown {
		return table.ScanResult{}, table.ErrUnavailable
	}
	return f.fleet.memory.Scan(ctx, request)
}

// Settings are the properties of a fleet. Fields left out have the defaults of
// the stateful tests.
type Settings struct {
	Daemons      int
	VMsPerDomain int
	ChecksOrders bool
	// LoadTime is how long a server loads a model.
	LoadTime time.Duration
	// Repairer is the repair policy of every daemon.
	Repairer control.Repairer
}

// New returns a fleet of daemons before zones with two domains each.
func New(settings Settings) *Fleet {
	if settings.LoadTime == 0 {
		settings.LoadTime = loadTime
	}
	if settings.Repairer == nil {
		settings.Repairer = placement.Weighed{}
	}
	made := &Fleet{
		settings: settings,
		memory:   &tablestore.Memory{},
		Servers:  map[string]*Server{},
		List:     map[string]vm.VM{},
		accepted: map[uint64]time.Time{},
		Delay: func(time.Duration) time.Duration {
			return Tick
		},
	}
	for zone := range Zones {
		for domain := range 2 {
			for number := range settings.VMsPerDomain {
				listed := vm.VM{
					ID:           fmt.Sprintf("z%d-d%d-%d", zone, domain, number),
					Zone:         fmt.Sprintf("z%d", zone),
					Domain:       fmt.Sprintf("z%d-d%d", zone, domain),
					Address:      fmt.Sprintf("10.0.%d.%d:1", zone, domain*100+number),
					Accelerators: 8,
					State:        vm.Live,
					ChecksOrders: settings.ChecksOrders,
				}
				made.IDs = append(made.IDs, listed.ID)
				made.List[listed.ID] = listed
				made.Servers[listed.ID] = &Server{
					loadTime: settings.LoadTime,
					VM:       listed,
					goodAt:   map[string]time.Time{},
				}
			}
		}
	}
	made.memory.OnCommit = made.checkCommit
	for range settings.Daemons {
		made.AddDaemon()
	}
	return made
}

// AddDaemon starts a daemon.
func (f *Fleet) AddDaemon() {
	f.born++
	born := control.New(roster.Daemon{
		ID:   fmt.Sprintf("daemon-%02d", f.born),
		Zone: fmt.Sprintf("z%d", f.born%Zones),
		Peer: fmt.Sprintf("10.1.0.%d:1", f.born),
	})
	born.RepairBy(f.settings.Repairer)
	f.Hosts = append(f.Hosts, &Host{
		Controller: born,
		positions:  map[string]int{},
	})
}

// Declared is the declaration of the tests.
func Declared(replicas map[string]int, version string) declaration.Declaration {
	made := declaration.Declaration{
		Deployment: "test",
		Weights: declaration.Weights{
			GroupDowntime:        10,
			StrandedAccelerators: 1,
		},
		Limits: declaration.Limits{
			ParallelLoads: 2,
		},
		Models: []declaration.Model{{
			Name:          "m",
			Version:       version,
			VMsPerReplica: 2,
			LoadTime:      "2s",
			Replicas:      replicas,
		}},
	}
	for zone := range Zones {
		made.Zones = append(made.Zones, declaration.Zone{
			Name: fmt.Sprintf("z%d", zone),
			Site: fmt.Sprintf("s%d", zone),
		})
	}
	return made
}

// ----------------------------------------------------------------------------
// Time

// Run lets d pass, a tick at a time.
func (f *Fleet) Run(d time.Duration) {
	for range d / Tick {
		time.Sleep(Tick)
		f.step()
	}
}

// step lets everything that runs do its work once.
func (f *Fleet) step() {
	now := time.Now()
	for _, id := range f.IDs {
		f.Servers[id].advance(now)
	}
	f.deliver(now)
	for _, one := range f.Hosts {
		if !one.Paused {
			f.stepHost(one, now)
		}
	}
	f.checkServing(now)
	f.checkLeases()
	f.checkConfiguration(now)
}

// deliver lets orders and late transactions arrive.
func (f *Fleet) deliver(now time.Time) {
	var onWay []travelling
	for _, one := range f.orders {
		if now.Before(one.arrives) {
			onWay = append(onWay, one)
			continue
		}
		if target := f.Servers[one.send.VM]; target.answers() {
			f.checkOrder(target, one.send.Order)
			target.obey(one.send.Order)
		}
	}
	f.orders = onWay
	var late []delayed
	for _, one := range f.late {
		if now.Before(one.arrives) {
			late = append(late, one)
			continue
		}
		_, _ = f.memory.Commit(context.Background(), one.transaction)
	}
	f.late = late
}
