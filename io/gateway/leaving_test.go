package gateway_test

import (
	"io"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"headcourse/core/fleet"
	"headcourse/io/gateway"
	"headcourse/platform/wire"
)

// leavingServers are the ways in which a server is known to leave.
func leavingServers() map[string]leavingServer {
	return map[string]leavingServer{
		"entry says draining": {
			leave: func(view gateway.View) gateway.View {
				servers := view.Fleet.Servers()
				servers[0].Draining = true
				view.Fleet = fleet.View{}.WithSnapshot(2, servers, time.Now())
				return view
			},
		},
		"entry was removed": {
			leave: func(view gateway.View) gateway.View {
				view.Fleet = fleet.View{}.WithSnapshot(2, nil, time.Now())
				return view
			},
		},
		"answer says draining": {
			header: wire.HeaderLeaving + ": 1",
			leave:  func(view gateway.View) gateway.View { return view },
		},
	}
}

// leavingServer is a server that leaves while it writes a stream. header is a further field of its answer, and leave changes the
// view.
type leavingServer struct {
	header string
	leave  func(view gateway.View) gateway.View
}

// readFrom reads the stream of a leaving server, which writes a rest of it after the client has the head, through a gateway that knows
// servers.
func (l leavingServer) readFrom(t *testing.T, rest string, stops bool, others ...*rawServer) clientAnswer {
	t.Helper()
	proceed := make(chan struct{})
	leaving := startRawServer(t, func(int) rawAnswer {
		return rawAnswer{
			contentType: eventStreamType,
			header:      l.header,
			body:        "id: 1\ndata: 1\n\n",
			proceed:     proceed,
			rest:        rest,
			stops:       stops,
		}
	})
	source := newSource(streamView(len(others) > 0, leaving))
	return readAnswer(t, startGateway(t, newOptions(source)).Address(), func() {
		left := l.leave(source.view)
		servers := left.Fleet.Servers()
		for i, other := range others {
			servers = append(servers, fleet.Server{
				ID:       "other-" + strconv.Itoa(i),
				Service:  "board",
				Address:  other.address(),
				Capacity: 6,
			})
		}
		left.Fleet = fleet.View{}.WithSnapshot(3, servers, time.Now())
		source.view = left
		close(proceed)
	})
}

// Guards against whole answers of leaving servers that are taken for broken ones.
func TestUnframedAnswerOfLeavingServerIsComplete(t *testing.T) {
	for way, server := range leavingServers() {
		t.Run(way, func(t *testing.T) {
			answer := server.readFrom(t, numberedEvents(1), false)
			qt.Check(t, answer.err, qt.IsNil)
			qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
		})
	}
}

// Guards against streams of leaving servers that crash, which end as complete since the server was expected to go (ORDER): one
// that has stopped listening cannot be told from one that was killed.
func TestUnframedAnswerOfLeavingServerThatIsGoneIsNotComplete(t *testing.T) {
	for way, server := range leavingServers() {
		t.Run(way+", not resumable", func(t *testing.T) {
			answer := server.readFrom(t, "id: 2\ndata: 2\n\n", true)
			qt.Check(t, answer.err, qt.ErrorIs, io.ErrUnexpectedEOF)
			qt.Check(t, answer.body, qt.Equals, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
		})
		for name, rest := range map[string]string{
			"killed":        "id: 2\ndata: 2\n\n",
			"left in order": numberedEvents(1),
		} {
			t.Run(way+", resumable, "+name, func(t *testing.T) {
				answer := server.readFrom(t, rest, true, startRawServer(t, wholeStream))
				qt.Check(t, answer.err, qt.IsNil)
				qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
			})
		}
	}
}

// Guards against requests that are suspected of crashing servers which leave as planned.
func TestLeavingServerThatIsGoneIsNoCrash(t *testing.T) {
	server := leavingServers()["answer says draining"]
	leaving := startRawServer(t, func(int) rawAnswer {
		return rawAnswer{
			contentType: eventStreamType,
			header:      server.header,
			body:        numberedEvents(0),
			stops:       true,
		}
	})
	options := newOptions(newSource(streamView(false, leaving)))
	started := startGateway(t, options)
	answer := readAnswer(t, started.Address(), func() {})
	qt.Check(t, answer.err, qt.ErrorIs, io.ErrUnexpectedEOF)
	qt.Check(t, started.Close(t.Context()), qt.IsNil)
	for _, name := range []string{"quarantine_ends_noted", "quarantine_ends_refuted"} {
		qt.Check(t, metrics.GetOrRegisterCounter(name, options.Registry).Count(), qt.Equals, int64(0))
	}
}
