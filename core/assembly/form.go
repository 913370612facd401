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

const (
	// loadBurst is how many loads beyond the weight store's limit may start in a window;
	// the platform allows three.
	loadBurst = 2
	// loadWindowMargin is added to the window because the delay of orders varies.
	loadWindowMargin = 250 * time.Millisecond
	// takeoverFraction is the fraction of a window's loads that a new leader may start in
	// its first window, because it has no record of the loads that its predecessor has just
	// started. Each leader reserves as many for two successors.
	takeoverFraction = 1.0 / 6
	// settleTime is how long the number of servers must not have changed for the fleet to be
	// considered complete at the start: servers write their first entries within one
	// heartbeat.
	settleTime = 350 * time.Millisecond
)

// formGroups plans new groups and stages weights, for every service of engines.
func (c *Controller) formGroups(input Input, plan *Plan) {
	if c.pendingRecords == nil {
		c.pendingRecords = map[string]Record{}
	}
	if c.stageOrders == nil {
		c.stageOrders = map[string]stageOrder{}
	}
	c.pruneStageOrders(input.Fleet)
	for i := range input.Config.Services {
		service := &input.Config.Services[i]
		if service.Engine != nil && len(service.Engine.Models) > 0 {
			c.planService(service, input, plan)
		}
	}
}

// hasSettled reports whether all servers of a new system seem to be present, so that groups
// can be spread evenly over the domains.
func (c *Controller) hasSettled(state *serviceState) bool {
	if c.serverCounts == nil {
		c.serverCounts = map[string]serverCount{}
	}
	last := c.serverCounts[state.service.Name]
	if last.servers != state.totalServers {
		c.serverCounts[state.service.Name] = serverCount{
			servers: state.totalServers,
			since:   time.Now(),
		}
		return false
	}
	return state.totalServers > 0 && time.Since(last.since) > settleTime
}

// planService plans one service.
func (c *Controller) planService(service *config.Service, input Input, plan *Plan) {
	c.updateDemands(service, input)
	state := c.newServiceState(service, input, plan)
	c.reportTargets(state, plan)
	if input.IsStartupPhase && !c.hasSettled(state) {
		return
	}
	for {
		model, ok := state.neediestModel(false)
		if !ok {
			break
		}
		if !c.formGroup(state, model, input, plan) {
			state.isPostponed[model.Name] = true
		}
	}
	state.countReplacedGroups(input)
	c.endSurplus(state, plan)
	c.convert(state, input, plan)
	c.warmUp(state, input, plan)
	c.stageWeights(state, input, plan)
}

// formGroup plans a group of a model in the domain where it forms soonest, and reports
// whether it did. After the startup phase a group forms only of servers that need no load
// from the weight store and have answered a probe recently.
func (c *Controller) formGroup(state *serviceState, model config.Model, input Input, plan *Plan) bool {
	var best []fleet.Server
	bestLoads, bestGroups := math.MaxInt, math.MaxInt
	for _, domain := range state.domains {
		candidate := state.fastestChoice(domain, model)
		if candidate.members == nil || state.isFreeingDomain[domain] || c.isReservedForOther(state, domain, model) {
			continue
		}
		groups := state.liveInDomain[domain][model.Name]
		if candidate.loads < bestLoads || (candidate.loads == bestLoads && groups < bestGroups) {
			best, bestLoads, bestGroups = candidate.members, candidate.loads, groups
		}
	}
	if best == nil || (bestLoads > 0 && !input.IsStartupPhase) || !c.mayLoad(bestLoads, state.service.Engine, input) {
		return false
	}
	if !input.IsStartupPhase && !c.haveAllAnswered(best, plan) {
		// The servers have been probed. Until they answer, each step reserves them for this
		// group. Without the reservation a group of another model took half of the servers
		// of a lost group, which came back by a conversion 2 s later.
		state.reserve(model, best)
		return false
	}
	name := c.planRecord(Record{
		Model: model.Name,
	}, state, best, input, plan)
	state.countGroup(best[0].Domain, model.Name)
	c.recordReplacement(state, model, name)
	return true
}

