// Package load sends callers' requests in an open loop: the rate does not depend on the
// answers. It measures latency from the intended start of a request, and checks that every
// answer is complete and belongs to its request. Whether a reported outcome is true can be
// checked with the ledgers of the backend servers, as package demo does.
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

// Settings configure a load.
type Settings struct {
	// Rate is the number of requests a second during Duration. Inter-arrival times are
	// exponential and drawn from Seed.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Model    string
	// ServicePrefix is the path prefix of the plain service, and NonRepeatablePath the path of
	// its endpoint that must not be repeated.
	ServicePrefix     string
	NonRepeatablePath string
	// APIKeys are the organisations' API keys. Deadline is sent with each request.
	APIKeys  []string
	Tokens   int
	Deadline time.Duration
	// PlainReadShare is the share of plain reads, and NonRepeatableShare the share of requests
	// that must not be repeated. All other requests are streamed completions.
	PlainReadShare     float64
	NonRepeatableShare float64
}

// Verdict is the result of one request, as its caller observed and checked it.
type Verdict string

// Verdicts of a request.
const (
	// Complete means that the caller received the complete answer to its own request.
	Complete Verdict = "whole"
	// NotRun and Unknown mean that the caller received an error with that outcome.
	NotRun  Verdict = "not_run"
	Unknown Verdict = "unknown"
	// Mismatched means that the answer belongs to another request.
	Mismatched Verdict = "foreign"
	// Truncated means that the answer ended without an error but was incomplete.
	Truncated Verdict = "cut"
	// Disconnected means that the request failed in a way that the caller could detect, such as
	// a lost connection.
	Disconnected Verdict = "broken"
	// Unreachable means that no daemon could be reached and nothing was sent.
	Unreachable Verdict = "unreached"
)

// Outcome holds the verdict of one request and the data needed to verify it.
type Outcome struct {
	Verdict   Verdict
	Reason    string
	RequestID string
	// IntendedStart is the intended start of the request, relative to the start of the load.
	IntendedStart time.Duration
	// LedgerKey is the key of the request in the ledgers of the plain services. It is empty for
	// requests that can be repeated.
	LedgerKey string
}

// Report holds the results of a load.
type Report struct {
	Outcomes []Outcome
	// Latencies of the first event of a stream and of all complete answers, in microseconds
	// from the intended start.
	FirstEvent     *hdrhistogram.Histogram
	CompleteAnswer *hdrhistogram.Histogram
	// EventGap is the time between two events of a stream, in microseconds.
	EventGap *hdrhistogram.Histogram
}

// Count returns the number of requests with a verdict.
func (r *Report) Count(verdict Verdict) int {
	count := 0
	for _, outcome := range r.Outcomes {
		if outcome.Verdict == verdict {
			count++
		}
	}
	return count
}

// Reason summarises the requests that failed with one verdict for one reason, with the earliest
// and the latest intended start. Name is the verdict and the reason.
type Reason struct {
	Name          string
	Count         int
	EarliestStart time.Duration
	LatestStart   time.Duration
}

// Reasons returns the reasons of failures, sorted by name.
func (r *Report) Reasons() []Reason {
	byName := map[string]Reason{}
	for _, outcome := range r.Outcomes {
		if outcome.Reason == "" {
			continue
		}
		name := string(outcome.Verdict) + " " + outcome.Reason
		reason, ok := byName[name]
		if !ok {
			reason.Name, reason.EarliestStart = name, outcome.IntendedStart
		}
		reason.Count++
		reason.EarliestStart = min(reason.EarliestStart, outcome.IntendedStart)
		reason.LatestStart = max(reason.LatestStart, outcome.IntendedStart)
		byName[name] = reason
	}
	reasons := make([]Reason, 0, len(byName))
	for _, reason := range byName {
		reasons = append(reasons, reason)
	}
	sort.Slice(reasons, func(i, j int) bool {
		return reasons[i].Name < reasons[j].Name
	})
	return reasons
}

// maxLatencyMicroseconds is the largest latency that the histograms record.
const maxLatencyMicroseconds = 10 * 60 * 1000 * 1000

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicroseconds, 3)
}

// runner runs one load.
type runner struct {
	settings  Settings
	balancer  *Balancer
	client    *http1.Client
	startedAt time.Time
	mutex     sync.Mutex
	report    *Report
}

