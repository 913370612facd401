package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Conn is a connection to a server through a peer.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// peer is the name of the peer.
	peer string
	// remaining is the number of bytes of the current frame that are not read yet.
	remaining int
	// hasEnded is set once the server's orderly close was read.
	hasEnded bool
}

// Read reads bytes of the server. It returns io.EOF only after the server's orderly close.
func (c *Conn) Read(target []byte) (int, error) {
	if c.hasEnded {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		// Peek leaves a partial header in the buffer if the read deadline passes.
		header, err := c.reader.Peek(frameHeaderBytes)
		if err != nil {
			return 0, unexpectedEnd(err)
		}
		c.remaining = int(binary.BigEndian.Uint16(header))
		if _, err = c.reader.Discard(frameHeaderBytes); err != nil {
			return 0, unexpectedEnd(err)
		}
		if c.remaining == 0 {
			c.hasEnded = true
			return 0, io.EOF
		}
	}
	n, err := c.reader.Read(target[:min(len(target), c.remaining)])
	c.remaining -= n
	return n, unexpectedEnd(err)
}

// unexpectedEnd converts the end of the connection to the peer, which is not the end of the server's
// bytes.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Peer returns the name of the daemon that the connection goes through.
func (c *Conn) Peer() string {
	return c.peer
}

// Buffered returns the number of bytes that were received and not read yet.
func (c *Conn) Buffered() int {
	return c.reader.Buffered()
}

// SyscallConn returns the socket, so that tcp.Probe can inspect it.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("inspect tunnel: its connection is no socket")
	}
	return socket.SyscallConn()
}
