// Package fleetlog reads the logs of many daemons of one fleet and computes what grows with
// the fleet: the calls to the store by table and start of a daemon, the time until a
// configuration reaches all daemons, and the time from a start until daemons are ready.
//
// A line holds a time in seconds, the daemon's name, and the JSON line that the daemon logged.
// Other lines are skipped.
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

// Log messages that are evaluated.
const (
	messageStarted  = "daemon: started"
	messageCounters = "daemon: figures"
	messageReady    = "daemon: readiness changed"
	messageConfig   = "configuration: taken"
	messageRelays   = "daemons: relays chosen"
)

// storeCallsPrefix is the prefix of the counters of calls to the store.
const storeCallsPrefix = "store_calls."

// Role is the part of a daemon in the fleet.
type Role string

// Relay daemons read the store for others; all other daemons have the role Traffic.
const (
	Relay   Role = "relay"
	Traffic Role = "traffic"
)

// Spread is when an event happened on the first, the median and the last daemon, in seconds of
// the log's clock.
type Spread struct {
	Daemons int
	First   float64
	Median  float64
	Last    float64
}

// Calls counts the calls to the store by the daemons of one role, in one of their starts.
type Calls struct {
	// Start is the number of the start, from 1.
	Start   int
	Role    Role
	Call    string
	Daemons int
	Count   int64
}

// Summary is the result of reading the logs.
type Summary struct {
	// Calls are ordered by start, role and descending count.
	Calls []Calls
	// Configurations is when daemons applied each configuration, by version. Ready is when
	// daemons became ready, by the number of their start.
	Configurations map[int64]Spread
	Ready          map[int]Spread
}

// logLine holds the fields of a daemon's JSON line that are evaluated.
type logLine struct {
	Message       string           `json:"msg"`
	Counters      map[string]int64 `json:"counters"`
	IsReady       bool             `json:"is_ready"`
	IsRelay       bool             `json:"is_relay"`
	ConfigVersion int64            `json:"config_version"`
}

// processRun identifies one start of a daemon.
type processRun struct {
	daemon string
	start  int
}

// collector accumulates the contents of log lines.
type collector struct {
	startCounts     map[string]int
	counters        map[processRun]map[string]int64
	isRelay         map[string]bool
	readyAt         map[processRun]float64
	configAppliedAt map[int64]map[processRun]float64
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 4 << 20

// Read reads logs and summarises them. It fails if the reader fails or a line is longer than
// maxLineBytes.
func Read(logs io.Reader) (Summary, error) {
	c := collector{
		startCounts:     map[string]int{},
		counters:        map[processRun]map[string]int64{},
		isRelay:         map[string]bool{},
		readyAt:         map[processRun]float64{},
		configAppliedAt: map[int64]map[processRun]float64{},
	}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		c.addLine(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return Summary{}, errors.Wrap(err, "read logs")
	}
	return c.summary(), nil
}

// addLine evaluates one line; lines of another form are skipped.
func (c *collector) addLine(text string) {
	timestamp, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	daemon, encoded, _ := strings.Cut(rest, " ")
	seconds, err := strconv.ParseFloat(timestamp, 64)
	var parsed logLine
	if err != nil || json.Unmarshal([]byte(encoded), &parsed) != nil {
		return
	}
	if parsed.Message == messageStarted {
		c.startCounts[daemon]++
	}
	run := processRun{
		daemon: daemon,
		start:  c.startCounts[daemon],
	}
	switch parsed.Message {
	case messageCounters:
		c.counters[run] = parsed.Counters
	case messageRelays:
		c.isRelay[daemon] = parsed.IsRelay
	case messageReady:
		if _, wasReady := c.readyAt[run]; parsed.IsReady && !wasReady {
			c.readyAt[run] = seconds
		}
	case messageConfig:
		if c.configAppliedAt[parsed.ConfigVersion] == nil {
			c.configAppliedAt[parsed.ConfigVersion] = map[processRun]float64{}
		}
		c.configAppliedAt[parsed.ConfigVersion][run] = seconds
	}
}

// summary returns the summary of all lines.
func (c *collector) summary() Summary {
	summary := Summary{
		Calls:          c.calls(),
		Configurations: map[int64]Spread{},
		Ready:          map[int]Spread{},
	}
	for version, times := range c.configAppliedAt {
		summary.Configurations[version] = newSpread(slices.Collect(maps.Values(times)))
	}
	byStart := map[int][]float64{}
	for run, seconds := range c.readyAt {
		byStart[run.start] = append(byStart[run.start], seconds)
	}
	for start, times := range byStart {
		summary.Ready[start] = newSpread(times)
	}
	return summary
}

// newSpread returns the spread of times, of which there must be at least one.
func newSpread(times []float64) Spread {
	slices.Sort(times)
	const half = 2
	return Spread{
		Daemons: len(times),
		First:   times[0],
		Median:  times[len(times)/half],
		Last:    times[len(times)-1],
	}
}

// calls adds up the last counters of each start, by role and call.
func (c *collector) calls() []Calls {
	sums := map[Calls]Calls{}
	for run, counters := range c.counters {
		role := Traffic
		if c.isRelay[run.daemon] {
			role = Relay
		}
		for name, count := range counters {
			call, isCall := strings.CutPrefix(name, storeCallsPrefix)
			if !isCall || count == 0 {
				continue
			}
			key := Calls{
				Start: run.start,
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
