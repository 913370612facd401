package assembly

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
)

// Figures of planning.
const (
	// loadSlack is how many loads beyond the weight store's bound may begin in
	// a window; the platform allows three.
	loadSlack = 2
	// loadMargin is added to the window: orders do not all travel alike.
	loadMargin = 250 * time.Millisecond
	// takeoverPart is the part of a window's loads that a leader may begin in its first
	// window: it does not know what the one before has just begun. Each leaves as much to
	// two successors.
	takeoverPart = 1.0 / 6
	// settleTime is how long no server must have come for all to count as there
	// when the system starts: they write their first entries within one heartbeat.
	settleTime = 350 * time.Millisecond
)

// form plans new groups and stages weights, for every service of engines.
func (c *Controller) form(world World, plan *Plan) {
	if c.creating == nil {
		c.creating = map[string]Record{}
	}
	if c.staged == nil {
		c.staged = map[string]stageOrder{}
	}
	c.forgetStaged(world.Fleet)
	for i := range world.Config.Services {
		service := &world.Config.Services[i]
		if service.Engine != nil && len(service.Engine.Models) > 0 {
			c.formService(service, world, plan)
		}
	}
}

// hasSettled tells whether all servers of a new system seem to be there, so
// that groups can be spread evenly over the domains.
func (c *Controller) hasSettled(at *layout) bool {
	if c.counted == nil {
		c.counted = map[string]count{}
	}
	known := c.counted[at.service.Name]
	if known.servers != at.total {
		c.counted[at.service.Name] = count{
			servers: at.total,
			since:   time.Now(),
		}
		return false
	}
	return at.total > 0 && time.Since(known.since) > settleTime
}

// formService plans one service.
func (c *Controller) formService(service *config.Service, world World, plan *Plan) {
	c.estimate(service, world)
	at := c.layout(service, world, plan)
	c.noteWants(at, plan)
	if world.IsStart && !c.hasSettled(at) {
		return
	}
	for {
		model, ok := at.neediest(false)
		if !ok {
			break
		}
		if !c.formGroup(at, model, world, plan) {
			at.postponed[model.Name] = true
		}
	}
	c.convert(at, world, plan)
	c.warmUp(at, world, plan)
	c.stageFree(at, world, plan)
}

// formGroup plans a group of a model in the domain where it forms soonest, and
// tells whether it did.
func (c *Controller) formGroup(at *layout, model config.Model, world World, plan *Plan) bool {
	var best []fleet.Server
	bestLoads, bestGroups := math.MaxInt, math.MaxInt
	for _, domain := range at.domains {
		found := at.soonest(domain, model)
		if found.members == nil || at.isFreeing[domain] || c.isReservedFor(at, domain, model) {
			continue
		}
		groups := at.inDomain[domain][model.Name]
		if found.loads < bestLoads || (found.loads == bestLoads && groups < bestGroups) {
			best, bestLoads, bestGroups = found.members, found.loads, groups
		}
	}
	if best == nil || (bestLoads > 0 && !world.IsStart) || !c.mayLoad(bestLoads, at.service.Engine, world) {
		return false
	}
	if !world.IsStart && !c.areAlive(best, plan) {
		// They are asked; until they answer they are kept for this group. Else a group of
		// another model took half of the servers of a lost one, and came back by a conversion
		// 2 s later.
		at.keepFor(model, best)
		return false
	}
	c.create(Record{
		Model: model.Name,
	}, at, best, world, plan)
	at.add(best[0].Domain, model.Name)
	return true
}

// create plans the record of a group of free servers.
func (c *Controller) create(record Record, at *layout, members []fleet.Server, world World, plan *Plan) {
	c.number++
	record.Era = world.Era
	record.Name = groupName(rowstore.Revision{
		Era:     world.Era,
		Version: world.Fleet.Version,
	}, c.number)
	record.Service = at.service.Name
	record.Members = idsOf(members)
	for _, id := range record.Members {
		delete(c.staged, id)
	}
	at.take(members[0].Domain, record.Members)
	c.creating[record.Name] = record
	plan.Create = append(plan.Create, record)
}

// idsOf returns the IDs of servers.
func idsOf(servers []fleet.Server) []string {
	ids := make([]string, len(servers))
	for i, server := range servers {
		ids[i] = server.ID
	}
	return ids
}

// groupName returns a name that no other group has or had: revisions of the
// store never repeat, and a controller counts its own.
func groupName(at rowstore.Revision, number int) string {
	const base = 36
	return "g" + strconv.FormatInt(at.Ordinal(), base) + "-" + strconv.Itoa(number)
}

// choice is the servers that would form a group soonest.
type choice struct {
	// members are nil where there are too few servers.
	members []fleet.Server
	// loads is how many of them must load the model's weights first.
	loads int
}

// choose returns the free servers that would form a group of a model soonest.
func choose(free []fleet.Server, model config.Model) choice {
	if len(free) < model.Size {
		return choice{}
	}
	ranked := slices.Clone(free)
	slices.SortStableFunc(ranked, func(a, b fleet.Server) int {
		return cmp.Compare(joinRank(a, model.Name), joinRank(b, model.Name))
	})
	chosen := choice{
		members: ranked[:model.Size],
	}
	for _, member := range chosen.members {
		if joinRank(member, model.Name) >= rankLoad {
			chosen.loads++
		}
	}
	return chosen
}

// rankLoad and above are the ranks of servers that must load weights.
const rankLoad = 2

// joinRank orders servers by how soon they are ready with a model, and among
// those that must load by how little is lost by it.
func joinRank(server fleet.Server, model string) int {
	switch {
	case server.CanRejoin(model):
		return 0
	case server.HasStaged(model):
		return 1
	case len(server.Staged) == 0:
		return rankLoad
	default:
		return rankLoad + 1
	}
}

// mayLoad tells whether so many loads may begin now. Those before the first request
// do not count, as the platform's pages say.
func (c *Controller) mayLoad(loads int, engine *config.Engine, world World) bool {
	if loads == 0 || world.IsStart {
		return true
	}
	now := time.Now()
	c.loads = slices.DeleteFunc(c.loads, func(at time.Time) bool {
		return now.Sub(at) > world.LoadWindow+loadMargin
	})
	limit := c.loadLimit(engine, world, now)
	return len(c.loads)+c.reserved()+loads <= max(limit, loads)
}

// loadLimit returns how many loads this leader may begin in a window. The weight store's bound
// is for all leaders of a window together.
func (c *Controller) loadLimit(engine *config.Engine, world World, now time.Time) int {
	limit := int(engine.LoadsPerSecond*world.LoadWindow.Seconds()*max(1, world.LoadExcess)) + loadSlack
	first := max(1, int(takeoverPart*float64(limit)))
	if now.Sub(c.began) <= world.LoadWindow+loadMargin {
		return first
	}
	const successors = 2
	return limit - successors*first
}

// reserved counts the loads of groups being created, whose orders come next.
func (c *Controller) reserved() int {
	count := 0
	for _, record := range c.creating {
		count += len(record.Members)
	}
	return count
}
