// Package fleetlog reads what many daemons of one fleet wrote to their logs, and works out what
// grows with the fleet: the calls to the store by table and start of a daemon, how long a
// configuration takes to reach all daemons, and how long they take to be ready after a start.
//
// A line is a time in seconds, the daemon's name, and the JSON line that the daemon wrote. Lines of
// another form are passed over.
package fleetlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Messages of the daemons that count.
const (
	messageStarted = "daemon: started"
	messageFigures = "daemon: figures"
	messageReady   = "daemon: readiness changed"
	messageConfig  = "configuration: taken"
	messageRelays  = "daemons: relays chosen"
)

// storeCalls begins the names of counters of calls to the store.
const storeCalls = "store_calls."

// Role is what a daemon does for others.
type Role string

// The roles that a log tells of.
const (
	Relay   Role = "relay"
	Traffic Role = "traffic"
)

// Spread is when something reached the first, the middle and the last daemon, in seconds of the
// log's time.
type Spread struct {
	Daemons int
	First   float64
	Middle  float64
	Last    float64
}

// Calls is how often the daemons of a role called the store, in one of their starts.
type Calls struct {
	// Start is the number of the start, from 1.
	Start   int
	Role    Role
	Call    string
	Daemons int
	Count   int64
}

// Summary is what the logs tell.
type Summary struct {
	// Calls are ordered by start, role and number.
	Calls []Calls
	// Configurations is when each version was taken, by version; Ready when daemons became
	// ready, by the number of their start.
	Configurations map[int64]Spread
	Ready          map[int]Spread
}

// line is the part of a daemon's line that is read.
type line struct {
	Message       string           `json:"msg"`
	Counters      map[string]int64 `json:"counters"`
	IsReady       bool             `json:"is_ready"`
	IsRelay       bool             `json:"is_relay"`
	ConfigVersion int64            `json:"config_version"`
}

// life is one start of a daemon.
type life struct {
	daemon string
	start  int
}

// reader gathers what lines tell.
type reader struct {
	starts   map[string]int
	counters map[life]map[string]int64
	isRelay  map[string]bool
	ready    map[life]float64
	configs  map[int64]map[life]float64
}

// longestLine bounds one line of a log.
const longestLine = 4 << 20

// Read reads logs. It fails where they cannot be read.
func Read(logs io.Reader) (Summary, error) {
	r := reader{
		starts:   map[string]int{},
		counters: map[life]map[string]int64{},
		isRelay:  map[string]bool{},
		ready:    map[life]float64{},
		configs:  map[int64]map[life]float64{},
	}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		r.take(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return Summary{}, errors.Wrap(err, "read logs")
	}
	return r.summary(), nil
}

// take takes one line.
func (r *reader) take(text string) {
	at, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	daemon, encoded, _ := strings.Cut(rest, " ")
	seconds, err := strconv.ParseFloat(at, 64)
	var read line
	if err != nil || json.Unmarshal([]byte(encoded), &read) != nil {
		return
	}
	if read.Message == messageStarted {
		r.starts[daemon]++
	}
	one := life{
		daemon: daemon,
		start:  r.starts[daemon],
	}
	switch read.Message {
	case messageFigures:
		r.counters[one] = read.Counters
	case messageRelays:
		r.isRelay[daemon] = read.IsRelay
	case messageReady:
		if _, wasReady := r.ready[one]; read.IsReady && !wasReady {
			r.ready[one] = seconds
		}
	case messageConfig:
		if r.configs[read.ConfigVersion] == nil {
			r.configs[read.ConfigVersion] = map[life]float64{}
		}
		r.configs[read.ConfigVersion][one] = seconds
	}
}

// summary returns what the lines told.
func (r *reader) summary() Summary {
	summary := Summary{
		Calls:          r.calls(),
		Configurations: map[int64]Spread{},
		Ready:          map[int]Spread{},
	}
	for version, times := range r.configs {
		summary.Configurations[version] = spreadOf(slices.Collect(maps.Values(times)))
	}
	byStart := map[int][]float64{}
	for one, at := range r.ready {
		byStart[one.start] = append(byStart[one.start], at)
	}
	for start, times := range byStart {
		summary.Ready[start] = spreadOf(times)
	}
	return summary
}

// spreadOf returns the spread of times, of which there is one at least.
func spreadOf(times []float64) Spread {
	slices.Sort(times)
	const half = 2
	return Spread{
		Daemons: len(times),
		First:   times[0],
		Middle:  times[len(times)/half],
		Last:    times[len(times)-1],
	}
}

// calls adds up the last counters of each start.
func (r *reader) calls() []Calls {
	sums := map[Calls]Calls{}
	for one, counters := range r.counters {
		role := Traffic
		if r.isRelay[one.daemon] {
			role = Relay
		}
		for name, count := range counters {
			call, isCall := strings.CutPrefix(name, storeCalls)
			if !isCall || count == 0 {
				continue
			}
			key := Calls{
				Start: one.start,
				Role:  role,
				Call:  call,
			}
			sum := sums[key]
			sum.Daemons++
			sum.Count += count
			sums[key] = sum
		}
	}
	var all []Calls
	for key, sum := range sums {
		key.Daemons = sum.Daemons
		key.Count = sum.Count
		all = append(all, key)
	}
	slices.SortFunc(all, func(a, b Calls) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Role, b.Role), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Call, b.Call))
	})
	return all
}
