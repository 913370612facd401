// Package http1 sends one HTTP/1.1 request to one peer, reads the answer and reports how far a
// failed exchange got.
//
// fasthttp's client retries by default. Here it never does: a request is written at most once,
// and every error reports whether any part of it may have reached the peer. A pooled connection
// may be closed by the peer just as a request is written to it, and then it is unknown whether
// the peer read the request. Requests that must not be repeated therefore use a new connection,
// on which that cannot happen.
package http1

import (
	"cmp"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/completeness"
	"headcourse/io/tcp"
)

// Error is the error of a failed exchange.
type Error struct {
	Peer string
	// MayHaveBeenSent is set if part of the request may have reached the peer.
	MayHaveBeenSent bool
	// Refused is set if connecting failed other than by a timeout, mostly because nothing listens
	// on the peer's port.
	Refused bool
	// Unconfirmed is set if connecting failed and it may be the fault of this daemon's own links.
	Unconfirmed bool
	Cause       error
}

// Error returns the failed step, the peer and the cause.
func (e *Error) Error() string {
	step := "connect to "
	if e.MayHaveBeenSent {
		step = "exchange with "
	}
	return step + e.Peer + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Client pools connections to many peers. The zero value is ready to use, with default
// timeouts. It is safe for concurrent use.
type Client struct {
	// ConnectTimeout bounds connecting. IOTimeout bounds each read and each write of an
	// exchange. MaxIdleTime is how long an unused connection is kept.
	ConnectTimeout time.Duration
	IOTimeout      time.Duration
	MaxIdleTime    time.Duration
	// MaxAnswerBytes bounds the body of an answer that is not streamed; 0 means the default.
	MaxAnswerBytes int
	// Dialer opens connections; nil means directly. Set it before use.
	Dialer tcp.Dialer

	mutex    sync.Mutex
	pooled   map[string]*fasthttp.HostClient
	unpooled map[string]*fasthttp.HostClient
}

// Defaults of a Client.
const (
	defaultConnectTimeout = time.Second
	defaultIOTimeout      = 30 * time.Second
	// defaultMaxIdleTime is short, so that a peer seldom closes a connection at the moment when
	// it is reused.
	defaultMaxIdleTime    = 5 * time.Second
	defaultMaxAnswerBytes = 32 << 20
	// maxConnsPerPeer bounds the connections to one peer.
	maxConnsPerPeer = 4096
)

// dialError marks failures that occurred before anything was sent.
type dialError struct {
	error
}

// Unwrap returns the cause.
func (d dialError) Unwrap() error {
	return d.error
}

// Do sends a request and reads the answer. If stream is set, it reads only the head, and the
// rest is in answer.BodyStream. If useNewConn is set, it uses a connection that was never used
// before.
func (c *Client) Do(address string, request *fasthttp.Request, answer *fasthttp.Response, useNewConn, stream bool) error {
	request.SetHost(address)
	request.URI().SetScheme("http")
	if useNewConn {
		request.SetConnectionClose()
	}
	answer.StreamBody = stream
	err := c.hostClient(address, useNewConn).Do(request, answer)
	if err == nil {
		return nil
	}
	var dialErr dialError
	isDialFailure := errors.As(err, &dialErr) || errors.Is(err, fasthttp.ErrNoFreeConns)
	isRefused := isDialFailure && tcp.IsRefused(err)
	var failed *tcp.DialError
	isUnconfirmed := errors.As(err, &failed) && !failed.Confirmed
	return &Error{
		Peer:            address,
		MayHaveBeenSent: !isDialFailure,
		Refused:         isRefused,
		Unconfirmed:     isUnconfirmed,
		Cause:           err,
	}
}

// IsRefused reports whether connects to an address are refused, and not for this daemon's own links.
func (c *Client) IsRefused(address string) bool {
	conn, err := c.connect(address, orDefault(c.ConnectTimeout, defaultConnectTimeout))
	if err == nil {
		_ = conn.Close()
		return false
	}
	return tcp.IsServerRefusing(err)
}

// hostClient returns the client of one peer. Unpooled clients never keep connections, since all
// their requests ask to close them.
func (c *Client) hostClient(address string, useNewConn bool) *fasthttp.HostClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pooled == nil {
		c.pooled = map[string]*fasthttp.HostClient{}
		c.unpooled = map[string]*fasthttp.HostClient{}
	}
	hosts := c.pooled
	if useNewConn {
		hosts = c.unpooled
	}
	client, ok := hosts[address]
	if !ok {
		client = c.newHostClient(address)
		hosts[address] = client
	}
	return client
}

