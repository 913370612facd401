package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/lab/standin"
)

// The stand-in checks for each daemon and server that no more than what was under way comes
// in a pause; here that a daemon serves on by the others, and by the server when its pause is
// over.
func TestDaemonsLeaveServersAloneThatAskForPauses(t *testing.T) {
	const pause = 1500 * time.Millisecond
	s := newSite(t, 2)
	plain := s.platform.Servers(standin.ServicePlain)
	head := s.platform.Heads(standin.ModelSmall)[0]
	plain[0].AskForPauses(pause)
	head.AskForPauses(pause)
	for began := time.Now(); time.Since(began) < 2*pause; {
		for i := range s.daemons {
			client := s.client(i, standin.KeyOne)
			qt.Assert(t, isWhole(get(client)), qt.IsTrue)
			qt.Assert(t, isWhole(post(client)), qt.IsTrue)
			qt.Assert(t, isWhole(streamSmall(client)), qt.IsTrue)
		}
	}
	// Where all want none, requests are refused at once, until the pauses are over.
	for _, one := range plain {
		one.AskForPauses(2 * pause)
	}
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyOne))
	}, hasStatus(http.StatusServiceUnavailable))
	for began := time.Now(); time.Since(began) < pause; {
		answer := get(s.client(0, standin.KeyOne))
		qt.Assert(t, answer.Status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, answer.Retry, qt.Not(qt.Equals), "")
	}
	qt.Assert(t, s.platform.DirectiveCounts().Pauses > 0, qt.IsTrue)
	for _, one := range append(plain, head) {
		one.AskForPauses(0)
	}
	for i := range s.daemons {
		for _, ask := range []func(*standin.Client) standin.Answer{get, post, streamSmall} {
			s.await(func() standin.Answer {
				return ask(s.client(i, standin.KeyOne))
			}, isWhole)
		}
	}
}

// A plain server and the head of a group say in their answers alone that they leave.
func TestDaemonsLeaveServersAloneThatSayThatTheyLeave(t *testing.T) {
	s := newSite(t, 2)
	s.platform.Servers(standin.ServicePlain)[0].LeaveByAnswersAlone()
	s.platform.Heads(standin.ModelSmall)[0].LeaveByAnswersAlone()
	// As long as both servers live, and longer than daemons may still send them requests.
	const length = 4 * time.Second
	for began := time.Now(); time.Since(began) < length; {
		for i := range s.daemons {
			client := s.client(i, standin.KeyOne)
			qt.Assert(t, isWhole(get(client)), qt.IsTrue)
			qt.Assert(t, isWhole(post(client)), qt.IsTrue)
			qt.Assert(t, isWhole(streamSmall(client)), qt.IsTrue)
		}
	}
	qt.Assert(t, s.platform.DirectiveCounts().Leaves >= len(s.daemons), qt.IsTrue)
}
