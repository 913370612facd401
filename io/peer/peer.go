// Package peer is the conversation between daemons: JSON-RPC 2.0 over TCP.
//
// A daemon learns by pulling. It asks another for what changed since it last
// asked, and dates whatever it gets from the moment it asked, less the age
// that the other states. So a reply held up on its way makes its content look
// older, never younger.
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

// Times of a conversation.
const (
	connectTimeout = 500 * time.Millisecond
	callTimeout    = 1500 * time.Millisecond
)

// Hello opens a conversation.
type Hello struct {
	Key    string `json:"key"`
	Daemon string `json:"daemon"`
}

// PullRequest asks for rows after a position in the log of the daemon that is
// asked. Incarnation names that log; another one begins at 0. Full asks for all
// that the daemon has heard, not only for what it has observed itself.
type PullRequest struct {
	Incarnation string `json:"incarnation"`
	Position    int    `json:"position"`
	Full        bool   `json:"full,omitempty"`
}

// Answer is what a daemon has to say to a pull. More tells that rows were left
// out; then the reports do not count as heard.
type Answer struct {
	Incarnation string
	Position    int
	Rows        []table.Row
	More        bool
	Reports     []contact.Report
	Evidence    []presence.Evidence
}

// pullReply is the wire form of an Answer. Names gives the names that Reports
// and Evidence refer to by number and that were not given before in this
// conversation; the rest is packed by codec.
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

// Traffic counts the bytes of all conversations of a daemon.
type Traffic struct {
	Read    atomic.Int64
	Written atomic.Int64
}

// countedConn counts bytes.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts what is read.
func (c *countedConn) Read(target []byte) (int, error) {
	n, err := c.Conn.Read(target)
	c.traffic.Read.Add(int64(n))
	return n, err
}

// Write counts what is written.
func (c *countedConn) Write(source []byte) (int, error) {
	n, err := c.Conn.Write(source)
	c.traffic.Written.Add(int64(n))
	return n, err
}

// ----------------------------------------------------------------------------
// Asking

// Client keeps one conversation with each daemon that it asks. Use NewClient.
type Client struct {
	hello   Hello
	traffic *Traffic
	mutex   sync.Mutex
	talks   map[string]*talk
}

// talk is a conversation with one daemon, and the names it has given.
type talk struct {
	conn  *jsonrpc2.Conn
	names map[int]string
}

// NewClient returns a client that introduces itself with hello.
func NewClient(hello Hello, traffic *Traffic) *Client {
	return &Client{
		hello:   hello,
		traffic: traffic,
		talks:   map[string]*talk{},
	}
}

// Pull asks the daemon at IP:port. Reports and evidence are dated from the
// moment it asked.
func (c *Client) Pull(ctx context.Context, address string, request PullRequest) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	current, err := c.talk(ctx, address)
	if err != nil {
		return Answer{}, err
	}
	var reply pullReply
	if err = current.conn.Call(ctx, methodPull, request, &reply); err != nil {
		c.drop(address, current)
		return Answer{}, errors.Wrapf(err, "pull from %s", address)
	}
	answer, err := current.unpack(reply, asked)
	if err != nil {
		c.drop(address, current)
	}
	return answer, errors.Wrapf(err, "pull from %s", address)
}

// unpack turns a reply into an answer.
func (t *talk) unpack(reply pullReply, asked time.Time) (Answer, error) {
	for number, name := range reply.Names {
		t.names[number] = name
	}
	reports, err := unpackReports(reply.Reports, t.names, asked)
	if err != nil {
		return Answer{}, err
	}
	evidence, err := unpackEvidence(reply.Evidence, t.names, asked)
	return Answer{
		Incarnation: reply.Incarnation,
		Position:    reply.Position,
		Rows:        reply.Rows,
		More:        reply.More,
		Reports:     reports,
		Evidence:    evidence,
	}, err
}

// talk returns the conversation with a daemon, begun anew where there is none.
func (c *Client) talk(ctx context.Context, address string) (*talk, error) {
	c.mutex.Lock()
	known := c.talks[address]
	c.mutex.Unlock()
	if known != nil {
		return known, nil
	}
	raw, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s", address)
	}
	stream := jsonrpc2.NewBufferedStream(&countedConn{
		Conn:    raw,
		traffic: c.traffic,
	}, jsonrpc2.VarintObjectCodec{})
	opened := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, silentHandler{}, silence())
	if err = opened.Call(ctx, methodHello, c.hello, nil); err != nil {
		_ = opened.Close()
		return nil, errors.Wrapf(err, "say hello to peer %s", address)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	begun := &talk{
		conn:  opened,
		names: map[int]string{},
	}
	c.talks[address] = begun
	return begun, nil
}

// drop ends a conversation that failed.
func (c *Client) drop(address string, failed *talk) {
	c.mutex.Lock()
	if c.talks[address] == failed {
		delete(c.talks, address)
	}
	c.mutex.Unlock()
	_ = failed.conn.Close()
}

// Close ends all conversations.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, current := range c.talks {
		_ = current.conn.Close()
		delete(c.talks, address)
	}
}

// silence keeps the library from writing to the standard log; what matters of a
// conversation's end is seen by whoever asked.
func silence() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}

// silentHandler answers nothing: the asked daemon asks nothing back.
type silentHandler struct{}

// Handle drops the request.
func (silentHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
