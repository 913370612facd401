// Package backend exchanges requests and answers with backend servers over HTTP/1.1 and pools
// connections to them.
//
// This package writes a request once and never retries it. It distinguishes the cases that the
// caller must treat differently: nothing was sent; something may have been sent; the answer is
// complete; the answer was broken off. A connection returns to the pool only after a complete
// answer. It is reused only if a check finds it open and without unread bytes, since unexpected
// bytes would be taken for the next answer.
package backend

import (
	"bufio"
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"headcourse/io/http1"
	"headcourse/io/tcp"
	"headcourse/io/tunnel"
)

const (
	// DefaultConnectTimeout bounds connecting: links take milliseconds, and a server that does not
	// answer within this time is down or unreachable.
	DefaultConnectTimeout = 250 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the server names no keep-alive
	// time.
	defaultKeepAlive = 4 * time.Second
	// A connection is reused until a margin before the server's keep-alive time ends, since a request
	// that crosses with the close is lost. The margin is 1/keepAliveMarginDivisor of that time, within
	// these bounds. Servers state whole seconds: one that stated 1 s closed after 1.5 s, and a margin of
	// 700 ms left 300 ms for reuse.
	keepAliveMarginDivisor = 4
	minKeepAliveMargin     = 100 * time.Millisecond
	maxKeepAliveMargin     = 700 * time.Millisecond
	// maxTunnelAge is how long a connection through another daemon is reused, so that requests return
	// to direct connections soon after these work again.
	maxTunnelAge = 2 * time.Second
	// maxSuspectIdleTime is how long a direct connection may be idle and still be reused while links to
	// some servers are lost.
	maxSuspectIdleTime = 300 * time.Millisecond
	// closeProbeTime is how long a new connection is watched for an immediate close by the
	// server: several times the latency of the links.
	closeProbeTime = 30 * time.Millisecond
	// readBufferSize holds the largest head of an answer, in bytes.
	readBufferSize = 8 << 10
)

// Links are the states of the direct links to backend servers.
type Links interface {
	// IsDetoured reports whether new connections to an address go through another daemon, so that kept
	// direct ones may hang.
	IsDetoured(address string) bool
	// HasDetours reports whether new connections to any address do.
	HasDetours() bool
}

// Client pools connections to backend servers. The zero value is ready to use and safe for
// concurrent use.
type Client struct {
	// ConnectTimeout bounds connecting; 0 means DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// Dialer opens connections; nil means directly. Links, if set, are the states of the direct links.
	// Set them before use.
	Dialer tcp.Dialer
	Links  Links

	mutex sync.Mutex
	idle  map[string][]*conn
	// opened counts connections made, reused how often one was used again.
	opened int64
	reused int64
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	idleState
}

// idleState determines whether an idle connection may be reused.
type idleState struct {
	// reusableUntil is when the connection is no longer reused for any request; strictlyReusableUntil is
	// the same for requests that must not be lost. Both are zero for a connection that was never idle.
	reusableUntil         time.Time
	strictlyReusableUntil time.Time
	openedAt              time.Time
	releasedAt            time.Time
	// peer is the daemon that the connection goes through; empty: it is direct.
	peer string
}

// isReusable reports whether the keep-alive time permits a request. mayRepeat is set if the request may
// be sent again.
func (s idleState) isReusable(now time.Time, mayRepeat bool) bool {
	if mayRepeat {
		return now.Before(s.reusableUntil)
	}
	return now.Before(s.strictlyReusableUntil)
}

// keepAliveMargin returns how long before the end of a server's keep-alive time a connection is no longer
// reused for requests that may be repeated.
func keepAliveMargin(keepAlive time.Duration) time.Duration {
	return min(max(keepAlive/keepAliveMarginDivisor, minKeepAliveMargin), maxKeepAliveMargin)
}

// ConnectionCounts returns how many connections were opened and how often one was reused.
func (c *Client) ConnectionCounts() (opened, reused int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened, c.reused
}

// Connect returns an exchange with a server, for which nothing has been written yet. The error
// is a *http1.Error. The request must not be lost: it gets no connection in the last
// maxKeepAliveMargin of the server's keep-alive time.
func (c *Client) Connect(server, address string) (*Exchange, error) {
	return c.newExchange(server, address, false)
}

// ConnectRepeatable is like Connect, for a request that may be sent again: it also gets connections that
// are closer to the end of the keep-alive time.
func (c *Client) ConnectRepeatable(server, address string) (*Exchange, error) {
	return c.newExchange(server, address, true)
}

// newExchange returns an exchange on an idle or a new connection.
func (c *Client) newExchange(server, address string, mayRepeat bool) (*Exchange, error) {
	connection, err := c.connect(server, address, mayRepeat)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		client:  c,
		server:  server,
		address: address,
		conn:    connection,
	}, nil
}

// connect returns an idle connection that is still usable, or a new one.
func (c *Client) connect(server, address string, mayRepeat bool) (*conn, error) {
	for {
		idle := c.popIdle(server, mayRepeat)
		if idle == nil {
			break
		}
		if c.mayReuse(idle.idleState, address) && tcp.Probe(idle.Conn) == tcp.Idle {
			c.mutex.Lock()
			c.reused++
			c.mutex.Unlock()
			return idle, nil
		}
		_ = idle.Close()
	}
	netConn, err := c.dial(address)
	if err != nil {
		return nil, connectError(address, err)
	}
	peer := ""
	if through, ok := netConn.(*tunnel.Conn); ok {
		peer = through.Peer()
	}
	return &conn{
		Conn:   netConn,
		reader: bufio.NewReaderSize(netConn, readBufferSize),
		idleState: idleState{
			openedAt: time.Now(),
			peer:     peer,
		},
	}, nil
}

