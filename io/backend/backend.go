// Package backend exchanges requests and answers with backend servers over
// HTTP/1.1 and keeps connections to them.
//
// An exchange is written once and never repeated here. It tells apart what the
// caller must not confuse: nothing was sent; something may have been sent; the
// answer is whole; the answer was broken off. A connection is kept only after a
// whole answer, and used again only if a look finds it open and empty, since
// bytes that nobody asked for would be taken for the next answer.
package backend

import (
	"bufio"
	"cmp"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"headcourse/io/http1"
	"headcourse/io/tcp"
)

// Figures of a client.
const (
	// DefaultConnect bounds connecting: links take milliseconds, and a server
	// that does not answer within this is dark or cut off.
	DefaultConnect = 250 * time.Millisecond
	// defaultKeep is how long a connection is kept where the server does not
	// tell; keepMargin is kept away from the end of what it tells.
	defaultKeep = 4 * time.Second
	keepMargin  = 700 * time.Millisecond
	// unackedLimit ends connections to peers that take nothing any more.
	unackedLimit = 2 * time.Second
	// endedLook is how long a connection is watched that a server may close at once: some
	// times longer than links take.
	endedLook = 30 * time.Millisecond
	// bufferSize holds the largest head of an answer.
	bufferSize = 8 << 10
)

// Client keeps connections to backend servers. The zero value works and is
// safe for concurrent use.
type Client struct {
	// ConnectTimeout is DefaultConnect where it is 0.
	ConnectTimeout time.Duration

	mutex sync.Mutex
	idle  map[string][]*conn
	// opened counts connections made, reused those used again.
	opened int64
	reused int64
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// goodUntil is when the server may close the idle connection.
	goodUntil time.Time
}

// Counts returns how many connections were made and how often one was used
// again.
func (c *Client) Counts() (opened, reused int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened, c.reused
}

// Connect returns an exchange with a server for which nothing has been written yet. The
// error is a *http1.Error.
func (c *Client) Connect(server, address string) (*Exchange, error) {
	used, err := c.connect(server, address)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		client:  c,
		server:  server,
		address: address,
		conn:    used,
	}, nil
}

// connect returns a kept connection that is still good, or a new one.
func (c *Client) connect(server, address string) (*conn, error) {
	for {
		kept := c.take(server)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.goodUntil) && tcp.Look(kept.Conn) == tcp.Quiet {
			c.mutex.Lock()
			c.reused++
			c.mutex.Unlock()
			return kept, nil
		}
		_ = kept.Close()
	}
	made, err := c.dial(address)
	if err != nil {
		return nil, connectError(address, err)
	}
	return &conn{
		Conn:   made,
		reader: bufio.NewReaderSize(made, bufferSize),
	}, nil
}

// dial makes a connection.
func (c *Client) dial(address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   cmp.Or(c.ConnectTimeout, DefaultConnect),
		KeepAlive: -1,
		Control:   limitUnacked,
	}
	made, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	c.opened++
	c.mutex.Unlock()
	return made, nil
}

// HasEnded tells whether the server at an address has ended: it takes no connection, or
// closes one at once, as what stands before a server does when that is gone. A server that
// merely broke off an answer keeps it open. It takes up to endedLook, or the time to connect.
func (c *Client) HasEnded(address string) bool {
	made, err := c.dial(address)
	if err != nil {
		return true
	}
	defer func() { _ = made.Close() }()
	time.Sleep(endedLook)
	return tcp.Look(made) == tcp.Closed
}

// connectError returns the error of a failed connect.
func connectError(address string, err error) error {
	var operation *net.OpError
	isRefused := errors.As(err, &operation) && !operation.Timeout()
	return &http1.Error{
		Peer:    address,
		Sent:    false,
		Refused: isRefused,
		Cause:   err,
	}
}

// limitUnacked bounds how long sent bytes may stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// take returns the connection kept last, or nil.
func (c *Client) take(server string) *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := c.idle[server]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.idle[server] = kept[:len(kept)-1]
	return last
}

// keep stores a connection for the next request to its server.
func (c *Client) keep(server string, used *conn, keepFor time.Duration) {
	if keepFor == 0 {
		keepFor = defaultKeep
	}
	used.goodUntil = time.Now().Add(keepFor - keepMargin)
	c.putBack(server, used)
}

// putBack stores a connection for as long as it is good.
func (c *Client) putBack(server string, used *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	c.idle[server] = append(c.idle[server], used)
}

// Sweep closes kept connections that are too old, or whose server isKnown does
// not know any more.
func (c *Client) Sweep(isKnown func(server string) bool) {
	now := time.Now()
	var old []*conn
	c.mutex.Lock()
	for server, kept := range c.idle {
		var good []*conn
		for _, one := range kept {
			if now.Before(one.goodUntil) && isKnown(server) {
				good = append(good, one)
			} else {
				old = append(old, one)
			}
		}
		if len(good) == 0 {
			delete(c.idle, server)
		} else {
			c.idle[server] = good
		}
	}
	c.mutex.Unlock()
	for _, one := range old {
		_ = one.Close()
	}
}
