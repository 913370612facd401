// Package engine speaks to backend servers: the model engines of serving
// groups, and plain services. It sends orders and probes, hands over callers'
// requests, and resumes and cancels streams.
//
// Every failure of a request comes with its outcome. A connection that could
// not be made, and an answer that says so, mean that the request did not run;
// whatever breaks after that is unknown.
package engine

import (
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/order"
	"headcourse/core/outcome"
	"headcourse/io/http1"
)

// Client speaks to all backend servers. Use New.
type Client struct {
	// streams bounds the silence of a backend server; whole does not, since an
	// answer that comes as a whole may be long in the making.
	streams http1.Client
	whole   http1.Client
	control http1.Client
}

// Times of the client.
const (
	connectTimeout = time.Second
	// probeTimeout bounds a probe; it is far below presence.MaxAge.
	probeTimeout = 600 * time.Millisecond
	// wholeTimeout bounds the wait for an answer that is not streamed, beyond
	// any caller's deadline.
	wholeTimeout = 15 * time.Minute
)

// New returns a client for which idle bounds the silence of a backend
// server within a streamed answer.
func New(idle time.Duration) *Client {
	return &Client{
		streams: http1.Client{
			ConnectTimeout: connectTimeout,
			IdleTimeout:    idle,
		},
		whole: http1.Client{
			ConnectTimeout: connectTimeout,
			IdleTimeout:    wholeTimeout,
		},
		control: http1.Client{
			ConnectTimeout: probeTimeout,
			IdleTimeout:    probeTimeout,
		},
	}
}

// ----------------------------------------------------------------------------
// Control

// Probe asks a backend server for its state. isRefused tells that its machine
// said that nothing listens there.
func (c *Client) Probe(address string) (state order.State, isRefused bool, err error) {
	status, answer, err := c.control.JSON(address, "/state", nil)
	if err != nil {
		var failed *http1.Error
		isRefused = errors.As(err, &failed) && failed.Refused
		return state, isRefused, errors.Wrap(err, "probe")
	}
	if status != fasthttp.StatusOK {
		return state, false, errors.Errorf("probe %s: status %d", address, status)
	}
	err = json.Unmarshal(answer, &state)
	return state, false, errors.Wrapf(err, "probe %s", address)
}

// Order sends an order. Its answer may be lost; what became of it is read from
// the next probe, never assumed.
func (c *Client) Order(address string, sent order.Order) error {
	body, err := json.Marshal(sent)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	status, answer, err := c.control.JSON(address, "/orders", body)
	if err != nil {
		return errors.Wrapf(err, "order %s", sent.Verb)
	}
	if status != fasthttp.StatusOK {
		return errors.Errorf("order %s at %s: status %d: %s", sent.Verb, address, status, answer)
	}
	return nil
}

// ----------------------------------------------------------------------------
// Traffic

// Call is one request to a backend server. Header fields are copied by the
// client, never kept.
type Call struct {
	Address     string
	Method      string
	Path        string
	Query       []byte
	ContentType string
	Body        []byte
	RequestID   string
	// Group and Generation are empty for plain services.
	Group      string
	Generation uint64
	// IdempotencyKey is passed on for backend servers that know it.
	IdempotencyKey string
	// Headers are further header fields to pass on.
	Headers [][2]string
	// Once asks that the request be sent over a fresh connection.
	Once bool
	// Stream asks for the head of the answer only.
	Stream bool
}

// Reply is an answer: whole in Body, or as it comes from Stream.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Stream      *Stream
}

// Stream is an answer being read. Close must be called.
type Stream struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	body     io.Reader
}

// Read reads more of the answer.
func (s *Stream) Read(target []byte) (int, error) {
	return s.body.Read(target)
}

// Close gives the stream up; a connection not read to its end is closed.
func (s *Stream) Close() {
	_ = s.response.CloseBodyStream()
	fasthttp.ReleaseResponse(s.response)
	fasthttp.ReleaseRequest(s.request)
}

