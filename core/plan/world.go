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
	// ZonePlans names the plan that is opening or closing a zone.
	ZonePlans map[string]string
	// Unwell holds free VMs that are listed but do not answer.
	Unwell map[string]bool
	Plans  []Plan
}

// Reader reads worlds out of catalogs and decodes each version of a row once.
// The zero value works.
type Reader struct {
	decoded map[string]decoded
}

// decoded is the value of a row at a version.
type decoded struct {
	version uint64
	value   any
}

// WorldOf reads the world out of a catalog and the VM list.
func WorldOf(rows catalog.Catalog, vms []vm.VM) (World, error) {
	return new(Reader).World(rows, vms)
}

// World reads the world out of a catalog and the VM list.
func (r *Reader) World(rows catalog.Catalog, vms []vm.VM) (World, error) {
	world := World{
		Catalog: rows,
		Claims:  map[string]vm.Claim{},
		VMs:     append([]vm.VM(nil), vms...),
		Closed:  map[string]bool{},

		ZonePlans: map[string]string{},
	}
	sort.Slice(world.VMs, func(i, j int) bool {
		return world.VMs[i].ID < world.VMs[j].ID
	})
	err := each(r, rows, ConfigKey, func(_ string, found Configuration) {
		world.Configuration = found
	})
	if err != nil {
		return world, err
	}
	err = each(r, rows, group.KeyPrefix, func(_ string, found group.Record) {
		world.Groups = append(world.Groups, found)
	})
	if err != nil {
		return world, err
	}
	err = each(r, rows, vm.KeyPrefix, func(id string, found vm.Claim) {
		world.Claims[id] = found
	})
	if err != nil {
		return world, err
	}
	err = each(r, rows, ZoneKeyPrefix, func(name string, found Zone) {
		world.Closed[name] = found.Closed
		if found.Plan != "" {
			world.ZonePlans[name] = found.Plan
		}
	})
	if err != nil {
		return world, err
	}
	err = each(r, rows, KeyPrefix, func(_ string, found Plan) {
		world.Plans = append(world.Plans, found)
	})
	return world, err
}

// each visits the decoded values of the rows under a prefix, in the order of
// their keys.
func each[T any](r *Reader, rows catalog.Catalog, prefix string, visit func(name string, value T)) error {
	if r.decoded == nil {
		r.decoded = map[string]decoded{}
	}
	for _, row := range rows.Under(prefix) {
		known, ok := r.decoded[row.Key]
		if !ok || known.version != row.Version {
			var value T
			if err := row.Decode(&value); err != nil {
				return err
			}
			known = decoded{
				version: row.Version,
				value:   value,
			}
			r.decoded[row.Key] = known
		}
		if value, isOfType := known.value.(T); isOfType {
			visit(row.Key[len(prefix):], value)
		}
	}
	return nil
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
		isOut := w.Unwell[listed.ID] || (isSuspect != nil && isSuspect(listed.ID))
		if listed.State == vm.Live && w.Claims[listed.ID].Free() && !isOut {
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
