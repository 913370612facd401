package plan

import (
	"fmt"
	"maps"
	"sort"

	"github.com/pkg/errors"

	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/placement"
	"headcourse/core/table"
	"headcourse/core/vm"
)

// drainSeconds is the predicted time that a group takes to drain.
const drainSeconds = 15.0

// ErrNoFreeVMs means that a plan needs more free VMs than there are.
var ErrNoFreeVMs = errors.New("no room")

// Build returns the plan that carries out an intent on this fleet. It writes nothing to the
// store and does not change the fleet state. The caller passes the plan's id and the operator's
// name.
func Build(id, operator string, intent Intent, fleet FleetState) (Plan, error) {
	info, ok := kindsByName[intent.Kind]
	if !ok {
		return Plan{}, errors.Errorf("unknown intent %q", intent.Kind)
	}
	if fleet.Configuration.Revision == 0 {
		return Plan{}, errors.New("no configuration is in force; apply a declaration first")
	}
	builder := newBuilder(fleet, intent)
	if err := info.build(builder); err != nil {
		return Plan{}, errors.Wrapf(err, "plan %s", intent)
	}
	built := builder.assemble()
	built.ID = id
	built.Operator = operator
	return built, nil
}

// builder collects the steps and preconditions of one plan, and tracks which VMs are free
// at the current stage.
type builder struct {
	fleet         FleetState
	intent        Intent
	domains       []placement.Domain
	usedNames     map[string]bool
	stage         int
	steps         []Step
	notes         []string
	preconditions map[string]uint64
	reservedVMs   map[string]bool
}

// newBuilder returns a builder at stage 0.
func newBuilder(fleet FleetState, intent Intent) *builder {
	names := map[string]bool{}
	for _, record := range fleet.Groups {
		names[record.Name] = true
	}
	fleet.ClosedZones = maps.Clone(fleet.ClosedZones)
	return &builder{
		fleet:         fleet,
		intent:        intent,
		domains:       fleet.Domains(nil),
		usedNames:     names,
		preconditions: map[string]uint64{},
		reservedVMs:   map[string]bool{},
	}
}

// assemble returns the plan from the collected steps and preconditions.
func (b *builder) assemble() Plan {
	result := Plan{
		Intent:   b.intent,
		State:    Proposed,
		Revision: b.fleet.Configuration.Revision,
		Steps:    b.steps,
		Notes:    b.notes,
	}
	for key, version := range b.preconditions {
		result.Preconditions = append(result.Preconditions, table.Condition{
			Key:     key,
			Version: version,
		})
	}
	sort.Slice(result.Preconditions, func(i, j int) bool {
		return result.Preconditions[i].Key < result.Preconditions[j].Key
	})
	for id := range b.reservedVMs {
		result.ReservedVMs = append(result.ReservedVMs, id)
	}
	sort.Strings(result.ReservedVMs)
	return result
}

// addPrecondition adds the current version of a row to the preconditions.
func (b *builder) addPrecondition(key string) {
	b.preconditions[key] = b.fleet.Catalog.Row(key).Version
}

// addNote adds a remark for the reviewer.
func (b *builder) addNote(format string, arguments ...any) {
	b.notes = append(b.notes, fmt.Sprintf(format, arguments...))
}

// requireZone adds a zone's row to the preconditions. It fails if another plan is opening
// or closing the zone.
func (b *builder) requireZone(zone string) error {
	if other := b.fleet.ZonePlans[zone]; other != "" {
		return errors.Errorf("zone %q is being changed by plan %s", zone, other)
	}
	b.addPrecondition(ZoneKey(zone))
	return nil
}

// closeZone adds the step that closes a zone.
func (b *builder) closeZone(zone string) {
	b.fleet.ClosedZones[zone] = true
	b.steps = append(b.steps, Step{
		Stage:  b.stage,
		Action: CloseZone,
		Zone:   zone,
	})
	b.domains = b.fleet.Domains(nil)
}

// requireGroup adds a group's row to the preconditions. It fails if another plan is
// changing the group.
func (b *builder) requireGroup(record group.Record) error {
	if record.Plan != "" {
		return errors.Errorf("group %q is being changed by plan %s", record.Name, record.Plan)
	}
	b.addPrecondition(group.Key(record.Name))
	return nil
}

// unusedGroupName returns a group name of the model that is not in use.
func (b *builder) unusedGroupName(model string) string {
	for number := 1; ; number++ {
		name := fmt.Sprintf("%s-%d", model, number)
		if !b.usedNames[name] {
			b.usedNames[name] = true
			return name
		}
	}
}

// ----------------------------------------------------------------------------
// Replacing groups

// replacement is a group to be replaced by another.
type replacement struct {
	old group.Record
	// model is what the new group serves.
	model declaration.Model
	zones []string
	// inPlace means that the old group's VMs may be used again.
	inPlace bool
}

// replaceAll plans replacements in batches. As long as there are free VMs, the new group is
// formed before the old one is drained, and the VMs that a batch frees in place are used for
// the next batch. Otherwise see replaceWithoutFreeVMs.
func (b *builder) replaceAll(pending []replacement) error {
	for _, item := range pending {
		if err := b.requireGroup(item.old); err != nil {
			return err
		}
	}
	maxBatch := b.fleet.Configuration.Declaration.Limits.ParallelLoadsOrDefault()
	for len(pending) > 0 {
		batch := pending[:min(maxBatch, len(pending))]
		retry, err := b.replaceBatch(batch)
		if err != nil {
			return err
		}
		pending = append(retry, pending[len(batch):]...)
	}
	return nil
}

