// Package routebench compares routing policies on the same seeded load.
//
// It plays the policies of package route against a small model of engines in
// virtual time: an engine reads prompts one after the other, skips the part
// whose prefix it has cached, holds few prefixes, and then makes tokens for all
// its requests at once, each slower the more there are. Several daemons route
// independently and see engines' loads only as reported, late.
package routebench

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"headcourse/core/route"
)

// Settings are the properties of a comparison.
type Settings struct {
	Daemons  int
	Groups   int
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Topics is how many prefixes there are; Skew is how uneven their use is.
	Topics int
	Skew   float64
	// Lag is the age that reported loads have at most.
	Lag time.Duration
	// Deadline is for the first token.
	Deadline time.Duration
}

// Figures of the engine model.
const (
	slots         = 48
	cachedTopics  = 6
	prefixTokens  = 3000
	ownTokens     = 300
	readPerSecond = 12000.0
	answerTokens  = 150
	baseStep      = 0.020
	stepPerActive = 0.0004
)

// Result is how one policy did.
type Result struct {
	Policy   string
	Requests int
	// First is the time to the first token, in microseconds.
	First *hdrhistogram.Histogram
	// Good counts first tokens within the deadline, Hits cached prefixes and
	// Refused requests for which every group was full.
	Good    int
	Hits    int
	Refused int
}

// model is one engine.
type model struct {
	name     string
	readFree float64
	cache    []int
	active   int
	// reports are the loads at past times; only the last that is old enough is
	// seen by a daemon.
	reported   int
	reportedAt float64
	nextReport float64
}

// arrival is one request of the load.
type arrival struct {
	at     float64
	daemon int
	topic  int
}

// Load returns the seeded arrivals.
func (s Settings) load() []arrival {
	random := rand.New(rand.NewPCG(s.Seed, 7)) //nolint:gosec // reproducible load, no secret
	weights := make([]float64, s.Topics)
	total := 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), s.Skew)
		total += weights[i]
	}
	var arrivals []arrival
	for at := random.ExpFloat64() / s.Rate; at < s.Duration.Seconds(); at += random.ExpFloat64() / s.Rate {
		draw, topic := random.Float64()*total, 0
		for draw -= weights[0]; draw > 0 && topic < s.Topics-1; draw -= weights[topic] {
			topic++
		}
		arrivals = append(arrivals, arrival{
			at:     at,
			daemon: random.IntN(s.Daemons),
			topic:  topic,
		})
	}
	return arrivals
}

// Compare plays each policy on the same load.
func Compare(settings Settings) []Result {
	arrivals := settings.load()
	policies := []struct {
		name string
		make func() route.Policy
	}{{
		name: "round robin",
		make: func() route.Policy { return &route.RoundRobin{} },
	}, {
		name: "least loaded",
		make: func() route.Policy { return route.LeastLoaded{} },
	}, {
		name: "less loaded of two",
		make: func() route.Policy {
			return route.TwoChoices{
				Random: rand.New(rand.NewPCG(settings.Seed, 13)), //nolint:gosec // reproducible choice, no secret
			}
		},
	}, {
		name: "prefix affinity with bounded load",
		make: func() route.Policy { return route.Affinity{} },
	}}
	results := make([]Result, len(policies))
	for i, policy := range policies {
		results[i] = play(settings, arrivals, policy.make)
		results[i].Policy = policy.name
	}
	return results
}

// ended is a request that ends at a time.
type ended struct {
	at     float64
	engine int
	daemon int
	began  float64
}

// endings is a heap of requests by the time they end.
type endings []ended

// Len, Less, Swap, Push and Pop make endings a heap.
func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds an ending.
func (e *endings) Push(one any) {
	if ending, ok := one.(ended); ok {
		*e = append(*e, ending)
	}
}

// Pop removes the last ending.
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// player is one policy being played.
type player struct {
	settings Settings
	engines  []*model
	policies []route.Policy
	// sent holds, for each daemon and engine, when its requests in flight
	// began.
	sent    [][][]float64
	running endings
	result  Result
}

// play plays one policy.
func play(settings Settings, arrivals []arrival, policy func() route.Policy) Result {
	one := &player{
		settings: settings,
		result: Result{
			Requests: len(arrivals),
			First:    hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		},
	}
	for group := range settings.Groups {
		one.engines = append(one.engines, &model{
			name: fmt.Sprintf("group-%d", group),
		})
	}
	for range settings.Daemons {
		one.policies = append(one.policies, policy())
		one.sent = append(one.sent, make([][]float64, settings.Groups))
	}
	for _, next := range arrivals {
		one.advance(next.at)
		one.route(next)
	}
	return one.result
}

// advance ends what ends before a time and takes reports.
func (p *player) advance(now float64) {
	for len(p.running) > 0 && p.running[0].at <= now {
		over, ok := heap.Pop(&p.running).(ended)
		if !ok {
			return
		}
		p.engines[over.engine].active--
		times := p.sent[over.daemon][over.engine]
		place := slices.Index(times, over.began)
		p.sent[over.daemon][over.engine] = slices.Delete(times, place, place+1)
	}
	for _, engine := range p.engines {
		if now >= engine.nextReport {
			engine.reported = engine.active
			engine.reportedAt = now
			engine.nextReport = now + p.settings.Lag.Seconds()
		}
	}
}

// route sends one request to the engine that the daemon's policy picks.
func (p *player) route(next arrival) {
	candidates := make([]route.Candidate, len(p.engines))
	index := map[string]int{}
	for i, engine := range p.engines {
		index[engine.name] = i
		candidates[i] = route.Candidate{
			Group:    engine.name,
			Reported: engine.reported,
			Slots:    slots,
		}
	}
	prefix := route.Prefix("org", fmt.Appendf(nil, "topic %d", next.topic))
	picked, ok := p.policies[next.daemon].Pick(prefix, candidates, func(candidate route.Candidate) int {
		return p.loadOf(next.daemon, index[candidate.Group])
	})
	if !ok {
		p.result.Refused++
		return
	}
	p.run(next, index[picked.Group])
}

// loadOf is the load of an engine as a daemon knows it, the same sum as that of
// route.Tracker.
func (p *player) loadOf(daemon, engine int) int {
	since := 0
	for _, began := range p.sent[daemon][engine] {
		if began > p.engines[engine].reportedAt {
			since++
		}
	}
	return max(p.engines[engine].reported+since, len(p.sent[daemon][engine]))
}

// run runs a request at an engine.
func (p *player) run(next arrival, index int) {
	engine := p.engines[index]
	tokens := float64(ownTokens)
	if place := slices.Index(engine.cache, next.topic); place >= 0 {
		p.result.Hits++
		engine.cache = slices.Delete(engine.cache, place, place+1)
	} else {
		tokens += prefixTokens
	}
	engine.cache = append(engine.cache, next.topic)
	if len(engine.cache) > cachedTopics {
		engine.cache = engine.cache[1:]
	}
	start := max(next.at, engine.readFree)
	first := start + tokens/readPerSecond
	engine.readFree = first
	engine.active++
	step := baseStep + stepPerActive*float64(engine.active)
	p.sent[next.daemon][index] = append(p.sent[next.daemon][index], next.at)
	heap.Push(&p.running, ended{
		at:     first + answerTokens*step,
		engine: index,
		daemon: next.daemon,
		began:  next.at,
	})
	waited := first - next.at
	_ = p.result.First.RecordValue(int64(waited * 1e6))
	if waited <= p.settings.Deadline.Seconds() {
		p.result.Good++
	}
}
