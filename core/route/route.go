// Package route chooses the serving group that takes a request.
//
// Engines cache prompt prefixes, so requests that begin alike should meet in
// one group; but one hot prefix must not sink that group. The prefix ranks the
// groups by rendezvous hashing, the same at every daemon without a word
// between them, and the request goes to the first group in that order that is
// within Slack of the mean load. Engines' cache events, which come late and
// with gaps, are not needed. Loads reported by engines lag, so what this
// daemon has sent since the report is added.
package route

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Slack is how far above the mean load a group may be and still be given a
// request because of its prefix.
const Slack = 1.25

// Candidate is a group that may take the request.
type Candidate struct {
	Group string
	// Reported is the number of requests in flight that the engine reported
	// at ReportedAt, and Slots how many it runs at once.
	Reported   int
	Slots      int
	ReportedAt time.Time
}

// Tracker counts what this daemon has in flight at each group. It is safe for
// concurrent use; the zero value is empty.
type Tracker struct {
	mutex    sync.Mutex
	inFlight map[string][]time.Time
}

// Begin notes a request sent to a group now, and returns what to call at its
// end. Calling it again does nothing.
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

// end forgets one request.
func (t *Tracker) end(group string, started time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	times := t.inFlight[group]
	for i, at := range times {
		if at.Equal(started) {
			times[i] = times[len(times)-1]
			t.inFlight[group] = times[:len(times)-1]
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

// Load returns the load of a candidate as far as it is known: what the engine
// reported, with what was sent since; at least what is in flight from here.
func (t *Tracker) Load(candidate Candidate) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	times := t.inFlight[candidate.Group]
	since := 0
	for _, at := range times {
		if at.After(candidate.ReportedAt) {
			since++
		}
	}
	return max(candidate.Reported+since, len(times))
}

// Policy picks one of the candidates, or none when all are full.
type Policy interface {
	Pick(prefix uint64, candidates []Candidate, load func(Candidate) int) (Candidate, bool)
}

// Affinity is the policy described above. The zero value works.
type Affinity struct{}

// Pick returns the first candidate in the prefix's order that is neither full
// nor above the bound; where all are above it, the least loaded that has room.
func (Affinity) Pick(prefix uint64, candidates []Candidate, load func(Candidate) int) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	ranked := rank(prefix, candidates)
	loads := make([]int, len(ranked))
	total := 0
	for i, candidate := range ranked {
		loads[i] = load(candidate)
		total += loads[i]
	}
	bound := int(math.Ceil(Slack * float64(total+1) / float64(len(ranked))))
	least := -1
	for i, candidate := range ranked {
		if loads[i] >= candidate.Slots {
			continue
		}
		if loads[i]+1 <= bound {
			return candidate, true
		}
		if least < 0 || loads[i] < loads[least] {
			least = i
		}
	}
	if least < 0 {
		return Candidate{}, false
	}
	return ranked[least], true
}

// rank orders candidates by rendezvous hashing of the prefix.
func rank(prefix uint64, candidates []Candidate) []Candidate {
	type scored struct {
		score     uint64
		candidate Candidate
	}
	all := make([]scored, len(candidates))
	for i, candidate := range candidates {
		all[i] = scored{
			score:     mix(prefix ^ xxhash.Sum64String(candidate.Group)),
			candidate: candidate,
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].candidate.Group < all[j].candidate.Group
	})
	ranked := make([]Candidate, len(all))
	for i, one := range all {
		ranked[i] = one.candidate
	}
	return ranked
}

// mix spreads the bits of a hash (the finaliser of MurmurHash3, by Appleby).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Prefix returns the hash that requests with the same beginning share: of the
// organisation and the first bytes of the prompt.
func Prefix(organisation string, prompt []byte) uint64 {
	const prefixBytes = 512
	hash := xxhash.New()
	_, _ = hash.WriteString(organisation)
	_, _ = hash.Write(prompt[:min(len(prompt), prefixBytes)])
	return hash.Sum64()
}

// ----------------------------------------------------------------------------
// Baselines that Affinity is measured against

// LeastLoaded picks the least loaded candidate, the first of equals.
type LeastLoaded struct{}

// Pick returns the least loaded candidate that has room.
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

// TwoChoices picks the less loaded of two candidates drawn at random.
type TwoChoices struct {
	Random *rand.Rand
}

// Pick returns the less loaded of two drawn candidates, or any that has room.
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

// RoundRobin picks each candidate in turn. The zero value works.
type RoundRobin struct {
	next int
}

// Pick returns the next candidate that has room.
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
