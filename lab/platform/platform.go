// Package platform runs all stand-ins of one deployment in one process: the
// table service, the VM list, the weight store, and a backend server for each
// VM. Each listens on an address of its own, so that daemons in other
// processes can use it too.
package platform

import (
	"time"

	"github.com/pkg/errors"

	"headcourse/core/vm"
	"headcourse/lab/engine"
	"headcourse/lab/fault"
	"headcourse/lab/plainservice"
	"headcourse/lab/server"
	"headcourse/lab/tablestore"
	"headcourse/lab/vmlist"
	"headcourse/lab/weightstore"
)

// Settings are the properties of the stand-ins.
type Settings struct {
	VMs []vm.VM
	// TableAddress and VMListAddress are IP:port; empty picks a free port of
	// the loopback.
	TableAddress  string
	VMListAddress string
	// ListLag is how late the VM list shows changes.
	ListLag time.Duration
	// Slots, LoadTime, FirstToken and EachToken are those of every engine.
	Slots      int
	LoadTime   time.Duration
	FirstToken time.Duration
	EachToken  time.Duration
	// ServiceTime is how long plain services take.
	ServiceTime time.Duration
	// LoadsPerSecond is the weight store's rate, with LoadBurst at once.
	LoadsPerSecond float64
	LoadBurst      int
}

// anyPort is an address with a free port of the loopback.
const anyPort = "127.0.0.1:0"

// Platform is a running set of stand-ins. Use Start.
type Platform struct {
	Table       *tablestore.Memory
	TableFaults *fault.Switch
	List        *vmlist.List
	Engines     map[string]*engine.Engine
	Services    map[string]*plainservice.Service
	VMs         []vm.VM

	table  *server.Server
	vmList *server.Server
}

// Start starts the stand-ins.
func Start(settings Settings) (*Platform, error) {
	started := &Platform{
		Table:       &tablestore.Memory{},
		TableFaults: &fault.Switch{},
		Engines:     map[string]*engine.Engine{},
		Services:    map[string]*plainservice.Service{},
	}
	weights := weightstore.New(settings.LoadsPerSecond, settings.LoadBurst)
	for _, listed := range settings.VMs {
		if err := started.startVM(settings, listed, weights); err != nil {
			started.Stop()
			return nil, err
		}
	}
	started.List = vmlist.New(settings.ListLag, started.VMs)
	var err error
	started.table, err = server.Start(orAny(settings.TableAddress), started.TableFaults.Wrap(tablestore.Handler(started.Table)))
	if err == nil {
		started.vmList, err = server.Start(orAny(settings.VMListAddress), vmlist.Handler(started.List))
	}
	if err != nil {
		started.Stop()
		return nil, errors.Wrap(err, "start platform")
	}
	return started, nil
}

// orAny returns the address, or one with a free port.
func orAny(address string) string {
	if address == "" {
		return anyPort
	}
	return address
}

// startVM starts the backend server of one VM.
func (p *Platform) startVM(settings Settings, listed vm.VM, weights *weightstore.Store) error {
	address := orAny(listed.Address)
	if listed.Service != "" {
		running, err := plainservice.Start(listed.ID, address, settings.ServiceTime)
		if err != nil {
			return err
		}
		p.Services[listed.ID] = running
		listed.Address = running.Address()
		p.VMs = append(p.VMs, listed)
		return nil
	}
	running, err := engine.Start(engine.Settings{
		VM:           listed.ID,
		Address:      address,
		ChecksOrders: listed.ChecksOrders,
		Slots:        settings.Slots,
		LoadTime:     settings.LoadTime,
		FirstToken:   settings.FirstToken,
		EachToken:    settings.EachToken,
		Weights:      weights,
	})
	if err != nil {
		return err
	}
	p.Engines[listed.ID] = running
	listed.Address = running.Address()
	p.VMs = append(p.VMs, listed)
	return nil
}

// TableAddress returns the IP:port of the table service.
func (p *Platform) TableAddress() string {
	return p.table.Address()
}

// VMListAddress returns the IP:port of the VM list.
func (p *Platform) VMListAddress() string {
	return p.vmList.Address()
}

// Stop stops all stand-ins.
func (p *Platform) Stop() {
	for _, running := range p.Engines {
		running.Kill()
	}
	for _, running := range p.Services {
		running.Kill()
	}
	if p.table != nil {
		p.table.Kill()
	}
	if p.vmList != nil {
		p.vmList.Kill()
	}
}

// Domain returns the engines of a fabric domain, by VM.
func (p *Platform) Domain(name string) map[string]*engine.Engine {
	found := map[string]*engine.Engine{}
	for _, listed := range p.VMs {
		if listed.Domain == name {
			found[listed.ID] = p.Engines[listed.ID]
		}
	}
	return found
}

// RunsOf returns how often engines ran a request, over all of them.
func (p *Platform) RunsOf() map[string]int {
	runs := map[string]int{}
	for _, running := range p.Engines {
		for id, count := range running.Ledger() {
			runs[id] += count
		}
	}
	return runs
}

// ServiceRuns returns how often plain services ran each request.
func (p *Platform) ServiceRuns() map[string]int {
	runs := map[string]int{}
	for _, running := range p.Services {
		for id, count := range running.Ledger() {
			runs[id] += count
		}
	}
	return runs
}
