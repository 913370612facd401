package plan

import (
	"sort"

	"github.com/pkg/errors"

	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/placement"
	"headcourse/core/vm"
)

// Kind names the kind of an intent.
type Kind string

// Kinds of intents. A new kind needs a constant, an entry in Kinds and a build function.
const (
	DrainSite      Kind = "drain-site"
	DrainZone      Kind = "drain-zone"
	ReopenZone     Kind = "open-zone"
	RetireVMIntent Kind = "retire-vm"
	MoveModel      Kind = "move-model"
	DissolveGroup  Kind = "dissolve-group"
	Reconcile      Kind = "reconcile"
)

// KindInfo describes a kind for the command line's help.
type KindInfo struct {
	Kind  Kind
	Usage string
	build func(*builder) error
}

// kindsByName indexes Kinds.
var kindsByName = func() map[Kind]KindInfo {
	byKind := map[Kind]KindInfo{}
	for _, info := range Kinds() {
		byKind[info.Kind] = info
	}
	return byKind
}()

// Kinds returns all kinds in the order of the help.
func Kinds() []KindInfo {
	return []KindInfo{
		{
			Kind:  Reconcile,
			Usage: "create, change and dissolve groups until the fleet is as declared",
			build: buildReconcile,
		},
		{
			Kind:  DrainSite,
			Usage: "move every group out of a site and close its zones",
			build: buildDrainSite,
		},
		{
			Kind:  DrainZone,
			Usage: "move every group out of a zone and close it",
			build: buildDrainZone,
		},
		{
			Kind:  ReopenZone,
			Usage: "let a closed zone have groups again",
			build: buildOpenZone,
		},
		{
			Kind:  RetireVMIntent,
			Usage: "take a VM out of use, its group formed elsewhere or anew",
			build: buildRetireVM,
		},
		{
			Kind:  MoveModel,
			Usage: "move a model's groups from one zone to another",
			build: buildMoveModel,
		},
		{
			Kind:  DissolveGroup,
			Usage: "end one group and free its VMs",
			build: buildDissolveGroup,
		},
	}
}

// buildDrainSite drains all zones of a site.
func buildDrainSite(b *builder) error {
	zones := b.fleet.Configuration.Declaration.ZonesOfSite(b.intent.Site)
	if len(zones) == 0 {
		return errors.Errorf("site %q is not declared", b.intent.Site)
	}
	return b.drainZones(zones)
}

// buildDrainZone drains one zone.
func buildDrainZone(b *builder) error {
	if !b.fleet.Configuration.Declaration.HasZone(b.intent.Zone) {
		return errors.Errorf("zone %q is not declared", b.intent.Zone)
	}
	return b.drainZones([]string{b.intent.Zone})
}

// drainZones closes zones and replaces their groups by groups in other zones.
func (b *builder) drainZones(zones []string) error {
	for _, zone := range zones {
		if err := b.requireZone(zone); err != nil {
			return err
		}
		b.closeZone(zone)
	}
	b.stage++
	var replacements []replacement
	for _, record := range b.fleet.Groups {
		if !contains(zones, record.Zone) || record.Phase == group.Draining {
			continue
		}
		model, err := b.fleet.declaredModel(record.Model)
		if err != nil {
			return err
		}
		replacements = append(replacements, replacement{
			old:   record,
			model: servedModel(model, record),
			zones: b.fleet.ZonesFor(model, ""),
		})
	}
	return b.replaceAll(replacements)
}

// servedModel returns the model with the version, adapter and role that a group serves now,
// so that moving a group does not change what it serves.
func servedModel(model declaration.Model, record group.Record) declaration.Model {
	model.Version = record.Version
	model.Adapter = record.Adapter
	model.Role = record.Role
	return model
}

// buildOpenZone opens a zone.
func buildOpenZone(b *builder) error {
	if !b.fleet.ClosedZones[b.intent.Zone] {
		return errors.Errorf("zone %q is not closed", b.intent.Zone)
	}
	if err := b.requireZone(b.intent.Zone); err != nil {
		return err
	}
	b.steps = append(b.steps, Step{
		Action: OpenZone,
		Zone:   b.intent.Zone,
	})
	return nil
}

