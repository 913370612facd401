// Package measures runs a seeded sequence of failures and one migration against the real
// decision code, and sums up two measures: group downtime and stranded accelerators.
//
// The runs use a paused clock, so that simulated hours take seconds. Each run has its own
// simulated fleet of package fleet. Runs with the same seed have the same failures at the same
// times, whatever their policy.
package measures

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"headcourse/core/control"
	"headcourse/core/declaration"
	"headcourse/core/placement"
	"headcourse/core/plan"
	"headcourse/core/vm"
	"headcourse/lab/fleet"
)

// Settings configure a comparison.
type Settings struct {
	Hours    float64
	Seeds    []uint64
	LoadTime time.Duration
}

// OperatorWeights holds the weights of one operator.
type OperatorWeights struct {
	Operator string
	Weights  declaration.Weights
}

// Policy is a combination of a repair policy and an order of migration steps.
type Policy struct {
	Name            string
	Repairer        control.Repairer
	BreakBeforeMake bool
}

// Policies returns the policy of headcourse and the baselines.
func Policies() []Policy {
	return []Policy{{
		Name:     "headcourse",
		Repairer: placement.CostBased{},
	}, {
		Name:     "first-fit repair",
		Repairer: placement.FirstFit{},
	}, {
		Name:     "always wait for the member",
		Repairer: placement.AlwaysWait{},
	}, {
		Name:            "break before make",
		Repairer:        placement.CostBased{},
		BreakBeforeMake: true,
	}}
}

// Result is the result of one run.
type Result struct {
	Policy  Policy
	Weights OperatorWeights
	Seed    uint64
	// Group downtime is in group seconds, stranded accelerators are in accelerator hours.
	GroupDowntimeSeconds     float64
	StrandedAcceleratorHours float64
	// Cost is the weighted sum of group seconds and stranded accelerator seconds.
	Cost float64
	// Violations holds the invariant violations that the oracle found.
	Violations []string
}

// CompareAndExit runs every policy with all weights and seeds in parallel and passes the results to
// report. It then ends the process, because the paused clock requires the main function of
// package testing. The exit code is 1 if report returns an error.
func CompareAndExit(settings Settings, operators []OperatorWeights, report func([]Result) error) {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		panic(err)
	}
	testing.Main(func(string, string) (bool, error) {
		return true, nil
	}, []testing.InternalTest{{
		Name: "measures",
		F: func(t *testing.T) {
			results := runAll(t, settings, operators)
			if err := report(results); err != nil {
				t.Fatal(err)
			}
		},
	}}, nil, nil)
}

// runAll runs all combinations and returns the results in a fixed order.
func runAll(t *testing.T, settings Settings, operators []OperatorWeights) []Result {
	var results []Result
	for _, weights := range operators {
		for _, policy := range Policies() {
			for _, seed := range settings.Seeds {
				results = append(results, Result{
					Policy:  policy,
					Weights: weights,
					Seed:    seed,
				})
			}
		}
	}
	t.Run("runs", func(t *testing.T) {
		for i, result := range results {
			t.Run(strconv.Itoa(i), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(*testing.T) {
					results[i] = run(settings, result)
				})
			})
		}
	})
	return results
}

const (
	daemons      = 3
	vmsPerDomain = 9
	vmsPerGroup  = 4
	accelerators = 8
)

// runDeclaration returns the declaration of a run.
func runDeclaration(settings Settings, weights OperatorWeights) declaration.Declaration {
	declared := fleet.NewDeclaration(map[string]int{
		"z0": 3,
		"z1": 3,
		"z2": 2,
	}, "1")
	declared.Weights = weights.Weights
	declared.Models[0].VMsPerReplica = vmsPerGroup
	declared.Models[0].LoadTime = declaration.Duration(settings.LoadTime.String())
	return declared
}

// declaredGroups is the number of declared groups.
const declaredGroups = 8

// run runs one policy with one seed.
func run(settings Settings, result Result) Result {
	policy := result.Policy
	simulated := fleet.New(fleet.Settings{
		Daemons:      daemons,
		VMsPerDomain: vmsPerDomain,
		ChecksOrders: true,
		LoadTime:     settings.LoadTime,
		Repairer:     policy.Repairer,
	})
	current := &simulation{
		fleet:    simulated,
		policy:   policy,
		returnAt: map[string]time.Time{},
	}
	simulated.Run(5 * time.Second)
	_ = simulated.Apply(simulated.Daemons[0], runDeclaration(settings, result.Weights))
	simulated.Run(6 * time.Second)
	current.executePlan(plan.Intent{
		Kind: plan.Reconcile,
	})
	simulated.Run(5*time.Minute + 3*settings.LoadTime)
	current.playEvents(settings, result.Seed)
	result.GroupDowntimeSeconds = current.groupDowntimeSeconds
	result.StrandedAcceleratorHours = current.strandedAcceleratorSeconds / 3600
	result.Cost = result.Weights.Weights.GroupDowntime*current.groupDowntimeSeconds + result.Weights.Weights.StrandedAccelerators*current.strandedAcceleratorSeconds
	result.Violations = simulated.Violations
	return result
}

