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

// States of TCP in which the peer has sent its FIN (RFC 9293), as numbered by Linux.
const (
	stateTimeWait  = 6
	stateCloseWait = 8
	stateLastAck   = 9
	stateClosing   = 11
)

// HasFinished reports whether the peer of a connection has ended its bytes in an orderly way. After a reset a read may
// return io.EOF as well, if a write at the same time took notice of the reset. Connections that are not sockets count
// as finished, those that this process has closed do not.
func HasFinished(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	hasFinished := false
	err = rawConn.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr != nil {
			return
		}
		switch info.State {
		case stateTimeWait, stateCloseWait, stateLastAck, stateClosing:
			hasFinished = true
		}
	})
	return err == nil && hasFinished
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
