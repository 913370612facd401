// Package routebench compares routing policies on the same seeded load.
//
// It runs the policies of package route in virtual time against a simple model of engines. An
// engine reads one prompt at a time, skips a prefix that it has cached, and caches only a few
// prefixes. It generates tokens for all its requests at once, and more slowly the more
// requests it has. Several daemons route independently and see the load of an engine only in
// delayed reports.
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

// Settings configure a comparison.
type Settings struct {
	Daemons int
	Groups  int
	// Rate is the number of requests a second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Topics is the number of prompt prefixes. Skew is the exponent of their Zipf
	// distribution; 0 is uniform.
	Topics int
	Skew   float64
	// Lag is the maximum age of reported loads.
	Lag time.Duration
	// Deadline is the deadline for the first token.
	Deadline time.Duration
}

// Parameters of the engine model.
const (
	slots                  = 48
	maxCachedTopics        = 6
	prefixTokens           = 3000
	uniqueTokens           = 300
	prefillTokensPerSecond = 12000.0
	answerTokens           = 150
	baseStepSeconds        = 0.020
	stepSecondsPerRequest  = 0.0004
)

// Result is the result of one policy.
type Result struct {
	Policy   string
	Requests int
	// FirstToken is the time to the first token, in microseconds.
	FirstToken *hdrhistogram.Histogram
	// WithinDeadline counts first tokens within the deadline, CacheHits requests with a cached
	// prefix, and Rejected requests for which every group was full.
	WithinDeadline int
	CacheHits      int
	Rejected       int
}

// engineModel is the model of one engine.
type engineModel struct {
	name          string
	prefillFreeAt float64
	cachedTopics  []int
	inFlight      int
	// reported is the load at reportedAt, the only load that the daemons see until the next
	// report.
	reported     int
	reportedAt   float64
	nextReportAt float64
}

// arrival is one request of the load. All times of the model are in seconds of virtual time.
type arrival struct {
	arrivesAt float64
	daemon    int
	topic     int
}

// drawArrivals returns the arrivals drawn from the seed.
func (s Settings) drawArrivals() []arrival {
	random := rand.New(rand.NewPCG(s.Seed, 7)) //nolint:gosec // reproducible load, no secret
	weights := make([]float64, s.Topics)
	total := 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), s.Skew)
		total += weights[i]
	}
	var arrivals []arrival
	for arrivesAt := random.ExpFloat64() / s.Rate; arrivesAt < s.Duration.Seconds(); arrivesAt += random.ExpFloat64() / s.Rate {
		draw, topic := random.Float64()*total, 0
		for draw -= weights[0]; draw > 0 && topic < s.Topics-1; draw -= weights[topic] {
			topic++
		}
		arrivals = append(arrivals, arrival{
			arrivesAt: arrivesAt,
			daemon:    random.IntN(s.Daemons),
			topic:     topic,
		})
	}
	return arrivals
}

// Compare runs each policy on the same load.
func Compare(settings Settings) []Result {
	arrivals := settings.drawArrivals()
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
		results[i] = simulate(settings, arrivals, policy.make)
		results[i].Policy = policy.name
	}
	return results
}

// endingRequest is a running request with the time when it ends.
type endingRequest struct {
	endsAt    float64
	engine    int
	daemon    int
	startedAt float64
}

// endingHeap is a heap of running requests, ordered by the time when they end.
type endingHeap []endingRequest

