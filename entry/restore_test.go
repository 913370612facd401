package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/leader"
	"headcourse/core/rowstore"
	"headcourse/core/settings"
	"headcourse/lab/standin"
	"headcourse/platform"
	"headcourse/platform/wire"
)

// awayFor is how long the store is away before it is restored.
const awayFor = 300 * time.Millisecond

// writeRows has daemons' rows written that no operator or server writes again.
func (s *site) writeRows() {
	s.t.Helper()
	const rows = 300
	store := platform.NewStore(s.platform.Store.Address())
	for i := range rows {
		_, err := store.Commit(context.Background(), rowstore.Transaction{
			Writes: []rowstore.Row{
				{
					Table: "others",
					Key:   fmt.Sprintf("%03d", i),
					Value: []byte("{}"),
				},
			},
		})
		qt.Assert(s.t, err, qt.IsNil)
	}
}

// restore takes the store away for a moment and restores it from a copy.
func (s *site) restore(snapshot standin.Snapshot, how standin.Restoring) {
	s.platform.Store.SetFault(standin.Refusing)
	time.Sleep(awayFor)
	s.platform.Store.Restore(snapshot, how)
	s.platform.Store.SetFault(standin.Well)
}

// changeKey replaces the key of an organisation, and waits until all daemons take it.
func (s *site) changeKey(key string) {
	s.t.Helper()
	s.platform.ChangeConfig(func(config *wire.Config) {
		config.Tenants[0].APIKeys = []string{key}
	})
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, key))
		}, isWhole)
	}
}

// getsNothing checks that requests are served by others than a server.
func (s *site) getsNothing(server *standin.Server, client *standin.Client) {
	s.t.Helper()
	for range 40 {
		answer := get(client)
		qt.Assert(s.t, answer, qt.Satisfies, isWhole)
		qt.Assert(s.t, strings.Contains(answer.Seal, server.ID()), qt.IsFalse)
	}
}

// Guards against a configuration that is not taken since the restored store's versions are lower.
func TestConfigurationIsInForceAfterTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	snapshot := s.platform.Store.Snapshot()
	s.writeRows()
	s.changeKey("former-key")
	s.restore(snapshot, standin.Restoring{})
	s.changeKey("new-key")
}

// Guards against requests to a leaving server whose entry is not taken for its lower version.
func TestLeavingServerGetsNothingNewAfterTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	snapshot := s.platform.Store.Snapshot()
	s.writeRows()
	client := s.client(0, standin.KeyOne)
	leaving := s.platform.Servers(standin.ServicePlain)[0]
	qt.Assert(t, s.platform.StartLike(leaving), qt.IsNil)
	added := s.platform.Servers(standin.ServicePlain)[3]
	s.await(func() standin.Answer {
		return get(client)
	}, func(answer standin.Answer) bool {
		return strings.Contains(answer.Seal, added.ID())
	})
	s.restore(snapshot, standin.Restoring{})
	leaving.DrainByEntry()
	s.awaitTrue(func() bool {
		known, _ := s.daemons[0].View().Fleet.Server(leaving.ID())
		return known.Draining
	})
	s.getsNothing(leaving, client)
}

// Guards against a withdrawn key that works again by the configuration of a restored store, at
// daemons that know better, and at one that starts before the operator has written again.
func TestWithdrawnKeyStaysDeadOverARestore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	snapshot := s.platform.Store.Snapshot()
	s.changeKey("new-key")
	s.restore(snapshot, standin.Restoring{
		RewriteWithin: time.Hour,
	})
	s.daemons = append(s.daemons, s.startDaemon("front-c"))
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, "new-key"))
		}, isWhole)
		qt.Assert(t, get(s.client(i, standin.KeyOne)).Status, qt.Equals, http.StatusUnauthorized)
	}
}

// withHeartbeat returns an edit of settings by which servers have so long to write again.
func withHeartbeat(interval time.Duration) func(*settings.Settings) {
	return func(known *settings.Settings) {
		known.HeartbeatInterval = interval
	}
}

