package gateway_test

import (
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
	"headcourse/io/gateway"
	"headcourse/io/tcp"
	"headcourse/platform/wire"
)

// silence is how long a sound server sends nothing. It is longer than the silence after which another server is asked.
const silence = 1600 * time.Millisecond

// refusal is an answer that states that the request was not run.
func refusal(int) rawAnswer {
	return rawAnswer{
		status: "503 Service Unavailable",
		header: wire.HeaderNotExecuted + ": full\r\nContent-Length: 0",
	}
}

// plainAnswer is a complete answer that is no stream.
func plainAnswer(int) rawAnswer {
	return rawAnswer{
		contentType: "text/plain",
		header:      "Content-Length: 6",
		body:        "answer",
	}
}

// silentPlaces are answers that fall silent for a time at some place, by name, and go on.
var silentPlaces = map[string]struct {
	kind   config.Kind
	body   string
	answer func(goesOn <-chan struct{}) rawAnswer
}{
	"stream, before the head": {
		kind: config.Stream,
		body: numberedEvents(0),
		answer: func(goesOn <-chan struct{}) rawAnswer {
			answer := wholeStream(0)
			answer.headAfter = goesOn
			return answer
		},
	},
	"stream, before the first event": {
		kind: config.Stream,
		body: numberedEvents(0),
		answer: func(goesOn <-chan struct{}) rawAnswer {
			answer := wholeStream(0)
			answer.rest = answer.body
			answer.body = ""
			answer.proceed = goesOn
			return answer
		},
	},
	"stream, between events": {
		kind: config.Stream,
		body: numberedEvents(0),
		answer: func(goesOn <-chan struct{}) rawAnswer {
			first, rest := strings.TrimSuffix(numberedEvents(0), numberedEvents(1)), numberedEvents(1)
			answer := chunkedAnswer(first)
			answer.body = strings.TrimSuffix(answer.body, inChunks(""))
			answer.rest = inChunks(rest)
			answer.proceed = goesOn
			return answer
		},
	},
	"stream, before the last chunk": {
		kind: config.Stream,
		body: numberedEvents(0),
		answer: func(goesOn <-chan struct{}) rawAnswer {
			answer := wholeStream(0)
			answer.body = strings.TrimSuffix(answer.body, inChunks(""))
			answer.rest = inChunks("")
			answer.proceed = goesOn
			return answer
		},
	},
	"plain answer, before the head": {
		kind: config.Safe,
		body: "answer",
		answer: func(goesOn <-chan struct{}) rawAnswer {
			answer := plainAnswer(0)
			answer.headAfter = goesOn
			return answer
		},
	},
	"plain answer, inside the body": {
		kind: config.Safe,
		body: "answer",
		answer: func(goesOn <-chan struct{}) rawAnswer {
			answer := plainAnswer(0)
			answer.body, answer.rest = answer.body[:3], answer.body[3:]
			answer.proceed = goesOn
			return answer
		},
	},
}

// otherServers are what all servers but the silent one do with a request, by name. The function begin is called when the
// silent one has the request; it may be nil. If areRefused is set, connects are refused from then on.
var otherServers = map[string]struct {
	respond    func(lastEventID int) rawAnswer
	begin      func(source *testSource)
	areRefused bool
}{
	"full": {
		respond: refusal,
	},
	"not reachable": {
		respond:    refusal,
		areRefused: true,
	},
	"silent for good": {
		respond: func(int) rawAnswer {
			return rawAnswer{
				headAfter: make(chan struct{}),
			}
		},
	},
	"breaking off": {
		respond: func(int) rawAnswer {
			return rawAnswer{
				contentType: eventStreamType,
				header:      "Transfer-Encoding: chunked",
				resets:      true,
			}
		},
	},
	"failing": {
		respond: func(int) rawAnswer {
			return rawAnswer{
				status: "500 Internal Server Error",
				header: "Content-Length: 0",
			}
		},
	},
	"sound, but the view becomes too old for keys": {
		respond: wholeStream,
		begin: func(source *testSource) {
			source.setRejectsKeys()
		},
	},
}

// Guards against requests that end without an answer since the exchange with a silent server, which would have
// answered, is closed before another server has taken the request.
func TestRequestOutlivesSilenceOfItsServer(t *testing.T) {
	for place, silent := range silentPlaces {
		for others, other := range otherServers {
			t.Run(place+"/others "+others, func(t *testing.T) {
				t.Parallel()
				goesOn := make(chan struct{})
				var source *testSource
				var dialer refusingDialer
				var hasBegun atomic.Bool
				respond := func(lastEventID int) rawAnswer {
					if hasBegun.Swap(true) {
						return other.respond(lastEventID)
					}
					dialer.refuses.Store(other.areRefused)
					if other.begin != nil {
						other.begin(source)
					}
					time.AfterFunc(silence, func() { close(goesOn) })
					return silent.answer(goesOn)
				}
				var addresses []string
				for range 3 {
					addresses = append(addresses, startRawServer(t, respond).address())
				}
				source = newSource(withKeys(serversView(silent.kind, addresses...)))
				opts := newOptions(source)
				opts.Dialer = &dialer
				answer := readAnswer(t, startGateway(t, opts).Address(), func() {})
				qt.Assert(t, answer.err, qt.IsNil)
				qt.Assert(t, answer.status, qt.Equals, 200)
				qt.Assert(t, answer.body, qt.Equals, silent.body)
			})
		}
	}
}

// refusingDialer connects directly, or refuses all connects. A closed port would not do: another process may listen there
// at once.
type refusingDialer struct {
	refuses atomic.Bool
	// failure is the error of a refused connect; nil means that an observer has confirmed the refusal.
	failure *tcp.DialError
}

// Dial connects to an address.
func (d *refusingDialer) Dial(address string, timeout time.Duration) (net.Conn, error) {
	if !d.refuses.Load() {
		return tcp.DirectDialer{}.Dial(address, timeout)
	}
	if d.failure != nil {
		return nil, d.failure
	}
	return nil, &tcp.DialError{
		Refused:   true,
		Confirmed: true,
		Cause:     syscall.ECONNREFUSED,
	}
}

// withKeys returns the view with an organisation, so that requests need its key.
func withKeys(view gateway.View) gateway.View {
	current := *view.Config
	current.Organisations = []config.Organisation{
		{
			Name: "water board",
			Keys: []string{testKey},
		},
	}
	view.Config = config.New(current)
	return view
}
