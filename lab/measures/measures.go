// Package measures plays a seeded sequence of failures and one migration
// against the real decision code, and sums up the two measures of the brief:
// group downtime and stranded accelerators.
//
// It runs on the runtime's paused clock, so hours pass in seconds. Each run has
// a fleet of fakes of its own (package fleet); all policies of a seed meet the
// same failures at the same times.
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

// Settings are the properties of a comparison.
type Settings struct {
	Hours    float64
	Seeds    []uint64
	LoadTime time.Duration
}

// Weights of one operator.
type Weights struct {
	Name    string
	Weights declaration.Weights
}

// Policy is what is compared: how groups are repaired and how they are moved.
type Policy struct {
	Name            string
	Repairer        control.Repairer
	BreakBeforeMake bool
}

// Policies returns headcourse and the baselines.
func Policies() []Policy {
	return []Policy{{
		Name:     "headcourse",
		Repairer: placement.Weighed{},
	}, {
		Name:     "first-fit repair",
		Repairer: placement.FirstFit{},
	}, {
		Name:     "always wait for the member",
		Repairer: placement.AlwaysWait{},
	}, {
		Name:            "break before make",
		Repairer:        placement.Weighed{},
		BreakBeforeMake: true,
	}}
}

// Result is one run.
type Result struct {
	Policy  Policy
	Weights Weights
	Seed    uint64
	// Downtime is in group seconds, Stranded in accelerator hours.
	Downtime float64
	Stranded float64
	// Cost is both under the weights.
	Cost float64
	// Broken holds promises that the oracle saw broken.
	Broken []string
}

// Compare runs every policy for all weights and seeds, several at a time, gives
// the results to report, and ends the process: the paused clock belongs to the
// testing package, whose main function does so. The exit code is 1 when report
// fails.
func Compare(settings Settings, operators []Weights, report func([]Result) error) {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		panic(err)
	}
	testing.Main(func(string, string) (bool, error) {
		return true, nil
	}, []testing.InternalTest{{
		Name: "measures",
		F: func(t *testing.T) {
			results := compare(t, settings, operators)
			if err := report(results); err != nil {
				t.Fatal(err)
			}
		},
	}}, nil, nil)
}