// Send hands a request over. Its error is a *outcome.Failure.
func (c *Client) Send(call Call) (Reply, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	fill(request, call)
	client := &c.whole
	if call.Stream {
		client = &c.streams
	}
	if err := client.Do(call.Address, request, response, call.Once, call.Stream); err != nil {
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		return Reply{}, failureOf(call, err)
	}
	reply := Reply{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
	}
	stream := &Stream{
		request:  request,
		response: response,
		body:     response.BodyStream(),
	}
	if call.Stream && reply.Status == fasthttp.StatusOK {
		reply.Stream = stream
		return reply, nil
	}
	body, err := readWhole(call, response)
	stream.Close()
	if err != nil {
		return Reply{}, failureOf(call, &http1.Error{
			Peer:  call.Address,
			Sent:  true,
			Cause: err,
		})
	}
	reply.Body = body
	return reply, refusalOf(call, reply)
}

// fill writes a call into a request.
func fill(request *fasthttp.Request, call Call) {
	request.SetRequestURI(call.Path)
	request.URI().SetQueryStringBytes(call.Query)
	request.Header.SetMethod(call.Method)
	for _, field := range call.Headers {
		request.Header.Set(field[0], field[1])
	}
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	request.Header.Set("X-Request-Id", call.RequestID)
	if call.Group != "" {
		request.Header.Set("X-Group", call.Group)
		request.Header.Set("X-Generation", strconv.FormatUint(call.Generation, 10))
	}
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	request.SetBodyRaw(call.Body)
}

// readWhole returns a copy of the whole body.
func readWhole(call Call, response *fasthttp.Response) ([]byte, error) {
	if !call.Stream {
		return append([]byte(nil), response.Body()...), nil
	}
	return io.ReadAll(response.BodyStream())
}

// failureOf returns the outcome of a failed exchange.
func failureOf(call Call, err error) *outcome.Failure {
	failure := &outcome.Failure{
		Outcome: outcome.Unknown,
		Reason:  outcome.ReasonConnectionLost,
		Step:    "send request",
		Peer:    call.Address,
		Cause:   err,
	}
	var failed *http1.Error
	if errors.As(err, &failed) && !failed.Sent {
		failure.Outcome = outcome.NotRun
		failure.Reason = outcome.ReasonConnect
	}
	return failure
}

// refusal is the body by which an engine says that it ran nothing.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// refusalOf returns the failure of an answer in which an engine says that it
// ran nothing; nil for every other answer.
func refusalOf(call Call, reply Reply) error {
	if call.Group == "" || reply.Status < fasthttp.StatusBadRequest {
		return nil
	}
	var said refusal
	if json.Unmarshal(reply.Body, &said) != nil || said.Outcome != outcome.NotRun.String() {
		return nil
	}
	reason := outcome.ReasonEngineRefused
	if reply.Status == fasthttp.StatusTooManyRequests {
		reason = outcome.ReasonEngineBusy
	}
	if reply.Status == fasthttp.StatusBadRequest {
		reason = outcome.ReasonBadRequest
	}
	return &outcome.Failure{
		Outcome: outcome.NotRun,
		Reason:  reason,
		Step:    "send request",
		Peer:    call.Address,
		Cause:   errors.New(said.Reason),
	}
}

// ErrNoStream reports that the engine does not have the stream any more.
var ErrNoStream = errors.New("the engine does not have the stream")

// Resume takes a stream up again after a position, at the engine that runs it.
func (c *Client) Resume(address, requestID string, position int) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.SetRequestURI("/v1/streams/" + requestID)
	request.Header.Set("Last-Event-ID", strconv.Itoa(position))
	err := c.streams.Do(address, request, response, true, true)
	if err == nil && response.StatusCode() != fasthttp.StatusOK {
		err = errors.Errorf("status %d", response.StatusCode())
		if response.StatusCode() == fasthttp.StatusNotFound {
			err = ErrNoStream
		}
		_ = response.CloseBodyStream()
	}
	if err != nil {
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		return nil, errors.Wrapf(err, "resume stream at %s", address)
	}
	return &Stream{
		request:  request,
		response: response,
		body:     response.BodyStream(),
	}, nil
}

// Cancel ends the work on a request. It is best effort: an engine that does
// not hear of it works for nobody.
func (c *Client) Cancel(address, requestID string) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("/v1/streams/" + requestID)
	request.Header.SetMethod(fasthttp.MethodDelete)
	_ = c.control.Do(address, request, response, true, false)
}
