// Package tcp looks into TCP connections without taking anything from them.
//
// HTTP libraries do not tell a handler that its client went away, nor that a
// kept connection has been closed or holds bytes that nobody asked for. A look
// with MSG_PEEK tells both.
package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a look found.
type State int

// The states. Quiet: open, nothing to read. Readable: bytes wait. Closed: the
// peer has closed or reset the connection.
const (
	Quiet State = iota
	Readable
	Closed
)

// Look returns the state of a connection. Connections that are not sockets
// count as quiet.
func Look(conn net.Conn) State {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Quiet
	err = control.Control(func(fd uintptr) {
		state = peek(int(fd))
	})
	if err != nil {
		return Closed
	}
	return state
}

// peek looks at one byte of a socket without waiting.
func peek(fd int) State {
	var one [1]byte
	n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return Quiet
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
