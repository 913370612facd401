// Package examples holds the declarations of two deployments at their current size. The
// stand-ins and the demo use them, and operators can use them as templates.
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

// Deployment holds a declaration and the number and shape of its VMs.
type Deployment struct {
	File        declaration.File
	Declaration declaration.Declaration
	// DomainsPerZone is the number of fabric domains in each zone, and VMsPerDomain the number
	// of VMs in each domain.
	DomainsPerZone int
	VMsPerDomain   int
	Accelerators   int
	// ServersPerZone is the number of VMs in each zone for each plain service.
	ServersPerZone int
	// Daemons is the number of daemons, one on each entry VM.
	Daemons int
}

// Names returns the names of the deployments.
func Names() []string {
	return []string{"caudal-andino", "valdeserna"}
}

// Load returns the deployment with a name.
func Load(name string) (Deployment, error) {
	content, err := files.ReadFile(name + ".yaml")
	if err != nil {
		return Deployment{}, errors.Errorf("deployment %q does not exist; existing deployments: %v", name, Names())
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

// Key returns the API key of an organisation or operator of the examples.
func Key(name string) string {
	return "demo-key-" + name
}

// WithScale returns the deployment with its fabric domains and replicas multiplied by scale.
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

// VMs returns the VMs of the deployment, without addresses.
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
