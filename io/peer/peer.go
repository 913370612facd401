// Package peer is the protocol between daemons: JSON-RPC 2.0 over TCP.
//
// Each daemon pulls from others the changes since its last pull. The time of an
// observation is the time at which the request was sent, minus the age that the
// answer states. A delayed answer thus makes observations appear older, never more
// recent.
package peer

import (
	"context"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"headcourse/core/contact"
	"headcourse/core/presence"
	"headcourse/core/table"
)

// Names of the methods.
const (
	methodHello = "hello"
	methodPull  = "pull"
)

const (
	connectTimeout = 500 * time.Millisecond
	// callTimeout limits a pull, including the time to connect.
	callTimeout = 1500 * time.Millisecond
)

// Hello opens a session. Daemon is the ID of the daemon that sends it.
type Hello struct {
	Key    string `json:"key"`
	Daemon string `json:"daemon"`
}

// PullRequest requests the rows after a position in the log of another daemon.
// Incarnation identifies the log; a log with another incarnation is read from position
// 0. IncludeRelayed also requests the observations that the other daemon received from
// others.
type PullRequest struct {
	Incarnation    string `json:"incarnation"`
	Position       int    `json:"position"`
	IncludeRelayed bool   `json:"full,omitempty"`
}

// PullAnswer is the answer to a pull. HasMore is set if further rows were omitted; the reports
// must not be used then.
type PullAnswer struct {
	Incarnation string
	Position    int
	Rows        []table.Row
	HasMore     bool
	Reports     []contact.Report
	Evidence    []presence.Evidence
}

// pullReply is the wire form of type PullAnswer. Reports and Evidence are encoded as
// described in codec.go. Names contains, by number, the names that the session uses for
// the first time.
type pullReply struct {
	Incarnation string         `json:"incarnation"`
	Position    int            `json:"position"`
	Rows        []table.Row    `json:"rows,omitempty"`
	More        bool           `json:"more,omitempty"`
	Names       map[int]string `json:"names,omitempty"`
	Reports     []byte         `json:"reports,omitempty"`
	Evidence    []byte         `json:"evidence,omitempty"`
}

// ----------------------------------------------------------------------------
// Traffic counters

// Traffic counts the bytes of all sessions of a daemon.
type Traffic struct {
	Read    atomic.Int64
	Written atomic.Int64
}

// countingConn is a connection that counts bytes.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts the bytes.
func (c *countingConn) Read(target []byte) (int, error) {
	n, err := c.Conn.Read(target)
	c.traffic.Read.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *countingConn) Write(source []byte) (int, error) {
	n, err := c.Conn.Write(source)
	c.traffic.Written.Add(int64(n))
	return n, err
}

// ----------------------------------------------------------------------------
// Client

// Client pulls from other daemons, over one session with each. Create it with NewClient.
type Client struct {
	hello    Hello
	traffic  *Traffic
	mutex    sync.Mutex
	sessions map[string]*session
}

// session is a connection to one daemon, with the names that the daemon has numbered.
type session struct {
	conn  *jsonrpc2.Conn
	names map[int]string
}

// NewClient returns a client that opens its sessions with hello.
func NewClient(hello Hello, traffic *Traffic) *Client {
	return &Client{
		hello:    hello,
		traffic:  traffic,
		sessions: map[string]*session{},
	}
}

// Pull sends a request to the daemon at IP:port.
func (c *Client) Pull(ctx context.Context, address string, request PullRequest) (PullAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	current, err := c.openSession(ctx, address)
	if err != nil {
		return PullAnswer{}, err
	}
	var reply pullReply
	if err = current.conn.Call(ctx, methodPull, request, &reply); err != nil {
		c.closeSession(address, current)
		return PullAnswer{}, errors.Wrapf(err, "pull from %s", address)
	}
	answer, err := current.decode(reply, requestedAt)
	if err != nil {
		c.closeSession(address, current)
	}
	return answer, errors.Wrapf(err, "pull from %s", address)
}

// decode returns the answer in a reply to a request that was sent at requestedAt.
func (s *session) decode(reply pullReply, requestedAt time.Time) (PullAnswer, error) {
	for number, name := range reply.Names {
		s.names[number] = name
	}
	reports, err := decodeReports(reply.Reports, s.names, requestedAt)
	if err != nil {
		return PullAnswer{}, err
	}
	evidence, err := decodeEvidence(reply.Evidence, s.names, requestedAt)
	return PullAnswer{
		Incarnation: reply.Incarnation,
		Position:    reply.Position,
		Rows:        reply.Rows,
		HasMore:     reply.More,
		Reports:     reports,
		Evidence:    evidence,
	}, err
}

// openSession returns the session with a daemon, and opens one if there is none.
func (c *Client) openSession(ctx context.Context, address string) (*session, error) {
	c.mutex.Lock()
	existing := c.sessions[address]
	c.mutex.Unlock()
	if existing != nil {
		return existing, nil
	}
	raw, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s", address)
	}
	stream := jsonrpc2.NewBufferedStream(&countingConn{
		Conn:    raw,
		traffic: c.traffic,
	}, jsonrpc2.VarintObjectCodec{})
	opened := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, ignoringHandler{}, discardLog())
	if err = opened.Call(ctx, methodHello, c.hello, nil); err != nil {
		_ = opened.Close()
		return nil, errors.Wrapf(err, "send hello to peer %s", address)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	created := &session{
		conn:  opened,
		names: map[int]string{},
	}
	c.sessions[address] = created
	return created, nil
}

// closeSession closes a session that failed.
func (c *Client) closeSession(address string, failed *session) {
	c.mutex.Lock()
	if c.sessions[address] == failed {
		delete(c.sessions, address)
	}
	c.mutex.Unlock()
	_ = failed.conn.Close()
}

// Close closes all sessions.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, current := range c.sessions {
		_ = current.conn.Close()
		delete(c.sessions, address)
	}
}

// discardLog keeps the library from writing to the standard log. Callers get the errors
// that matter.
func discardLog() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}

// ignoringHandler ignores requests: the server side of a session sends none.
type ignoringHandler struct{}

// Handle ignores the request.
func (ignoringHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