// Run sends the load through the balancer and returns when every request has ended.
func Run(ctx context.Context, settings Settings, balancer *Balancer) *Report {
	current := &runner{
		settings:  settings,
		balancer:  balancer,
		startedAt: time.Now(),
		client: &http1.Client{
			IOTimeout: settings.Deadline + 5*time.Second,
		},
		report: &Report{
			FirstEvent:     newHistogram(),
			CompleteAnswer: newHistogram(),
			EventGap:       newHistogram(),
		},
	}
	current.sendAll(ctx)
	return current.report
}

// sendAll sends the requests at their intended start times.
func (r *runner) sendAll(ctx context.Context) {
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
		draw, key, intended := random.Float64(), r.settings.APIKeys[random.IntN(len(r.settings.APIKeys))], next
		topic := random.IntN(promptTopics)
		running.Go(func() {
			r.sendOne(draw, key, topic, intended)
		})
	}
}

// promptTopics is the number of distinct prompt prefixes.
const promptTopics = 20

// sendOne sends one request of the drawn kind and records its outcome.
func (r *runner) sendOne(draw float64, key string, topic int, intended time.Time) {
	var outcome Outcome
	switch {
	case draw < r.settings.NonRepeatableShare:
		outcome = r.sendNonRepeatable(key, intended)
	case draw < r.settings.NonRepeatableShare+r.settings.PlainReadShare:
		outcome = r.sendPlainRead(key, intended)
	default:
		outcome = r.sendChat(key, topic, intended)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	outcome.IntendedStart = intended.Sub(r.startedAt)
	r.report.Outcomes = append(r.report.Outcomes, outcome)
}

// recordLatency adds a latency to a histogram.
func (r *runner) recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = histogram.RecordValue(max(1, latency.Microseconds()))
}

// exchange holds one request and the head of its response.
type exchange struct {
	request  *fasthttp.Request
	response *fasthttp.Response
}

// release closes the response body and returns the buffers to their pools.
func (e exchange) release() {
	_ = e.response.CloseBodyStream()
	fasthttp.ReleaseRequest(e.request)
	fasthttp.ReleaseResponse(e.response)
}

// send sends a request to a daemon. It returns an outcome if no response was received, and nil
// otherwise. The caller releases the exchange in both cases.
func (r *runner) send(method, path, key string, body []byte, headers [][2]string) (exchange, *Outcome) {
	sent := exchange{
		request:  fasthttp.AcquireRequest(),
		response: fasthttp.AcquireResponse(),
	}
	address, ok := r.balancer.Pick()
	if !ok {
		return sent, &Outcome{
			Verdict: Unreachable,
			Reason:  "no_ready_daemon",
		}
	}
	sent.request.SetRequestURI(path)
	sent.request.Header.SetMethod(method)
	sent.request.Header.Set("Authorization", "Bearer "+key)
	sent.request.Header.Set("X-Deadline-Ms", fmt.Sprint(r.settings.Deadline.Milliseconds()))
	for _, header := range headers {
		sent.request.Header.Set(header[0], header[1])
	}
	if body != nil {
		sent.request.Header.SetContentType("application/json")
		sent.request.SetBodyRaw(body)
	}
	err := r.client.Do(address, sent.request, sent.response, false, true)
	var failure *http1.Error
	if err != nil {
		outcome := &Outcome{
			Verdict: Disconnected,
			Reason:  "connection",
		}
		if asError(err, &failure) && !failure.MayHaveBeenSent {
			outcome.Verdict = Unreachable
		}
		return sent, outcome
	}
	return sent, nil
}

// errorBody is the body of an error response of a daemon.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// errorOutcome returns the outcome that an error response reports. A response that reports
// neither not_run nor unknown counts as truncated.
func errorOutcome(body []byte, requestID string) Outcome {
	var parsed errorBody
	outcome := Outcome{
		Verdict:   Truncated,
		RequestID: requestID,
	}
	if json.Unmarshal(body, &parsed) != nil {
		return outcome
	}
	outcome.Reason = parsed.Error.Code
	switch parsed.Error.Outcome {
	case "not_run":
		outcome.Verdict = NotRun
	case "unknown":
		outcome.Verdict = Unknown
	}
	return outcome
}

// sendChat sends a streamed completion and checks every event.
func (r *runner) sendChat(key string, topic int, intended time.Time) Outcome {
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
			Verdict: Disconnected,
			Reason:  err.Error(),
		}
	}
	sent, failure := r.send("POST", "/v1/chat/completions", key, body, nil)
	defer sent.release()
	if failure != nil {
		return *failure
	}
	requestID := string(sent.response.Header.Peek("X-Request-Id"))
	if sent.response.StatusCode() != fasthttp.StatusOK {
		return errorOutcome(readBody(sent.response), requestID)
	}
	return r.readStream(sent, engine.AnswerTokens(request), requestID, intended)
}