// simulation runs the event sequence of one run and sums up the measures.
type simulation struct {
	fleet                      *fleet.Fleet
	policy                     Policy
	planCount                  int
	groupDowntimeSeconds       float64
	strandedAcceleratorSeconds float64
	// returnAt holds when a VM that is down answers again and, under "list " and its id, when
	// a leaving VM is listed as live again.
	returnAt       map[string]time.Time
	storeReturnsAt time.Time
}

// event is one event of the sequence.
type event struct {
	offset time.Duration
	apply  func()
}

// playEvents advances the simulation for the configured hours and applies the events drawn
// from the seed.
func (s *simulation) playEvents(settings Settings, seed uint64) {
	span := time.Duration(settings.Hours * float64(time.Hour))
	events := s.drawEvents(seed, span)
	startedAt := time.Now()
	for time.Since(startedAt) < span {
		for len(events) > 0 && time.Since(startedAt) >= events[0].offset {
			events[0].apply()
			events = events[1:]
		}
		s.endDueFaults()
		s.fleet.Run(fleet.Tick)
		s.sample()
	}
}

// Rates of the failures, per day. The rates are those of a fleet of this size, except for
// crashes and restarts. These are as frequent as in a fleet thirty times larger, so that a run
// of some hours has enough of them. drainZoneAfter and reopenZoneAfter are fractions of the
// run.
const (
	crashesPerDay            = 40
	restartsPerDay           = 40
	pausesPerDay             = 60
	leavingVMsPerDay         = 8
	domainOutagesPerDay      = 3
	storeOutagesPerDay       = 3
	daemonReplacementsPerDay = 12
	drainZoneAfter           = 0.4
	reopenZoneAfter          = 0.7
)

// drawEvents draws the event sequence of a run.
func (s *simulation) drawEvents(seed uint64, span time.Duration) []event {
	random := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // reproducible sequence, no secret
	days := span.Hours() / 24
	var events []event
	draw := func(rate float64, apply func(random *rand.Rand)) {
		for range int(rate*days + 0.5) {
			eventRandom := rand.New(rand.NewPCG(random.Uint64(), 5)) //nolint:gosec // reproducible sequence, no secret
			events = append(events, event{
				offset: time.Duration(random.Float64() * float64(span)),
				apply: func() {
					apply(eventRandom)
				},
			})
		}
	}
	draw(crashesPerDay, func(random *rand.Rand) {
		s.crash(s.drawVM(random), exponentialDuration(random, 25*time.Minute))
	})
	draw(restartsPerDay, func(random *rand.Rand) {
		s.crash(s.drawVM(random), 20*time.Second+exponentialDuration(random, 40*time.Second))
	})
	draw(pausesPerDay, func(random *rand.Rand) {
		s.pause(s.drawVM(random), exponentialDuration(random, 15*time.Second))
	})
	draw(leavingVMsPerDay, func(random *rand.Rand) {
		s.markLeaving(s.drawVM(random), 30*time.Minute)
	})
	draw(domainOutagesPerDay, func(random *rand.Rand) {
		s.pauseDomain(s.drawVM(random), exponentialDuration(random, 4*time.Minute))
	})
	draw(storeOutagesPerDay, func(random *rand.Rand) {
		s.fleet.StoreUnavailable = true
		s.storeReturnsAt = time.Now().Add(exponentialDuration(random, 15*time.Minute))
	})
	draw(daemonReplacementsPerDay, func(random *rand.Rand) {
		s.replaceDaemon(random.IntN(len(s.fleet.Daemons)))
	})
	events = append(events, event{
		offset: time.Duration(drainZoneAfter * float64(span)),
		apply: func() {
			s.executePlan(plan.Intent{
				Kind:       plan.DrainZone,
				Zone:       "z2",
				AllowFewer: true,
			})
		},
	}, event{
		offset: time.Duration(reopenZoneAfter * float64(span)),
		apply: func() {
			s.executePlan(plan.Intent{
				Kind: plan.ReopenZone,
				Zone: "z2",
			})
		},
	})
	sort.SliceStable(events, func(i, j int) bool {
		return events[i].offset < events[j].offset
	})
	return events
}

