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

// FleetState is the state of the fleet that plans and repairs are based on.
type FleetState struct {
	Catalog       catalog.Catalog
	Configuration Configuration
	Groups        []group.Record
	Claims        map[string]vm.Claim
	VMs           []vm.VM
	ClosedZones   map[string]bool
	// ZonePlans names the plan that is opening or closing a zone.
	ZonePlans map[string]string
	// UnresponsiveVMs holds free VMs that are listed but do not answer.
	UnresponsiveVMs map[string]bool
	Plans           []Plan
}

// Reader decodes the fleet state from catalogs and decodes each version of a row once. The
// zero value is ready to use.
type Reader struct {
	cache map[string]cachedValue
}

// cachedValue is the decoded value of a version of a row.
type cachedValue struct {
	version uint64
	value   any
}

// ReadFleetState decodes the fleet state from a catalog and the VM list.
func ReadFleetState(rows catalog.Catalog, vms []vm.VM) (FleetState, error) {
	return new(Reader).FleetState(rows, vms)
}

// FleetState decodes the fleet state from a catalog and the VM list.
func (r *Reader) FleetState(rows catalog.Catalog, vms []vm.VM) (FleetState, error) {
	fleet := FleetState{
		Catalog:     rows,
		Claims:      map[string]vm.Claim{},
		VMs:         append([]vm.VM(nil), vms...),
		ClosedZones: map[string]bool{},

		ZonePlans: map[string]string{},
	}
	sort.Slice(fleet.VMs, func(i, j int) bool {
		return fleet.VMs[i].ID < fleet.VMs[j].ID
	})
	err := forEachRow(r, rows, ConfigKey, func(_ string, found Configuration) {
		fleet.Configuration = found
	})
	if err != nil {
		return fleet, err
	}
	err = forEachRow(r, rows, group.KeyPrefix, func(_ string, found group.Record) {
		fleet.Groups = append(fleet.Groups, found)
	})
	if err != nil {
		return fleet, err
	}
	err = forEachRow(r, rows, vm.KeyPrefix, func(id string, found vm.Claim) {
		fleet.Claims[id] = found
	})
	if err != nil {
		return fleet, err
	}
	err = forEachRow(r, rows, ZoneKeyPrefix, func(name string, found Zone) {
		fleet.ClosedZones[name] = found.Closed
		if found.Plan != "" {
			fleet.ZonePlans[name] = found.Plan
		}
	})
	if err != nil {
		return fleet, err
	}
	err = forEachRow(r, rows, KeyPrefix, func(_ string, found Plan) {
		fleet.Plans = append(fleet.Plans, found)
	})
	return fleet, err
}

// forEachRow calls visit with the decoded value of each row under a prefix, in the order of
// the keys.
func forEachRow[T any](r *Reader, rows catalog.Catalog, prefix string, visit func(name string, value T)) error {
	if r.cache == nil {
		r.cache = map[string]cachedValue{}
	}
	for _, row := range rows.WithPrefix(prefix) {
		cached, ok := r.cache[row.Key]
		if !ok || cached.version != row.Version {
			var value T
			if err := row.Decode(&value); err != nil {
				return err
			}
			cached = cachedValue{
				version: row.Version,
				value:   value,
			}
			r.cache[row.Key] = cached
		}
		if value, isOfType := cached.value.(T); isOfType {
			visit(row.Key[len(prefix):], value)
		}
	}
	return nil
}

// Group returns the record of a group.
func (f FleetState) Group(name string) (group.Record, bool) {
	for _, record := range f.Groups {
		if record.Name == name {
			return record, true
		}
	}
	return group.Record{}, false
}

// VM returns a listed VM.
func (f FleetState) VM(id string) (vm.VM, bool) {
	index := sort.Search(len(f.VMs), func(i int) bool {
		return f.VMs[i].ID >= id
	})
	if index == len(f.VMs) || f.VMs[index].ID != id {
		return vm.VM{}, false
	}
	return f.VMs[index], true
}

// Domains returns the fabric domains of open zones with their free VMs. A VM for which
// isSuspect returns true is not free; isSuspect may be nil.
func (f FleetState) Domains(isSuspect func(vm string) bool) []placement.Domain {
	index := map[string]int{}
	var domains []placement.Domain
	for _, listed := range f.VMs {
		if listed.Domain == "" || f.ClosedZones[listed.Zone] {
			continue
		}
		position, ok := index[listed.Domain]
		if !ok {
			position = len(domains)
			index[listed.Domain] = position
			domains = append(domains, placement.Domain{
				Name: listed.Domain,
				Zone: listed.Zone,
			})
		}
		isExcluded := f.UnresponsiveVMs[listed.ID] || (isSuspect != nil && isSuspect(listed.ID))
		if listed.State == vm.Live && f.Claims[listed.ID].IsFree() && !isExcluded {
			domains[position].FreeVMs = append(domains[position].FreeVMs, listed)
		}
	}
	for _, record := range f.Groups {
		if position, ok := index[record.Domain]; ok && len(record.Members) > 0 {
			domains[position].Groups++
		}
	}
	return domains
}

// ZonesFor returns the open zones in which a group of the model may be placed: the
// preferred zone, then the zones in which the model is declared, then the others.
func (f FleetState) ZonesFor(model declaration.Model, preferred string) []string {
	var zones []string
	add := func(name string) {
		for _, existing := range zones {
			if existing == name {
				return
			}
		}
		if name != "" && !f.ClosedZones[name] {
			zones = append(zones, name)
		}
	}
	add(preferred)
	for _, zone := range f.Configuration.Declaration.Zones {
		if model.Replicas[zone.Name] > 0 {
			add(zone.Name)
		}
	}
	for _, zone := range f.Configuration.Declaration.Zones {
		add(zone.Name)
	}
	return zones
}

// MaxGeneration returns the highest generation at which any of the VMs was claimed.
func (f FleetState) MaxGeneration(members []group.Member) uint64 {
	highest := uint64(0)
	for _, member := range members {
		highest = max(highest, f.Claims[member.VM].Generation)
	}
	return highest
}

// NewMembers converts listed VMs into members.
func NewMembers(vms []vm.VM) []group.Member {
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

// declaredModel returns a declared model, or an error that names it.
func (f FleetState) declaredModel(name string) (declaration.Model, error) {
	model, ok := f.Configuration.Declaration.Model(name)
	if !ok {
		return model, errors.Errorf("model %q is not declared", name)
	}
	return model, nil
}