// compare runs everything and returns the results in order.
func compare(t *testing.T, settings Settings, operators []Weights) []Result {
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

// Figures of a run.
const (
	daemons      = 3
	vmsPerDomain = 9
	vmsPerGroup  = 4
	accelerators = 8
)

// declared is the declaration of a run.
func declared(settings Settings, weights Weights) declaration.Declaration {
	made := fleet.Declared(map[string]int{
		"z0": 3,
		"z1": 3,
		"z2": 2,
	}, "1")
	made.Weights = weights.Weights
	made.Models[0].VMsPerReplica = vmsPerGroup
	made.Models[0].LoadTime = declaration.Duration(settings.LoadTime.String())
	return made
}

// wanted is how many groups are declared.
const wanted = 8

// run plays one policy.
func run(settings Settings, result Result) Result {
	policy := result.Policy
	f := fleet.New(fleet.Settings{
		Daemons:      daemons,
		VMsPerDomain: vmsPerDomain,
		ChecksOrders: true,
		LoadTime:     settings.LoadTime,
		Repairer:     policy.Repairer,
	})
	one := &player{
		fleet:  f,
		policy: policy,
		back:   map[string]time.Time{},
	}
	f.Run(5 * time.Second)
	_ = f.Apply(f.Hosts[0], declared(settings, result.Weights))
	f.Run(6 * time.Second)
	one.carryOut(plan.Intent{
		Kind: plan.Reconcile,
	})
	f.Run(5*time.Minute + 3*settings.LoadTime)
	one.play(settings, result.Seed)
	result.Downtime = one.downtime
	result.Stranded = one.stranded / 3600
	result.Cost = result.Weights.Weights.GroupDowntime*one.downtime + result.Weights.Weights.StrandedAccelerators*one.stranded
	result.Broken = f.Broken
	return result
}

// player plays the sequence of one run and sums up the measures.
type player struct {
	fleet    *fleet.Fleet
	policy   Policy
	plans    int
	downtime float64
	stranded float64
	// back holds when what is out returns.
	back      map[string]time.Time
	storeBack time.Time
}

// happening is one event of the sequence.
type happening struct {
	at time.Duration
	do func()
}

// play lets the hours pass and brings about what the seed says.
func (p *player) play(settings Settings, seed uint64) {
	span := time.Duration(settings.Hours * float64(time.Hour))
	sequence := p.sequence(seed, span)
	began := time.Now()
	for time.Since(began) < span {
		for len(sequence) > 0 && time.Since(began) >= sequence[0].at {
			sequence[0].do()
			sequence = sequence[1:]
		}
		p.restore()
		p.fleet.Run(fleet.Tick)
		p.sample()
	}
}

// Rates of the failures, a day: those of a fleet of this size, but for deaths
// and restarts, which come as often as to a fleet thirty times larger, so that
// a run of hours sees enough of them.
const (
	deathsADay    = 40
	restartsADay  = 40
	pausesADay    = 60
	leavingADay   = 8
	domainsADay   = 3
	storesADay    = 3
	daemonsADay   = 12
	migrationPart = 0.4
	returnPart    = 0.7
)

// sequence draws the events.
func (p *player) sequence(seed uint64, span time.Duration) []happening {
	random := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // reproducible sequence, no secret
	days := span.Hours() / 24
	var all []happening
	draw := func(rate float64, do func(random *rand.Rand)) {
		for range int(rate*days + 0.5) {
			own := rand.New(rand.NewPCG(random.Uint64(), 5)) //nolint:gosec // reproducible sequence, no secret
			all = append(all, happening{
				at: time.Duration(random.Float64() * float64(span)),
				do: func() {
					do(own)
				},
			})
		}
	}
	draw(deathsADay, func(random *rand.Rand) {
		p.kill(p.anyVM(random), exponential(random, 25*time.Minute))
	})
	draw(restartsADay, func(random *rand.Rand) {
		p.kill(p.anyVM(random), 20*time.Second+exponential(random, 40*time.Second))
	})
	draw(pausesADay, func(random *rand.Rand) {
		p.pause(p.anyVM(random), exponential(random, 15*time.Second))
	})
	draw(leavingADay, func(random *rand.Rand) {
		p.leave(p.anyVM(random), 30*time.Minute)
	})
	draw(domainsADay, func(random *rand.Rand) {
		p.dark(p.anyVM(random), exponential(random, 4*time.Minute))
	})
	draw(storesADay, func(random *rand.Rand) {
		p.fleet.StoreOut = true
		p.storeBack = time.Now().Add(exponential(random, 15*time.Minute))
	})
	draw(daemonsADay, func(random *rand.Rand) {
		p.replaceDaemon(random.IntN(len(p.fleet.Hosts)))
	})
	all = append(all, happening{
		at: time.Duration(migrationPart * float64(span)),
		do: func() {
			p.carryOut(plan.Intent{
				Kind:       plan.DrainZone,
				Zone:       "z2",
				AllowFewer: true,
			})
		},
	}, happening{
		at: time.Duration(returnPart * float64(span)),
		do: func() {
			p.carryOut(plan.Intent{
				Kind: plan.OpenZoneAgain,
				Zone: "z2",
			})
		},
	})
	sort.SliceStable(all, func(i, j int) bool {
		return all[i].at < all[j].at
	})
	return all
}

// exponential draws a time with a mean.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// anyVM draws a VM.
func (p *player) anyVM(random *rand.Rand) string {
	return p.fleet.IDs[random.IntN(len(p.fleet.IDs))]
}

// kill lets a VM's server die for a time.
func (p *player) kill(id string, away time.Duration) {
	p.fleet.Servers[id].Die()
	p.back[id] = time.Now().Add(away)
}

// pause lets a VM's server stop answering for a time, with its state kept.
func (p *player) pause(id string, away time.Duration) {
	if !p.fleet.Servers[id].Dead {
		p.fleet.Servers[id].Paused = true
		p.back[id] = time.Now().Add(away)
	}
}

// dark pauses the whole fabric domain of a VM.
func (p *player) dark(id string, away time.Duration) {
	for _, other := range p.fleet.IDs {
		if p.fleet.Servers[other].VM.Domain == p.fleet.Servers[id].VM.Domain {
			p.pause(other, away)
		}
	}
}

// leave puts a VM on the leaving list for a time.
func (p *player) leave(id string, away time.Duration) {
	listed := p.fleet.List[id]
	listed.State = vm.Leaving
	p.fleet.List[id] = listed
	p.back["list "+id] = time.Now().Add(away)
}

// replaceDaemon stops one daemon and starts another.
func (p *player) replaceDaemon(index int) {
	p.fleet.Hosts = append(p.fleet.Hosts[:index], p.fleet.Hosts[index+1:]...)
	p.fleet.AddDaemon()
}

// restore brings back what returns now.
func (p *player) restore() {
	now := time.Now()
	if p.fleet.StoreOut && now.After(p.storeBack) {
		p.fleet.StoreOut = false
	}
	for _, id := range p.fleet.IDs {
		if at, ok := p.back[id]; ok && now.After(at) {
			p.fleet.Servers[id].Dead = false
			p.fleet.Servers[id].Paused = false
			delete(p.back, id)
		}
		if at, ok := p.back["list "+id]; ok && now.After(at) {
			p.fleet.List[id] = p.fleet.Servers[id].VM
			delete(p.back, "list "+id)
		}
	}
}

// sample adds one tick to the measures.
func (p *player) sample() {
	snapshot := p.fleet.Hosts[0].Controller.Snapshot()
	serving := snapshot.Serveable("m", time.Now())
	powered := 0
	for _, id := range p.fleet.IDs {
		if !p.fleet.Servers[id].Dead {
			powered += accelerators
		}
	}
	used := len(serving) * vmsPerGroup * accelerators
	p.downtime += fleet.Tick.Seconds() * float64(max(0, wanted-len(serving)))
	p.stranded += fleet.Tick.Seconds() * float64(powered-used)
}

// carryOut plans and confirms an intent at a daemon that can.
func (p *player) carryOut(intent plan.Intent) {
	p.plans++
	id := fmt.Sprintf("plan-%d", p.plans)
	host := p.fleet.Hosts[0]
	if _, err := p.fleet.Propose(host, id, intent); err != nil {
		return
	}
	if p.policy.BreakBeforeMake {
		_ = p.fleet.Rewrite(id, breakFirst)
	}
	p.fleet.Run(4 * time.Second)
	_ = p.fleet.Confirm(host, id)
}

// breakFirst swaps every stage of forms with the stage of drains behind it.
func breakFirst(made plan.Plan) plan.Plan {
	hasDrain := map[int]bool{}
	for _, step := range made.Steps {
		hasDrain[step.Stage] = hasDrain[step.Stage] || step.Verb == plan.Drain
	}
	for i, step := range made.Steps {
		switch {
		case step.Verb == plan.Form && hasDrain[step.Stage+1]:
			made.Steps[i].Stage++
		case step.Verb == plan.Drain && step.Stage > 0:
			made.Steps[i].Stage--
		}
	}
	return made
}
