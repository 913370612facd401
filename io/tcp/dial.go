package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DefaultUnackedLimit is how long bytes that were sent to a server may stay unacknowledged before the connection is
// closed.
const DefaultUnackedLimit = 2 * time.Second

// Dialer opens connections to addresses, each an IP:port. The timeout bounds connecting.
type Dialer interface {
	Dial(address string, timeout time.Duration) (net.Conn, error)
}

// DirectDialer opens connections that bound how long sent bytes may stay unacknowledged.
type DirectDialer struct{}

// Dial connects to an address. The error is a *net.OpError.
func (DirectDialer) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control:   setUnackedTimeout,
	}
	return dialer.Dial("tcp", address)
}

// setUnackedTimeout bounds how long sent bytes may stay unacknowledged.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	return limitUnacked(raw, DefaultUnackedLimit)
}

// LimitUnacked bounds how long bytes sent on an open connection may stay unacknowledged, including those for which the
// peer has no room; 0 means as long as the kernel lets them. A connection that is no socket has no such limit.
func LimitUnacked(conn net.Conn, limit time.Duration) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return limitUnacked(raw, limit)
}

// limitUnacked sets the limit of a socket.
func limitUnacked(raw syscall.RawConn, limit time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
