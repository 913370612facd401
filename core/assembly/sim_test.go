package assembly_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"headcourse/core/assembly"
	"headcourse/core/config"
	"headcourse/core/evacuation"
	"headcourse/core/fleet"
	"headcourse/core/usage"
)

// Times of the simulated fleet, as the platform's pages give them.
const (
	simStep   = 50 * time.Millisecond
	simLapse  = 3600 * time.Millisecond
	simStall  = 5 * time.Second
	simForm   = 300 * time.Millisecond
	simLoad   = 12 * time.Second
	simWarm   = 1500 * time.Millisecond
	simRejoin = 200 * time.Millisecond
	simLeave  = 10 * time.Second
	// simToken is the time in which each request gets one more token.
	simToken = 10 * time.Millisecond
)

// simFleet is a fleet with a store of records. It checks what must always hold:
// a head opens only if every member was ready under the group's name and epoch;
// and no server joins a group while the head of its own group, which it has not
// left, serves or stands still.
type simFleet struct {
	config   *config.Config
	servers  map[string]*simServer
	records  map[string]assembly.Record
	epoch    int64
	era      int64
	next     int
	late     []lateOrder
	violated []string
	view     fleet.View
	orders   map[string]int
	// recent is what the store tells of the models that servers loaded last.
	recent map[string]string
	// probes counts the probes.
	probes int
	// cleared counts how often the suspicion of a group was dropped.
	cleared map[string]int
	// asked is what callers ask of each model, in requests of 100 tokens; one that is not
	// there is not known.
	asked map[string]usage.Rate
	// zones are the zones of domains, evacuated those that are evacuated. A join there is a
	// violation.
	zones     map[string]string
	evacuated evacuation.Zones
	// isIdle tells that no client has sent a request yet.
	isIdle bool
}

// lateOrder is an order that is carried out later.
type lateOrder struct {
	order assembly.Order
	at    time.Time
}

// newSim returns a fleet of domains with serversOfDomain servers each.
func newSim(domains int) *simFleet {
	return newSimOf(simConfig(), domains, serversOfDomain)
}

// newSimOf returns a fleet of domains of some size that serves a configuration.
func newSimOf(known *config.Config, domains, servers int) *simFleet {
	s := &simFleet{
		config:  known,
		servers: map[string]*simServer{},
		records: map[string]assembly.Record{},
		epoch:   10,
		orders:  map[string]int{},
		recent:  map[string]string{},
		cleared: map[string]int{},
		asked:   map[string]usage.Rate{},
	}
	for d := range domains {
		for range servers {
			s.add(fmt.Sprintf("d%d", d), "")
		}
	}
	return s
}

// add starts a server in a domain whose host keeps a model's weights.
func (s *simFleet) add(domain, staged string) {
	s.next++
	one := &simServer{
		id:       fmt.Sprintf("i-%03d", s.next),
		domain:   domain,
		staged:   staged,
		wasReady: map[string]bool{},
	}
	s.servers[one.id] = one
}

// simConfig is a service of two models, of four and of two servers.
func simConfig() *config.Config {
	return config.New(config.Config{
		Version: 1,
		Services: []config.Service{
			{
				Name: "engines",
				Engine: &config.Engine{
					Capacity:       26,
					Step:           simToken,
					LoadsPerSecond: 4,
					LoadsAtOnce:    6,
					StagedModels:   1,
					Models: []config.Model{
						{
							Name:  "large",
							Size:  4,
							Share: 0.67,
							Load:  simLoad,
							Warm:  simWarm,
						},
						{
							Name:  "small",
							Size:  2,
							Share: 0.33,
							Load:  simLoad,
							Warm:  simWarm,
						},
					},
				},
			},
		},
	})
}

// tick lets time pass: loads end, groups without a member break, late orders
// are carried out.
func (s *simFleet) tick() {
	time.Sleep(simStep)
	now := time.Now()
	for _, one := range s.servers {
		if one.state == fleet.Joining && now.After(one.dueAt) {
			one.state = fleet.Ready
			one.loaded = one.model
			one.staged = one.model
			one.wasReady[fmt.Sprintf("%s/%d", one.group, one.epoch)] = true
		}
		if !one.stagedAt.IsZero() && now.After(one.stagedAt) {
			one.staged = one.staging
			one.stagedAt = time.Time{}
		}
		if one.isDeaf && now.After(one.endsAt) && !one.endsAt.IsZero() {
			one.isDead = true
		}
		s.breakStill(one)
	}
	due := s.late
	s.late = nil
	for _, late := range due {
		if now.Before(late.at) {
			s.late = append(s.late, late)
			continue
		}
		s.apply(late.order)
	}
}

// look returns the fleet as its entries show it.
func (s *simFleet) look() fleet.View {
	now := time.Now()
	var entries []fleet.Server
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		one := s.servers[id]
		if one.isDead && now.Sub(one.goneAt) > simLapse {
			continue
		}
		if (one.isDeaf && !one.isStale) || (one.isCut && now.Sub(one.cutAt) > simLapse) {
			continue
		}
		if one.isDead || one.isCut || one.isStale {
			// The entry stays as it was.
			if former, ok := s.view.Server(id); ok {
				entries = append(entries, former)
			}
			continue
		}
		entries = append(entries, s.entry(one))
	}
	s.epoch++
	s.view = s.view.WithAll(s.epoch, entries, now)
	return s.view
}

