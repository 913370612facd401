// Package load sends callers' requests at a rate that does not depend on the
// answers (an open loop), counts latency from the intended start, and checks
// every answer: whole, one's own, and with the outcome that it claims.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"headcourse/io/http1"
	"headcourse/lab/engine"
)

// Settings are the properties of a load.
type Settings struct {
	// Rate is requests a second, over Duration; arrivals are exponential from
	// Seed.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Model    string
	// ServicePrefix is of the plain service, ChargePath its endpoint that may
	// not be repeated.
	ServicePrefix string
	ChargePath    string
	// Keys are the organisations' keys; Deadline is sent with each request.
	Keys     []string
	Tokens   int
	Deadline time.Duration
	// PlainShare and ChargeShare are the parts of plain reads and of requests
	// that may not be repeated; the rest are streamed completions.
	PlainShare  float64
	ChargeShare float64
}

// Verdict is what became of one request, as its caller saw and checked it.
type Verdict string

// The verdicts.
const (
	// Whole: the whole answer to this very request.
	Whole Verdict = "whole"
	// NotRun and Unknown: an error that says so.
	NotRun  Verdict = "not_run"
	Unknown Verdict = "unknown"
	// Foreign: an answer to something else.
	Foreign Verdict = "foreign"
	// Cut: an answer that ended as if whole but was not.
	Cut Verdict = "cut"
	// Broken: the connection broke and the caller could tell.
	Broken Verdict = "broken"
	// Unreached: no connection to a daemon; nothing was sent.
	Unreached Verdict = "unreached"
)

// Outcome is one request's verdict with what it takes to check the claim.
type Outcome struct {
	Verdict   Verdict
	Reason    string
	RequestID string
	// At is when the request was meant to start, from the start of the load.
	At time.Duration
	// Charge names the request in the plain services' ledgers, if it was one.
	Charge string
}

// Report is the sum of a load.
type Report struct {
	Outcomes []Outcome
	// First and Total are latencies in microseconds from the intended start,
	// of streams and of all whole answers.
	First *hdrhistogram.Histogram
	Total *hdrhistogram.Histogram
	// Gap is the time between two events of a stream, in microseconds.
	Gap *hdrhistogram.Histogram
}

// Count returns how many requests had a verdict.
func (r *Report) Count(verdict Verdict) int {
	count := 0
	for _, one := range r.Outcomes {
		if one.Verdict == verdict {
			count++
		}
	}
	return count
}

// Reason sums up the requests that failed for one reason: how many, and when
// the first and the last of them were meant to start.
type Reason struct {
	Name  string
	Count int
	First time.Duration
	Last  time.Duration
}

// Reasons returns the reasons of failures in the order of their names.
func (r *Report) Reasons() []Reason {
	byName := map[string]Reason{}
	for _, one := range r.Outcomes {
		if one.Reason == "" {
			continue
		}
		name := string(one.Verdict) + " " + one.Reason
		sum, ok := byName[name]
		if !ok {
			sum.Name, sum.First = name, one.At
		}
		sum.Count++
		sum.First = min(sum.First, one.At)
		sum.Last = max(sum.Last, one.At)
		byName[name] = sum
	}
	reasons := make([]Reason, 0, len(byName))
	for _, sum := range byName {
		reasons = append(reasons, sum)
	}
	sort.Slice(reasons, func(i, j int) bool {
		return reasons[i].Name < reasons[j].Name
	})
	return reasons
}

// maxLatency is the largest latency recorded, in microseconds.
const maxLatency = 10 * 60 * 1000 * 1000

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, 3)
}

// runner is one load being run.
type runner struct {
	settings Settings
	balancer *Balancer
	client   *http1.Client
	began    time.Time
	mutex    sync.Mutex
	report   *Report
}

// Run sends the load through the balancer and returns when every request has
// ended.
func Run(ctx context.Context, settings Settings, balancer *Balancer) *Report {
	one := &runner{
		settings: settings,
		balancer: balancer,
		began:    time.Now(),
		client: &http1.Client{
			IdleTimeout: settings.Deadline + 5*time.Second,
		},
		report: &Report{
			First: newHistogram(),
			Total: newHistogram(),
			Gap:   newHistogram(),
		},
	}
	one.arrive(ctx)
	return one.report
}

