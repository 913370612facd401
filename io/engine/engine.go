// Package engine is the client for backend servers: the model engines of serving
// groups, and the servers of plain services. It sends orders, probes and callers'
// requests, and resumes and cancels streams.
//
// Every failure of a request has an outcome. If the connection could not be made, or
// the answer states it, the request did not run. After any other failure the outcome
// is unknown.
package engine

import (
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/completeness"
	"headcourse/core/order"
	"headcourse/core/outcome"
	"headcourse/io/http1"
)

// Client is the client for all backend servers. Create it with New.
type Client struct {
	// streaming limits the time between two reads of an answer; buffered has a much
	// longer limit, since an answer that is not streamed may take long to compute.
	streaming http1.Client
	buffered  http1.Client
	control   http1.Client
}

const (
	connectTimeout = time.Second
	// probeTimeout limits connecting, and each read and write of a probe, an order or a
	// cancellation. It is far below presence.MaxAge.
	probeTimeout = 600 * time.Millisecond
	// bufferedTimeout limits the wait for an answer that is not streamed. It is longer
	// than the default deadline of callers; a declared deadline may exceed it.
	bufferedTimeout = 15 * time.Minute
	// maxAnswerBytes bounds the body of an answer that is not streamed.
	maxAnswerBytes = 32 << 20
)

// New returns a client. A streamed answer fails if the backend server sends nothing
// for maxSilence.
func New(maxSilence time.Duration) *Client {
	return &Client{
		streaming: http1.Client{
			ConnectTimeout: connectTimeout,
			IOTimeout:      maxSilence,
		},
		buffered: http1.Client{
			ConnectTimeout: connectTimeout,
			IOTimeout:      bufferedTimeout,
		},
		control: http1.Client{
			ConnectTimeout: probeTimeout,
			IOTimeout:      probeTimeout,
		},
	}
}

// ----------------------------------------------------------------------------
// Control

// Probe returns the state of a backend server. isRefused is set if connecting failed
// other than by a timeout, mostly because nothing listens at the address.
func (c *Client) Probe(address string) (state order.ServerState, isRefused bool, err error) {
	status, answer, err := c.control.CallJSON(address, "/state", nil)
	if err != nil {
		var httpErr *http1.Error
		isRefused = errors.As(err, &httpErr) && httpErr.Refused
		return state, isRefused, errors.Wrap(err, "probe")
	}
	if status != fasthttp.StatusOK {
		return state, false, errors.Errorf("probe %s: status %d", address, status)
	}
	err = json.Unmarshal(answer, &state)
	return state, false, errors.Wrapf(err, "probe %s", address)
}

// Order sends an order. As the answer may be lost, the result of the order must be
// read from the next probe.
func (c *Client) Order(address string, sent order.Order) error {
	body, err := json.Marshal(sent)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	status, answer, err := c.control.CallJSON(address, "/orders", body)
	if err != nil {
		return errors.Wrapf(err, "order %s", sent.Action)
	}
	if status != fasthttp.StatusOK {
		return errors.Errorf("order %s at %s: status %d: %s", sent.Action, address, status, answer)
	}
	return nil
}

// ----------------------------------------------------------------------------
// Requests of callers

// Call is one request to a backend server. The client copies header fields and does
// not retain them.
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
	// IdempotencyKey is forwarded to backend servers, which may support it.
	IdempotencyKey string
	// Headers are further header fields to forward.
	Headers [][2]string
	// NewConnection makes the client send the request over a new connection.
	NewConnection bool
	// Stream makes Send return after the head of the answer.
	Stream bool
}

// Reply is an answer, with its body either in Body or in Stream.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Stream      *Stream
}

// Stream is a streamed answer. Close must be called.
type Stream struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	body     io.Reader
}

// Read reads more of the answer.
func (s *Stream) Read(target []byte) (int, error) {
	return s.body.Read(target)
}

