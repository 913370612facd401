package plan

import (
	"sort"

	"github.com/pkg/errors"

	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/placement"
	"headcourse/core/vm"
)

// Kind names an intent.
type Kind string

// The kinds of intents. Adding one is a constant, a row in kinds and a
// function that builds it.
const (
	DrainSite     Kind = "drain-site"
	DrainZone     Kind = "drain-zone"
	OpenZoneAgain Kind = "open-zone"
	RetireOneVM   Kind = "retire-vm"
	MoveModel     Kind = "move-model"
	DissolveGroup Kind = "dissolve-group"
	Reconcile     Kind = "reconcile"
)

// KindInfo describes a kind for the command line's help.
type KindInfo struct {
	Kind  Kind
	Usage string
	build func(*builder) error
}

// kinds is the lookup table of intents.
var kinds = func() map[Kind]KindInfo {
	byKind := map[Kind]KindInfo{}
	for _, info := range Kinds() {
		byKind[info.Kind] = info
	}
	return byKind
}()

// Kinds returns every kind in the order of the help.
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
			Kind:  OpenZoneAgain,
			Usage: "let a closed zone have groups again",
			build: buildOpenZone,
		},
		{
			Kind:  RetireOneVM,
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
	zones := b.world.Configuration.Declaration.ZonesOfSite(b.intent.Site)
	if len(zones) == 0 {
		return errors.Errorf("site %q is not declared", b.intent.Site)
	}
	return b.drainZones(zones)
}

// buildDrainZone drains one zone.
func buildDrainZone(b *builder) error {
	if !b.world.Configuration.Declaration.HasZone(b.intent.Zone) {
		return errors.Errorf("zone %q is not declared", b.intent.Zone)
	}
	return b.drainZones([]string{b.intent.Zone})
}

// drainZones closes zones and replaces their groups in others.
func (b *builder) drainZones(zones []string) error {
	for _, zone := range zones {
		if err := b.touchZone(zone); err != nil {
			return err
		}
		b.closeZone(zone)
	}
	b.stage++
	var todo []replacement
	for _, record := range b.world.Groups {
		if !contains(zones, record.Zone) || record.Phase == group.Draining {
			continue
		}
		model, err := b.world.model(record.Model)
		if err != nil {
			return err
		}
		todo = append(todo, replacement{
			old:   record,
			model: servedModel(model, record),
			zones: b.world.ZonesFor(model, ""),
		})
	}
	return b.replaceAll(todo)
}

// servedModel returns the model with the version that a group serves today, so
// that moving a group does not change what it serves.
func servedModel(model declaration.Model, record group.Record) declaration.Model {
	model.Version = record.Version
	model.Adapter = record.Adapter
	model.Role = record.Role
	return model
}

// buildOpenZone opens a zone.
func buildOpenZone(b *builder) error {
	if !b.world.Closed[b.intent.Zone] {
		return errors.Errorf("zone %q is not closed", b.intent.Zone)
	}
	if err := b.touchZone(b.intent.Zone); err != nil {
		return err
	}
	b.steps = append(b.steps, Step{
		Verb: OpenZone,
		Zone: b.intent.Zone,
	})
	return nil
}

// buildRetireVM forms the VM's group elsewhere, or anew with a spare.
func buildRetireVM(b *builder) error {
	id := b.intent.VM
	if _, ok := b.world.VM(id); !ok {
		return errors.Errorf("VM %q is not in the VM list", id)
	}
	b.standOn(vm.Key(id))
	claim := b.world.Claims[id]
	if claim.Retired {
		return errors.Errorf("VM %q is retired already", id)
	}
	if claim.Plan != "" {
		return errors.Errorf("VM %q is reserved by plan %s", id, claim.Plan)
	}
	if claim.Free() {
		b.reserves[id] = true
	}
	b.removeFree(id)
	if record, ok := b.world.Group(claim.Group); ok && record.Has(id) {
		if err := b.vacate(record, id); err != nil {
			return err
		}
	}
	b.steps = append(b.steps, Step{
		Stage: b.stage,
		Verb:  RetireVM,
		VM:    id,
	})
	return nil
}

