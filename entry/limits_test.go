package entry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"headcourse/core/ratelimit"
	"headcourse/lab/standin"
)

// Servers that named a limit of requests a second, for all daemons together, went on to get as
// many as before: up to 21 in four seconds from nine daemons, where 15 were allowed, from three
// seconds after their first word on. No client noticed.
//
// Daemons did not read the limit: lines of sends to such servers came from all of them, each
// with the limit in its answers. Nor would it do that each keeps to it, or to an even part: what
// one daemon sends at least, a whole request, is beyond the limit as soon as hundreds send it.
// Few daemons have a part now (TestSumOverAllDaemonsStaysWithinALimit has the sum for thousands),
// and all tell each other which servers have a limit.
//
// The stand-in checks the sum over all daemons by the users' formula.
func TestServersThatNameALimitGetNoMoreFromAllDaemonsTogether(t *testing.T) {
	const (
		daemons = 5
		limit   = 1.7
		// length is longer than the time after which requests count, and a window.
		length = 8 * time.Second
		// between is the time between two requests of one daemon's clients: each daemon
		// alone stays below the limit of a server.
		between = 250 * time.Millisecond
	)
	s := newSite(t, daemons)
	s.platform.Servers(standin.ServicePlain)[0].NameLimit(limit)
	s.platform.Heads(standin.ModelSmall)[0].NameLimit(limit)
	var clients conc.WaitGroup
	for i := range s.daemons {
		clients.Go(func() {
			client := s.client(i, standin.KeyOne)
			for began := time.Now(); time.Since(began) < length; time.Sleep(between) {
				qt.Check(t, isWhole(get(client)), qt.IsTrue)
				qt.Check(t, isWhole(post(client)), qt.IsTrue)
				qt.Check(t, isWhole(streamSmall(client)), qt.IsTrue)
			}
		})
	}
	clients.Wait()
	qt.Assert(t, s.platform.DirectiveCounts().Limits > 0, qt.IsTrue)
}

// hasReason returns a check for why the daemon refused.
func hasReason(reason string) func(standin.Answer) bool {
	return func(answer standin.Answer) bool {
		return answer.Reason == reason
	}
}

// limitRows counts the limits that the store tells of.
func (s *site) limitRows() int {
	return s.platform.Store.Count("told", "limit/")
}

// One daemon hears of a limit by its own requests; the others, which sent none, keep to it, and
// use the server again when the daemon has heard that the limit is over.
func TestDaemonsTellEachOtherOfLimits(t *testing.T) {
	s := newSite(t, 5)
	plain := s.platform.Servers(standin.ServicePlain)
	for _, one := range plain {
		one.NameLimit(0)
	}
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyOne))
	}, hasReason("servers_limited"))
	s.awaitTrue(func() bool { return s.limitRows() == len(plain) })
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, standin.KeyOne))
		}, hasReason("servers_limited"))
	}
	// A server that takes nothing is asked only now and then, by few daemons.
	counts := s.platform.DirectiveCounts()
	qt.Assert(t, counts.Limits < len(s.daemons)*len(plain), qt.IsTrue, qt.Commentf("%+v", counts))
}

// Servers name limits that soon are over. All daemons, those without a part too, use them again.
func TestLimitsThatAreOverLeaveNothingBehind(t *testing.T) {
	s := newSite(t, 5)
	plain := s.platform.Servers(standin.ServicePlain)
	for _, one := range plain {
		one.NameLimit(0.5)
	}
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyOne))
		return s.limitRows() == len(plain)
	})
	for _, one := range plain {
		one.EndLimit()
	}
	s.awaitTrue(func() bool {
		for i := range s.daemons {
			get(s.client(i, standin.KeyOne))
		}
		return s.limitRows() == 0
	})
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, standin.KeyOne))
		}, isWhole)
		for range 20 {
			qt.Assert(t, isWhole(get(s.client(i, standin.KeyOne))), qt.IsTrue)
		}
	}
}

// A daemon that starts knows by the store which servers have a limit, before it has sent any a
// request, and the rows of servers that are gone are removed.
func TestDaemonThatStartsKnowsLimits(t *testing.T) {
	s := newSite(t, 2)
	for _, one := range s.platform.Servers(standin.ServicePlain) {
		encoded, err := ratelimit.Named(0).Encode("front-z")
		qt.Assert(t, err, qt.IsNil)
		s.platform.Store.Write("told", fmt.Sprintf("limit/%s", one.Start()), encoded)
	}
	s.daemons = append(s.daemons, s.startDaemon("front-c"))
	answer := s.await(func() standin.Answer {
		return get(s.client(2, standin.KeyOne))
	}, func(answer standin.Answer) bool { return answer.Reason != "not_configured" })
	qt.Assert(t, answer.Reason, qt.Equals, "servers_limited")
}

// A daemon writes that a server has a limit just as another one has heard that it is over. The row
// is removed again, though only one daemon is asked for anything.
func TestWordThatComesAfterTheEndOfALimitIsRemoved(t *testing.T) {
	const limit = 20
	s := newSite(t, 3)
	server := s.platform.Servers(standin.ServicePlain)[0]
	server.NameLimit(limit)
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyOne))
		return s.limitRows() == 1
	})
	server.EndLimit()
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyOne))
		return s.limitRows() == 0
	})
	encoded, err := ratelimit.Named(limit).Encode("front-z")
	qt.Assert(t, err, qt.IsNil)
	s.platform.Store.Write("told", "limit/"+server.Start(), encoded)
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyOne))
		return s.limitRows() == 0
	})
}
