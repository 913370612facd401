// Package route chooses the serving group that gets a request.
//
// Engines cache prompt prefixes, so requests with the same prefix should go to
// the same group, but a hot prefix must not overload that group. Rendezvous
// hashing ranks the groups by the prefix. The ranking is the same at every
// daemon without any communication. The request goes to the first group in that
// order whose load is at most MaxLoadRatio times the mean.
//
// This needs no cache events of the engines, which are late and incomplete. The
// loads that engines report are stale, so the requests that this daemon has sent
// since the report are added.
package route

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxLoadRatio is the maximum load of a group, as a multiple of the mean, at which it still
// gets requests because of their prefix.
const MaxLoadRatio = 1.25

// Candidate is a group that may get the request.
type Candidate struct {
	Group string
	// ReportedInFlight is the number of requests in flight that the engine reported at
	// ReportedAt. Slots is how many requests it runs at the same time.
	ReportedInFlight int
	Slots            int
	ReportedAt       time.Time
}

// Tracker counts the requests that this daemon has in flight at each group. It is
// safe for concurrent use; the zero value is empty.
type Tracker struct {
	mutex    sync.Mutex
	inFlight map[string][]time.Time
}

// Begin records a request that is sent to a group now. The caller calls end when
// the request has ended; further calls of end do nothing.
func (t *Tracker) Begin(group string) (end func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.inFlight == nil {
		t.inFlight = map[string][]time.Time{}
	}
	started := time.Now()
	t.inFlight[group] = append(t.inFlight[group], started)
	return sync.OnceFunc(func() {
		t.end(group, started)
	})
}

// end removes one request that started at a time.
func (t *Tracker) end(group string, started time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	startTimes := t.inFlight[group]
	for i, startedAt := range startTimes {
		if startedAt.Equal(started) {
			startTimes[i] = startTimes[len(startTimes)-1]
			t.inFlight[group] = startTimes[:len(startTimes)-1]
			break
		}
	}
	if len(t.inFlight[group]) == 0 {
		delete(t.inFlight, group)
	}
}

// InFlight returns how many requests this daemon has in flight at a group.
func (t *Tracker) InFlight(group string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.inFlight[group])
}

// Load returns the estimated load of a candidate: what the engine reported plus
// what this daemon has sent since, but at least what this daemon has in flight.
func (t *Tracker) Load(candidate Candidate) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	startTimes := t.inFlight[candidate.Group]
	sentSince := 0
	for _, startedAt := range startTimes {
		if startedAt.After(candidate.ReportedAt) {
			sentSince++
		}
	}
	return max(candidate.ReportedInFlight+sentSince, len(startTimes))
}

// Policy picks one of the candidates, or none if all are full.
type Policy interface {
	Pick(prefix uint64, candidates []Candidate, load func(Candidate) int) (Candidate, bool)
}

// Affinity is the policy that the package comment describes. The zero value is ready
// to use.
type Affinity struct{}

// Pick returns the first candidate in the order of the prefix that is neither full
// nor above the maximum load. If there is none, it returns the least loaded
// candidate that is not full.
func (Affinity) Pick(prefix uint64, candidates []Candidate, load func(Candidate) int) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	ranked := rankCandidates(prefix, candidates)
	loads := make([]int, len(ranked))
	total := 0
	for i, candidate := range ranked {
		loads[i] = load(candidate)
		total += loads[i]
	}
	maxLoad := int(math.Ceil(MaxLoadRatio * float64(total+1) / float64(len(ranked))))
	leastLoaded := -1
	for i, candidate := range ranked {
		if loads[i] >= candidate.Slots {
			continue
		}
		if loads[i]+1 <= maxLoad {
			return candidate, true
		}
		if leastLoaded < 0 || loads[i] < loads[leastLoaded] {
			leastLoaded = i
		}
	}
	if leastLoaded < 0 {
		return Candidate{}, false
	}
	return ranked[leastLoaded], true
}

// rankCandidates orders candidates by rendezvous hashing of the prefix.
func rankCandidates(prefix uint64, candidates []Candidate) []Candidate {
	type scoredCandidate struct {
		score     uint64
		candidate Candidate
	}
	scoredCandidates := make([]scoredCandidate, len(candidates))
	for i, candidate := range candidates {
		scoredCandidates[i] = scoredCandidate{
			score:     mixBits(prefix ^ xxhash.Sum64String(candidate.Group)),
			candidate: candidate,
		}
	}
	sort.Slice(scoredCandidates, func(i, j int) bool {
		if scoredCandidates[i].score != scoredCandidates[j].score {
			return scoredCandidates[i].score > scoredCandidates[j].score
		}
		return scoredCandidates[i].candidate.Group < scoredCandidates[j].candidate.Group
	})
	ranked := make([]Candidate, len(scoredCandidates))
	for i, entry := range scoredCandidates {
		ranked[i] = entry.candidate
	}
	return ranked
}

// mixBits mixes the bits of a hash (the finaliser of MurmurHash3, by Appleby).
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// PrefixHash returns a hash of the organisation and the first 512 bytes of the prompt.
func PrefixHash(organisation string, prompt []byte) uint64 {
	const prefixBytes = 512
	hash := xxhash.New()
	_, _ = hash.WriteString(organisation)
	_, _ = hash.Write(prompt[:min(len(prompt), prefixBytes)])
	return hash.Sum64()
}

// ----------------------------------------------------------------------------
// Baselines that Affinity is compared with

// LeastLoaded picks the least loaded candidate; of equally loaded ones, the first.
type LeastLoaded struct{}

// Pick returns the least loaded candidate that is not full.
func (LeastLoaded) Pick(_ uint64, candidates []Candidate, load func(Candidate) int) (Candidate, bool) {
	best, bestLoad := -1, 0
	for i, candidate := range candidates {
		current := load(candidate)
		if current < candidate.Slots && (best < 0 || current < bestLoad) {
			best, bestLoad = i, current
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return candidates[best], true
}

// TwoChoices picks the less loaded of two randomly chosen candidates.
type TwoChoices struct {
	Random *rand.Rand
}

// Pick returns the less loaded of two random candidates, or if that is full, the
// least loaded one of all that are not.
func (t TwoChoices) Pick(prefix uint64, candidates []Candidate, load func(Candidate) int) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	first := candidates[t.Random.IntN(len(candidates))]
	second := candidates[t.Random.IntN(len(candidates))]
	if load(second) < load(first) {
		first = second
	}
	if load(first) < first.Slots {
		return first, true
	}
	return LeastLoaded{}.Pick(prefix, candidates, load)
}

// RoundRobin picks the candidates in turn. The zero value is ready to use.
type RoundRobin struct {
	next int
}

// Pick returns the next candidate that is not full.
func (r *RoundRobin) Pick(_ uint64, candidates []Candidate, load func(Candidate) int) (Candidate, bool) {
	for range candidates {
		candidate := candidates[r.next%len(candidates)]
		r.next++
		if load(candidate) < candidate.Slots {
			return candidate, true
		}
	}
	return Candidate{}, false
}
