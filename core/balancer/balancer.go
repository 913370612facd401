// Package balancer chooses the backend server, or the head of a group, that
// takes a request.
//
// Every daemon chooses on its own. Reports of load lag and are priced: by the time a
// load is known to all, 0.4 s and more after it was so, choosing by it is worse than
// not knowing it. So a daemon goes by what it has sent itself. First the request's zone
// is drawn by what the servers of each can carry (core/locality), then the daemon's own
// few servers there come before the others (core/subset): over these it spreads its
// requests evenly by cost. Since subsets cover the servers evenly, the sum of even
// spreads is even, with nine daemons as with thousands. Ties are broken at random, so
// that daemons do not choose alike.
//
// What a daemon sees of a server decides whether it is used at all. A group
// that lost a member goes on taking requests and answers none; its silence,
// over all of its streams, is the first sign. It is then rested, with a single
// request let through from time to time to find out whether it works again. A server
// that other daemons found in trouble comes after those that are well. All of these are
// preferences: a server that said itself that it wants no request (core/directive) is no
// candidate.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of a tracker.
const (
	// firstRest is how long a server is rested after its first failure; each
	// further one doubles it up to longestRest. A group that lost a member
	// breaks after 5 s, and is replaced long before.
	firstRest   = 400 * time.Millisecond
	longestRest = 6 * time.Second
	// tolerated is how many failures in a row are taken for the server's usual
	// ones: services fail a small part of their requests by themselves.
	tolerated = 1
	// paceWeight is the part of a new measurement in the mean pace.
	paceWeight = 0.2
	// paceHolds is how long the pace of a server without requests counts: a slow one is
	// passed over, and nothing else would measure it again.
	paceHolds = 10 * time.Second
)

// Candidate is a server that may take the request.
type Candidate struct {
	ID       string
	Capacity int
	// Zone is its availability zone.
	Zone string
	// Domain is its fabric domain; empty: none.
	Domain string
	// IsTroubled tells that other daemons found it standing still or slow.
	IsTroubled bool
	// IsLimited tells that it takes only some requests a second, one of them now.
	IsLimited bool
	// tier and isFar are set by Preference.WithTiers.
	tier  tier
	isFar bool
}

// Tracker knows what this daemon has under way at each server. It is safe for
// concurrent use; the zero value is empty.
type Tracker struct {
	// Chance breaks ties by numbers from 0 to 1; nil: at random. Set before use.
	Chance func() float64

	mutex    sync.Mutex
	servers  map[string]*tracked
	silences map[silenceKey]*estimate
}

// tracked is what is known of one server.
type tracked struct {
	inFlight int
	cost     float64
	// pace is the mean time of a unit of work; 0: not measured yet.
	pace float64
	// measured is when a pace was last measured.
	measured time.Time
	// heard is when an answer or an event last came.
	heard    time.Time
	failures int
	restTill time.Time
	rest     time.Duration
	// isSilent tells that the rest is for silence, and ends with it; it began at
	// silentAt.
	isSilent bool
	silentAt time.Time
}

// of returns what is known of a server. The mutex is held.
func (t *Tracker) of(id string) *tracked {
	if t.servers == nil {
		t.servers = map[string]*tracked{}
	}
	one, ok := t.servers[id]
	if !ok {
		one = &tracked{}
		t.servers[id] = one
	}
	return one
}

// Pick chooses a candidate that is not excluded, and notes that a request of
// that cost begins there. done must be called at its end. It returns false
// where no candidate is left.
func (t *Tracker) Pick(candidates []Candidate, excluded map[string]bool, cost float64) (chosen Candidate, done func(), ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	best, bestScore := -1, 0.0
	usual := t.usualPace(now, candidates)
	doubted := t.doubted(now, candidates)
	for i, candidate := range candidates {
		if excluded[candidate.ID] {
			continue
		}
		score := t.of(candidate.ID).score(now, candidate, cost, usual, t.chance())
		if doubted[candidate.Domain] {
			score += doubtScore
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Candidate{}, nil, false
	}
	chosen = candidates[best]
	one := t.of(chosen.ID)
	one.inFlight++
	one.cost += cost
	return chosen, sync.OnceFunc(func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		one.inFlight--
		one.cost -= cost
	}), true
}

// chance returns the next number that breaks ties.
func (t *Tracker) chance() float64 {
	if t.Chance != nil {
		return t.Chance()
	}
	return rand.Float64()
}

// Figures of doubt.
const (
	// doubtTime is how long a silence casts doubt on its domain: until then the
	// members of the group have been asked for a sign of life.
	doubtTime = 1200 * time.Millisecond
	// doubtScore puts servers of a domain in doubt after those of other domains, also
	// in other zones, and before those that are full.
	doubtScore = 4e6
)

