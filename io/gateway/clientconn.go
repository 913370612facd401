package gateway

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// lingerTime is how long a connection whose request was not read stays open for the client to read the answer.
const lingerTime = 300 * time.Millisecond

// clientConn is a connection of a client.
type clientConn struct {
	*net.TCPConn
	lingers atomic.Bool
}

// newClientConn returns the connection of a client as one that can linger.
func newClientConn(conn net.Conn) net.Conn {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &clientConn{
		TCPConn: socket,
	}
}

// lingerOnClose makes the close of a connection wait until its client has read the answer. The client may still be sending
// the request, and bytes that nobody reads would turn the close into a reset, which discards the answer (RFC 9112, section
// 9.6).
func lingerOnClose(conn net.Conn) {
	if client, ok := conn.(*clientConn); ok {
		client.lingers.Store(true)
	}
}

// Close closes the connection.
func (c *clientConn) Close() error {
	if c.lingers.Swap(false) {
		c.linger()
	}
	return c.TCPConn.Close()
}

// linger ends the sending side and reads what the client still sends, until it closes its side.
func (c *clientConn) linger() {
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// Neither the bytes nor the reason for their end matter.
	_, _ = io.Copy(io.Discard, c.TCPConn)
}
