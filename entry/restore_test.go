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

// restoreOutage is how long the store is unavailable before it is restored.
const restoreOutage = 300 * time.Millisecond

// writeRows writes rows that no operator, server or daemon rewrites, to raise the store's
// version.
func (s *site) writeRows() {
	s.t.Helper()
	const rows = 300
	store := platform.NewStore(s.standin.Store.Address())
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

// restore makes the store unavailable for a moment and restores it from a copy.
func (s *site) restore(snapshot standin.Snapshot, options standin.RestoreOptions) {
	s.standin.Store.SetFault(standin.Unavailable)
	time.Sleep(restoreOutage)
	s.standin.Store.Restore(snapshot, options)
	s.standin.Store.SetFault(standin.NoFault)
}

// replaceKey replaces the key of an organisation, and waits until all daemons accept the new
// one.
func (s *site) replaceKey(key string) {
	s.t.Helper()
	s.standin.ChangeConfig(func(config *wire.Config) {
		config.Tenants[0].APIKeys = []string{key}
	})
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, key))
		}, isSuccess)
	}
}

// assertUnused checks that a server gets no requests.
func (s *site) assertUnused(server *standin.Server, client *standin.Client) {
	s.t.Helper()
	for range 40 {
		answer := get(client)
		qt.Assert(s.t, answer, qt.Satisfies, isSuccess)
		qt.Assert(s.t, strings.Contains(answer.Seal, server.ID()), qt.IsFalse)
	}
}

// Guards against a new configuration that is ignored because versions of the restored store are
// lower.
func TestNewConfigurationAppliesAfterStoreRestore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	snapshot := s.standin.Store.Snapshot()
	s.writeRows()
	s.replaceKey("former-key")
	s.restore(snapshot, standin.RestoreOptions{})
	s.replaceKey("new-key")
}

// Guards against requests to a draining server whose entry is ignored for its lower version.
func TestServerDrainingAfterStoreRestoreGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	snapshot := s.standin.Store.Snapshot()
	s.writeRows()
	client := s.client(0, standin.KeyCuenca)
	draining := s.standin.Servers(standin.ServicePlain)[0]
	qt.Assert(t, s.standin.StartReplacement(draining), qt.IsNil)
	added := s.standin.Servers(standin.ServicePlain)[3]
	s.await(func() standin.Answer {
		return get(client)
	}, func(answer standin.Answer) bool {
		return strings.Contains(answer.Seal, added.ID())
	})
	s.restore(snapshot, standin.RestoreOptions{})
	draining.DrainInEntryOnly()
	s.awaitTrue(func() bool {
		server, _ := s.daemons[0].View().Fleet.Server(draining.ID())
		return server.Draining
	})
	s.assertUnused(draining, client)
}

// Guards against a revoked key that becomes valid again by the configuration of a restored
// store: at daemons that have the newer configuration, and at one that starts before the
// operator writes it again.
func TestRevokedKeyStaysRejectedAfterStoreRestore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	snapshot := s.standin.Store.Snapshot()
	s.replaceKey("new-key")
	s.restore(snapshot, standin.RestoreOptions{
		MaxRewriteDelay: time.Hour,
	})
	s.daemons = append(s.daemons, s.startDaemon("front-c"))
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, "new-key"))
		}, isSuccess)
		qt.Assert(t, get(s.client(i, standin.KeyCuenca)).Status, qt.Equals, http.StatusUnauthorized)
	}
}

// withHeartbeat returns an edit of settings that sets the servers' heartbeat interval. Daemons
// expect all entries to be written again within three intervals.
func withHeartbeat(interval time.Duration) func(*settings.Settings) {
	return func(nodeSettings *settings.Settings) {
		nodeSettings.HeartbeatInterval = interval
	}
}

// Guards against requests to a draining server whose former entry is in force again in a
// restored store until the server writes it.
func TestServerDrainingBeforeStoreRestoreGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	s := newSiteWith(t, 1, withHeartbeat(time.Hour))
	snapshot := s.standin.Store.Snapshot()
	draining := s.standin.Servers(standin.ServicePlain)[0]
	draining.DrainInEntryOnly()
	s.awaitTrue(func() bool {
		server, _ := s.daemons[0].View().Fleet.Server(draining.ID())
		return server.Draining
	})
	s.restore(snapshot, standin.RestoreOptions{
		MaxRewriteDelay: time.Hour,
	})
	s.awaitTrue(func() bool {
		return len(s.lines(`"is_restored":true`)) > 0
	})
	s.assertUnused(draining, s.client(0, standin.KeyCuenca))
}