// Guards against requests to a server that leaves, whose entry of before is back in a restored
// store until the server has written again.
func TestServerThatLeftBeforeARestoreGetsNothingNew(t *testing.T) {
	t.Parallel()
	s := newSiteWith(t, 1, withHeartbeat(time.Hour))
	snapshot := s.platform.Store.Snapshot()
	leaving := s.platform.Servers(standin.ServicePlain)[0]
	leaving.DrainByEntry()
	s.awaitTrue(func() bool {
		known, _ := s.daemons[0].View().Fleet.Server(leaving.ID())
		return known.Draining
	})
	s.restore(snapshot, standin.Restoring{
		RewriteWithin: time.Hour,
	})
	s.awaitTrue(func() bool {
		return len(s.lines(`"is_restored":true`)) > 0
	})
	s.getsNothing(leaving, s.client(0, standin.KeyOne))
}

// Guards against a leader that takes members of groups that serve for free servers, by entries of
// a restored store that servers have not written again yet.
func TestNobodyOrdersServersBeforeTheyHaveWrittenAgain(t *testing.T) {
	t.Parallel()
	const heartbeat, rewrite = 2 * time.Second, 5 * time.Second
	s := newSiteWith(t, 3, withHeartbeat(heartbeat))
	heads := len(s.platform.Heads(standin.ModelLarge))
	s.restore(s.first, standin.Restoring{
		RewriteWithin: rewrite,
	})
	s.awaitTrue(func() bool {
		return len(s.lines("group adopted")) > 0
	})
	qt.Assert(t, len(s.platform.Heads(standin.ModelLarge)), qt.Equals, heads)
}

// Guards against groups that serve being ended since a restored store has no record of them, and
// against a fleet that is not looked after any more.
func TestGroupsServeOnWhenARestoreHasLostTheirRecords(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	heads := len(s.platform.Heads(standin.ModelLarge))
	s.restore(s.first, standin.Restoring{
		RewriteWithin: 500 * time.Millisecond,
	})
	s.awaitTrue(func() bool {
		return len(s.lines("group adopted")) > 0
	})
	qt.Assert(t, len(s.platform.Heads(standin.ModelLarge)), qt.Equals, heads)
	s.awaitGroups()

	s.platform.Members(s.platform.Heads(standin.ModelLarge)[0])[1].Kill()
	s.awaitTrue(func() bool {
		return len(s.platform.Heads(standin.ModelLarge)) < heads
	})
	s.awaitTrue(func() bool {
		return len(s.platform.Heads(standin.ModelLarge)) == heads
	})
}

// Guards against a leader whose lease of the former era still holds, and which ends groups by the
// entries of a restored store.
func TestLeaderOfAFormerEraDecidesNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	// Every group is open in the entries of now and unknown in those of the copy.
	s.awaitGroups()
	heads := len(s.platform.Heads(standin.ModelLarge)) + len(s.platform.Heads(standin.ModelSmall))
	const decision = "groups: group ends"
	decided := len(s.lines(decision))
	// The leader reads the restored entries at once, and learns by its next renewal only that
	// its lease is lost.
	s.platform.Store.SilenceTable(leader.Table)
	s.platform.Store.Restore(s.first, standin.Restoring{
		RewriteWithin: 2 * leader.Term,
	})
	restored := time.Now()
	s.awaitTrue(func() bool {
		now := len(s.platform.Heads(standin.ModelLarge)) + len(s.platform.Heads(standin.ModelSmall))
		qt.Assert(t, now, qt.Equals, heads)
		qt.Assert(t, s.lines(decision), qt.HasLen, decided)
		return time.Since(restored) > leader.Term
	})
	s.platform.Store.SilenceTable("")
	s.awaitTrue(func() bool {
		return len(s.lines("group adopted")) > 0
	})
	s.awaitGroups()
}

// Guards against rows of daemons that nobody writes again after a restore.
func TestDaemonsWriteAgainWhatARestoreHasLost(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	limited := s.platform.Servers(standin.ServicePlain)[0]
	limited.NameLimit(1)
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyOne))
		return s.limitRows() > 0
	})
	const noDaemons = `"daemons":0`
	unknown := len(s.lines(noDaemons))
	s.restore(s.first, standin.Restoring{})
	s.awaitTrue(func() bool {
		return s.limitRows() > 0
	})
	s.awaitTrue(func() bool {
		return s.platform.Store.Count("daemons", "") == len(s.daemons)
	})
	qt.Assert(t, s.lines(noDaemons), qt.HasLen, unknown)
}