// doubted returns the domains in which a server has just gone silent. A domain may go
// dark as a whole, and a request that is moved from one of its heads to the next is lost
// to its client. The mutex is held.
func (t *Tracker) doubted(now time.Time, candidates []Candidate) map[string]bool {
	var doubted map[string]bool
	for _, candidate := range candidates {
		one := t.of(candidate.ID)
		if candidate.Domain == "" || !one.isSilent || now.Sub(one.silentAt) > doubtTime {
			continue
		}
		if doubted == nil {
			doubted = map[string]bool{}
		}
		doubted[candidate.Domain] = true
	}
	return doubted
}

// usualPace returns the mean pace of the candidates that were measured lately, or 0. A
// server that was not counts as usual. The mutex is held.
func (t *Tracker) usualPace(now time.Time, candidates []Candidate) float64 {
	sum, measured := 0.0, 0
	for _, candidate := range candidates {
		one := t.of(candidate.ID)
		one.forgetOldPace(now)
		if one.pace > 0 {
			sum += one.pace
			measured++
		}
	}
	if measured == 0 {
		return 0
	}
	return sum / float64(measured)
}

// forgetOldPace forgets the pace of a server that had no request for long.
func (s *tracked) forgetOldPace(now time.Time) {
	if s.inFlight == 0 && now.Sub(s.measured) > paceHolds {
		s.pace = 0
	}
}

// score returns how unfit a server is for one more request. Resting servers
// come after all others, those whose rest ends first before the rest.
func (s *tracked) score(now time.Time, candidate Candidate, cost, usual, chance float64) float64 {
	const (
		// spread is the part of the cost that chance adds, to break ties.
		spread = 0.5
		// restScore puts resting servers after any that is not.
		restScore = 1e9
		// troubledScore puts servers in trouble after those that are well, and
		// before those that this daemon itself found silent.
		troubledScore = 1e8
		// fullScore puts servers that are full by this daemon's requests alone
		// after those that are not.
		fullScore = 1e7
		// farCost is how many requests fewer a server of another zone than the one that
		// was drawn must have under way to be chosen by a daemon that can compare zones.
		farCost = 2.0
		// tierScore puts servers of a tier after those of the one before, whatever
		// they have under way: a request costs some hundreds, and a server has tens.
		tierScore = 1e6
	)
	score := s.cost + cost*(1+spread*chance)
	if candidate.isFar {
		score += farCost * cost
	}
	if s.pace > 0 && usual > 0 {
		score *= s.pace / usual
	}
	score += tierScore * float64(candidate.tier)
	if candidate.Capacity > 0 && s.inFlight >= candidate.Capacity {
		score += fullScore
	}
	if candidate.IsTroubled {
		score += troubledScore
	}
	if now.Before(s.restTill) {
		score += restScore * (1 + s.restTill.Sub(now).Seconds())
	}
	return score
}

// Heard notes that a server answered or sent an event. A server that was
// rested for its silence is used again.
func (t *Tracker) Heard(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	one := t.of(id)
	one.heard = time.Now()
	if one.isSilent {
		one.isSilent = false
		one.rest = 0
		one.restTill = time.Time{}
	}
}

// Rest notes that a server with requests under way is unusually silent, and
// rests it until it is heard.
func (t *Tracker) Rest(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	one := t.of(id)
	now := time.Now()
	if now.Before(one.restTill) {
		return
	}
	one.isSilent = true
	one.silentAt = now
	one.rest = min(max(firstRest, 2*one.rest), longestRest)
	one.restTill = now.Add(one.rest)
}

// SilentFor returns how long nothing was heard of a server.
func (t *Tracker) SilentFor(id string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Since(t.of(id).heard)
}

// Succeeded notes that a server ended a request well, and the time that a unit
// of work took (0: not measured), relative to what others take.
func (t *Tracker) Succeeded(id string, pace float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	one := t.of(id)
	one.failures = 0
	one.rest = 0
	one.restTill = time.Time{}
	if pace <= 0 {
		return
	}
	one.measured = time.Now()
	if one.pace == 0 {
		one.pace = pace
	}
	one.pace += paceWeight * (pace - one.pace)
}

// Failed notes that a server failed a request in a way that it may fail others
// in, and rests it. Failures that servers have now and then count from the
// second in a row.
func (t *Tracker) Failed(id string, isUsual bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	one := t.of(id)
	one.failures++
	if isUsual && one.failures <= tolerated {
		return
	}
	now := time.Now()
	if now.Before(one.restTill) {
		return
	}
	one.rest = min(max(firstRest, 2*one.rest), longestRest)
	one.restTill = now.Add(one.rest)
}

// IsResting tells whether a server is rested.
func (t *Tracker) IsResting(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Now().Before(t.of(id).restTill)
}

// Forget forgets what is known of a server, which has started again under its ID.
func (t *Tracker) Forget(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.servers, id)
}

// Sweep forgets servers that have nothing under way and are not known any more.
func (t *Tracker) Sweep(isKnown func(id string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, one := range t.servers {
		if one.inFlight == 0 && !isKnown(id) {
			delete(t.servers, id)
		}
	}
}
