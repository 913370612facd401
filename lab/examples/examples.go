// Package examples holds the declarations of the two deployments at their size
// of today. The stand-ins and the demo use them, and operators may start from
// them.
package examples

import (
	"embed"
	"fmt"

	"github.com/pkg/errors"

	"headcourse/core/declaration"
	"headcourse/core/vm"
)

//go:embed *.yaml
var files embed.FS

// Deployment is a declaration and the VMs that the platform gives it.
type Deployment struct {
	File        declaration.File
	Declaration declaration.Declaration
	// DomainsPerZone and VMsPerDomain are the fabric domains of each zone.
	DomainsPerZone int
	VMsPerDomain   int
	Accelerators   int
	// ServersPerZone is the number of VMs of plain services in each zone.
	ServersPerZone int
	// Daemons is the number of entry VMs.
	Daemons int
}

// Names returns the names of the deployments.
func Names() []string {
	return []string{"caudal-andino", "valdeserna"}
}

// Load returns a deployment by its name.
func Load(name string) (Deployment, error) {
	content, err := files.ReadFile(name + ".yaml")
	if err != nil {
		return Deployment{}, errors.Errorf("deployment %q is not known; there are %v", name, Names())
	}
	file := declaration.File{
		Name:    name + ".yaml",
		Content: content,
	}
	declared, err := declaration.Parse([]declaration.File{file})
	if err != nil {
		return Deployment{}, err
	}
	deployment := Deployment{
		File:           file,
		Declaration:    declared,
		DomainsPerZone: 2,
		VMsPerDomain:   9,
		Accelerators:   8,
		ServersPerZone: 1,
		Daemons:        9,
	}
	if name == "valdeserna" {
		deployment.VMsPerDomain = 8
		deployment.Accelerators = 4
		deployment.Daemons = 8
	}
	return deployment, nil
}

// Key returns the key of an organisation or operator of the examples.
func Key(name string) string {
	return "demo-key-" + name
}

// WithScale returns the deployment with its fabric domains and replicas
// multiplied.
func (d Deployment) WithScale(scale int) Deployment {
	d.DomainsPerZone *= scale
	models := append([]declaration.Model(nil), d.Declaration.Models...)
	for i, model := range models {
		replicas := map[string]int{}
		for zone, count := range model.Replicas {
			replicas[zone] = count * scale
		}
		models[i].Replicas = replicas
	}
	d.Declaration.Models = models
	return d
}

// VMs returns the VMs of a deployment, without addresses.
func (d Deployment) VMs() []vm.VM {
	var vms []vm.VM
	for _, zone := range d.Declaration.Zones {
		for domain := range d.DomainsPerZone {
			for number := range d.VMsPerDomain {
				vms = append(vms, vm.VM{
					ID:           fmt.Sprintf("%s-d%d-%02d", zone.Name, domain+1, number+1),
					Zone:         zone.Name,
					Domain:       fmt.Sprintf("%s-d%d", zone.Name, domain+1),
					Accelerators: d.Accelerators,
					State:        vm.Live,
					ChecksOrders: true,
				})
			}
		}
		for number := range d.ServersPerZone {
			for _, service := range d.Declaration.Services {
				vms = append(vms, vm.VM{
					ID:      fmt.Sprintf("%s-%s-%d", zone.Name, service.Name, number+1),
					Zone:    zone.Name,
					Service: service.Name,
					State:   vm.Live,
				})
			}
		}
	}
	return vms
}