// removeFree makes a VM count as not free.
func (b *builder) removeFree(id string) {
	for i, domain := range b.domains {
		var free []vm.VM
		for _, listed := range domain.Free {
			if listed.ID != id {
				free = append(free, listed)
			}
		}
		b.domains[i].Free = free
	}
}

// vacate plans that a group goes on without one of its VMs: whole elsewhere if
// there is room, else anew in place with a spare of its domain.
func (b *builder) vacate(record group.Record, id string) error {
	model, err := b.world.model(record.Model)
	if err != nil {
		return err
	}
	item := replacement{
		old:   record,
		model: servedModel(model, record),
		zones: b.world.ZonesFor(model, record.Zone),
	}
	members, hasSpare := b.withSpare(record, id)
	if hasSpare && !b.hasRoom(item) {
		if err = b.touch(record); err != nil {
			return err
		}
		b.takeFree(record.Domain, members)
		b.reform(record, item.model, members)
		b.stage++
		return nil
	}
	return b.replaceAll([]replacement{item})
}

// hasRoom tells whether a replacement fits on free VMs.
func (b *builder) hasRoom(item replacement) bool {
	choices := placement.Place(b.domains, []placement.Want{{
		Name:  item.old.Name,
		Size:  item.model.VMsPerReplica,
		Zones: item.zones,
	}}, b.world.Configuration.Declaration.Weights)
	return len(choices[0].Members) > 0
}

// withSpare returns the members with a spare of the domain in place of one.
func (b *builder) withSpare(record group.Record, id string) ([]group.Member, bool) {
	members := append([]group.Member(nil), record.Members...)
	for _, domain := range b.domains {
		if domain.Name != record.Domain || len(domain.Free) == 0 {
			continue
		}
		for i, member := range members {
			if member.VM == id {
				members[i] = MembersOf(domain.Free[:1])[0]
			}
		}
		return members, true
	}
	return nil, false
}

// buildMoveModel replaces a model's groups of one zone in another.
func buildMoveModel(b *builder) error {
	model, err := b.world.model(b.intent.Model)
	if err != nil {
		return err
	}
	for _, zone := range []string{b.intent.Zone, b.intent.To} {
		if !b.world.Configuration.Declaration.HasZone(zone) {
			return errors.Errorf("zone %q is not declared", zone)
		}
	}
	if b.world.Closed[b.intent.To] {
		return errors.Errorf("zone %q is closed", b.intent.To)
	}
	var todo []replacement
	for _, record := range b.world.Groups {
		if record.Model == model.Name && record.Zone == b.intent.Zone && record.Phase != group.Draining {
			todo = append(todo, replacement{
				old:   record,
				model: servedModel(model, record),
				zones: []string{b.intent.To},
			})
		}
	}
	if len(todo) == 0 {
		return errors.Errorf("model %q has no groups in zone %q", model.Name, b.intent.Zone)
	}
	b.note("declare the new zone's replicas of %s as well, or reconcile will move them back", model.Name)
	return b.replaceAll(todo)
}

// buildDissolveGroup ends one group.
func buildDissolveGroup(b *builder) error {
	record, ok := b.world.Group(b.intent.Group)
	if !ok {
		return errors.Errorf("group %q does not exist", b.intent.Group)
	}
	if err := b.touch(record); err != nil {
		return err
	}
	b.note("lower the replicas of %s in %s in the declaration as well, or reconcile will create it again", record.Model, record.Zone)
	b.drain(record, false)
	return nil
}

// ----------------------------------------------------------------------------
// Reconcile