// arrive starts requests at their times.
func (r *runner) arrive(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 1)) //nolint:gosec // reproducible load, no secret
	var running conc.WaitGroup
	defer running.Wait()
	next := time.Now()
	end := next.Add(r.settings.Duration)
	for number := 0; ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / r.settings.Rate * float64(time.Second)))
		if next.After(end) {
			return
		}
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		draw, key, intended := random.Float64(), r.settings.Keys[random.IntN(len(r.settings.Keys))], next
		topic := random.IntN(topics)
		running.Go(func() {
			r.one(draw, key, topic, intended)
		})
	}
}

// topics is how many different beginnings prompts have.
const topics = 20

// one sends one request of the kind drawn and notes its outcome.
func (r *runner) one(draw float64, key string, topic int, intended time.Time) {
	var outcome Outcome
	switch {
	case draw < r.settings.ChargeShare:
		outcome = r.charge(key, intended)
	case draw < r.settings.ChargeShare+r.settings.PlainShare:
		outcome = r.plain(key, intended)
	default:
		outcome = r.chat(key, topic, intended)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	outcome.At = intended.Sub(r.began)
	r.report.Outcomes = append(r.report.Outcomes, outcome)
}

// record notes a latency in a histogram.
func (r *runner) record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = histogram.RecordValue(max(1, latency.Microseconds()))
}

// exchange is one request and its answer's head.
type exchange struct {
	request  *fasthttp.Request
	response *fasthttp.Response
}

// free gives the buffers back.
func (e exchange) free() {
	_ = e.response.CloseBodyStream()
	fasthttp.ReleaseRequest(e.request)
	fasthttp.ReleaseResponse(e.response)
}

// begin sends a request to a daemon. The outcome is set where that failed.
func (r *runner) begin(method, path, key string, body []byte, headers [][2]string) (exchange, *Outcome) {
	made := exchange{
		request:  fasthttp.AcquireRequest(),
		response: fasthttp.AcquireResponse(),
	}
	address, ok := r.balancer.Pick()
	if !ok {
		return made, &Outcome{
			Verdict: Unreached,
			Reason:  "no_ready_daemon",
		}
	}
	made.request.SetRequestURI(path)
	made.request.Header.SetMethod(method)
	made.request.Header.Set("Authorization", "Bearer "+key)
	made.request.Header.Set("X-Deadline-Ms", fmt.Sprint(r.settings.Deadline.Milliseconds()))
	for _, header := range headers {
		made.request.Header.Set(header[0], header[1])
	}
	if body != nil {
		made.request.Header.SetContentType("application/json")
		made.request.SetBodyRaw(body)
	}
	err := r.client.Do(address, made.request, made.response, false, true)
	var failed *http1.Error
	if err != nil {
		outcome := &Outcome{
			Verdict: Broken,
			Reason:  "connection",
		}
		if asError(err, &failed) && !failed.Sent {
			outcome.Verdict = Unreached
		}
		return made, outcome
	}
	return made, nil
}

// refusal is an error answer of a daemon.
type refusal struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// refused returns the outcome that an error answer claims.
func refused(body []byte, requestID string) Outcome {
	var said refusal
	outcome := Outcome{
		Verdict:   Cut,
		RequestID: requestID,
	}
	if json.Unmarshal(body, &said) != nil {
		return outcome
	}
	outcome.Reason = said.Error.Code
	switch said.Error.Outcome {
	case "not_run":
		outcome.Verdict = NotRun
	case "unknown":
		outcome.Verdict = Unknown
	}
	return outcome
}

// chat sends a streamed completion and checks every event.
func (r *runner) chat(key string, topic int, intended time.Time) Outcome {
	request := engine.Completion{
		Model: r.settings.Model,
		Messages: []engine.Message{{
			Role:    "system",
			Content: strings.Repeat(fmt.Sprintf("topic %d ", topic), 40),
		}, {
			Role:    "user",
			Content: uuid.NewString(),
		}},
		MaxTokens: r.settings.Tokens,
		Stream:    true,
	}
	body, err := json.Marshal(request)
	if err != nil {
		return Outcome{
			Verdict: Broken,
			Reason:  err.Error(),
		}
	}
	made, failed := r.begin("POST", "/v1/chat/completions", key, body, nil)
	defer made.free()
	if failed != nil {
		return *failed
	}
	requestID := string(made.response.Header.Peek("X-Request-Id"))
	if made.response.StatusCode() != fasthttp.StatusOK {
		return refused(bodyOf(made.response), requestID)
	}
	return r.follow(made, engine.Answer(request), requestID, intended)
}

