package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/lab/standin"
)

// Guards against requests to a server that asked for a pause. The stand-in checks for each
// daemon and server that only requests in flight arrive during a pause. This test checks that
// daemons use the other servers meanwhile, and the server itself after its pause.
func TestServerGetsNoNewRequestsDuringRequestedPause(t *testing.T) {
	const pause = 1500 * time.Millisecond
	s := newSite(t, 2)
	plain := s.standin.Servers(standin.ServicePlain)
	head := s.standin.Heads(standin.ModelSmall)[0]
	for i := range s.daemons {
		s.earnRetries(i, get)
		s.earnRetries(i, streamSmall)
	}
	plain[0].RejectWithRetryAfter(pause)
	head.RejectWithRetryAfter(pause)
	for began := time.Now(); time.Since(began) < 2*pause; {
		for i := range s.daemons {
			client := s.client(i, standin.KeyCuenca)
			qt.Assert(t, isSuccess(get(client)), qt.IsTrue)
			qt.Assert(t, isSuccess(post(client)), qt.IsTrue)
			qt.Assert(t, isSuccess(streamSmall(client)), qt.IsTrue)
		}
	}
	// If all servers ask for a pause, requests are rejected at once until the pauses end.
	for _, server := range plain {
		server.RejectWithRetryAfter(2 * pause)
	}
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyCuenca))
	}, hasStatus(http.StatusServiceUnavailable))
	for began := time.Now(); time.Since(began) < pause; {
		answer := get(s.client(0, standin.KeyCuenca))
		qt.Assert(t, answer.Status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, answer.RetryAfter, qt.Not(qt.Equals), "")
	}
	qt.Assert(t, s.standin.DirectiveCounts().PausesRequested > 0, qt.IsTrue)
	for _, server := range append(plain, head) {
		server.RejectWithRetryAfter(0)
	}
	for i := range s.daemons {
		for _, send := range []func(*standin.Client) standin.Answer{get, post, streamSmall} {
			s.await(func() standin.Answer {
				return send(s.client(i, standin.KeyCuenca))
			}, isSuccess)
		}
	}
}

// Guards against requests to a plain server and the head of a group that announce only by a
// header of their answers that they are draining.
func TestServerDrainingByAnswerHeaderGetsNoNewRequests(t *testing.T) {
	s := newSite(t, 2)
	s.standin.Servers(standin.ServicePlain)[0].DrainInAnswersOnly()
	s.standin.Heads(standin.ModelSmall)[0].DrainInAnswersOnly()
	// Both servers live for longer than this, and daemons must stop sending them requests
	// earlier.
	const length = 4 * time.Second
	for began := time.Now(); time.Since(began) < length; {
		for i := range s.daemons {
			client := s.client(i, standin.KeyCuenca)
			qt.Assert(t, isSuccess(get(client)), qt.IsTrue)
			qt.Assert(t, isSuccess(post(client)), qt.IsTrue)
			qt.Assert(t, isSuccess(streamSmall(client)), qt.IsTrue)
		}
	}
	qt.Assert(t, s.standin.DirectiveCounts().DrainsAnnounced >= len(s.daemons), qt.IsTrue)
}