// HasIdle reports whether a request to a server that may be repeated would probably find an idle
// connection. It is cheap: the connection is not probed, and only the newest one counts.
func (c *Client) HasIdle(server, address string) bool {
	c.mutex.Lock()
	idle := c.idle[server]
	if len(idle) == 0 {
		c.mutex.Unlock()
		return false
	}
	newest := idle[len(idle)-1].idleState
	c.mutex.Unlock()
	return newest.isReusable(time.Now(), true) && c.mayReuse(newest, address)
}

// mayReuse reports whether the path of an idle connection to an address may be used again.
func (c *Client) mayReuse(idle idleState, address string) bool {
	if idle.peer != "" && time.Since(idle.openedAt) > maxTunnelAge {
		return false
	}
	return idle.peer != "" || (!c.IsLinkLost(address) && !c.mayHang(idle))
}

// mayHang reports whether a direct connection has been idle for so long that its link may have been lost
// as those to other servers were.
func (c *Client) mayHang(idle idleState) bool {
	return c.Links != nil && c.Links.HasDetours() && time.Since(idle.releasedAt) > maxSuspectIdleTime
}

// IsLinkLost reports whether new connections to an address go through another daemon.
func (c *Client) IsLinkLost(address string) bool {
	return c.Links != nil && c.Links.IsDetoured(address)
}

// dial opens a connection.
func (c *Client) dial(address string) (net.Conn, error) {
	dialer := c.Dialer
	if dialer == nil {
		dialer = tcp.DirectDialer{}
	}
	netConn, err := dialer.Dial(address, cmp.Or(c.ConnectTimeout, DefaultConnectTimeout))
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	c.opened++
	c.mutex.Unlock()
	return netConn, nil
}

// IsDown reports whether the server at an address is down: connects to it are refused, and not for the daemon's own
// links, or it closes the connection at once, as a proxy in front of a stopped server does. A running server that only
// broke off an answer keeps the connection open, and one that does not answer a connect may stand still. The call takes
// the time to connect and, if that succeeds, closeProbeTime.
func (c *Client) IsDown(address string) bool {
	netConn, err := c.dial(address)
	if err != nil {
		return tcp.IsServerRefusing(err)
	}
	defer func() { _ = netConn.Close() }()
	time.Sleep(closeProbeTime)
	return tcp.Probe(netConn) == tcp.Closed
}

// endProbeTime is how long IsUnreached watches a new connection. A process that crashes closes its connections one after the
// other, those of its answers perhaps before the one that it listens on.
const endProbeTime = 5 * time.Millisecond

// IsUnreached reports whether a connect to an address is refused or not tried, which nobody has to confirm, or is reset at
// once: nothing then shows that the server runs. One that rejects surplus connections closes them in order. The call takes the
// time to connect and, if that succeeds, endProbeTime.
func (c *Client) IsUnreached(address string) bool {
	netConn, err := c.dial(address)
	if err != nil {
		return tcp.IsServerUnreached(err)
	}
	defer func() { _ = netConn.Close() }()
	time.Sleep(endProbeTime)
	return tcp.Probe(netConn) == tcp.Closed && !tcp.HasFinished(netConn)
}

// connectError wraps the error of a failed connect.
func connectError(address string, err error) error {
	return &http1.Error{
		Peer:            address,
		MayHaveBeenSent: false,
		Refused:         tcp.IsRefused(err),
		Cause:           err,
	}
}

// popIdle removes and returns the most recently used idle connection whose keep-alive time permits a
// request, or nil. It leaves the others, which may still suit a request that may be repeated.
func (c *Client) popIdle(server string, mayRepeat bool) *conn {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	idle := c.idle[server]
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i].isReusable(now, mayRepeat) {
			popped := idle[i]
			c.idle[server] = slices.Delete(idle, i, i+1)
			return popped
		}
	}
	return nil
}

// pushIdle adds a connection to the pool. It is reusable until a margin before the end of the server's
// keep-alive time; 0 means the default time.
func (c *Client) pushIdle(server string, released *conn, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = defaultKeepAlive
	}
	released.releasedAt = time.Now()
	released.reusableUntil = released.releasedAt.Add(keepAlive - keepAliveMargin(keepAlive))
	released.strictlyReusableUntil = released.releasedAt.Add(keepAlive - maxKeepAliveMargin)
	c.addIdle(server, released)
}

// addIdle adds a connection to the pool without changing until when it is reusable.
func (c *Client) addIdle(server string, released *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	c.idle[server] = append(c.idle[server], released)
}

// Sweep closes idle connections that have expired, or whose server isKnown rejects.
func (c *Client) Sweep(isKnown func(server string) bool) {
	now := time.Now()
	var expired []*conn
	c.mutex.Lock()
	for server, idle := range c.idle {
		var usable []*conn
		for _, one := range idle {
			if one.isReusable(now, true) && isKnown(server) {
				usable = append(usable, one)
			} else {
				expired = append(expired, one)
			}
		}
		if len(usable) == 0 {
			delete(c.idle, server)
		} else {
			c.idle[server] = usable
		}
	}
	c.mutex.Unlock()
	for _, one := range expired {
		_ = one.Close()
	}
}