// Close closes the stream. Its connection is closed too unless the answer was read to
// the end.
func (s *Stream) Close() {
	_ = s.response.CloseBodyStream()
	fasthttp.ReleaseResponse(s.response)
	fasthttp.ReleaseRequest(s.request)
}

// Send sends a request and returns the answer. Its error is a *outcome.Failure.
func (c *Client) Send(call Call) (Reply, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	writeCall(request, call)
	client := &c.buffered
	if call.Stream {
		client = &c.streaming
	}
	// The head of an answer keeps its framing only if the body is read afterwards.
	if err := client.Do(call.Address, request, response, call.NewConnection, true); err != nil {
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		return Reply{}, exchangeFailure(call, err)
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
	body, err := io.ReadAll(io.LimitReader(response.BodyStream(), maxAnswerBytes+1))
	if len(body) > maxAnswerBytes {
		err = fasthttp.ErrBodyTooLarge
	}
	if err == nil {
		err = c.checkEnd(call, &response.Header)
	}
	stream.Close()
	if err != nil {
		return Reply{}, exchangeFailure(call, &http1.Error{
			Peer:            call.Address,
			MayHaveBeenSent: true,
			Cause:           err,
		})
	}
	reply.Body = body
	return reply, refusalIn(call, reply)
}

// writeCall sets the fields of an HTTP request from a call.
func writeCall(request *fasthttp.Request, call Call) {
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

// checkEnd returns an error if an answer that has been read to its end was broken off nevertheless.
func (c *Client) checkEnd(call Call, head *fasthttp.ResponseHeader) error {
	end := completeness.End{
		Framing: http1.FramingOf(head, call.Method == fasthttp.MethodHead),
	}
	verdict := end.Decide()
	if verdict == completeness.NeedsServerState {
		state := completeness.Running
		if c.control.IsRefused(call.Address) {
			state = completeness.Down
		}
		verdict = end.WithServer(state).Decide()
	}
	if verdict != completeness.Complete {
		return errors.Errorf("answer broken off: %s", verdict)
	}
	return nil
}

// exchangeFailure returns the failure of an exchange that ended with an error.
func exchangeFailure(call Call, err error) *outcome.Failure {
	failure := &outcome.Failure{
		Outcome: outcome.Unknown,
		Reason:  outcome.ReasonConnectionLost,
		Step:    "send request",
		Peer:    call.Address,
		Cause:   err,
	}
	var httpErr *http1.Error
	if errors.As(err, &httpErr) && !httpErr.MayHaveBeenSent {
		failure.Outcome = outcome.NotRun
		failure.Reason = outcome.ReasonBackendConnectFailed
	}
	return failure
}

// refusal is the body of an answer in which an engine refuses a request.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// refusalIn returns the failure if an engine has refused the request without running
// it, and nil for every other answer.
func refusalIn(call Call, reply Reply) error {
	if call.Group == "" || reply.Status < fasthttp.StatusBadRequest {
		return nil
	}
	var parsed refusal
	if json.Unmarshal(reply.Body, &parsed) != nil || parsed.Outcome != outcome.NotRun.String() {
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
		Cause:   errors.New(parsed.Reason),
	}
}

// ErrNoStream means that the engine no longer has the stream.
var ErrNoStream = errors.New("the engine does not have the stream")

// Resume resumes a stream after a position, at the engine that runs it.
func (c *Client) Resume(address, requestID string, position int) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.SetRequestURI("/v1/streams/" + requestID)
	request.Header.Set("Last-Event-ID", strconv.Itoa(position))
	err := c.streaming.Do(address, request, response, true, true)
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

// Cancel cancels a request at an engine. It is best effort: if the message is lost,
// the engine completes an answer that is not read.
func (c *Client) Cancel(address, requestID string) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("/v1/streams/" + requestID)
	request.Header.SetMethod(fasthttp.MethodDelete)
	_ = c.control.Do(address, request, response, true, false)
}