// entry returns a server's entry.
func (s *simFleet) entry(one *simServer) fleet.Server {
	entry := fleet.Server{
		ID:       one.id,
		Born:     one.born,
		Service:  "engines",
		Address:  "10.0.0.1:1",
		Zone:     s.zones[one.domain],
		Domain:   one.domain,
		Draining: one.drains,
		IsEngine: true,
	}
	if one.loaded != "" && one.state > fleet.Joining {
		entry.Models = []string{one.loaded}
	}
	if one.staged != "" {
		entry.Staged = []string{one.staged}
	}
	if one.state != fleet.NoGroup {
		entry.Membership = fleet.Membership{
			Group: one.group,
			Epoch: one.epoch,
			Rank:  slices.Index(one.members, one.id),
			State: one.state,
		}
	}
	return entry
}

// probe returns what a probe of a server finds.
func (s *simFleet) probe(server fleet.Server) assembly.Found {
	one := s.servers[server.ID]
	if one == nil || one.isDead {
		return assembly.Found{
			Sign: assembly.Silent,
		}
	}
	if one.isDeaf || one.born != server.Born {
		return assembly.Found{
			Sign: assembly.Refused,
		}
	}
	return assembly.Found{
		Sign: assembly.Alive,
		Pace: one.pace,
	}
}

// zoneOf returns the zone of a server.
func (s *simFleet) zoneOf(id string) string {
	return s.zones[s.servers[id].domain]
}

// stored returns the records, as a new leader reads them.
func (s *simFleet) stored() []assembly.Record {
	var all []assembly.Record
	for _, name := range slices.Sorted(maps.Keys(s.records)) {
		all = append(all, s.records[name])
	}
	return all
}

// fate says what becomes of one order: its answer may be lost, and it may be
// carried out late or not at all.
type fate struct {
	isLost bool
	delay  time.Duration
	isNone bool
}

// run has the controller decide once and carries out what it decides. fateOf
// gives each order's fate.
func (s *simFleet) run(c *assembly.Controller, isStart bool, fateOf func(assembly.Order) fate) {
	plan := c.Step(assembly.World{
		Config:     s.config,
		Fleet:      s.look(),
		Evacuated:  s.evacuated,
		Era:        s.era,
		IsSteady:   true,
		IsStart:    isStart,
		IsIdle:     s.isIdle,
		StallTime:  simStall,
		LoadWindow: 5 * time.Second,
		LoadExcess: 1.1,
		Asked: func(_, model string) (usage.Rate, bool) {
			rate, isKnown := s.asked[model]
			return rate, isKnown
		},
	})
	for _, record := range plan.Create {
		if zone := s.zoneOf(record.Members[0]); s.evacuated.Has(zone) {
			s.violated = append(s.violated, "group "+record.Name+" formed in evacuated zone "+zone)
		}
	}
	s.probes += len(plan.Probes)
	for _, server := range plan.Probes {
		c.Probed(server.ID, s.probe(server))
	}
	for _, group := range plan.Cleared {
		s.cleared[group]++
	}
	for _, order := range plan.Orders {
		s.orders[order.Kind.String()]++
		c.Ordered(order, s.give(order, fateOf(order)))
	}
	if len(plan.Create) > 0 {
		s.epoch++
		for _, record := range plan.Create {
			s.records[record.Name] = record.WithVersion(s.epoch)
		}
		c.Created(plan.Create, s.epoch)
	}
	for _, recent := range plan.Recent {
		maps.Copy(s.recent, recent.Models)
	}
	for _, name := range plan.Remove {
		delete(s.records, name)
	}
	c.Removed(plan.Remove)
}

// restart forgets what daemons know of the fleet but for what the store keeps.
func (s *simFleet) restart() *assembly.Controller {
	s.view = fleet.View{}
	s.look()
	s.view = s.view.WithRecent(s.recent)
	next := &assembly.Controller{}
	next.Load(s.stored())
	return next
}

// hold has callers ask as much of a model as lets each group that serves now hold so many
// requests.
func (s *simFleet) hold(model string, held int) {
	s.ask(model, float64(held*s.serving(model)))
}

// ask has callers ask as much of a model as lets all of its groups together hold so many
// requests.
func (s *simFleet) ask(model string, held float64) {
	const tokens = 100
	rate := held / simToken.Seconds()
	s.asked[model] = usage.Rate{
		Requests: rate / tokens,
		Answer:   rate,
	}
}

// give gives an order its fate.
func (s *simFleet) give(order assembly.Order, f fate) assembly.Result {
	switch {
	case f.isNone:
		return assembly.NoAnswer
	case f.delay > 0:
		s.late = append(s.late, lateOrder{
			order: order,
			at:    time.Now().Add(f.delay),
		})
		return assembly.NoAnswer
	case f.isLost:
		s.apply(order)
		return assembly.NoAnswer
	default:
		return s.apply(order)
	}
}

// killMember has a member of a group die, and the controller told that requests stand
// still there because of it.
func (s *simFleet) killMember(c *assembly.Controller, head *simServer, member int) (lost string) {
	lost = head.members[member]
	s.kill(lost)
	c.Suspect(head.group, head.epoch, lost)
	return lost
}

// serving counts the groups of a model that serve whole.
func (s *simFleet) serving(model string) int {
	count := 0
	for _, one := range s.servers {
		if one.model == model && s.isServing(one) {
			count++
		}
	}
	return count
}

// isServing tells whether a server is the head of a group that serves whole.
func (s *simFleet) isServing(one *simServer) bool {
	return one.state == fleet.Open && !one.isDead && one.stillAt.IsZero()
}
