package gateway_test

import (
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/config"
	"headcourse/core/reach"
	"headcourse/io/tcp"
	"headcourse/io/tunnel"
)

// tunnelledServers are the addresses of the servers of one service.
type tunnelledServers []string

// ServiceOf returns the service of a server.
func (s tunnelledServers) ServiceOf(address string) (string, bool) {
	return "board", slices.Contains(s, address)
}

// ControlServers returns the other servers.
func (s tunnelledServers) ControlServers(_, except string) []string {
	return slices.DeleteFunc(slices.Clone(s), func(address string) bool { return address == except })
}

// lostLinks refuses all connects.
type lostLinks struct{}

// Dial fails.
func (lostLinks) Dial(string, time.Duration) (net.Conn, error) {
	return nil, &net.OpError{
		Op:  "dial",
		Err: syscall.ECONNREFUSED,
	}
}

// newTunnelDialer returns the dialer of a daemon that reaches servers only through another daemon.
func newTunnelDialer(t *testing.T, servers tunnelledServers) *tunnel.Dialer {
	t.Helper()
	peer, err := tunnel.Listen(tunnel.Options{
		Address:  "127.0.0.1:0",
		Direct:   tcp.DirectDialer{},
		Paths:    &reach.Paths{},
		Fleet:    servers,
		IsDaemon: func(string) bool { return true },
		Registry: metrics.NewRegistry(),
		Log:      zap.NewNop(),
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(peer.Close)
	return &tunnel.Dialer{
		Direct: lostLinks{},
		Paths:  &reach.Paths{},
		Peers:  &reach.Peers{},
		Candidates: func() []reach.Peer {
			return []reach.Peer{
				{
					Name:    peer.Address(),
					Address: peer.Address(),
				},
			}
		},
		Fleet:    servers,
		Registry: metrics.NewRegistry(),
	}
}

// requestThroughTunnel sends a request of a kind through a daemon that has lost its links to two servers.
func requestThroughTunnel(t *testing.T, kind config.Kind, respond func(lastEventID int) rawAnswer) clientAnswer {
	t.Helper()
	servers := tunnelledServers{startRawServer(t, respond).address(), startRawServer(t, respond).address()}
	opts := newOptions(newSource(serversView(kind, servers...)))
	opts.Dialer = newTunnelDialer(t, servers)
	return readAnswer(t, startGateway(t, opts).Address(), func() {})
}

// Guards against a tunnel that hides how an answer ended: what is broken off, and what is whole, must look the same
// as on a direct connection.
func TestEndOfAnswerIsRecognisedThroughTunnel(t *testing.T) {
	for name, broken := range brokenStreams {
		t.Run(name, func(t *testing.T) {
			answer := requestThroughTunnel(t, config.Stream, firstThen(broken.answer, wholeStream))
			qt.Check(t, answer.err, qt.IsNil)
			qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
		})
	}
	t.Run("whole stream without a length", func(t *testing.T) {
		answer := requestThroughTunnel(t, config.Stream, func(int) rawAnswer {
			return rawAnswer{
				contentType: eventStreamType,
				body:        numberedEvents(0),
			}
		})
		qt.Check(t, answer.err, qt.IsNil)
		qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
	})
	t.Run("plain answer of a server that crashes", func(t *testing.T) {
		answer := requestThroughTunnel(t, config.Safe, firstThen(rawAnswer{
			contentType: "text/plain",
			body:        "level",
			stops:       true,
		}, func(int) rawAnswer {
			return rawAnswer{
				contentType: "text/plain",
				body:        "level 4",
			}
		}))
		qt.Check(t, answer.status, qt.Equals, http.StatusOK)
		qt.Check(t, answer.body, qt.Equals, "level 4")
	})
	t.Run("stream of a server that crashes between events", func(t *testing.T) {
		answer := requestThroughTunnel(t, config.Stream, firstThen(rawAnswer{
			contentType: eventStreamType,
			body:        "id: 1\ndata: 1\n\n",
			stops:       true,
		}, wholeStream))
		qt.Check(t, answer.err, qt.IsNil)
		qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
	})
}