// buildRetireVM retires a VM. If the VM has a group, the group is formed elsewhere or again
// with a spare.
func buildRetireVM(b *builder) error {
	id := b.intent.VM
	if _, ok := b.fleet.VM(id); !ok {
		return errors.Errorf("VM %q is not in the VM list", id)
	}
	b.addPrecondition(vm.Key(id))
	claim := b.fleet.Claims[id]
	if claim.Retired {
		return errors.Errorf("VM %q is retired already", id)
	}
	if claim.Plan != "" {
		return errors.Errorf("VM %q is reserved by plan %s", id, claim.Plan)
	}
	if claim.IsFree() {
		b.reservedVMs[id] = true
	}
	b.excludeVM(id)
	if record, ok := b.fleet.Group(claim.Group); ok && record.HasMember(id) {
		if err := b.removeFromGroup(record, id); err != nil {
			return err
		}
	}
	b.steps = append(b.steps, Step{
		Stage:  b.stage,
		Action: RetireVM,
		VM:     id,
	})
	return nil
}

// excludeVM removes a VM from the free ones.
func (b *builder) excludeVM(id string) {
	for i, domain := range b.domains {
		var free []vm.VM
		for _, listed := range domain.FreeVMs {
			if listed.ID != id {
				free = append(free, listed)
			}
		}
		b.domains[i].FreeVMs = free
	}
}

// removeFromGroup plans that a group continues without one of its VMs. The group is
// replaced elsewhere if there are enough free VMs; otherwise it is formed again with a
// spare VM of its domain.
func (b *builder) removeFromGroup(record group.Record, id string) error {
	model, err := b.fleet.declaredModel(record.Model)
	if err != nil {
		return err
	}
	item := replacement{
		old:   record,
		model: servedModel(model, record),
		zones: b.fleet.ZonesFor(model, record.Zone),
	}
	members, hasSpare := b.membersWithSpare(record, id)
	if hasSpare && !b.hasFreeVMsFor(item) {
		if err = b.requireGroup(record); err != nil {
			return err
		}
		b.useFreeVMs(record.Domain, members)
		b.reform(record, item.model, members)
		b.stage++
		return nil
	}
	return b.replaceAll([]replacement{item})
}

// hasFreeVMsFor reports whether there are enough free VMs in one domain for a replacement.
func (b *builder) hasFreeVMsFor(item replacement) bool {
	choices := placement.Place(b.domains, []placement.Request{{
		Name:  item.old.Name,
		Size:  item.model.VMsPerReplica,
		Zones: item.zones,
	}}, b.fleet.Configuration.Declaration.Weights)
	return len(choices[0].Members) > 0
}

// membersWithSpare returns the members with a free VM of the domain in place of one of
// them, and whether there is such a VM.
func (b *builder) membersWithSpare(record group.Record, id string) ([]group.Member, bool) {
	members := append([]group.Member(nil), record.Members...)
	for _, domain := range b.domains {
		if domain.Name != record.Domain || len(domain.FreeVMs) == 0 {
			continue
		}
		for i, member := range members {
			if member.VM == id {
				members[i] = NewMembers(domain.FreeVMs[:1])[0]
			}
		}
		return members, true
	}
	return nil, false
}

// buildMoveModel replaces a model's groups of one zone by groups in another.
func buildMoveModel(b *builder) error {
	model, err := b.fleet.declaredModel(b.intent.Model)
	if err != nil {
		return err
	}
	for _, zone := range []string{b.intent.Zone, b.intent.To} {
		if !b.fleet.Configuration.Declaration.HasZone(zone) {
			return errors.Errorf("zone %q is not declared", zone)
		}
	}
	if b.fleet.ClosedZones[b.intent.To] {
		return errors.Errorf("zone %q is closed", b.intent.To)
	}
	var replacements []replacement
	for _, record := range b.fleet.Groups {
		if record.Model == model.Name && record.Zone == b.intent.Zone && record.Phase != group.Draining {
			replacements = append(replacements, replacement{
				old:   record,
				model: servedModel(model, record),
				zones: []string{b.intent.To},
			})
		}
	}
	if len(replacements) == 0 {
		return errors.Errorf("model %q has no groups in zone %q", model.Name, b.intent.Zone)
	}
	b.addNote("declare the new zone's replicas of %s as well, or reconcile will move them back", model.Name)
	return b.replaceAll(replacements)
}

// buildDissolveGroup dissolves one group.
func buildDissolveGroup(b *builder) error {
	record, ok := b.fleet.Group(b.intent.Group)
	if !ok {
		return errors.Errorf("group %q does not exist", b.intent.Group)
	}
	if err := b.requireGroup(record); err != nil {
		return err
	}
	b.addNote("lower the replicas of %s in %s in the declaration as well, or reconcile will create it again", record.Model, record.Zone)
	b.drain(record, false)
	return nil
}

// ----------------------------------------------------------------------------
// Reconcile

