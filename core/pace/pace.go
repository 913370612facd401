// Package pace finds servers that are slower than others of their class, over all daemons.
//
// It is outlier detection by vote. Each daemon compares the time per event of the servers that it
// used with their median and gives each server one vote. The votes of all daemons are added up, and
// the median vote decides. A daemon among hundreds sends a server about one request a second, which
// is too little to decide alone, and a daemon that is wrong changes nothing.
//
// The time per event of a healthy server rises with its load, up to 2.4 times from empty to full.
// Only a server beyond that ratio is voted slow.
package pace

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Buckets is the number of buckets of votes.
const Buckets = 4

// bucketBounds are the ratios to the median time per event at which buckets 1, 2 and 3 begin. The
// first one is above the ratio of 2.4 that load alone causes. The others are below 4 and 8, since a
// slow server has few requests and a lower ratio than at equal load: one that is six times slower is
// then at 3 to 5. With bounds of 4 and 8, its verdict was often 2.
var bucketBounds = [Buckets - 1]float64{2.5, 3, 6}

// slowdowns are the slowdowns by bucket.
var slowdowns = [Buckets]float64{1, 2, 4, 8}

const (
	// sampleTTL is how long a sample counts.
	sampleTTL = 2 * time.Second
	// healthyVoteTTL is how long after its last sample a server gets a vote as healthy. Most daemons
	// among hundreds have no request at a given server at a given moment, and their older votes would
	// outvote those that see it become slow. Samples of slow servers are rarer, so that their votes
	// last as long as the samples.
	healthyVoteTTL = 500 * time.Millisecond
	// minSamples is the number of samples from which a server gets a vote.
	minSamples = 2
	// maxSamples is the number of latest samples of a server that count. Over all samples of
	// sampleTTL, a server that becomes slow would be noticed late: its slow samples are fewer.
	maxSamples = 3
	// maxServers and maxClasses limit what is stored; the least recently sampled ones are dropped.
	maxServers = 512
	maxClasses = 64
	// usualTime is the time constant with which a class's usual time per event rises, and
	// usualFallTime that with which it falls.
	usualTime     = 10 * time.Second
	usualFallTime = 2 * time.Second
	// usualInterval is the shortest interval between updates of a class's usual time.
	usualInterval = 100 * time.Millisecond
	// minSlowVotes is the number of daemons that must find a server slow, or all that sampled it if
	// they are fewer. minVoters is the number of votes below which there is no verdict.
	minSlowVotes = 3
	minVoters    = 2
)

// Vote is a daemon's vote on one server.
type Vote struct {
	Server string
	// Bucket is from 0, for a healthy server, to Buckets-1.
	Bucket int
}

// Tally is the number of daemons that voted each bucket for a server.
type Tally struct {
	Server string
	Votes  [Buckets]uint32
}

// Recorder records the time per event of the servers that one daemon uses. The zero value is ready
// to use. It is safe for concurrent use.
type Recorder struct {
	mutex   sync.Mutex
	servers map[string]*serverSamples
	classes map[string]*usualPace
}

// serverSamples are the latest samples of one server, oldest first.
type serverSamples struct {
	class   string
	samples []sample
}

// sample is a time per event in seconds.
type sample struct {
	at       time.Time
	perEvent float64
}

// usualPace is the slowly moving median time per event of a class, as the natural logarithm of
// seconds.
type usualPace struct {
	logSeconds float64
	updatedAt  time.Time
	// firstServer is the first server measured, and isComparable reports that there was another one.
	firstServer  string
	isComparable bool
}

// Record records the mean time per event over a part of an answer. Servers are compared within their
// class, such as a service and a model. The part begins at the second event or later, since the time
// to the first event depends on prompts. It should last at least 200 ms or one event, so that a
// single delayed event has little weight; long answers are recorded in several parts, so that a slow
// server is noticed before its answers end.
func (r *Recorder) Record(server, class string, perEvent time.Duration) {
	if perEvent <= 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	r.samplesOf(now, server, class).add(now, perEvent.Seconds())
	r.updateUsual(now, server, class)
}