// follow reads a stream to its end.
func (r *runner) follow(made exchange, expected []string, requestID string, intended time.Time) Outcome {
	outcome := Outcome{
		Verdict:   Broken,
		RequestID: requestID,
	}
	got, isDone, isForeign := 0, false, false
	last := time.Time{}
	var said *Outcome
	_ = engine.ReadEvents(made.response.BodyStream(), func(_ int, data string) {
		now := time.Now()
		switch {
		case data == "[DONE]":
			isDone = true
			return
		case strings.Contains(data, `"headcourse_error"`):
			claimed := refused([]byte(data), requestID)
			said = &claimed
			return
		case last.IsZero():
			r.record(r.report.First, now.Sub(intended))
		default:
			r.record(r.report.Gap, now.Sub(last))
		}
		last = now
		isForeign = isForeign || got >= len(expected) || !strings.Contains(data, expected[got])
		got++
	})
	switch {
	case isForeign:
		outcome.Verdict = Foreign
	case isDone && got == len(expected):
		outcome.Verdict = Whole
		r.record(r.report.Total, time.Since(intended))
	case isDone:
		outcome.Verdict = Cut
	case said != nil:
		outcome = *said
	}
	return outcome
}

// echo is the answer of a plain service.
type echo struct {
	Path string `json:"path"`
	Echo string `json:"echo"`
}

// plain reads from the plain service.
func (r *runner) plain(key string, intended time.Time) Outcome {
	path := r.settings.ServicePrefix + "/status/" + uuid.NewString()
	return r.service("GET", path, key, nil, nil, intended)
}

// charge sends a request that may not be repeated.
func (r *runner) charge(key string, intended time.Time) Outcome {
	body := []byte(uuid.NewString())
	outcome := r.service("POST", r.settings.ChargePath, key, body, [][2]string{{"Idempotency-Key", string(body)}}, intended)
	outcome.Charge = "POST " + r.settings.ChargePath + " " + string(body)
	return outcome
}

// service sends a request to the plain service and checks the answer.
func (r *runner) service(method, path, key string, body []byte, headers [][2]string, intended time.Time) Outcome {
	made, failed := r.begin(method, path, key, body, headers)
	defer made.free()
	if failed != nil {
		return *failed
	}
	answer := bodyOf(made.response)
	requestID := string(made.response.Header.Peek("X-Request-Id"))
	if made.response.StatusCode() != fasthttp.StatusOK {
		return refused(answer, requestID)
	}
	outcome := Outcome{
		Verdict:   Whole,
		RequestID: requestID,
	}
	var said echo
	switch {
	case json.Unmarshal(answer, &said) != nil:
		outcome.Verdict = Cut
	case said.Path != path || said.Echo != string(body):
		outcome.Verdict = Foreign
	default:
		r.record(r.report.Total, time.Since(intended))
	}
	return outcome
}

// Balancer stands in for the platform's: it sends to daemons that say they are
// ready, in turn. Use NewBalancer.
type Balancer struct {
	client *http1.Client
	mutex  sync.Mutex
	all    []string
	ready  []string
	next   atomic.Uint64
}

// checkEvery is the time between two health checks.
const checkEvery = 250 * time.Millisecond

// NewBalancer returns a balancer of daemons at IP:port that checks them until
// ctx ends.
func NewBalancer(ctx context.Context, daemons []string) *Balancer {
	balancer := &Balancer{
		client: &http1.Client{
			ConnectTimeout: checkEvery,
			IdleTimeout:    time.Second,
		},
		all: daemons,
	}
	balancer.check()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(checkEvery)
			balancer.check()
		}
	}()
	return balancer
}

// check asks every daemon whether it is ready.
func (b *Balancer) check() {
	var ready []string
	for _, address := range b.all {
		status, _, err := b.client.JSON(address, "/health/ready", nil)
		if err == nil && status == fasthttp.StatusOK {
			ready = append(ready, address)
		}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ready = ready
}

// Pick returns the next ready daemon.
func (b *Balancer) Pick() (string, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))], true
}
