package entry_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/lab/link"
	"headcourse/lab/standin"
)

const (
	// contactTime is the time after the begin of a fault from which its effects count.
	contactTime = 900 * time.Millisecond
	// firstTries is the number of requests of each kind that are sent to a daemon that is cut off.
	firstTries = 20
)

// leader returns the index of the daemon that leads, or -1.
func (s *site) leader() int {
	lines := s.lines(`"is_leader":true`)
	if len(lines) == 0 {
		return -1
	}
	for i, name := range siteNames {
		if strings.Contains(lines[len(lines)-1], `"daemon":"`+name+`"`) {
			return i
		}
	}
	return -1
}

// cutOff injects a fault into the links of the leader and of another daemon, and returns their
// indices.
func (s *site) cutOff(fault link.Fault) []int {
	s.t.Helper()
	leader := s.leader()
	qt.Assert(s.t, leader >= 0, qt.IsTrue)
	cut := []int{leader, (leader + 1) % len(s.daemons)}
	for _, daemon := range cut {
		s.links[daemon].SetFault(fault)
	}
	return cut
}

// sendFirstTries sends requests of all kinds to daemons, those of one kind one after the other, and
// returns how many of them were served.
func (s *site) sendFirstTries(daemons []int) (served, sent int) {
	var tries sync.WaitGroup
	var successes atomic.Int64
	for _, daemon := range daemons {
		client := s.client(daemon, standin.KeyCuenca)
		for _, send := range []func() standin.Answer{
			func() standin.Answer { return get(client) },
			func() standin.Answer { return post(client) },
			func() standin.Answer { return client.Stream(context.Background(), standin.ModelLarge, 5) },
			func() standin.Answer { return client.Stream(context.Background(), standin.ModelSmall, 5) },
		} {
			sent += firstTries
			tries.Go(func() {
				for range firstTries {
					if isSuccess(send()) {
						successes.Add(1)
					}
				}
			})
		}
	}
	tries.Wait()
	return int(successes.Load()), sent
}

// Guards against clients of a daemon without links to the backend servers that are refused, while
// other daemons reach the servers.
func TestDaemonsThatAreCutOffServeThroughOthers(t *testing.T) {
	for _, fault := range link.Faults() {
		t.Run(fault.String(), func(t *testing.T) {
			s := newSite(t, 3)
			cut := s.cutOff(fault)
			time.Sleep(contactTime)
			served, sent := s.sendFirstTries(cut)
			qt.Assert(t, float64(served) >= servedShare*float64(sent), qt.IsTrue, qt.Commentf("%d of %d requests served", served, sent))
		})
	}
}

// servedShare is the share of first tries that must be served at daemons that are cut off.
const servedShare = 0.97

// Guards against groups that end because the leader and another daemon cannot reach their members,
// while other daemons do.
func TestGroupsSurviveFaultThatOtherDaemonsDoNotSee(t *testing.T) {
	for _, fault := range []link.Fault{link.Hung, link.Reset} {
		t.Run(fault.String(), func(t *testing.T) {
			s := newSite(t, 3)
			heads := s.standin.Heads(standin.ModelLarge)
			cut := s.cutOff(fault)
			var streams sync.WaitGroup
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for _, daemon := range cut {
					streams.Go(func() {
						s.client(daemon, standin.KeyCuenca).Stream(context.Background(), standin.ModelLarge, 20)
					})
				}
			}
			streams.Wait()
			qt.Assert(t, s.lines("groups: group ends"), qt.HasLen, 0)
			now := s.standin.Heads(standin.ModelLarge)
			for _, head := range heads {
				qt.Assert(t, slices.Contains(now, head), qt.IsTrue)
			}
		})
	}
}

