package relay

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"headcourse/core/demand"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// connectTimeout bounds connecting to another daemon: links take milliseconds, and a busy
// daemon some tens of milliseconds.
const connectTimeout = 150 * time.Millisecond

// Client calls one other daemon. It implements rowstore.Reader over a single connection that is
// opened on demand. Use NewClient.
type Client struct {
	// Self is the name of the calling daemon, Peer that of the called one. Aggregator provides
	// the demand that is reported with calls; nil means none. OnInvalidDemand, if set, is called
	// if the total demand in an answer is invalid. Set them before use.
	Self            string
	Peer            string
	Aggregator      *demand.Aggregator
	OnInvalidDemand func(peer string, err error)
	// ConnectTimeout bounds connecting to the daemon; 0 means 150 ms. It is set before use.
	ConnectTimeout time.Duration

	address string
	mutex   sync.Mutex
	conn    *jsonrpc2.Conn
	// hasLoadCall is set once the called daemon has answered a load report. Feeds then carry none.
	hasLoadCall atomic.Bool
	// connWithoutLoad is the connection on which the called daemon did not know the load call. It may
	// after an upgrade, which closes the connection.
	connWithoutLoad *jsonrpc2.Conn
	// takesLoadSections is set while the called daemon answers load reports with sections.
	takesLoadSections atomic.Bool
}

// NewClient returns a client of the daemon at IP:port.
func NewClient(address string) *Client {
	return &Client{
		address: address,
	}
}

// Read returns all rows of a table.
func (c *Client) Read(ctx context.Context, table string) (rowstore.Result, error) {
	return c.call(ctx, callRead, callParams{
		Table: table,
	})
}

// Feed returns the rows that changed since a revision.
func (c *Client) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	return c.call(ctx, callFeed, c.withDemand(callParams{
		Table:  table,
		Era:    since.Era,
		Since:  since.Version,
		WaitMS: wait.Milliseconds(),
	}))
}

// Register has the called daemon write the calling daemon's entry into the list in the store,
// batched with other entries.
func (c *Client) Register(ctx context.Context, entry []byte) error {
	_, err := c.call(ctx, callRegister, callParams{
		From:  c.Self,
		Entry: entry,
	})
	return err
}

// ReportLoad reports the demand to the called daemon and records the total demand in its answer. isDue is
// false, and nothing is sent, if this daemon reports to another one or has just reported, or if reports to
// the called daemon travel with feeds.
func (c *Client) ReportLoad(ctx context.Context) (isDue bool, err error) {
	if c.lacksLoadCall() {
		return false, nil
	}
	params, isDue := c.demandParams(callParams{})
	if !isDue {
		return false, nil
	}
	_, err = c.call(ctx, callLoad, params)
	if err != nil {
		c.Aggregator.ReleaseParent(c.Peer)
		return true, err
	}
	c.hasLoadCall.Store(true)
	return true, nil
}

// lacksLoadCall reports whether the called daemon did not know the load call on the open connection.
func (c *Client) lacksLoadCall() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.conn != nil && c.conn == c.connWithoutLoad
}

// recordUnknownMethod records that the called daemon does not know a method. If that is the load call, the
// daemon may have been replaced by one of an older release, which doesn't take load sections either.
func (c *Client) recordUnknownMethod(conn *jsonrpc2.Conn, method string) {
	if method != callLoad {
		return
	}
	c.hasLoadCall.Store(false)
	c.takesLoadSections.Store(false)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connWithoutLoad = conn
}

// withDemand adds the demand to the parameters of a call, if a report is due and the called daemon
// does not take load reports.
func (c *Client) withDemand(params callParams) callParams {
	if c.hasLoadCall.Load() {
		return params
	}
	params, _ = c.demandParams(params)
	return params
}

// demandParams adds the demand to the parameters of a call, and reports whether a report is due.
func (c *Client) demandParams(params callParams) (callParams, bool) {
	if c.Aggregator == nil {
		return params, false
	}
	measured, isDue := c.Aggregator.NextReport(c.Peer)
	if isDue {
		params.From = c.Self
		params.Depth = measured.Depth
		params.Load, params.Asked = c.encodeReport(measured)
	}
	return params, isDue
}

// encodeReport returns the sections of a report, and its demand in the form of releases without such
// sections until the called daemon has answered with some.
func (c *Client) encodeReport(report demand.Report) (load []byte, asked []demandEntry) {
	load, err := encodeLoad(demand.Totals{
		Demand:        report.Demand,
		Organisations: report.Organisations,
		Paces:         report.Paces,
		HasDetails:    report.HasDetails,
	})
	if err == nil && c.takesLoadSections.Load() {
		return load, nil
	}
	return load, encodeDemand(report.Demand)
}

// recordTotals records the totals of all daemons from an answer. Totals in the answer to a feed are as old
// as the feed, so they do not count once the called daemon answers load reports.
func (c *Client) recordTotals(method string, result callResult) {
	if c.Aggregator == nil || (method == callFeed && c.hasLoadCall.Load()) {
		return
	}
	totals, err := decodeSections(result.Load, result.Asked)
	if method == callLoad {
		c.takesLoadSections.Store(len(result.Load) > 0)
	}
	if err == nil && len(totals.Demand) > 0 {
		err = c.Aggregator.ReceiveTotals(c.Peer, totals)
	}
	if err != nil && c.OnInvalidDemand != nil {
		c.OnInvalidDemand(c.Peer, err)
	}
}

// call makes one call. If it gets no answer, its connection is not reused.
func (c *Client) call(ctx context.Context, method string, params callParams) (rowstore.Result, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return rowstore.Result{}, errors.Wrapf(rowstore.ErrRefused, "connect to daemon %s: %s", c.address, err)
	}
	var result callResult
	err = conn.Call(ctx, method, params, &result)
	if err == nil {
		c.recordTotals(method, result)
		return decode(params.Table, result)
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		switch rpcErr.Code {
		case codeCompacted:
			return rowstore.Result{}, rowstore.ErrCompacted
		case codeNoCopy:
			return rowstore.Result{}, errors.Wrapf(rowstore.ErrNoCopy, "daemon %s", c.address)
		case jsonrpc2.CodeMethodNotFound:
			c.recordUnknownMethod(conn, method)
		}
		return rowstore.Result{}, errors.Wrapf(rowstore.ErrRefused, "daemon %s: %s", c.address, rpcErr.Message)
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		// A caller that needs no answer any more shows nothing about the connection, which others use.
		c.discard(conn)
	}
	return rowstore.Result{}, errors.Wrapf(rowstore.ErrOutcomeUnknown, "call %s of daemon %s: %s", method, c.address, err)
}

// connect returns the open connection, or opens a new one.
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
		Timeout: cmp.Or(c.ConnectTimeout, connectTimeout),
	}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
	c.conn = jsonrpc2.NewConn(context.Background(), stream, ignoringHandler{}, jsonrpc2.SetLogger(logline.Discard{}))
	return c.conn, nil
}

// ignoringHandler ignores calls from the called daemon, which sends none.
type ignoringHandler struct{}

// Handle ignores a call.
func (ignoringHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// discard closes a connection, which is not reused.
func (c *Client) discard(conn *jsonrpc2.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.Close()
}

// Close closes the connection.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