// planRecord plans the record of a group of free servers and returns the group's name.
func (c *Controller) planRecord(record Record, state *serviceState, members []fleet.Server, input Input, plan *Plan) string {
	c.lastGroupNumber++
	record.Era = input.Era
	record.Name = groupName(rowstore.Revision{
		Era:     input.Era,
		Version: input.Fleet.Version,
	}, c.lastGroupNumber)
	record.Service = state.service.Name
	record.Members = serverIDs(members)
	for _, id := range record.Members {
		delete(c.stageOrders, id)
	}
	state.removeFree(members[0].Domain, record.Members)
	c.pendingRecords[record.Name] = record
	plan.NewRecords = append(plan.NewRecords, record)
	return record.Name
}

// serverIDs returns the IDs of servers.
func serverIDs(servers []fleet.Server) []string {
	ids := make([]string, len(servers))
	for i, server := range servers {
		ids[i] = server.ID
	}
	return ids
}

// groupName returns a name that no other group has or had: revisions of the store never
// repeat, and a controller numbers its own groups.
func groupName(revision rowstore.Revision, number int) string {
	const base = 36
	return "g" + strconv.FormatInt(revision.Ordinal(), base) + "-" + strconv.Itoa(number)
}

// memberChoice is the servers that would form a group soonest.
type memberChoice struct {
	// members is nil if there are too few servers.
	members []fleet.Server
	// loads is how many of the members must load the model's weights from the weight store
	// first.
	loads int
}

// chooseMembers returns the free servers that would form a group of a model soonest.
func chooseMembers(free []fleet.Server, model config.Model) memberChoice {
	if len(free) < model.GroupSize {
		return memberChoice{}
	}
	ranked := slices.Clone(free)
	slices.SortStableFunc(ranked, func(a, b fleet.Server) int {
		return cmp.Compare(joinRank(a, model.Name), joinRank(b, model.Name))
	})
	chosen := memberChoice{
		members: ranked[:model.GroupSize],
	}
	for _, member := range chosen.members {
		if joinRank(member, model.Name) >= rankMustLoad {
			chosen.loads++
		}
	}
	return chosen
}

// rankMustLoad is the lowest rank of servers that must load weights from the weight store.
const rankMustLoad = 2

// joinRank orders servers by how soon they are ready with a model. Among those that must
// load, servers without staged weights come first.
func joinRank(server fleet.Server, model string) int {
	switch {
	case server.CanJoinWithoutLoading(model):
		return 0
	case server.HasStaged(model):
		return 1
	case len(server.Staged) == 0:
		return rankMustLoad
	default:
		return rankMustLoad + 1
	}
}

// mayLoad reports whether this many loads may start now. Loads in the startup phase are not
// limited: according to the platform's documentation, loads before the first request do not
// count.
func (c *Controller) mayLoad(loads int, engine *config.Engine, input Input) bool {
	if loads == 0 || input.IsStartupPhase {
		return true
	}
	now := time.Now()
	c.loadStarts = slices.DeleteFunc(c.loadStarts, func(at time.Time) bool {
		return now.Sub(at) > input.LoadWindow+loadWindowMargin
	})
	limit := c.loadLimit(engine, input, now)
	return len(c.loadStarts)+c.pendingLoads()+loads <= max(limit, loads)
}

// loadLimit returns how many loads this leader may start in a window. The weight store's
// limit applies to all leaders of a window together.
func (c *Controller) loadLimit(engine *config.Engine, input Input, now time.Time) int {
	limit := int(engine.LoadsPerSecond*input.LoadWindow.Seconds()*max(1, input.LoadLimitFactor)) + loadBurst
	takeoverLimit := max(1, int(takeoverFraction*float64(limit)))
	if now.Sub(c.firstStepAt) <= input.LoadWindow+loadWindowMargin {
		return takeoverLimit
	}
	const successors = 2
	return limit - successors*takeoverLimit
}

// pendingLoads returns the maximum number of loads of groups whose records are being written,
// one for each member; their orders follow.
func (c *Controller) pendingLoads() int {
	count := 0
	for _, record := range c.pendingRecords {
		count += len(record.Members)
	}
	return count
}