// Len, Less and Swap implement sort.Interface, a part of heap.Interface.
func (h endingHeap) Len() int           { return len(h) }
func (h endingHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h endingHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a request at the end.
func (h *endingHeap) Push(added any) {
	if ending, ok := added.(endingRequest); ok {
		*h = append(*h, ending)
	}
}

// Pop removes the last request.
func (h *endingHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation is the run of one policy.
type simulation struct {
	settings Settings
	engines  []*engineModel
	policies []route.Policy
	// inFlightSince holds the start times of the requests in flight, by daemon and engine.
	inFlightSince [][][]float64
	running       endingHeap
	result        Result
}

// simulate runs one policy.
func simulate(settings Settings, arrivals []arrival, policy func() route.Policy) Result {
	s := &simulation{
		settings: settings,
		result: Result{
			Requests:   len(arrivals),
			FirstToken: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		},
	}
	for group := range settings.Groups {
		s.engines = append(s.engines, &engineModel{
			name: fmt.Sprintf("group-%d", group),
		})
	}
	for range settings.Daemons {
		s.policies = append(s.policies, policy())
		s.inFlightSince = append(s.inFlightSince, make([][]float64, settings.Groups))
	}
	for _, next := range arrivals {
		s.advance(next.arrivesAt)
		s.route(next)
	}
	return s.result
}

// advance ends the requests that are due and refreshes the reported loads.
func (s *simulation) advance(now float64) {
	for len(s.running) > 0 && s.running[0].endsAt <= now {
		done, ok := heap.Pop(&s.running).(endingRequest)
		if !ok {
			return
		}
		s.engines[done.engine].inFlight--
		times := s.inFlightSince[done.daemon][done.engine]
		position := slices.Index(times, done.startedAt)
		s.inFlightSince[done.daemon][done.engine] = slices.Delete(times, position, position+1)
	}
	for _, engine := range s.engines {
		if now >= engine.nextReportAt {
			engine.reported = engine.inFlight
			engine.reportedAt = now
			engine.nextReportAt = now + s.settings.Lag.Seconds()
		}
	}
}

// route sends one request to the engine that the daemon's policy picks.
func (s *simulation) route(next arrival) {
	candidates := make([]route.Candidate, len(s.engines))
	index := map[string]int{}
	for i, engine := range s.engines {
		index[engine.name] = i
		candidates[i] = route.Candidate{
			Group:            engine.name,
			ReportedInFlight: engine.reported,
			Slots:            slots,
		}
	}
	prefix := route.PrefixHash("org", fmt.Appendf(nil, "topic %d", next.topic))
	picked, ok := s.policies[next.daemon].Pick(prefix, candidates, func(candidate route.Candidate) int {
		return s.estimatedLoad(next.daemon, index[candidate.Group])
	})
	if !ok {
		s.result.Rejected++
		return
	}
	s.startRequest(next, index[picked.Group])
}

// estimatedLoad returns the load of an engine as a daemon estimates it. It uses the same
// formula as route.Tracker.
func (s *simulation) estimatedLoad(daemon, engine int) int {
	unreported := 0
	for _, startedAt := range s.inFlightSince[daemon][engine] {
		if startedAt > s.engines[engine].reportedAt {
			unreported++
		}
	}
	return max(s.engines[engine].reported+unreported, len(s.inFlightSince[daemon][engine]))
}

// startRequest starts a request at an engine.
func (s *simulation) startRequest(next arrival, index int) {
	engine := s.engines[index]
	tokens := float64(uniqueTokens)
	if position := slices.Index(engine.cachedTopics, next.topic); position >= 0 {
		s.result.CacheHits++
		engine.cachedTopics = slices.Delete(engine.cachedTopics, position, position+1)
	} else {
		tokens += prefixTokens
	}
	engine.cachedTopics = append(engine.cachedTopics, next.topic)
	if len(engine.cachedTopics) > maxCachedTopics {
		engine.cachedTopics = engine.cachedTopics[1:]
	}
	start := max(next.arrivesAt, engine.prefillFreeAt)
	firstTokenAt := start + tokens/prefillTokensPerSecond
	engine.prefillFreeAt = firstTokenAt
	engine.inFlight++
	stepSeconds := baseStepSeconds + stepSecondsPerRequest*float64(engine.inFlight)
	s.inFlightSince[next.daemon][index] = append(s.inFlightSince[next.daemon][index], next.arrivesAt)
	heap.Push(&s.running, endingRequest{
		endsAt:    firstTokenAt + answerTokens*stepSeconds,
		engine:    index,
		daemon:    next.daemon,
		startedAt: next.arrivesAt,
	})
	timeToFirstToken := firstTokenAt - next.arrivesAt
	_ = s.result.FirstToken.RecordValue(int64(timeToFirstToken * 1e6))
	if timeToFirstToken <= s.settings.Deadline.Seconds() {
		s.result.WithinDeadline++
	}
}
