package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout closes connections to peers that do not acknowledge sent bytes any more.
const unackedTimeout = 2 * time.Second

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
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// LimitUnacked bounds how long bytes sent on an open connection may stay unacknowledged.
func LimitUnacked(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return setUnackedTimeout("", "", raw)
}
