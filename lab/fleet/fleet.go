// Package fleet simulates a fleet of daemons in one goroutine. It runs the real controllers of
// package control against an in-memory table and fake backend servers; only I/O is simulated.
// Stateful tests inject failures and check Violations, which the oracle fills. Package
// measures uses the simulation as well. The simulation must run on the paused clock of
// testing/synctest.
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

const (
	// Tick is the interval between two simulation steps.
	Tick = 250 * time.Millisecond
	// Zones is the number of zones, each with two fabric domains.
	Zones = 3

	defaultLoadTime = 2 * time.Second
	maxOrderDelay   = 2 * time.Second
)

// StoreFault is the fault that one daemon encounters when it accesses the store.
type StoreFault int

const (
	// StoreHealthy means that the store works.
	StoreHealthy StoreFault = iota
	// StoreDown means that the store rejects every operation before it is executed.
	StoreDown
	// StoreLosesAnswers means that the store executes a commit but the daemon receives no
	// answer.
	StoreLosesAnswers
	// StoreDelaysCommits means that the store executes a commit late, and that the daemon
	// receives no answer.
	StoreDelaysCommits
)

// SimulatedDaemon is one simulated daemon.
type SimulatedDaemon struct {
	Controller *control.Controller
	StoreFault StoreFault
	Paused     bool
	// Partitioned daemons exchange nothing with other daemons.
	Partitioned    bool
	scannedVersion uint64
	polledAt       time.Time
	peerPositions  map[string]int
	pendingCommits []pendingCommit
	queuedOrders   []control.OutgoingOrder
	configVersion  uint64
}

// pendingCommit is a commit with an unknown outcome.
type pendingCommit struct {
	commit   control.Commit
	marker   string
	attempts int
}

// orderInFlight is an order that has not reached its server yet.
type orderInFlight struct {
	outgoing  control.OutgoingOrder
	arrivesAt time.Time
}

// delayedCommit is a transaction that reaches the store late.
type delayedCommit struct {
	transaction table.Transaction
	arrivesAt   time.Time
}

// peerExchange is what one daemon read from another. It can be redelivered later.
type peerExchange struct {
	receiver *SimulatedDaemon
	rows     []table.Row
	reports  []contact.Report
	evidence []presence.Evidence
}

// Fleet is a simulated fleet with its store, its backend servers and its daemons.
type Fleet struct {
	settings Settings
	store    *tablestore.Memory
	// StoreUnavailable makes the store unavailable to all daemons.
	StoreUnavailable bool
	Servers          map[string]*Server
	VMIDs            []string
	// VMList is the platform's VM list, by id.
	VMList          map[string]vm.VM
	Daemons         []*SimulatedDaemon
	ordersInFlight  []orderInFlight
	delayedCommits  []delayedCommit
	pastExchanges   []peerExchange
	daemonsStarted  int
	lastTransaction int
	// DrawDelay draws the delay of an order or of a delayed transaction, up to a limit.
	DrawDelay func(limit time.Duration) time.Duration
	// acceptedAt holds the time when each configuration was first observed as accepted.
	acceptedAt map[uint64]time.Time
	// Violations holds the violations that the oracle found.
	Violations []string
}

// faultyStore is the store with the faults of one daemon.
type faultyStore struct {
	fleet  *Fleet
	daemon *SimulatedDaemon
}

// Commit commits a transaction, subject to the daemon's store fault.
func (f faultyStore) Commit(ctx context.Context, transaction table.Transaction) (uint64, error) {
	switch {
	case f.fleet.StoreUnavailable || f.daemon.StoreFault == StoreDown:
		return 0, table.ErrUnavailable
	case f.daemon.StoreFault == StoreLosesAnswers:
		_, _ = f.fleet.store.Commit(ctx, transaction)
		return 0, table.ErrUnknown
	case f.daemon.StoreFault == StoreDelaysCommits:
		f.fleet.delayedCommits = append(f.fleet.delayedCommits, delayedCommit{
			transaction: transaction,
			arrivesAt:   time.Now().Add(f.fleet.DrawDelay(20 * time.Second)),
		})
		return 0, table.ErrUnknown
	default:
		return f.fleet.store.Commit(ctx, transaction)
	}
}

// Read reads a row, unless the store is unavailable.
func (f faultyStore) Read(ctx context.Context, key string) (table.Row, error) {
	if f.fleet.StoreUnavailable || f.daemon.StoreFault == StoreDown {
		return table.Row{}, table.ErrUnavailable
	}
	return f.fleet.store.Read(ctx, key)
}

// Scan scans the rows, unless the store is unavailable.
func (f faultyStore) Scan(ctx context.Context, request table.ScanRequest) (table.ScanResult, error) {
	if f.fleet.StoreUnavailable || f.daemon.StoreFault == StoreDown {
		return table.ScanResult{}, table.ErrUnavailable
	}
	return f.fleet.store.Scan(ctx, request)
}

