package entry_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/fleet"
	"headcourse/core/rowstore"
	"headcourse/lab/standin"
	"headcourse/platform"
)

// A daemon that was away while the store forgot its history reads the stalls anew;
// those that ended meanwhile stayed, so that it used their groups last for ever.
func TestStallsThatEndedWhileTheStoreWasAwayAreForgotten(t *testing.T) {
	const table, group = "told", "g-gone"
	s := newSite(t, 1)
	troubled := fleet.Server{
		Membership: fleet.Membership{
			Group: group,
			Epoch: 7,
			State: fleet.Open,
		},
	}
	store := platform.NewStore(s.platform.Store.Address())
	_, err := store.Commit(context.Background(), rowstore.Transaction{
		Writes: []rowstore.Row{
			{
				Table: table,
				Key:   group,
				Value: []byte(`{"epoch":7}`),
			},
		},
	})
	qt.Assert(t, err, qt.IsNil)
	s.awaitTrue(func() bool {
		return s.daemons[0].IsTroubled(troubled)
	})

	s.platform.Store.SetFault(standin.Refusing)
	s.awaitTrue(func() bool {
		return slices.ContainsFunc(s.lines("store: call failed"), func(line string) bool {
			return strings.Contains(line, `"table":"told"`)
		})
	})
	s.platform.Store.Remove(table, group)
	s.platform.Store.Forget()
	s.platform.Store.SetFault(standin.Well)
	s.awaitTrue(func() bool {
		return !s.daemons[0].IsTroubled(troubled)
	})
}

// A daemon that waited, without a bound, to read what daemons tell of servers was never ready
// where the store answered about all other tables.
func TestDaemonIsReadyWithoutWhatOthersTellIfItCannotBeRead(t *testing.T) {
	s := newSite(t, 1)
	s.daemons[0].Kill()
	s.platform.Store.SilenceTable("told")
	s.daemons[0] = s.startDaemon("front-b")
	s.awaitTrue(func() bool {
		answer, err := http.Get("http://" + s.daemons[0].ReadinessAddress())
		if err != nil {
			return false
		}
		qt.Check(t, answer.Body.Close(), qt.IsNil)
		return answer.StatusCode == http.StatusOK
	})
}