// buildReconcile compares every model's groups with its declared replicas.
func buildReconcile(b *builder) error {
	var todo []replacement
	for _, model := range b.world.Configuration.Declaration.Models {
		changed, err := b.reconcileModel(model)
		if err != nil {
			return err
		}
		todo = append(todo, changed...)
	}
	if err := b.drainUndeclared(); err != nil {
		return err
	}
	if len(b.steps) > 0 {
		b.stage = b.plan().LastStage() + 1
	}
	return b.replaceAll(todo)
}

// reconcileModel plans missing and surplus groups of a model, and returns
// those that serve another version, adapter or role.
func (b *builder) reconcileModel(model declaration.Model) ([]replacement, error) {
	var changed []replacement
	standIns := b.standIns(model)
	for _, zone := range sortedZones(model.Replicas) {
		have := b.groupsOf(model.Name, zone)
		want := model.Replicas[zone]
		if b.world.Closed[zone] {
			b.note("zone %s is closed; %d groups of %s declared there are not created", zone, want, model.Name)
			continue
		}
		if surplus := len(have) - want; surplus > 0 {
			kept := min(surplus, standIns)
			want += kept
			standIns -= kept
		}
		for len(have) > want {
			last := have[len(have)-1]
			if err := b.touch(last); err != nil {
				return nil, err
			}
			b.stage = 0
			b.drain(last, false)
			have = have[:len(have)-1]
		}
		if err := b.formMissing(model, zone, want-len(have)); err != nil {
			return nil, err
		}
		for _, record := range have {
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

// formMissing plans new groups, some at a time for the weight store's sake.
func (b *builder) formMissing(model declaration.Model, zone string, missing int) error {
	if missing <= 0 {
		return nil
	}
	wants := make([]placement.Want, missing)
	for i := range wants {
		wants[i] = placement.Want{
			Name:  model.Name,
			Size:  model.VMsPerReplica,
			Zones: []string{zone},
		}
	}
	parallel := b.world.Configuration.Declaration.Limits.Parallel()
	choices := placement.Place(b.domains, wants, b.world.Configuration.Declaration.Weights)
	for i, choice := range choices {
		if len(choice.Members) == 0 {
			if !b.intent.AllowFewer {
				return errors.Wrapf(ErrNoRoom, "model %q: room for %d of %d groups in zone %q; add VMs or allow fewer groups", model.Name, i, missing, zone)
			}
			b.note("no room for a group of %s in %s", model.Name, zone)
			continue
		}
		b.stage = b.formsSoFar() / parallel
		b.form(model, choice)
	}
	return nil
}

// formsSoFar returns how many groups the plan forms already.
func (b *builder) formsSoFar() int {
	count := 0
	for _, step := range b.steps {
		if step.Verb == Form {
			count++
		}
	}
	return count
}

// drainUndeclared plans the end of groups whose model or zone is not declared
// any more.
func (b *builder) drainUndeclared() error {
	b.stage = 0
	for _, record := range b.world.Groups {
		model, declared := b.world.Configuration.Declaration.Model(record.Model)
		if _, hasZone := model.Replicas[record.Zone]; declared && hasZone {
			continue
		}
		if record.Phase == group.Draining {
			continue
		}
		if declared && !b.world.Closed[record.Zone] && b.standIns(model) > 0 {
			continue
		}
		if err := b.touch(record); err != nil {
			return err
		}
		b.drain(record, false)
	}
	return nil
}

// standIns returns how many groups of a model may stand outside their declared
// zones because those are closed.
func (b *builder) standIns(model declaration.Model) int {
	count := 0
	for zone, declared := range model.Replicas {
		if b.world.Closed[zone] {
			count += declared
		}
	}
	return count
}

// groupsOf returns the groups of a model in a zone that are not draining, in
// the order of their names.
func (b *builder) groupsOf(model, zone string) []group.Record {
	var found []group.Record
	for _, record := range b.world.Groups {
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

// contains tells whether a list holds a value.
func contains(list []string, value string) bool {
	for _, item := range list {
		if item == value {
			return true
		}
	}
	return false
}