// Settings configure a fleet. LoadTime and Repairer have defaults for the stateful tests.
type Settings struct {
	Daemons      int
	VMsPerDomain int
	ChecksOrders bool
	// LoadTime is how long a server takes to load a model.
	LoadTime time.Duration
	// Repairer is the repair policy of every daemon.
	Repairer control.Repairer
}

// New returns a fleet with settings.Daemons daemons and two fabric domains in each zone.
func New(settings Settings) *Fleet {
	if settings.LoadTime == 0 {
		settings.LoadTime = defaultLoadTime
	}
	if settings.Repairer == nil {
		settings.Repairer = placement.CostBased{}
	}
	created := &Fleet{
		settings:   settings,
		store:      &tablestore.Memory{},
		Servers:    map[string]*Server{},
		VMList:     map[string]vm.VM{},
		acceptedAt: map[uint64]time.Time{},
		DrawDelay: func(time.Duration) time.Duration {
			return Tick
		},
	}
	for zone := range Zones {
		for domain := range 2 {
			for index := range settings.VMsPerDomain {
				listed := vm.VM{
					ID:           fmt.Sprintf("z%d-d%d-%d", zone, domain, index),
					Zone:         fmt.Sprintf("z%d", zone),
					Domain:       fmt.Sprintf("z%d-d%d", zone, domain),
					Address:      fmt.Sprintf("10.0.%d.%d:1", zone, domain*100+index),
					Accelerators: 8,
					State:        vm.Live,
					ChecksOrders: settings.ChecksOrders,
				}
				created.VMIDs = append(created.VMIDs, listed.ID)
				created.VMList[listed.ID] = listed
				created.Servers[listed.ID] = &Server{
					loadTime:     settings.LoadTime,
					VM:           listed,
					lastLoadedAt: map[string]time.Time{},
				}
			}
		}
	}
	created.store.OnCommit = created.checkCommit
	for range settings.Daemons {
		created.AddDaemon()
	}
	return created
}

// AddDaemon starts a daemon.
func (f *Fleet) AddDaemon() {
	f.daemonsStarted++
	controller := control.New(roster.Daemon{
		ID:          fmt.Sprintf("daemon-%02d", f.daemonsStarted),
		Zone:        fmt.Sprintf("z%d", f.daemonsStarted%Zones),
		PeerAddress: fmt.Sprintf("10.1.0.%d:1", f.daemonsStarted),
	})
	controller.SetRepairer(f.settings.Repairer)
	f.Daemons = append(f.Daemons, &SimulatedDaemon{
		Controller:    controller,
		peerPositions: map[string]int{},
	})
}

// NewDeclaration returns the declaration that the tests use.
func NewDeclaration(replicas map[string]int, version string) declaration.Declaration {
	declared := declaration.Declaration{
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
		declared.Zones = append(declared.Zones, declaration.Zone{
			Name: fmt.Sprintf("z%d", zone),
			Site: fmt.Sprintf("s%d", zone),
		})
	}
	return declared
}

// ----------------------------------------------------------------------------
// Time

// Run advances the simulation by d, one tick at a time.
func (f *Fleet) Run(d time.Duration) {
	for range d / Tick {
		time.Sleep(Tick)
		f.step()
	}
}

// step runs one simulation step of all servers, orders and daemons, then checks the
// invariants.
func (f *Fleet) step() {
	now := time.Now()
	for _, id := range f.VMIDs {
		f.Servers[id].advance(now)
	}
	f.deliver(now)
	for _, daemon := range f.Daemons {
		if !daemon.Paused {
			f.stepDaemon(daemon, now)
		}
	}
	f.checkServing(now)
	f.checkLeases()
	f.checkConfiguration(now)
}

// deliver delivers the orders and delayed transactions that are due.
func (f *Fleet) deliver(now time.Time) {
	var inFlight []orderInFlight
	for _, arriving := range f.ordersInFlight {
		if now.Before(arriving.arrivesAt) {
			inFlight = append(inFlight, arriving)
			continue
		}
		if target := f.Servers[arriving.outgoing.VM]; target.isAnswering() {
			f.checkOrder(target, arriving.outgoing.Order)
			target.applyOrder(arriving.outgoing.Order)
		}
	}
	f.ordersInFlight = inFlight
	var waiting []delayedCommit
	for _, arriving := range f.delayedCommits {
		if now.Before(arriving.arrivesAt) {
			waiting = append(waiting, arriving)
			continue
		}
		_, _ = f.store.Commit(context.Background(), arriving.transaction)
	}
	f.delayedCommits = waiting
}
