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

// Guards against daemons that together exceed the limit which a server names. Such servers got
// up to 21 requests in four seconds from nine daemons where 15 were allowed, starting three
// seconds after they first named the limit, since daemons did not read it. A limit or an equal
// share for each daemon is not enough: each daemon sends at least one whole request, so
// hundreds of daemons exceed the limit. Only a few daemons have a quota of a limit, and daemons
// report to each other which servers have one. The sum for thousands of daemons is tested in
// core/ratelimit.
//
// The stand-in checks the sum over all daemons by the users' formula.
func TestAllDaemonsTogetherStayWithinServerLimit(t *testing.T) {
	const (
		daemons = 5
		limit   = 1.7
		// length exceeds the time after which requests count, plus one window.
		length = 8 * time.Second
		// pause is the time between two requests of one daemon's clients. Each daemon alone
		// stays below the limit of a server.
		pause = 250 * time.Millisecond
	)
	s := newSite(t, daemons)
	s.standin.Servers(standin.ServicePlain)[0].SetLimit(limit)
	s.standin.Heads(standin.ModelSmall)[0].SetLimit(limit)
	var clients conc.WaitGroup
	for i := range s.daemons {
		clients.Go(func() {
			client := s.client(i, standin.KeyCuenca)
			for began := time.Now(); time.Since(began) < length; time.Sleep(pause) {
				qt.Check(t, isSuccess(get(client)), qt.IsTrue)
				qt.Check(t, isSuccess(post(client)), qt.IsTrue)
				qt.Check(t, isSuccess(streamSmall(client)), qt.IsTrue)
			}
		})
	}
	clients.Wait()
	qt.Assert(t, s.standin.DirectiveCounts().LimitsReceived > 0, qt.IsTrue)
}

// refusedWith returns a check for the reason of a rejection.
func refusedWith(reason string) func(standin.Answer) bool {
	return func(answer standin.Answer) bool {
		return answer.Reason == reason
	}
}

// limitRows counts the limit rows in the store.
func (s *site) limitRows() int {
	return s.standin.Store.Count("told", "limit/")
}

// Guards against daemons that ignore a limit which only another daemon has observed. The others
// send the servers nothing and must apply the reported limit.
func TestLimitIsSharedWithOtherDaemons(t *testing.T) {
	s := newSite(t, 5)
	plain := s.standin.Servers(standin.ServicePlain)
	for _, server := range plain {
		server.SetLimit(0)
	}
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyCuenca))
	}, refusedWith("servers_limited"))
	s.awaitTrue(func() bool { return s.limitRows() == len(plain) })
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, standin.KeyCuenca))
		}, refusedWith("servers_limited"))
	}
	// A server that accepts nothing gets only occasional requests, from few daemons.
	counts := s.standin.DirectiveCounts()
	qt.Assert(t, counts.LimitsReceived < len(s.daemons)*len(plain), qt.IsTrue, qt.Commentf("%+v", counts))
}

// Guards against servers that stay unused after their limit ends. All daemons must use them
// again, including daemons without a quota.
func TestEndedLimitIsRemovedEverywhere(t *testing.T) {
	s := newSite(t, 5)
	plain := s.standin.Servers(standin.ServicePlain)
	for _, server := range plain {
		server.SetLimit(0.5)
	}
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyCuenca))
		return s.limitRows() == len(plain)
	})
	for _, server := range plain {
		server.ClearLimit()
	}
	s.awaitTrue(func() bool {
		for i := range s.daemons {
			get(s.client(i, standin.KeyCuenca))
		}
		return s.limitRows() == 0
	})
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, standin.KeyCuenca))
		}, isSuccess)
		for range 20 {
			qt.Assert(t, isSuccess(get(s.client(i, standin.KeyCuenca))), qt.IsTrue)
		}
	}
}

// Guards against a starting daemon that exceeds limits before it has observed them. It must
// read them from the store.
func TestStartingDaemonAppliesStoredLimits(t *testing.T) {
	s := newSite(t, 2)
	for _, server := range s.standin.Servers(standin.ServicePlain) {
		encoded, err := ratelimit.NewLimit(0).Encode("front-z")
		qt.Assert(t, err, qt.IsNil)
		s.standin.Store.Write("told", fmt.Sprintf("limit/%s", server.StartID()), encoded)
	}
	s.daemons = append(s.daemons, s.startDaemon("front-c"))
	answer := s.await(func() standin.Answer {
		return get(s.client(2, standin.KeyCuenca))
	}, func(answer standin.Answer) bool { return answer.Reason != "not_configured" })
	qt.Assert(t, answer.Reason, qt.Equals, "servers_limited")
}

// Guards against a limit row that is written just after another daemon has reported the end of
// the limit. The row must be removed even if only one daemon gets requests.
func TestLateLimitReportIsRemoved(t *testing.T) {
	const limit = 20
	s := newSite(t, 3)
	server := s.standin.Servers(standin.ServicePlain)[0]
	server.SetLimit(limit)
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyCuenca))
		return s.limitRows() == 1
	})
	server.ClearLimit()
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyCuenca))
		return s.limitRows() == 0
	})
	encoded, err := ratelimit.NewLimit(limit).Encode("front-z")
	qt.Assert(t, err, qt.IsNil)
	s.standin.Store.Write("told", "limit/"+server.StartID(), encoded)
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyCuenca))
		return s.limitRows() == 0
	})
}