// Guards against a leader that treats members of serving groups as free servers because a
// restored store has old entries which servers have not written again yet.
func TestNoOrdersBeforeServersRewriteEntriesAfterRestore(t *testing.T) {
	t.Parallel()
	const heartbeat, rewrite = 2 * time.Second, 5 * time.Second
	s := newSiteWith(t, 3, withHeartbeat(heartbeat))
	heads := len(s.standin.Heads(standin.ModelLarge))
	s.restore(s.initialStore, standin.RestoreOptions{
		MaxRewriteDelay: rewrite,
	})
	s.awaitTrue(func() bool {
		return len(s.lines("group adopted")) > 0
	})
	qt.Assert(t, len(s.standin.Heads(standin.ModelLarge)), qt.Equals, heads)
}

// Guards against ending serving groups because a restored store has no record of them, and
// against groups that are not repaired afterwards.
func TestGroupsKeepServingWhenRestoreLosesTheirRecords(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	heads := len(s.standin.Heads(standin.ModelLarge))
	s.restore(s.initialStore, standin.RestoreOptions{
		MaxRewriteDelay: 500 * time.Millisecond,
	})
	s.awaitTrue(func() bool {
		return len(s.lines("group adopted")) > 0
	})
	qt.Assert(t, len(s.standin.Heads(standin.ModelLarge)), qt.Equals, heads)
	s.awaitGroups()

	s.standin.Members(s.standin.Heads(standin.ModelLarge)[0])[1].Kill()
	s.awaitTrue(func() bool {
		return len(s.standin.Heads(standin.ModelLarge)) < heads
	})
	s.awaitTrue(func() bool {
		return len(s.standin.Heads(standin.ModelLarge)) == heads
	})
}

// Guards against a leader with a lease of the former era that ends groups because of the
// entries of a restored store.
func TestLeaderOfFormerEraMakesNoDecisions(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	// Every group is open in the current entries and unknown in those of the copy.
	s.awaitGroups()
	heads := len(s.standin.Heads(standin.ModelLarge)) + len(s.standin.Heads(standin.ModelSmall))
	const decision = "groups: group ends"
	decided := len(s.lines(decision))
	// The leader reads the restored entries at once, but learns only at its next renewal that
	// its lease is lost.
	s.standin.Store.StopAnsweringTable(leader.Table)
	s.standin.Store.Restore(s.initialStore, standin.RestoreOptions{
		MaxRewriteDelay: 2 * leader.Term,
	})
	restored := time.Now()
	s.awaitTrue(func() bool {
		now := len(s.standin.Heads(standin.ModelLarge)) + len(s.standin.Heads(standin.ModelSmall))
		qt.Assert(t, now, qt.Equals, heads)
		qt.Assert(t, s.lines(decision), qt.HasLen, decided)
		return time.Since(restored) > leader.Term
	})
	s.standin.Store.StopAnsweringTable("")
	s.awaitTrue(func() bool {
		return len(s.lines("group adopted")) > 0
	})
	s.awaitGroups()
}

// Guards against rows of daemons that are not written again after a restore.
func TestDaemonsRewriteRowsLostInRestore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	limited := s.standin.Servers(standin.ServicePlain)[0]
	limited.SetLimit(1)
	s.awaitTrue(func() bool {
		get(s.client(0, standin.KeyCuenca))
		return s.limitRows() > 0
	})
	const noDaemons = `"daemons":0`
	unknown := len(s.lines(noDaemons))
	s.restore(s.initialStore, standin.RestoreOptions{})
	s.awaitTrue(func() bool {
		return s.limitRows() > 0
	})
	s.awaitTrue(func() bool {
		return s.standin.Store.Count("daemons", "") == len(s.daemons)
	})
	qt.Assert(t, s.lines(noDaemons), qt.HasLen, unknown)
}