// Guards against requests that are quarantined because a daemon that has lost its links takes the
// servers for crashed.
func TestLossOfLinksIsNotReportedAsCrashOfServers(t *testing.T) {
	s := newSite(t, 3)
	const streams, rounds = 6, 4
	for range rounds {
		var running sync.WaitGroup
		for i := range streams {
			running.Go(func() {
				s.client(i%len(s.daemons), standin.KeyCuenca).Stream(context.Background(), standin.ModelLarge, 60)
			})
		}
		time.Sleep(200 * time.Millisecond)
		cut := s.cutOff(link.Reset)
		running.Wait()
		for _, daemon := range cut {
			s.links[daemon].SetFault(link.NoFault)
		}
	}
	qt.Assert(t, s.lines("servers: checked for a crash"), qt.Not(qt.HasLen), 0)
	qt.Assert(t, s.lines(`"is_down":true`), qt.HasLen, 0)
	qt.Assert(t, s.lines("request held"), qt.HasLen, 0)
}

// Guards against streams that wait for the end of a connection on a link that hangs, because other
// requests make progress at the same server by another way.
func TestStreamsOnHangingLinkMoveToOtherServers(t *testing.T) {
	s := newSite(t, 3)
	leader := s.leader()
	qt.Assert(t, leader >= 0, qt.IsTrue)
	s.earnRetries(leader, get)
	for range 30 {
		qt.Assert(t, isSuccess(s.client(leader, standin.KeyCuenca).Stream(context.Background(), standin.ModelLarge, 5)), qt.IsTrue)
	}
	const streams, events = 6, 150
	answers := make(chan standin.Answer, streams)
	for range streams {
		go func() {
			answers <- s.client(leader, standin.KeyCuenca).Stream(context.Background(), standin.ModelLarge, events)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	s.links[leader].SetFault(link.Hung)
	ctx, stop := context.WithCancel(context.Background())
	var others sync.WaitGroup
	for range 4 {
		others.Go(func() {
			for ctx.Err() == nil {
				s.client(leader, standin.KeyCuenca).Stream(ctx, standin.ModelLarge, 20)
			}
		})
	}
	for range streams {
		answer := <-answers
		qt.Check(t, isSuccess(answer), qt.IsTrue, qt.Commentf("%+v", answer))
	}
	stop()
	others.Wait()
	qt.Assert(t, s.lines(":stalled"), qt.Not(qt.HasLen), 0)
	qt.Assert(t, s.lines(":connection_broken"), qt.HasLen, 0)
}

// Guards against a log that does not show which daemon a request went through.
func TestLogNamesPeerOfTunnelledRequest(t *testing.T) {
	s := newSite(t, 2)
	s.links[0].SetFault(link.Refused)
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyCuenca))
	}, isSuccess)
	s.awaitTrue(func() bool {
		s.client(0, standin.KeyCuenca).Stream(context.Background(), standin.ModelSmall, 3)
		return len(s.lines("@"+siteNames[1])) > 0
	})
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyCuenca))
		return len(s.lines("servers: only other daemons reach them")) > 0
	})
	s.links[0].SetFault(link.NoFault)
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyCuenca))
		s.client(0, standin.KeyCuenca).Stream(context.Background(), standin.ModelSmall, 3)
		return len(s.lines("servers: reached directly again")) > 0
	})
}

// Guards against requests that wait for connects, and groups that end, while no daemon reaches the
// servers.
func TestRequestsAreRefusedAtOnceWhenNoDaemonReachesServers(t *testing.T) {
	s := newSite(t, 3)
	heads := s.standin.Heads(standin.ModelLarge)
	for _, links := range s.links {
		links.SetFault(link.Hung)
	}
	s.awaitTrue(func() bool {
		qt.Assert(t, isSuccess(get(s.client(0, standin.KeyCuenca))), qt.IsFalse)
		// Without a way left no attempt waits for a connect.
		return len(s.lines(`"reason":"connect_failed","took_ms":0`)) > 0
	})
	answer := s.await(func() standin.Answer {
		return get(s.client(1, standin.KeyCuenca))
	}, hasStatus(http.StatusServiceUnavailable))
	qt.Assert(t, answer.RetryAfter, qt.Not(qt.Equals), "")
	qt.Assert(t, s.standin.Runs(answer.ID), qt.Equals, 0)
	for _, links := range s.links {
		links.SetFault(link.NoFault)
	}
	s.awaitGroups()
	qt.Assert(t, s.lines("groups: group ends"), qt.HasLen, 0)
	qt.Assert(t, len(s.standin.Heads(standin.ModelLarge)), qt.Equals, len(heads))
}
