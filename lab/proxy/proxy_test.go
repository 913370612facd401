package proxy_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/lab/proxy"
)

// Guards against a proxy that hides how a server ended its connection: clients take an orderly close for the end of
// an answer, and a reset for a break.
func TestEndOfConnectionIsForwardedAsItIs(t *testing.T) {
	for resets, want := range map[bool]error{
		false: io.EOF,
		true:  syscall.ECONNRESET,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		proceed := make(chan struct{})
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "part")
			<-proceed
			if resets {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}()
		forwarding, err := proxy.Listen(listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		client, err := net.Dial("tcp", forwarding.Address())
		qt.Assert(t, err, qt.IsNil)
		received := make([]byte, len("part"))
		_, err = io.ReadFull(client, received)
		qt.Assert(t, err, qt.IsNil)
		close(proceed)
		_, err = client.Read(received)
		qt.Check(t, err, qt.ErrorIs, want)
		qt.Check(t, client.Close(), qt.IsNil)
		forwarding.Close()
		qt.Check(t, listener.Close(), qt.IsNil)
	}
}
