package tunnel_test

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/reach"
	"headcourse/io/tcp"
	"headcourse/io/tunnel"
)

// FuzzFrames searches for bytes of a peer that end a tunnel as if its server had closed it in an orderly
// way, although no empty frame is among them.
func FuzzFrames(f *testing.F) {
	for _, seed := range []string{"", "\x00", "\x00\x00", "\x00\x02ok", "\x00\x02ok\x00\x00", "\x00\x05ok", "\xff\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, frames []byte) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go func() {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			buffer := make([]byte, 512)
			_, _ = conn.Read(buffer)
			_, _ = conn.Write(append([]byte("{\"result\":\"connected\"}\n"), frames...))
			_ = conn.Close()
		}()
		dialer := newDialer(brokenLinks{}, servers{})
		dialer.Candidates = func() []reach.Peer {
			return []reach.Peer{
				{
					Name:    "peer",
					Address: listener.Addr().String(),
				},
			}
		}
		conn, err := dialer.Dial("127.0.0.1:1", awaitTimeout)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err = io.Copy(io.Discard, conn); err == nil && !hasEmptyFrame(frames) {
			t.Fatalf("frames %q end in an orderly way", frames)
		}
	})
}

// hasEmptyFrame reports whether an empty frame is among complete frames.
func hasEmptyFrame(frames []byte) bool {
	for len(frames) >= 2 {
		length := int(binary.BigEndian.Uint16(frames))
		if length == 0 {
			return true
		}
		if len(frames) < 2+length {
			return false
		}
		frames = frames[2+length:]
	}
	return false
}

// FuzzOpening searches for first lines of a caller that open a tunnel to a server that the peer does not
// know.
func FuzzOpening(f *testing.F) {
	for _, seed := range []string{"", "null", "{\"address\":\"127.0.0.1:1\"}", "{\"address\":[1]}", "{\"timeout_ms\":-1}"} {
		f.Add([]byte(seed))
	}
	through, err := tunnel.Listen(tunnel.Options{
		Address:  "127.0.0.1:0",
		Direct:   tcp.DirectDialer{},
		Paths:    &reach.Paths{},
		Fleet:    servers{},
		IsDaemon: func(string) bool { return true },
		Registry: metrics.NewRegistry(),
		Log:      zap.NewNop(),
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(through.Close)
	f.Fuzz(func(t *testing.T, line []byte) {
		conn, dialErr := net.Dial("tcp", through.Address())
		if dialErr != nil {
			t.Fatal(dialErr)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(awaitTimeout))
		_, _ = conn.Write(append(line, '\n'))
		_, _ = io.Copy(io.Discard, conn)
		if through.Active() != 0 {
			t.Fatalf("%q opens a tunnel", line)
		}
	})
}
