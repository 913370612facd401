package plan

import (
	"fmt"
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

// ErrNoRoom reports that a plan needs VMs that are not there.
var ErrNoRoom = errors.New("no room")

// Build returns the plan that carries out an intent in this world. It changes
// nothing. The caller gives the id and the operator's name.
func Build(id, operator string, intent Intent, world World) (Plan, error) {
	handler, ok := kinds[intent.Kind]
	if !ok {
		return Plan{}, errors.Errorf("intent %q is not known", intent.Kind)
	}
	if world.Configuration.Revision == 0 {
		return Plan{}, errors.New("no configuration is in force; apply a declaration first")
	}
	builder := newBuilder(world, intent)
	if err := handler.build(builder); err != nil {
		return Plan{}, errors.Wrapf(err, "plan %s", intent)
	}
	made := builder.plan()
	made.ID = id
	made.Operator = operator
	return made, nil
}

// builder gathers the steps and the ground of one plan, and keeps track of
// which VMs are free at the stage being planned.
type builder struct {
	world    World
	intent   Intent
	domains  []placement.Domain
	names    map[string]bool
	stage    int
	steps    []Step
	notes    []string
	ground   map[string]uint64
	reserves map[string]bool
}

// newBuilder returns a builder at stage 0.
func newBuilder(world World, intent Intent) *builder {
	names := map[string]bool{}
	for _, record := range world.Groups {
		names[record.Name] = true
	}
	return &builder{
		world:    world,
		intent:   intent,
		domains:  world.Domains(nil),
		names:    names,
		ground:   map[string]uint64{},
		reserves: map[string]bool{},
	}
}

// plan returns what was gathered.
func (b *builder) plan() Plan {
	made := Plan{
		Intent:   b.intent,
		State:    Proposed,
		Revision: b.world.Configuration.Revision,
		Steps:    b.steps,
		Notes:    b.notes,
	}
	for key, version := range b.ground {
		made.Ground = append(made.Ground, table.Condition{
			Key:     key,
			Version: version,
		})
	}
	sort.Slice(made.Ground, func(i, j int) bool {
		return made.Ground[i].Key < made.Ground[j].Key
	})
	for id := range b.reserves {
		made.Reserves = append(made.Reserves, id)
	}
	sort.Strings(made.Reserves)
	return made
}

// standOn makes a row part of the ground.
func (b *builder) standOn(key string) {
	b.ground[key] = b.world.Catalog.Row(key).Version
}

// note adds a remark for the reviewer.
func (b *builder) note(format string, arguments ...any) {
	b.notes = append(b.notes, fmt.Sprintf(format, arguments...))
}

// touchZone makes a zone's row part of the ground; it refuses a zone that
// another plan is opening or closing.
func (b *builder) touchZone(zone string) error {
	if other := b.world.ZonePlans[zone]; other != "" {
		return errors.Errorf("zone %q is being changed by plan %s", zone, other)
	}
	b.standOn(ZoneKey(zone))
	return nil
}

// closeZone plans the closing of a zone.
func (b *builder) closeZone(zone string) {
	b.world.Closed[zone] = true
	b.steps = append(b.steps, Step{
		Stage: b.stage,
		Verb:  CloseZone,
		Zone:  zone,
	})
	b.domains = b.world.Domains(nil)
}

// touch makes a group's row part of the ground; it refuses a group that
// another plan is changing.
func (b *builder) touch(record group.Record) error {
	if record.Plan != "" {
		return errors.Errorf("group %q is being changed by plan %s", record.Name, record.Plan)
	}
	b.standOn(group.Key(record.Name))
	return nil
}

// freshName returns a group name of the model that is not in use.
func (b *builder) freshName(model string) string {
	for number := 1; ; number++ {
		name := fmt.Sprintf("%s-%d", model, number)
		if !b.names[name] {
			b.names[name] = true
			return name
		}
	}
}

// ----------------------------------------------------------------------------
// Replacing groups

// replacement is one group to be given up for another.
type replacement struct {
	old group.Record
	// model is what the new group serves.
	model declaration.Model
	zones []string
	// inPlace tells that the old group's own VMs may be used again.
	inPlace bool
}

// replaceAll plans replacements: make before break as long as there is room,
// a batch at a time, with the VMs that become free used for the next batch.
// Where there is none, a group is formed anew in its own place.
func (b *builder) replaceAll(todo []replacement) error {
	for _, item := range todo {
		if err := b.touch(item.old); err != nil {
			return err
		}
	}
	parallel := b.world.Configuration.Declaration.Limits.Parallel()
	for len(todo) > 0 {
		batch := todo[:min(parallel, len(todo))]
		left, err := b.replaceBatch(batch)
		if err != nil {
			return err
		}
		todo = append(left, todo[len(batch):]...)
	}
	return nil
}

// replaceBatch plans one batch and returns what is to be tried again.
func (b *builder) replaceBatch(batch []replacement) ([]replacement, error) {
	wants := make([]placement.Want, len(batch))
	for i, item := range batch {
		wants[i] = placement.Want{
			Name:  item.old.Name,
			Size:  item.model.VMsPerReplica,
			Zones: item.zones,
		}
	}
	choices := placement.Place(b.domains, wants, b.world.Configuration.Declaration.Weights)
	var placed, left []replacement
	for i, choice := range choices {
		if len(choice.Members) == 0 {
			left = append(left, batch[i])
			continue
		}
		b.form(batch[i].model, choice)
		placed = append(placed, batch[i])
	}
	if len(placed) == 0 {
		return left[1:], b.replaceWithoutRoom(left[0])
	}
	b.stage++
	for _, item := range placed {
		b.drain(item.old, item.inPlace)
	}
	b.stage++
	return left, nil
}

// replaceWithoutRoom plans for a group that no spare VMs can stand in for.
func (b *builder) replaceWithoutRoom(item replacement) error {
	if item.inPlace && len(item.old.Members) == item.model.VMsPerReplica {
		b.reform(item.old, item.model, item.old.Members)
		b.stage++
		return nil
	}
	if b.intent.AllowFewer {
		b.note("group %s goes without replacement: no room for %d VMs of one fabric domain", item.old.Name, item.model.VMsPerReplica)
		b.drain(item.old, item.inPlace)
		b.stage++
		return nil
	}
	return errors.Wrapf(ErrNoRoom, "group %q: no %d free VMs in one fabric domain of %v; add VMs or allow fewer groups", item.old.Name, item.model.VMsPerReplica, item.zones)
}

// form plans a new group on free VMs.
func (b *builder) form(model declaration.Model, choice placement.Choice) {
	members := MembersOf(choice.Members)
	record := group.Record{
		Name:    b.freshName(model.Name),
		Model:   model.Name,
		Version: model.Version,
		Adapter: model.Adapter,
		Role:    model.Role,
	}
	record = record.WithMembers(members, choice.Zone, choice.Domain, 0)
	b.takeFree(choice.Domain, members)
	loadSeconds := model.LoadTime.Or(declaration.DefaultLoadTime).Seconds()
	b.steps = append(b.steps, Step{
		Stage:           b.stage,
		Verb:            Form,
		Group:           record.Name,
		Record:          &record,
		Needs:           fmt.Sprintf("%d free VMs of %s, one load of %s from the weight store for each", len(members), choice.Domain, model.Name),
		StrandedSeconds: loadSeconds * float64(record.Accelerators()),
	})
}

// takeFree makes VMs no longer free. Those free today are reserved at confirm.
func (b *builder) takeFree(domain string, members []group.Member) {
	for _, member := range members {
		if b.world.Claims[member.VM].Free() {
			b.standOn(vm.Key(member.VM))
			b.reserves[member.VM] = true
		}
	}
	for i := range b.domains {
		if b.domains[i].Name != domain {
			continue
		}
		taken := group.Record{
			Members: members,
		}
		var free []vm.VM
		for _, candidate := range b.domains[i].Free {
			if !taken.Has(candidate.ID) {
				free = append(free, candidate)
			}
		}
		b.domains[i].Free = free
		b.domains[i].Groups++
	}
}

// drain plans the end of a group. Its VMs are free for later stages where
// reuse is true.
func (b *builder) drain(record group.Record, reuse bool) {
	b.steps = append(b.steps, Step{
		Stage:           b.stage,
		Verb:            Drain,
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
			if listed, ok := b.world.VM(member.VM); ok && listed.State == vm.Live {
				b.domains[i].Free = append(b.domains[i].Free, listed)
			}
		}
	}
}

// reform plans that a group ends its work and forms anew on members.
func (b *builder) reform(old group.Record, model declaration.Model, members []group.Member) {
	next := old.WithModel(model.Version, model.Adapter, model.Role)
	next.Members = members
	seconds := drainSeconds + model.LoadTime.Or(declaration.DefaultLoadTime).Seconds()
	b.steps = append(b.steps, Step{
		Stage:           b.stage,
		Verb:            Reform,
		Group:           old.Name,
		Record:          &next,
		Needs:           "the group's own VMs; it cannot serve meanwhile",
		DowntimeSeconds: seconds,
		StrandedSeconds: seconds * float64(old.Accelerators()),
	})
}