// buildReconcile compares every model's groups with its declared replicas.
func buildReconcile(b *builder) error {
	var replacements []replacement
	for _, model := range b.fleet.Configuration.Declaration.Models {
		changed, err := b.reconcileModel(model)
		if err != nil {
			return err
		}
		replacements = append(replacements, changed...)
	}
	if err := b.drainUndeclared(); err != nil {
		return err
	}
	if len(b.steps) > 0 {
		b.stage = b.assemble().LastStage() + 1
	}
	return b.replaceAll(replacements)
}

// reconcileModel plans missing and surplus groups of a model. It returns the groups that
// serve another version, adapter or role than declared.
func (b *builder) reconcileModel(model declaration.Model) ([]replacement, error) {
	var changed []replacement
	displaced := b.displacedReplicas(model)
	for _, zone := range sortedZones(model.Replicas) {
		existing := b.activeGroups(model.Name, zone)
		declared := model.Replicas[zone]
		if b.fleet.ClosedZones[zone] {
			b.addNote("zone %s is closed; %d groups of %s declared there are not created", zone, declared, model.Name)
			continue
		}
		if surplus := len(existing) - declared; surplus > 0 {
			keptDisplaced := min(surplus, displaced)
			declared += keptDisplaced
			displaced -= keptDisplaced
		}
		for len(existing) > declared {
			last := existing[len(existing)-1]
			if err := b.requireGroup(last); err != nil {
				return nil, err
			}
			b.stage = 0
			b.drain(last, false)
			existing = existing[:len(existing)-1]
		}
		if err := b.formMissing(model, zone, declared-len(existing)); err != nil {
			return nil, err
		}
		for _, record := range existing {
			if record.Version != model.Version || record.Adapter != model.Adapter || record.Role != model.Role {
				changed = append(changed, replacement{
					old:     record,
					model:   model,
					zones:   []string{zone},
					inPlace: true,
				})
			}
		}
	}
	return changed, nil
}

// formMissing plans new groups. The stages limit how many groups load at the same time, to
// limit the load on the weight store.
func (b *builder) formMissing(model declaration.Model, zone string, missing int) error {
	if missing <= 0 {
		return nil
	}
	requests := make([]placement.Request, missing)
	for i := range requests {
		requests[i] = placement.Request{
			Name:  model.Name,
			Size:  model.VMsPerReplica,
			Zones: []string{zone},
		}
	}
	parallel := b.fleet.Configuration.Declaration.Limits.ParallelLoadsOrDefault()
	choices := placement.Place(b.domains, requests, b.fleet.Configuration.Declaration.Weights)
	for i, choice := range choices {
		if len(choice.Members) == 0 {
			if !b.intent.AllowFewer {
				return errors.Wrapf(ErrNoFreeVMs, "model %q: room for %d of %d groups in zone %q; add VMs or allow fewer groups", model.Name, i, missing, zone)
			}
			b.addNote("no room for a group of %s in %s", model.Name, zone)
			continue
		}
		b.stage = b.plannedForms() / parallel
		b.form(model, choice)
	}
	return nil
}

// plannedForms returns how many groups the plan already forms.
func (b *builder) plannedForms() int {
	count := 0
	for _, step := range b.steps {
		if step.Action == Form {
			count++
		}
	}
	return count
}

// drainUndeclared drains groups whose model or zone is no longer declared.
func (b *builder) drainUndeclared() error {
	b.stage = 0
	for _, record := range b.fleet.Groups {
		model, declared := b.fleet.Configuration.Declaration.Model(record.Model)
		if _, hasZone := model.Replicas[record.Zone]; declared && hasZone {
			continue
		}
		if record.Phase == group.Draining {
			continue
		}
		if declared && !b.fleet.ClosedZones[record.Zone] && b.displacedReplicas(model) > 0 {
			continue
		}
		if err := b.requireGroup(record); err != nil {
			return err
		}
		b.drain(record, false)
	}
	return nil
}

// displacedReplicas returns how many groups of a model may be outside their declared zones
// because those zones are closed.
func (b *builder) displacedReplicas(model declaration.Model) int {
	count := 0
	for zone, declared := range model.Replicas {
		if b.fleet.ClosedZones[zone] {
			count += declared
		}
	}
	return count
}

// activeGroups returns the groups of a model in a zone that are not draining, in the order
// of their names.
func (b *builder) activeGroups(model, zone string) []group.Record {
	var found []group.Record
	for _, record := range b.fleet.Groups {
		if record.Model == model && record.Zone == zone && record.Phase != group.Draining {
			found = append(found, record)
		}
	}
	return found
}

// sortedZones returns the zones of replicas in order.
func sortedZones(replicas map[string]int) []string {
	zones := make([]string, 0, len(replicas))
	for zone := range replicas {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// contains reports whether a list holds a value.
func contains(list []string, value string) bool {
	for _, item := range list {
		if item == value {
			return true
		}
	}
	return false
}
