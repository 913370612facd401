package plan

import (
	"sort"

	"github.com/pkg/errors"

	"headcourse/core/catalog"
	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/placement"
	"headcourse/core/vm"
)

// ConfigKey is the key of the row that holds the configuration in force.
const ConfigKey = catalog.Prefix + "config"

// Configuration is the value of the configuration's row.
type Configuration struct {
	Revision    uint64                  `json:"revision"`
	Operator    string                  `json:"operator"`
	Declaration declaration.Declaration `json:"declaration"`
}

// World is the fleet as plans and repairs see it.
type World struct {
	Catalog       catalog.Catalog
	Configuration Configuration
	Groups        []group.Record
	Claims        map[string]vm.Claim
	VMs           []vm.VM
	Closed        map[string]bool
}

// WorldOf reads the world out of a catalog and the VM list.
func WorldOf(rows catalog.Catalog, vms []vm.VM) (World, error) {
	world := World{
		Catalog: rows,
		Claims:  map[string]vm.Claim{},
		VMs:     append([]vm.VM(nil), vms...),
		Closed:  map[string]bool{},
	}
	if row := rows.Row(ConfigKey); row.Version != 0 {
		if err := row.Decode(&world.Configuration); err != nil {
			return world, err
		}
	}
	for _, row := range rows.Under(group.KeyPrefix) {
		var record group.Record
		if err := row.Decode(&record); err != nil {
			return world, err
		}
		world.Groups = append(world.Groups, record)
	}
	for _, row := range rows.Under(vm.KeyPrefix) {
		var claim vm.Claim
		if err := row.Decode(&claim); err != nil {
			return world, err
		}
		world.Claims[row.Key[len(vm.KeyPrefix):]] = claim
	}
	for _, row := range rows.Under(ZoneKeyPrefix) {
		var zone Zone
		if err := row.Decode(&zone); err != nil {
			return world, err
		}
		world.Closed[row.Key[len(ZoneKeyPrefix):]] = zone.Closed
	}
	sort.Slice(world.VMs, func(i, j int) bool {
		return world.VMs[i].ID < world.VMs[j].ID
	})
	return world, nil
}

// Group returns the record of a group.
func (w World) Group(name string) (group.Record, bool) {
	for _, record := range w.Groups {
		if record.Name == name {
			return record, true
		}
	}
	return group.Record{}, false
}

// VM returns a listed VM.
func (w World) VM(id string) (vm.VM, bool) {
	index := sort.Search(len(w.VMs), func(i int) bool {
		return w.VMs[i].ID >= id
	})
	if index == len(w.VMs) || w.VMs[index].ID != id {
		return vm.VM{}, false
	}
	return w.VMs[index], true
}

// Domains returns the fabric domains of open zones with their free VMs. A VM
// for which isSuspect is true counts as not free; isSuspect may be nil.
func (w World) Domains(isSuspect func(vm string) bool) []placement.Domain {
	index := map[string]int{}
	var domains []placement.Domain
	for _, listed := range w.VMs {
		if listed.Domain == "" || w.Closed[listed.Zone] {
			continue
		}
		at, ok := index[listed.Domain]
		if !ok {
			at = len(domains)
			index[listed.Domain] = at
			domains = append(domains, placement.Domain{
				Name: listed.Domain,
				Zone: listed.Zone,
			})
		}
		suspect := isSuspect != nil && isSuspect(listed.ID)
		if listed.State == vm.Live && w.Claims[listed.ID].Free() && !suspect {
			domains[at].Free = append(domains[at].Free, listed)
		}
	}
	for _, record := range w.Groups {
		if at, ok := index[record.Domain]; ok && len(record.Members) > 0 {
			domains[at].Groups++
		}
	}
	return domains
}

// ZonesFor returns the open zones that a group of the model may be in: first
// the preferred one, then those the model is declared in, then the others.
func (w World) ZonesFor(model declaration.Model, preferred string) []string {
	var zones []string
	add := func(name string) {
		for _, known := range zones {
			if known == name {
				return
			}
		}
		if name != "" && !w.Closed[name] {
			zones = append(zones, name)
		}
	}
	add(preferred)
	for _, zone := range w.Configuration.Declaration.Zones {
		if model.Replicas[zone.Name] > 0 {
			add(zone.Name)
		}
	}
	for _, zone := range w.Configuration.Declaration.Zones {
		add(zone.Name)
	}
	return zones
}

// Floor returns the highest generation that any of the VMs was claimed at.
func (w World) Floor(members []group.Member) uint64 {
	floor := uint64(0)
	for _, member := range members {
		floor = max(floor, w.Claims[member.VM].Generation)
	}
	return floor
}

// MembersOf turns listed VMs into members.
func MembersOf(vms []vm.VM) []group.Member {
	members := make([]group.Member, len(vms))
	for i, listed := range vms {
		members[i] = group.Member{
			VM:           listed.ID,
			Address:      listed.Address,
			Accelerators: listed.Accelerators,
			ChecksOrders: listed.ChecksOrders,
		}
	}
	return members
}

// model returns the declared model of a group, or an error naming it.
func (w World) model(name string) (declaration.Model, error) {
	model, ok := w.Configuration.Declaration.Model(name)
	if !ok {
		return model, errors.Errorf("model %q is not declared", name)
	}
	return model, nil
}
