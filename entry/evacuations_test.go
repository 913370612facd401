package entry_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/settings"
	"headcourse/lab/standin"
)

// newZonedSite starts a site whose servers are in three zones.
func newZonedSite(t *testing.T, daemons int) *site {
	t.Helper()
	return newSiteOf(t, daemons, standin.Size{
		Domains:   3,
		PerDomain: 8,
		Plain:     3,
		Zones:     3,
	}, func(*settings.Settings) {})
}

// awaitEvacuated waits until all daemons know that a zone is evacuated, or is not.
func (s *site) awaitEvacuated(zone string, isEvacuated bool) {
	s.t.Helper()
	s.awaitTrue(func() bool {
		for _, daemon := range s.daemons {
			if daemon.View().Evacuated.Has(zone) != isEvacuated {
				return false
			}
		}
		return true
	})
}

// askAll sends requests of each kind through each daemon for a while, all of which must be
// served, also those that go on when the zone is left.
func (s *site) askAll(length time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); {
		for i := range s.daemons {
			client := s.client(i, standin.KeyOne)
			qt.Assert(s.t, get(client), qt.Satisfies, isWhole)
			qt.Assert(s.t, post(client), qt.Satisfies, isWhole)
			qt.Assert(s.t, client.Stream(context.Background(), standin.ModelLarge, 3), qt.Satisfies, isWhole)
			qt.Assert(s.t, client.Stream(context.Background(), standin.ModelSmall, 3), qt.Satisfies, isWhole)
		}
	}
}

// Guards against requests to an evacuated zone; the stand-in notes them as violations.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	t.Parallel()
	s := newZonedSite(t, 3)
	zone := standin.Zone(0)
	s.platform.Evacuate(zone, standin.EvacuateTime)
	s.askAll(3 * time.Second)
	s.awaitEvacuated(zone, true)
	qt.Assert(t, s.lines("zones: evacuated"), qt.HasLen, len(s.daemons))
	s.platform.TakeBack(zone)
	s.awaitEvacuated(zone, false)
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyOne))
	}, func(answer standin.Answer) bool {
		return strings.Contains(answer.Seal, s.platform.Servers(standin.ServicePlain)[0].ID())
	})
}

// Guards against a daemon that starts, or comes back, into a zone that was evacuated before.
func TestDaemonThatStartsKnowsOfAnEvacuation(t *testing.T) {
	t.Parallel()
	s := newZonedSite(t, 1)
	zone := standin.Zone(0)
	s.platform.Evacuate(zone, standin.EvacuateTime)
	s.awaitEvacuated(zone, true)
	time.Sleep(standin.EvacuateTime)
	s.daemons = append(s.daemons, s.startDaemon("front-b"))
	s.askAll(time.Second)
}

// Guards against an evacuation that a restored store lacks until the operator writes again.
func TestEvacuationStaysOverARestore(t *testing.T) {
	t.Parallel()
	s := newZonedSite(t, 2)
	zone := standin.Zone(0)
	snapshot := s.platform.Store.Snapshot()
	s.platform.Evacuate(zone, standin.EvacuateTime)
	s.awaitEvacuated(zone, true)
	time.Sleep(standin.EvacuateTime)
	s.restore(snapshot, standin.Restoring{
		RewriteWithin: 300 * time.Millisecond,
	})
	s.askAll(time.Second)
	s.awaitEvacuated(zone, true)
}

// A zone that nobody knows, and all zones at once.
func TestZonesThatLeaveNothingToServe(t *testing.T) {
	t.Parallel()
	s := newZonedSite(t, 1)
	s.platform.Evacuate("no-such-zone", standin.EvacuateTime)
	s.awaitEvacuated("no-such-zone", true)
	s.askAll(100 * time.Millisecond)
	for i := range 3 {
		s.platform.Evacuate(standin.Zone(i), standin.EvacuateTime)
	}
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyOne))
	}, func(answer standin.Answer) bool {
		return answer.Status == http.StatusServiceUnavailable && answer.Reason == "zone_evacuated"
	})
	s.platform.TakeBack(standin.Zone(1))
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyOne))
	}, isWhole)
}

// Guards against more requests than a cold server bears, from all daemons together.
func TestColdServersGetNoMoreThanTheyBear(t *testing.T) {
	t.Parallel()
	s := newZonedSite(t, 3)
	for _, server := range s.platform.Servers(standin.ServicePlain)[:2] {
		server.Cool(2 * time.Second)
	}
	for _, head := range s.platform.Heads(standin.ModelSmall) {
		head.Cool(2 * time.Second)
	}
	s.awaitTrue(func() bool {
		known, _ := s.daemons[0].View().Fleet.Server(s.platform.Servers(standin.ServicePlain)[1].ID())
		return known.ColdFor > 0
	})
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		for i := range s.daemons {
			client := s.client(i, standin.KeyOne)
			qt.Assert(s.t, get(client), qt.Satisfies, isWhole)
			qt.Assert(s.t, client.Stream(context.Background(), standin.ModelLarge, 1), qt.Satisfies, isWhole)
		}
	}
}
