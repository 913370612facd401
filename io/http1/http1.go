// Package http1 exchanges one HTTP/1.1 request and answer with one peer, and
// tells exactly how far a failed exchange got.
//
// fasthttp's client by default tries again on its own. Here it never does: a
// request is written once at most, and every failure says whether any of it
// can have reached the peer. A kept connection may die just as a request is
// written to it, and nobody can tell whether the peer saw it; so requests that
// may not be repeated go over a fresh connection, where that cannot happen.
package http1

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Error is a failed exchange.
type Error struct {
	Peer string
	// Sent tells that some of the request may have reached the peer.
	Sent bool
	// Refused tells that the peer's machine refused the connection, so that
	// nothing listens there.
	Refused bool
	Cause   error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	step := "connect to "
	if e.Sent {
		step = "exchange with "
	}
	return step + e.Peer + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Client keeps connections to many peers. The zero value works, with the
// default times. It is safe for concurrent use.
type Client struct {
	// ConnectTimeout bounds connecting; IdleTimeout bounds the silence of a
	// peer within an exchange; KeepFor is how long an unused connection is kept.
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration
	KeepFor        time.Duration

	mutex sync.Mutex
	kept  map[string]*fasthttp.HostClient
	fresh map[string]*fasthttp.HostClient
}

// Default times of a Client.
const (
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 30 * time.Second
	// defaultKeepFor is short, so that a peer seldom closes a connection in the
	// moment it is used again.
	defaultKeepFor = 5 * time.Second
	// maxConns bounds the connections to one peer.
	maxConns = 4096
)

// dialError marks failures before anything was sent.
type dialError struct {
	error
}

// Unwrap returns the cause.
func (d dialError) Unwrap() error {
	return d.error
}

// Do sends a request and reads the answer: the whole of it, or, when stream is
// true, its head, with the rest in answer.BodyStream. isFresh asks for a
// connection that was never used before.
func (c *Client) Do(address string, request *fasthttp.Request, answer *fasthttp.Response, isFresh, stream bool) error {
	request.SetHost(address)
	request.URI().SetScheme("http")
	if isFresh {
		request.SetConnectionClose()
	}
	answer.StreamBody = stream
	err := c.host(address, isFresh).Do(request, answer)
	if err == nil {
		return nil
	}
	var dialing dialError
	isDialing := errors.As(err, &dialing) || errors.Is(err, fasthttp.ErrNoFreeConns)
	var operation *net.OpError
	isRefused := isDialing && errors.As(err, &operation) && !operation.Timeout()
	return &Error{
		Peer:    address,
		Sent:    !isDialing,
		Refused: isRefused,
		Cause:   err,
	}
}

// host returns the client of one peer. Fresh ones never keep connections,
// since all their requests ask to close.
func (c *Client) host(address string, isFresh bool) *fasthttp.HostClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.kept == nil {
		c.kept = map[string]*fasthttp.HostClient{}
		c.fresh = map[string]*fasthttp.HostClient{}
	}
	hosts := c.kept
	if isFresh {
		hosts = c.fresh
	}
	host, ok := hosts[address]
	if !ok {
		host = c.newHost(address)
		hosts[address] = host
	}
	return host
}

// newHost returns a client of a peer that never repeats a request.
func (c *Client) newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      maxConns,
		MaxIdleConnDuration:           orDefault(c.KeepFor, defaultKeepFor),
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
	conn, err := net.DialTimeout("tcp", address, orDefault(c.ConnectTimeout, defaultConnectTimeout))
	if err != nil {
		return nil, dialError{
			error: err,
		}
	}
	return &idleConn{
		Conn: conn,
		idle: orDefault(c.IdleTimeout, defaultIdleTimeout),
	}, nil
}

// orDefault returns d, or fallback where d is not set.
func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// idleConn fails a read or a write during which the peer is silent too long.
type idleConn struct {
	net.Conn
	idle time.Duration
}

// Read reads within the idle time.
func (i *idleConn) Read(target []byte) (int, error) {
	if err := i.SetReadDeadline(time.Now().Add(i.idle)); err != nil {
		return 0, err
	}
	return i.Conn.Read(target)
}

// Write writes within the idle time.
func (i *idleConn) Write(source []byte) (int, error) {
	if err := i.SetWriteDeadline(time.Now().Add(i.idle)); err != nil {
		return 0, err
	}
	return i.Conn.Write(source)
}

// Reply is a copy of a whole answer.
type Reply struct {
	Status int
	Body   []byte
	header fasthttp.ResponseHeader
}

// Header returns all values of a header, in their order.
func (r *Reply) Header(name string) []string {
	var values []string
	for _, value := range r.header.PeekAll(name) {
		values = append(values, string(value))
	}
	return values
}

// JSON posts body, or gets where body is nil, and returns the status and a
// copy of the whole answer.
func (c *Client) JSON(address, path string, body []byte) (status int, answer []byte, err error) {
	reply, err := c.Call(address, path, body)
	if err != nil {
		return 0, nil, err
	}
	return reply.Status, reply.Body, nil
}

// Call posts body, or gets where body is nil, and returns the whole answer.
func (c *Client) Call(address, path string, body []byte) (*Reply, error) {
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
	reply := &Reply{
		Status: response.StatusCode(),
		Body:   append([]byte(nil), response.Body()...),
	}
	response.Header.CopyTo(&reply.header)
	return reply, nil
}
