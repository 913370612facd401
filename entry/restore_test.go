package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/rowstore"
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
	s := newSite(t, 2)
	snapshot := s.platform.Store.Snapshot()
	s.writeRows()
	s.changeKey("former-key")
	s.restore(snapshot, standin.Restoring{})
	s.changeKey("new-key")
}

// Guards against requests to a leaving server whose entry is not taken for its lower version.
func TestLeavingServerGetsNothingNewAfterTheStoreIsRestored(t *testing.T) {
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
		return len(s.lines("servers: leaving")) > 0
	})
	s.getsNothing(leaving, client)
}