// readStream reads a stream to its end and checks that it has the expected tokens.
func (r *runner) readStream(sent exchange, expected []string, requestID string, intended time.Time) Outcome {
	outcome := Outcome{
		Verdict:   Disconnected,
		RequestID: requestID,
	}
	received, isDone, isMismatched := 0, false, false
	lastEventAt := time.Time{}
	var reported *Outcome
	_ = engine.ReadEvents(sent.response.BodyStream(), func(_ int, data string) {
		now := time.Now()
		switch {
		case data == "[DONE]":
			isDone = true
			return
		case strings.Contains(data, `"headcourse_error"`):
			claimed := errorOutcome([]byte(data), requestID)
			reported = &claimed
			return
		case lastEventAt.IsZero():
			r.recordLatency(r.report.FirstEvent, now.Sub(intended))
		default:
			r.recordLatency(r.report.EventGap, now.Sub(lastEventAt))
		}
		lastEventAt = now
		isMismatched = isMismatched || received >= len(expected) || !strings.Contains(data, expected[received])
		received++
	})
	switch {
	case isMismatched:
		outcome.Verdict = Mismatched
	case isDone && received == len(expected):
		outcome.Verdict = Complete
		r.recordLatency(r.report.CompleteAnswer, time.Since(intended))
	case isDone:
		outcome.Verdict = Truncated
	case reported != nil:
		outcome = *reported
	}
	return outcome
}

// echoBody is the answer of a plain service.
type echoBody struct {
	Path string `json:"path"`
	Echo string `json:"echo"`
}

// sendPlainRead sends a read to the plain service.
func (r *runner) sendPlainRead(key string, intended time.Time) Outcome {
	path := r.settings.ServicePrefix + "/status/" + uuid.NewString()
	return r.sendToService("GET", path, key, nil, nil, intended)
}

// sendNonRepeatable sends a request that must not be repeated, with an idempotency key.
func (r *runner) sendNonRepeatable(key string, intended time.Time) Outcome {
	body := []byte(uuid.NewString())
	outcome := r.sendToService("POST", r.settings.NonRepeatablePath, key, body, [][2]string{{"Idempotency-Key", string(body)}}, intended)
	outcome.LedgerKey = "POST " + r.settings.NonRepeatablePath + " " + string(body)
	return outcome
}

// sendToService sends a request to the plain service and checks the answer.
func (r *runner) sendToService(method, path, key string, body []byte, headers [][2]string, intended time.Time) Outcome {
	sent, failure := r.send(method, path, key, body, headers)
	defer sent.release()
	if failure != nil {
		return *failure
	}
	answer := readBody(sent.response)
	requestID := string(sent.response.Header.Peek("X-Request-Id"))
	if sent.response.StatusCode() != fasthttp.StatusOK {
		return errorOutcome(answer, requestID)
	}
	outcome := Outcome{
		Verdict:   Complete,
		RequestID: requestID,
	}
	var parsed echoBody
	switch {
	case json.Unmarshal(answer, &parsed) != nil:
		outcome.Verdict = Truncated
	case parsed.Path != path || parsed.Echo != string(body):
		outcome.Verdict = Mismatched
	default:
		r.recordLatency(r.report.CompleteAnswer, time.Since(intended))
	}
	return outcome
}

// Balancer is the stand-in for the platform's load balancer. It selects ready daemons in
// round-robin order. Use NewBalancer.
type Balancer struct {
	client  *http1.Client
	mutex   sync.Mutex
	daemons []string
	ready   []string
	next    atomic.Uint64
}

// healthCheckInterval is the time between two health checks.
const healthCheckInterval = 250 * time.Millisecond

// NewBalancer returns a balancer for daemons at IP:port that checks their health until ctx
// ends.
func NewBalancer(ctx context.Context, daemons []string) *Balancer {
	balancer := &Balancer{
		client: &http1.Client{
			ConnectTimeout: healthCheckInterval,
			IOTimeout:      time.Second,
		},
		daemons: daemons,
	}
	balancer.checkHealth()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(healthCheckInterval)
			balancer.checkHealth()
		}
	}()
	return balancer
}

// checkHealth checks the readiness of every daemon.
func (b *Balancer) checkHealth() {
	var ready []string
	for _, address := range b.daemons {
		status, _, err := b.client.CallJSON(address, "/health/ready", nil)
		if err == nil && status == fasthttp.StatusOK {
			ready = append(ready, address)
		}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ready = ready
}

// Pick returns the next ready daemon, or false if none is ready.
func (b *Balancer) Pick() (string, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))], true
}