// exponentialDuration draws a duration from an exponential distribution with a mean.
func exponentialDuration(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// drawVM returns the id of a random VM.
func (s *simulation) drawVM(random *rand.Rand) string {
	return s.fleet.VMIDs[random.IntN(len(s.fleet.VMIDs))]
}

// crash crashes a VM's server, which answers again after a duration.
func (s *simulation) crash(id string, duration time.Duration) {
	s.fleet.Servers[id].Crash()
	s.returnAt[id] = time.Now().Add(duration)
}

// pause makes a VM's server stop answering for a duration without losing its state. A crashed
// server stays as it is.
func (s *simulation) pause(id string, duration time.Duration) {
	if !s.fleet.Servers[id].Crashed {
		s.fleet.Servers[id].Paused = true
		s.returnAt[id] = time.Now().Add(duration)
	}
}

// pauseDomain pauses all servers in the fabric domain of a VM.
func (s *simulation) pauseDomain(id string, duration time.Duration) {
	for _, other := range s.fleet.VMIDs {
		if s.fleet.Servers[other].VM.Domain == s.fleet.Servers[id].VM.Domain {
			s.pause(other, duration)
		}
	}
}

// markLeaving lists a VM as leaving for a duration.
func (s *simulation) markLeaving(id string, duration time.Duration) {
	listed := s.fleet.VMList[id]
	listed.State = vm.Leaving
	s.fleet.VMList[id] = listed
	s.returnAt["list "+id] = time.Now().Add(duration)
}

// replaceDaemon removes one daemon and starts another.
func (s *simulation) replaceDaemon(index int) {
	s.fleet.Daemons = append(s.fleet.Daemons[:index], s.fleet.Daemons[index+1:]...)
	s.fleet.AddDaemon()
}

// endDueFaults ends the faults whose duration has passed.
func (s *simulation) endDueFaults() {
	now := time.Now()
	if s.fleet.StoreUnavailable && now.After(s.storeReturnsAt) {
		s.fleet.StoreUnavailable = false
	}
	for _, id := range s.fleet.VMIDs {
		if due, ok := s.returnAt[id]; ok && now.After(due) {
			s.fleet.Servers[id].Crashed = false
			s.fleet.Servers[id].Paused = false
			delete(s.returnAt, id)
		}
		if due, ok := s.returnAt["list "+id]; ok && now.After(due) {
			s.fleet.VMList[id] = s.fleet.Servers[id].VM
			delete(s.returnAt, "list "+id)
		}
	}
}

// sample adds one tick to the measures.
func (s *simulation) sample() {
	snapshot := s.fleet.Daemons[0].Controller.Snapshot()
	serving := snapshot.ServingGroups("m", time.Now())
	powered := 0
	for _, id := range s.fleet.VMIDs {
		if !s.fleet.Servers[id].Crashed {
			powered += accelerators
		}
	}
	used := len(serving) * vmsPerGroup * accelerators
	s.groupDowntimeSeconds += fleet.Tick.Seconds() * float64(max(0, declaredGroups-len(serving)))
	s.strandedAcceleratorSeconds += fleet.Tick.Seconds() * float64(powered-used)
}

// executePlan proposes a plan for an intent and confirms it. It does nothing if the plan
// cannot be built.
func (s *simulation) executePlan(intent plan.Intent) {
	s.planCount++
	id := fmt.Sprintf("plan-%d", s.planCount)
	proposer := s.fleet.Daemons[0]
	if _, err := s.fleet.Propose(proposer, id, intent); err != nil {
		return
	}
	if s.policy.BreakBeforeMake {
		_ = s.fleet.OverwritePlan(id, drainFirst)
	}
	s.fleet.Run(4 * time.Second)
	_ = s.fleet.Confirm(proposer, id)
}

// drainFirst swaps each stage that forms groups with the draining stage that follows it.
func drainFirst(changed plan.Plan) plan.Plan {
	hasDrain := map[int]bool{}
	for _, step := range changed.Steps {
		hasDrain[step.Stage] = hasDrain[step.Stage] || step.Action == plan.Drain
	}
	for i, step := range changed.Steps {
		switch {
		case step.Action == plan.Form && hasDrain[step.Stage+1]:
			changed.Steps[i].Stage++
		case step.Action == plan.Drain && step.Stage > 0:
			changed.Steps[i].Stage--
		}
	}
	return changed
}
