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
// asked. Incarnation names that log; another one begins at 0.
type PullRequest struct {
	Incarnation string `json:"incarnation"`
	Position    int    `json:"position"`
	// Known names the roster and groups that the asking daemon knows, so that
	// both can be referred to by place.
	Known Known `json:"known"`
}

// Known is the newest version among the rows of daemons, and of groups.
type Known struct {
	Daemons uint64 `json:"daemons"`
	Groups  uint64 `json:"groups"`
}

// PullReply is the answer. More tells that rows were left out; then the
// reports do not count as heard.
type PullReply struct {
	Incarnation string      `json:"incarnation"`
	Position    int         `json:"position"`
	Rows        []table.Row `json:"rows,omitempty"`
	More        bool        `json:"more,omitempty"`
	Reports     []Report    `json:"reports,omitempty"`
	Evidence    []Evidence  `json:"evidence,omitempty"`
}

// Report is a contact.Report with its age in milliseconds.
type Report struct {
	Daemon        string `json:"d"`
	ConfigVersion uint64 `json:"v"`
	AgeMS         int64  `json:"a"`
}

// Evidence is a presence.Evidence with its age in milliseconds.
type Evidence struct {
	Group      string `json:"g"`
	Generation uint64 `json:"n"`
	Whole      bool   `json:"w"`
	AgeMS      int64  `json:"a"`
	InFlight   int    `json:"f"`
	Slots      int    `json:"s"`
}

// ReportsAt returns the reports of a reply asked for at a time.
func (r PullReply) ReportsAt(asked time.Time) []contact.Report {
	reports := make([]contact.Report, len(r.Reports))
	for i, report := range r.Reports {
		reports[i] = contact.Report{
			Daemon:        report.Daemon,
			ConfigVersion: report.ConfigVersion,
			At:            asked.Add(-time.Duration(report.AgeMS) * time.Millisecond),
		}
	}
	return reports
}

// EvidenceAt returns the evidence of a reply asked for at a time.
func (r PullReply) EvidenceAt(asked time.Time) []presence.Evidence {
	evidence := make([]presence.Evidence, len(r.Evidence))
	for i, one := range r.Evidence {
		evidence[i] = presence.Evidence{
			Group:      one.Group,
			Generation: one.Generation,
			Whole:      one.Whole,
			At:         asked.Add(-time.Duration(one.AgeMS) * time.Millisecond),
			InFlight:   one.InFlight,
			Slots:      one.Slots,
		}
	}
	return evidence
}

// Describe turns reports and evidence into their wire form. Ages are rounded
// up, never down.
func Describe(reports []contact.Report, evidence []presence.Evidence, now time.Time) ([]Report, []Evidence) {
	wireReports := make([]Report, 0, len(reports))
	for _, report := range reports {
		wireReports = append(wireReports, Report{
			Daemon:        report.Daemon,
			ConfigVersion: report.ConfigVersion,
			AgeMS:         ageOf(report.At, now),
		})
	}
	wireEvidence := make([]Evidence, 0, len(evidence))
	for _, one := range evidence {
		wireEvidence = append(wireEvidence, Evidence{
			Group:      one.Group,
			Generation: one.Generation,
			Whole:      one.Whole,
			AgeMS:      ageOf(one.At, now),
			InFlight:   one.InFlight,
			Slots:      one.Slots,
		})
	}
	return wireReports, wireEvidence
}

// ageOf returns the age in milliseconds, rounded up.
func ageOf(at, now time.Time) int64 {
	return max(0, now.Sub(at).Milliseconds()+1)
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
	conns   map[string]*jsonrpc2.Conn
}

// NewClient returns a client that introduces itself with hello.
func NewClient(hello Hello, traffic *Traffic) *Client {
	return &Client{
		hello:   hello,
		traffic: traffic,
		conns:   map[string]*jsonrpc2.Conn{},
	}
}

// Pull asks the daemon at IP:port.
func (c *Client) Pull(ctx context.Context, address string, request PullRequest) (PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply PullReply
	conn, err := c.conn(ctx, address)
	if err != nil {
		return reply, err
	}
	if err = conn.Call(ctx, methodPull, request, &reply); err != nil {
		c.drop(address, conn)
		return reply, errors.Wrapf(err, "pull from %s", address)
	}
	return reply, nil
}

// conn returns the conversation with a daemon, begun anew where there is none.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mutex.Lock()
	known := c.conns[address]
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
	c.conns[address] = opened
	return opened, nil
}

// drop ends a conversation that failed.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mutex.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mutex.Unlock()
	_ = conn.Close()
}

// Close ends all conversations.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
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