// samplesOf returns the samples of a server, and creates them if necessary. A server that changed
// its class starts anew. The mutex must be held.
func (r *Recorder) samplesOf(now time.Time, server, class string) *serverSamples {
	stored, ok := r.servers[server]
	if ok && stored.class == class {
		return stored
	}
	if r.servers == nil {
		r.servers = map[string]*serverSamples{}
	}
	if !ok && len(r.servers) >= maxServers {
		r.evictServers(now)
	}
	stored = &serverSamples{
		class: class,
	}
	r.servers[server] = stored
	return stored
}

// evictServers drops the servers without a valid sample, or the least recently sampled one if there
// are none. The mutex must be held.
func (r *Recorder) evictServers(now time.Time) {
	oldest, oldestAt := "", now
	for id, stored := range r.servers {
		last := stored.lastAt()
		if now.Sub(last) > sampleTTL {
			delete(r.servers, id)
			continue
		}
		if oldest == "" || last.Before(oldestAt) {
			oldest, oldestAt = id, last
		}
	}
	if len(r.servers) >= maxServers {
		delete(r.servers, oldest)
	}
}

// add adds a sample and drops the oldest one beyond maxSamples.
func (s *serverSamples) add(now time.Time, perEvent float64) {
	s.samples = append(s.samples, sample{
		at:       now,
		perEvent: perEvent,
	})
	if len(s.samples) > maxSamples {
		s.samples = slices.Delete(s.samples, 0, len(s.samples)-maxSamples)
	}
}

// lastAt returns the time of the latest sample, or the zero time.
func (s *serverSamples) lastAt() time.Time {
	if len(s.samples) == 0 {
		return time.Time{}
	}
	return s.samples[len(s.samples)-1].at
}

// median returns the median of the valid samples in seconds; ok is false below minSamples.
func (s *serverSamples) median(now time.Time) (seconds float64, ok bool) {
	valid := make([]float64, 0, maxSamples)
	for _, sample := range s.samples {
		if now.Sub(sample.at) <= sampleTTL {
			valid = append(valid, sample.perEvent)
		}
	}
	return lowerMedian(valid), len(valid) >= minSamples
}

// lowerMedian returns the median, the lower one of two, and 0 of no values. It sorts the values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// classMedian returns the median over the servers of a class; ok is false if none was measured. The
// mutex must be held.
func (r *Recorder) classMedian(now time.Time, class string) (seconds float64, ok bool) {
	var medians []float64
	for _, stored := range r.servers {
		if stored.class != class {
			continue
		}
		if median, isMeasured := stored.median(now); isMeasured {
			medians = append(medians, median)
		}
	}
	return lowerMedian(medians), len(medians) > 0
}

// updateUsual moves the usual time per event of a class towards its current median. The mean is of
// logarithms: six times slower for a few seconds must not become usual. The mutex must be held.
func (r *Recorder) updateUsual(now time.Time, server, class string) {
	usual, ok := r.classes[class]
	if ok && usual.firstServer != server {
		usual.isComparable = true
	}
	if ok && now.Sub(usual.updatedAt) < usualInterval {
		return
	}
	median, isMeasured := r.classMedian(now, class)
	if !isMeasured {
		return
	}
	if !ok {
		r.addClass(class, &usualPace{
			logSeconds:  math.Log(median),
			updatedAt:   now,
			firstServer: server,
		})
		return
	}
	usual.move(now, median)
}

// move moves the usual time per event towards a median, by the time since the last update. A time
// without samples does not count. It falls faster than it rises, so that a daemon that met a slow
// server first learns the usual time soon.
func (u *usualPace) move(now time.Time, median float64) {
	timeConstant := usualTime
	if math.Log(median) < u.logSeconds {
		timeConstant = usualFallTime
	}
	age := min(now.Sub(u.updatedAt), sampleTTL)
	gain := 1 - math.Exp(-age.Seconds()/timeConstant.Seconds())
	u.logSeconds += gain * (math.Log(median) - u.logSeconds)
	u.updatedAt = now
}