// replaceBatch plans one batch and returns the replacements to retry in the next one.
func (b *builder) replaceBatch(batch []replacement) ([]replacement, error) {
	requests := make([]placement.Request, len(batch))
	for i, item := range batch {
		requests[i] = placement.Request{
			Name:  item.old.Name,
			Size:  item.model.VMsPerReplica,
			Zones: item.zones,
		}
	}
	choices := placement.Place(b.domains, requests, b.fleet.Configuration.Declaration.Weights)
	var placed, retry []replacement
	for i, choice := range choices {
		if len(choice.Members) == 0 {
			retry = append(retry, batch[i])
			continue
		}
		b.form(batch[i].model, choice)
		placed = append(placed, batch[i])
	}
	if len(placed) == 0 {
		return retry[1:], b.replaceWithoutFreeVMs(retry[0])
	}
	b.stage++
	for _, item := range placed {
		b.drain(item.old, item.inPlace)
	}
	b.stage++
	return retry, nil
}

// replaceWithoutFreeVMs plans for a group that no free VMs can replace. It is formed again on its
// own VMs if that is allowed, or else drained without replacement if the intent allows fewer
// groups. Otherwise the plan fails with ErrNoFreeVMs.
func (b *builder) replaceWithoutFreeVMs(item replacement) error {
	if item.inPlace && len(item.old.Members) == item.model.VMsPerReplica {
		b.reform(item.old, item.model, item.old.Members)
		b.stage++
		return nil
	}
	if b.intent.AllowFewer {
		b.addNote("group %s goes without replacement: no room for %d VMs of one fabric domain", item.old.Name, item.model.VMsPerReplica)
		b.drain(item.old, item.inPlace)
		b.stage++
		return nil
	}
	return errors.Wrapf(ErrNoFreeVMs, "group %q: no %d free VMs in one fabric domain of %v; add VMs or allow fewer groups", item.old.Name, item.model.VMsPerReplica, item.zones)
}

// form adds the step that forms a new group on free VMs.
func (b *builder) form(model declaration.Model, choice placement.Choice) {
	members := NewMembers(choice.Members)
	record := group.Record{
		Name:    b.unusedGroupName(model.Name),
		Model:   model.Name,
		Version: model.Version,
		Adapter: model.Adapter,
		Role:    model.Role,
	}
	record = record.WithMembers(members, choice.Zone, choice.Domain, 0)
	b.useFreeVMs(choice.Domain, members)
	loadSeconds := model.LoadTime.Or(declaration.DefaultLoadTime).Seconds()
	b.steps = append(b.steps, Step{
		Stage:           b.stage,
		Action:          Form,
		Group:           record.Name,
		Record:          &record,
		Needs:           fmt.Sprintf("%d free VMs of %s, one load of %s from the weight store for each", len(members), choice.Domain, model.Name),
		StrandedSeconds: loadSeconds * float64(record.Accelerators()),
	})
}

// useFreeVMs removes VMs from the free ones. VMs that are free now are reserved when the
// plan is confirmed.
func (b *builder) useFreeVMs(domain string, members []group.Member) {
	for _, member := range members {
		if b.fleet.Claims[member.VM].IsFree() {
			b.addPrecondition(vm.Key(member.VM))
			b.reservedVMs[member.VM] = true
		}
	}
	for i := range b.domains {
		if b.domains[i].Name != domain {
			continue
		}
		used := group.Record{
			Members: members,
		}
		var free []vm.VM
		for _, candidate := range b.domains[i].FreeVMs {
			if !used.HasMember(candidate.ID) {
				free = append(free, candidate)
			}
		}
		b.domains[i].FreeVMs = free
		b.domains[i].Groups++
	}
}

// drain adds the step that drains a group. If reuse is set, its VMs are free in later
// stages.
func (b *builder) drain(record group.Record, reuse bool) {
	b.steps = append(b.steps, Step{
		Stage:           b.stage,
		Action:          Drain,
		Group:           record.Name,
		StrandedSeconds: drainSeconds * float64(record.Accelerators()),
	})
	if !reuse {
		return
	}
	for i := range b.domains {
		if b.domains[i].Name != record.Domain {
			continue
		}
		b.domains[i].Groups--
		for _, member := range record.Members {
			if listed, ok := b.fleet.VM(member.VM); ok && listed.State == vm.Live {
				b.domains[i].FreeVMs = append(b.domains[i].FreeVMs, listed)
			}
		}
	}
}

// reform adds the step that drains a group and forms it again on members.
func (b *builder) reform(old group.Record, model declaration.Model, members []group.Member) {
	next := old.WithModel(model.Version, model.Adapter, model.Role)
	next.Members = members
	seconds := drainSeconds + model.LoadTime.Or(declaration.DefaultLoadTime).Seconds()
	b.steps = append(b.steps, Step{
		Stage:           b.stage,
		Action:          Reform,
		Group:           old.Name,
		Record:          &next,
		Needs:           "the group's own VMs; it cannot serve meanwhile",
		DowntimeSeconds: seconds,
		StrandedSeconds: seconds * float64(old.Accelerators()),
	})
}
