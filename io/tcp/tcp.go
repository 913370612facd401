// Package tcp inspects TCP connections without consuming bytes.
//
// HTTP libraries do not notify a handler when its client disconnects, and do not detect that an
// idle connection has been closed or holds unexpected bytes. A read with MSG_PEEK detects both.
package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection.
type State int

// States of a connection. Idle: open with nothing to read. Readable: bytes can be read.
// Closed: the peer has closed or reset the connection.
const (
	Idle State = iota
	Readable
	Closed
)

// Probe returns the state of a connection. Connections that are not sockets count as Idle, those
// that hold received bytes back, such as a tunnel, as Readable.
func Probe(conn net.Conn) State {
	if buffered, ok := conn.(interface{ Buffered() int }); ok && buffered.Buffered() > 0 {
		return Readable
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return Idle
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Idle
	err = rawConn.Control(func(fd uintptr) {
		state = peek(int(fd))
	})
	if err != nil {
		return Closed
	}
	return state
}

// peek reads one byte of a socket without blocking or consuming it.
func peek(fd int) State {
	var buffer [1]byte
	n, _, err := unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return Idle
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
