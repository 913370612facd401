// Package relaybench measures what a daemon adds to a stream, compared with a direct
// connection to the same stand-in engine: processor time for each event, and latency.
//
// Client, engine and daemon share one process. In one run, the same load is sent alternately to
// the engine and through the daemon, and the processor time of the daemon is the difference.
// Latency is measured from the intended start of each request.
package relaybench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/declaration"
	"headcourse/core/plan"
	"headcourse/core/vm"
	"headcourse/daemon"
	"headcourse/io/http1"
	"headcourse/io/operator"
	"headcourse/lab/engine"
	"headcourse/lab/examples"
	"headcourse/lab/platform"
	"headcourse/lab/usage"
)

// Settings configure a measurement.
type Settings struct {
	// Rate is the number of streams begun a second. Each stream has Tokens events at intervals
	// of TokenInterval.
	Rate          float64
	Tokens        int
	TokenInterval time.Duration
	Duration      time.Duration
	Seed          uint64
}

// Measurement holds the results of one path.
type Measurement struct {
	// Events counts the events of the complete streams.
	Events            int
	Streams           int
	IncompleteStreams int
	// CPUSeconds is the processor time of the whole process in seconds, including client and
	// engine.
	CPUSeconds     float64
	ElapsedSeconds float64
	// FirstEvent is the time to the first event and EventGap the time between two events, both
	// in microseconds.
	FirstEvent *hdrhistogram.Histogram
	EventGap   *hdrhistogram.Histogram
}

// Bench is a running engine with a daemon. Use Start.
type Bench struct {
	platform    *platform.Platform
	node        *daemon.Node
	group       string
	headAddress string
	generation  uint64
}

const (
	operatorName = "turno-noche"
	readyTimeout = time.Minute
)

// Start starts one engine and one daemon, and creates a group with the engine as its only
// member.
func Start(tokenInterval time.Duration) (*Bench, error) {
	running, err := platform.Start(platform.Settings{
		VMs: []vm.VM{{
			ID:           "vm-1",
			Zone:         "quito-a",
			Domain:       "d1",
			Accelerators: 1,
			State:        vm.Live,
			ChecksOrders: true,
		}},
		Slots:          100000,
		TokenInterval:  tokenInterval,
		LoadsPerSecond: 10,
		LoadBurst:      10,
	})
	if err != nil {
		return nil, err
	}
	bench := &Bench{
		platform: running,
	}
	return bench, bench.startDaemon()
}

