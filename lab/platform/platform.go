// Package platform runs the stand-ins of one deployment in one process: the table service, the
// VM list, the weight store, and a backend server for each VM. The table service, the VM list
// and each backend server listen on addresses of their own, so that daemons in other processes
// can use them.
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

// Settings configures the stand-ins.
type Settings struct {
	VMs []vm.VM
	// TableAddress and VMListAddress are IP:port; empty means a free port of the loopback
	// address.
	TableAddress  string
	VMListAddress string
	// VMListDelay is the delay until a change shows in the VM list.
	VMListDelay time.Duration
	// Slots is the number of requests that an engine runs at once. LoadTime, FirstTokenDelay
	// and TokenInterval are the times that it takes to load a model, to answer with the first
	// token, and for each further token.
	Slots           int
	LoadTime        time.Duration
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	// ServiceTime is the time that a plain service takes for a request.
	ServiceTime time.Duration
	// LoadsPerSecond and LoadBurst are the rate and the burst of loads from the weight store.
	LoadsPerSecond float64
	LoadBurst      int
}

// anyLoopbackPort makes a listener choose a free port of the loopback address.
const anyLoopbackPort = "127.0.0.1:0"

// Platform is a running set of stand-ins. Use Start.
type Platform struct {
	Table       *tablestore.Memory
	TableFaults *fault.Switch
	VMList      *vmlist.List
	Engines     map[string]*engine.Engine
	Services    map[string]*plainservice.Service
	VMs         []vm.VM

	table  *server.Server
	vmList *server.Server
}

// Start starts the stand-ins.
func Start(settings Settings) (*Platform, error) {
	p := &Platform{
		Table:       &tablestore.Memory{},
		TableFaults: &fault.Switch{},
		Engines:     map[string]*engine.Engine{},
		Services:    map[string]*plainservice.Service{},
	}
	weights := weightstore.New(settings.LoadsPerSecond, settings.LoadBurst)
	for _, listedVM := range settings.VMs {
		if err := p.startVM(settings, listedVM, weights); err != nil {
			p.Stop()
			return nil, err
		}
	}
	p.VMList = vmlist.New(settings.VMListDelay, p.VMs)
	var err error
	p.table, err = server.Start(addressOrAnyPort(settings.TableAddress), p.TableFaults.Wrap(tablestore.Handler(p.Table)))
	if err == nil {
		p.vmList, err = server.Start(addressOrAnyPort(settings.VMListAddress), vmlist.Handler(p.VMList))
	}
	if err != nil {
		p.Stop()
		return nil, errors.Wrap(err, "start platform")
	}
	return p, nil
}

// addressOrAnyPort returns the address, or anyLoopbackPort if it is empty.
func addressOrAnyPort(address string) string {
	if address == "" {
		return anyLoopbackPort
	}
	return address
}

// startVM starts the backend server of one VM.
func (p *Platform) startVM(settings Settings, listedVM vm.VM, weights *weightstore.Store) error {
	address := addressOrAnyPort(listedVM.Address)
	if listedVM.Service != "" {
		running, err := plainservice.Start(listedVM.ID, address, settings.ServiceTime)
		if err != nil {
			return err
		}
		p.Services[listedVM.ID] = running
		listedVM.Address = running.Address()
		p.VMs = append(p.VMs, listedVM)
		return nil
	}
	running, err := engine.Start(engine.Settings{
		VM:              listedVM.ID,
		Address:         address,
		ChecksOrders:    listedVM.ChecksOrders,
		Slots:           settings.Slots,
		LoadTime:        settings.LoadTime,
		FirstTokenDelay: settings.FirstTokenDelay,
		TokenInterval:   settings.TokenInterval,
		Weights:         weights,
	})
	if err != nil {
		return err
	}
	p.Engines[listedVM.ID] = running
	listedVM.Address = running.Address()
	p.VMs = append(p.VMs, listedVM)
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

// EnginesInDomain returns the engines of a fabric domain, by VM ID.
func (p *Platform) EnginesInDomain(name string) map[string]*engine.Engine {
	engines := map[string]*engine.Engine{}
	for _, listedVM := range p.VMs {
		if listedVM.Domain == name {
			engines[listedVM.ID] = p.Engines[listedVM.ID]
		}
	}
	return engines
}

// EngineRuns returns how often the engines ran each request, by request ID.
func (p *Platform) EngineRuns() map[string]int {
	runs := map[string]int{}
	for _, running := range p.Engines {
		for id, count := range running.Ledger() {
			runs[id] += count
		}
	}
	return runs
}

// ServiceRuns returns how often the plain services ran each request, by method, path and body.
func (p *Platform) ServiceRuns() map[string]int {
	runs := map[string]int{}
	for _, running := range p.Services {
		for key, count := range running.Ledger() {
			runs[key] += count
		}
	}
	return runs
}
