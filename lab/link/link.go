// Package link connects a daemon to backend servers over the loopback address and injects the
// faults of a daemon that loses its links to all of them, while others keep theirs.
//
// The faults are injected at the daemon's own sockets, since a listener on the loopback address
// cannot leave a connect unanswered for one daemon only.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"headcourse/io/tcp"
)

// Fault is the fault of a link.
type Fault int

// Faults of a link. Hung: nothing passes, and connects time out. OneWay: only bytes to the servers
// pass, so connects time out too. Reset: connections are reset, also new ones. Refused and HungNew:
// open connections live on, while new ones are refused or time out.
const (
	NoFault Fault = iota
	Hung
	OneWay
	Reset
	Refused
	HungNew
)

// faultNames are the names of the faults in files and logs.
var faultNames = [...]string{"none", "hung", "one_way", "reset", "refused", "hung_new"}

// String returns the name of the fault.
func (f Fault) String() string {
	return faultNames[f]
}

// Parse returns the fault of a name.
func Parse(name string) (Fault, error) {
	for i, known := range faultNames {
		if known == name {
			return Fault(i), nil
		}
	}
	return NoFault, errors.Errorf("parse fault of a link: %q is unknown", name)
}

// Faults returns all faults but NoFault.
func Faults() []Fault {
	return []Fault{Hung, OneWay, Reset, Refused, HungNew}
}

// unackedTimeout is how long bytes may stay unacknowledged before the connection is closed.
const unackedTimeout = 2 * time.Second

// Link is a daemon's links to all backend servers. The zero value has no fault. It is safe for
// concurrent use.
type Link struct {
	mutex sync.Mutex
	fault Fault
	conns map[*conn]struct{}
}

// SetFault changes the fault from now on. Connections on which bytes were dropped are reset when
// the fault ends, since a byte stream with a gap is corrupt.
func (l *Link) SetFault(fault Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
	for open := range l.conns {
		if fault == Reset || fault == NoFault && open.hasDropped {
			open.reset()
		}
	}
}

// Dial connects to a server.
func (l *Link) Dial(address string, timeout time.Duration) (net.Conn, error) {
	switch l.currentFault() {
	case Reset, Refused:
		return nil, dialError(syscall.ECONNREFUSED)
	case Hung, HungNew, OneWay:
		time.Sleep(timeout)
		return nil, dialError(syscall.ETIMEDOUT)
	case NoFault:
	}
	raw, err := tcp.DirectDialer{}.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	opened := &conn{
		Conn: raw,
		link: l,
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conns == nil {
		l.conns = map[*conn]struct{}{}
	}
	l.conns[opened] = struct{}{}
	return opened, nil
}

// currentFault returns the fault.
func (l *Link) currentFault() Fault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault
}

// dialError returns the error of a failed connect.
func dialError(cause syscall.Errno) error {
	return &net.OpError{
		Op:  "dial",
		Net: "tcp",
		Err: cause,
	}
}

// conn is a connection of a link.
type conn struct {
	net.Conn
	link *Link
	// hasDropped is set when bytes of the connection were dropped; droppedAt is when the first
	// written ones were. Both are guarded by the link's mutex.
	hasDropped bool
	droppedAt  time.Time
	// wasReset is set when the fault has reset the connection.
	wasReset atomic.Bool
}

// Read reads bytes that the link lets pass, until the read deadline or the close.
func (c *conn) Read(target []byte) (int, error) {
	for {
		n, err := c.Conn.Read(target)
		if err != nil && c.wasReset.Load() {
			return n, syscall.ECONNRESET
		}
		if !c.drops(true) {
			return n, err
		}
		var timeout net.Error
		if errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout() {
			return 0, err
		}
		if err == nil {
			continue
		}
		// The end of the connection does not reach the daemon until the fault ends.
		const pause = 5 * time.Millisecond
		time.Sleep(pause)
		if c.isBroken() {
			return 0, syscall.ECONNRESET
		}
	}
}

// Write writes bytes, or drops them. A connection with bytes that stay unacknowledged breaks.
func (c *conn) Write(source []byte) (int, error) {
	if c.link.currentFault() != Hung {
		return c.Conn.Write(source)
	}
	c.drops(false)
	if c.isBroken() {
		return 0, syscall.ETIMEDOUT
	}
	return len(source), nil
}

// drops reports whether the link drops the connection's bytes now, or has before. isRead is set for
// bytes from the server.
func (c *conn) drops(isRead bool) bool {
	c.link.mutex.Lock()
	defer c.link.mutex.Unlock()
	if c.link.fault == Hung || isRead && c.link.fault == OneWay {
		if !c.hasDropped {
			time.AfterFunc(unackedTimeout, c.breakUnacked)
			c.droppedAt = time.Now()
		}
		c.hasDropped = true
	}
	return c.hasDropped
}

// breakUnacked closes a connection whose bytes were not acknowledged.
func (c *conn) breakUnacked() {
	c.link.mutex.Lock()
	defer c.link.mutex.Unlock()
	c.reset()
}

// isBroken reports whether dropped bytes have stayed unacknowledged for too long.
func (c *conn) isBroken() bool {
	c.link.mutex.Lock()
	defer c.link.mutex.Unlock()
	return c.hasDropped && time.Since(c.droppedAt) > unackedTimeout
}

// reset resets the connection. The caller holds the link's mutex.
func (c *conn) reset() {
	delete(c.link.conns, c)
	c.wasReset.Store(true)
	if open, ok := c.Conn.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = open.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.link.mutex.Lock()
	delete(c.link.conns, c)
	c.link.mutex.Unlock()
	return c.Conn.Close()
}

// SyscallConn returns the socket, so that tcp.Probe can inspect it.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("inspect connection: it is no socket")
	}
	return socket.SyscallConn()
}