// startDaemon starts the daemon and waits until the group serves.
func (b *Bench) startDaemon() error {
	deployment, err := examples.Load("caudal-andino")
	if err != nil {
		return err
	}
	declared := deployment.Declaration
	b.node, err = daemon.StartNode(daemon.Settings{
		Zone:          "quito-a",
		Callers:       "127.0.0.1:0",
		Operators:     "127.0.0.1:0",
		Peers:         "127.0.0.1:0",
		Table:         b.platform.TableAddress(),
		VMList:        b.platform.VMListAddress(),
		PeerKey:       "bench-peer-key-0123456789",
		BootstrapHash: declared.Operators[1].KeyHashes[0],
		DrainTime:     time.Minute,
		UnreadyTime:   time.Millisecond,
		IdleTime:      time.Minute,
	}, zap.NewNop())
	if err != nil {
		return err
	}
	if err = b.applyDeclaration(declared); err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		for _, record := range b.node.Daemon().Snapshot().ServingGroups("redactor", time.Now()) {
			b.group, b.headAddress, b.generation = record.Name, record.HeadAddress(), record.Generation
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("group did not start to serve before the timeout")
}

// applyDeclaration applies a declaration with one group and one organisation whose limits are
// too high to matter, and confirms the plan that creates the group.
func (b *Bench) applyDeclaration(declared declaration.Declaration) error {
	declared.Models[0].VMsPerReplica = 1
	declared.Models[0].Replicas = map[string]int{
		"quito-a": 1,
	}
	declared.Organisations[0].MaxInFlight = 1000000
	declared.Organisations[0].MaxQueued = 1000000
	declared.Organisations[0].RequestsPerSecond = 1000000
	body, err := json.Marshal(declared)
	if err != nil {
		return err
	}
	client := operator.NewClient(b.node.OperatorsAddress(), examples.Key(operatorName))
	// JSON is a subset of YAML, the format of declaration files.
	if _, err = client.Apply(operator.ApplyRequest{
		Files: []declaration.File{{
			Name:    "bench.yaml",
			Content: body,
		}},
	}); err != nil {
		return err
	}
	proposed, err := client.Propose(plan.Intent{
		Kind: plan.Reconcile,
	})
	if err != nil {
		return err
	}
	_, err = client.Confirm(proposed.Plan.ID)
	return err
}

// Stop kills the daemon and stops the stand-ins.
func (b *Bench) Stop() {
	if b.node != nil {
		b.node.Kill()
	}
	b.platform.Stop()
}

// MeasureDirect measures the direct path to the engine.
func (b *Bench) MeasureDirect(settings Settings) Measurement {
	return b.measure(settings, b.headAddress, [][2]string{
		{"X-Group", b.group},
		{"X-Generation", fmt.Sprint(b.generation)},
	})
}

// MeasureThroughDaemon measures the path through the daemon.
func (b *Bench) MeasureThroughDaemon(settings Settings) Measurement {
	return b.measure(settings, b.node.CallersAddress(), [][2]string{
		{"Authorization", "Bearer " + examples.Key("epmaps")},
	})
}

// measure sends the load to an address and returns its results.
func (b *Bench) measure(settings Settings, address string, headers [][2]string) Measurement {
	s := &sender{
		settings: settings,
		address:  address,
		headers:  headers,
		client:   &http1.Client{},
		measurement: Measurement{
			FirstEvent: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
			EventGap:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		},
	}
	cpuBefore, startedAt := usage.CPUSeconds(), time.Now()
	s.send()
	s.measurement.CPUSeconds = usage.CPUSeconds() - cpuBefore
	s.measurement.ElapsedSeconds = time.Since(startedAt).Seconds()
	return s.measurement
}

// sender sends the load of one path.
type sender struct {
	settings    Settings
	address     string
	headers     [][2]string
	client      *http1.Client
	mutex       sync.Mutex
	measurement Measurement
}

// send begins streams at times drawn from the seed and waits until all of them end.
func (s *sender) send() {
	random := rand.New(rand.NewPCG(s.settings.Seed, 11)) //nolint:gosec // reproducible load, no secret
	var streams conc.WaitGroup
	defer streams.Wait()
	next := time.Now()
	end := next.Add(s.settings.Duration)
	for number := 0; ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / s.settings.Rate * float64(time.Second)))
		if next.After(end) {
			return
		}
		time.Sleep(time.Until(next))
		intended := next
		streams.Go(func() {
			s.sendStream(number, intended)
		})
	}
}

// sendStream sends one request and reads its stream to the end.
func (s *sender) sendStream(number int, intended time.Time) {
	body, err := json.Marshal(engine.Completion{
		Model: "redactor",
		Messages: []engine.Message{{
			Role:    "user",
			Content: fmt.Sprint(number),
		}},
		MaxTokens: s.settings.Tokens,
		Stream:    true,
	})
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.SetRequestURI("/v1/chat/completions")
	request.Header.SetMethod("POST")
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", s.address, number))
	for _, header := range s.headers {
		request.Header.Set(header[0], header[1])
	}
	request.SetBody(body)
	if err == nil {
		err = s.client.Do(s.address, request, response, false, true)
	}
	isComplete, gaps, first := false, []time.Duration(nil), time.Duration(0)
	lastEventAt := time.Time{}
	if err == nil {
		_ = engine.ReadEvents(response.BodyStream(), func(_ int, data string) {
			now := time.Now()
			switch {
			case data == "[DONE]":
				isComplete = true
				return
			case lastEventAt.IsZero():
				first = now.Sub(intended)
			default:
				gaps = append(gaps, now.Sub(lastEventAt))
			}
			lastEventAt = now
		})
		_ = response.CloseBodyStream()
	}
	s.recordStream(isComplete, first, gaps)
}

// recordStream adds one stream to the results.
func (s *sender) recordStream(isComplete bool, first time.Duration, gaps []time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.measurement.Streams++
	if !isComplete {
		s.measurement.IncompleteStreams++
		return
	}
	s.measurement.Events += 1 + len(gaps)
	_ = s.measurement.FirstEvent.RecordValue(max(1, first.Microseconds()))
	for _, gap := range gaps {
		_ = s.measurement.EventGap.RecordValue(max(1, gap.Microseconds()))
	}
}
