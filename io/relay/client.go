package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"headcourse/core/demand"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// connectTime bounds connecting to another daemon: links take milliseconds, and a
// busy daemon some tens.
const connectTime = 150 * time.Millisecond

// Client asks one other daemon. It implements rowstore.Reader and keeps one
// connection, which it makes when it is needed. Use NewClient.
type Client struct {
	// Self is the name of the daemon that asks, Peer that of the one that is asked.
	// Board is what is told with calls; nil: nothing. Refused, if set, is told of answers
	// about it that make no sense. Set before use.
	Self    string
	Peer    string
	Board   *demand.Board
	Refused func(peer string, err error)

	address string
	mutex   sync.Mutex
	conn    *jsonrpc2.Conn
}

// NewClient returns a client of the daemon at IP:port.
func NewClient(address string) *Client {
	return &Client{
		address: address,
	}
}

// Read returns all rows of a table.
func (c *Client) Read(ctx context.Context, table string) (rowstore.Result, error) {
	return c.call(ctx, callRead, question{
		Table: table,
	})
}

// Feed returns the rows that changed since a revision.
func (c *Client) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	return c.call(ctx, callFeed, c.telling(question{
		Table:  table,
		Era:    since.Era,
		Since:  since.Version,
		WaitMS: wait.Milliseconds(),
	}))
}

// Enlist has the daemon list the one that asks, by its entry, together with others.
func (c *Client) Enlist(ctx context.Context, entry []byte) error {
	_, err := c.call(ctx, callEnlist, question{
		From:  c.Self,
		Entry: entry,
	})
	return err
}

// telling returns the question with what is to be told with it, if it is time to.
func (c *Client) telling(asked question) question {
	if c.Board == nil {
		return asked
	}
	below, isTime := c.Board.Tell(c.Peer)
	if isTime {
		asked.From = c.Self
		asked.Asked = encodeAsked(below.Asked)
		asked.Depth = below.Depth
	}
	return asked
}

// hear takes what an answer says is asked of all.
func (c *Client) hear(answered answer) {
	if c.Board == nil || len(answered.Asked) == 0 {
		return
	}
	if err := c.Board.Heard(c.Peer, decodeAsked(answered.Asked)); err != nil && c.Refused != nil {
		c.Refused(c.Peer, err)
	}
}

// call makes one call. A connection on which a call got no answer is not used
// again.
func (c *Client) call(ctx context.Context, method string, asked question) (rowstore.Result, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return rowstore.Result{}, errors.Wrapf(rowstore.ErrRefused, "connect to daemon %s: %s", c.address, err)
	}
	var answered answer
	err = conn.Call(ctx, method, asked, &answered)
	if err == nil {
		c.hear(answered)
		return decode(asked.Table, answered)
	}
	var told *jsonrpc2.Error
	if errors.As(err, &told) {
		switch told.Code {
		case codeCompacted:
			return rowstore.Result{}, rowstore.ErrCompacted
		case codeNoCopy:
			return rowstore.Result{}, errors.Wrapf(rowstore.ErrNoCopy, "daemon %s", c.address)
		}
		return rowstore.Result{}, errors.Wrapf(rowstore.ErrRefused, "daemon %s: %s", c.address, told.Message)
	}
	c.drop(conn)
	return rowstore.Result{}, errors.Wrapf(rowstore.ErrUnknown, "call %s of daemon %s: %s", method, c.address, err)
}

// connect returns the connection, a new one if there is none that is open.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
		default:
			return c.conn, nil
		}
	}
	dialer := net.Dialer{
		Timeout: connectTime,
	}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
	c.conn = jsonrpc2.NewConn(context.Background(), stream, refuse{}, jsonrpc2.SetLogger(logline.Quiet{}))
	return c.conn, nil
}

// refuse takes no calls from the daemon that is asked.
type refuse struct{}

// Handle drops a call.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// drop closes a connection.
func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.Close()
}

// Close ends the connection.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