// addClass adds a class and drops the least recently updated one beyond maxClasses. The mutex must
// be held.
func (r *Recorder) addClass(class string, usual *usualPace) {
	if r.classes == nil {
		r.classes = map[string]*usualPace{}
	}
	if len(r.classes) >= maxClasses {
		oldest := ""
		for name, stored := range r.classes {
			if oldest == "" || stored.updatedAt.Before(r.classes[oldest].updatedAt) {
				oldest = name
			}
		}
		delete(r.classes, oldest)
	}
	r.classes[class] = usual
}

// Votes returns one vote for each server with enough samples in the last 2 s, ordered by server. A vote
// as healthy is left out 0.5 s after the last sample. The reference is the median over the servers of
// a class that this daemon sampled, or the class's usual time per event if that is lower: a daemon
// among hundreds samples few servers, at times only slow ones. There is no vote in a class of which
// the daemon has met a single server only.
func (r *Recorder) Votes() []Vote {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	references := map[string]float64{}
	var votes []Vote
	for id, stored := range r.servers {
		if now.Sub(stored.lastAt()) > sampleTTL {
			delete(r.servers, id)
			continue
		}
		median, ok := stored.median(now)
		if !ok {
			continue
		}
		if references[stored.class] == 0 {
			references[stored.class] = r.reference(now, stored.class)
		}
		if usual, isKnown := r.classes[stored.class]; !isKnown || !usual.isComparable {
			continue
		}
		bucket := bucketOf(median / references[stored.class])
		if bucket == 0 && now.Sub(stored.lastAt()) > healthyVoteTTL {
			continue
		}
		votes = append(votes, Vote{
			Server: id,
			Bucket: bucket,
		})
	}
	slices.SortFunc(votes, func(a, b Vote) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return votes
}

// reference returns the time per event in seconds with which the servers of a class are compared.
// The class must have a measured server. The mutex must be held.
func (r *Recorder) reference(now time.Time, class string) float64 {
	median, _ := r.classMedian(now, class)
	if usual, ok := r.classes[class]; ok {
		return min(median, math.Exp(usual.logSeconds))
	}
	return median
}

// bucketOf returns the bucket of a ratio to the reference.
func bucketOf(ratio float64) int {
	bucket := 0
	for _, bound := range bucketBounds {
		if ratio >= bound {
			bucket++
		}
	}
	return bucket
}

// Verdicts returns the slowdown of each server that at least two daemons voted on: 1 if it is
// healthy, else 2, 4 or 8 by the median vote. A server is slow only if at least three daemons say
// so, or both if only two voted. Several tallies of one server are added up. A server without a
// verdict is treated as healthy.
func Verdicts(tallies []Tally) map[string]float64 {
	sums := map[string]Tally{}
	for _, tally := range tallies {
		sum := sums[tally.Server]
		for bucket, votes := range tally.Votes {
			sum.Votes[bucket] += votes
		}
		sums[tally.Server] = sum
	}
	verdicts := make(map[string]float64, len(sums))
	for server, sum := range sums {
		if sum.total() >= minVoters {
			verdicts[server] = slowdowns[sum.bucket()]
		}
	}
	return verdicts
}

// total returns the number of votes.
func (t Tally) total() uint32 {
	var total uint32
	for _, votes := range t.Votes {
		total += votes
	}
	return total
}

// bucket returns the median bucket, the lower one of two, and 0 if too few daemons found the server
// slow.
func (t Tally) bucket() int {
	total := t.total()
	if total-t.Votes[0] < min(minSlowVotes, total) {
		return 0
	}
	var sum uint32
	for bucket, votes := range t.Votes {
		sum += votes
		if 2*sum >= total {
			return bucket
		}
	}
	return 0
}
