package tunnel

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"headcourse/io/tcp"
)

// copyBothWays copies bytes between the caller and the server until either closes its connection, and
// closes both.
func copyBothWays(caller net.Conn, fromCaller io.Reader, backend net.Conn) {
	var copies conc.WaitGroup
	copies.Go(func() { copyToServer(backend, fromCaller) })
	copies.Go(func() { copyFrames(caller, backend) })
	copies.Wait()
}

// copyToServer copies the caller's bytes. When the caller has closed the tunnel, the server's work is
// not wanted any more.
func copyToServer(backend net.Conn, fromCaller io.Reader) {
	buffer := make([]byte, maxFrameBytes)
	for {
		n, err := fromCaller.Read(buffer)
		if n > 0 {
			if _, writeErr := backend.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = backend.Close()
}

// copyFrames copies the server's bytes in frames, and its orderly close as an empty frame. If the
// server's connection breaks, it resets the caller's.
func copyFrames(caller, backend net.Conn) {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := backend.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, writeErr := caller.Write(buffer[:frameHeaderBytes+n]); writeErr != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) && tcp.HasFinished(backend) {
			binary.BigEndian.PutUint16(buffer, 0)
			// A caller that is gone needs no end.
			_, _ = caller.Write(buffer[:frameHeaderBytes])
			_ = caller.Close()
			_ = backend.Close()
			return
		}
		if err != nil {
			break
		}
	}
	reset(caller)
	_ = backend.Close()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}