// CloseIdle closes the unused connections to a peer, so that the next requests open new ones.
func (c *Client) CloseIdle(address string) {
	c.hostClient(address, false).CloseIdleConnections()
}

// newHostClient returns a client of one peer that never retries a request.
func (c *Client) newHostClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      maxConnsPerPeer,
		MaxResponseBodySize:           cmp.Or(c.MaxAnswerBytes, defaultMaxAnswerBytes),
		MaxIdleConnDuration:           orDefault(c.MaxIdleTime, defaultMaxIdleTime),
		MaxIdemponentCallAttempts:     1,
		DisableHeaderNamesNormalizing: false,
		DisablePathNormalizing:        true,
		NoDefaultUserAgentHeader:      true,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
		Dial: c.dial,
	}
}

// dial connects to a peer.
func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := c.connect(address, orDefault(c.ConnectTimeout, defaultConnectTimeout))
	if err != nil {
		return nil, dialError{
			error: err,
		}
	}
	return newAnswerConn(&timeoutConn{
		Conn:    conn,
		timeout: orDefault(c.IOTimeout, defaultIOTimeout),
	}), nil
}

// connect opens a connection.
func (c *Client) connect(address string, timeout time.Duration) (net.Conn, error) {
	if c.Dialer == nil {
		return net.DialTimeout("tcp", address, timeout)
	}
	return c.Dialer.Dial(address, timeout)
}

// orDefault returns value, or fallback if value is 0.
func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// timeoutConn is a connection on which each read and each write has a timeout.
type timeoutConn struct {
	net.Conn
	timeout time.Duration
}

// lateReadTime bounds the read after the timeout, which finds what the kernel has received.
const lateReadTime = 10 * time.Millisecond

// Read reads with the timeout. If the process stands still, the timeout passes although bytes arrive, so that it reads
// once more then.
func (c *timeoutConn) Read(target []byte) (int, error) {
	n, err := c.readWithin(target, c.timeout)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readWithin(target, lateReadTime)
	}
	return n, err
}

// readWithin reads with a timeout.
func (c *timeoutConn) readWithin(target []byte, timeout time.Duration) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(target)
}

// Write writes with the timeout.
func (c *timeoutConn) Write(source []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(source)
}

// FramingOf returns how the end of an answer with a head is marked. hasNoBody is set if the answer has no body, by
// the method of its request.
func FramingOf(head *fasthttp.ResponseHeader, hasNoBody bool) completeness.Framing {
	const chunked = -1
	status, length := head.StatusCode(), head.ContentLength()
	switch {
	case hasNoBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return completeness.FramedByStatus
	case length >= 0:
		return completeness.FramedByLength
	case length == chunked:
		return completeness.FramedByChunks
	default:
		return completeness.FramedByClose
	}
}

// Answer is a copy of a complete answer.
type Answer struct {
	Status int
	Body   []byte
	header fasthttp.ResponseHeader
}

// Header returns all values of a header, in their order.
func (a *Answer) Header(name string) []string {
	var values []string
	for _, value := range a.header.PeekAll(name) {
		values = append(values, string(value))
	}
	return values
}

// CallJSON posts body as JSON, or sends a GET if body is nil, and returns the status and a copy
// of the body.
func (c *Client) CallJSON(address, path string, body []byte) (status int, answer []byte, err error) {
	reply, err := c.Call(address, path, body)
	if err != nil {
		return 0, nil, err
	}
	return reply.Status, reply.Body, nil
}

// Call posts body as JSON, or sends a GET if body is nil, and returns the complete answer.
func (c *Client) Call(address, path string, body []byte) (*Answer, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	if body != nil {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := c.Do(address, request, response, false, false); err != nil {
		return nil, err
	}
	reply := &Answer{
		Status: response.StatusCode(),
		Body:   append([]byte(nil), response.Body()...),
	}
	response.Header.CopyTo(&reply.header)
	return reply, nil
}
