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

// Guards against stalls that stay recorded after they ended during an outage. A daemon that read
// the table again, because the store had compacted its history, kept the ended stalls and used
// their groups only as a last resort from then on.
func TestStallsRemovedDuringStoreOutageAreForgotten(t *testing.T) {
	const table, group = "told", "g-gone"
	s := newSite(t, 1)
	stalled := fleet.Server{
		Membership: fleet.Membership{
			Group: group,
			Epoch: 7,
			State: fleet.Open,
		},
	}
	store := platform.NewStore(s.standin.Store.Address())
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
		return s.daemons[0].IsDegraded(stalled)
	})

	s.standin.Store.SetFault(standin.Unavailable)
	s.awaitTrue(func() bool {
		return slices.ContainsFunc(s.lines("store: call failed"), func(line string) bool {
			return strings.Contains(line, `"table":"told"`)
		})
	})
	s.standin.Store.Remove(table, group)
	s.standin.Store.DropHistory()
	s.standin.Store.SetFault(standin.NoFault)
	s.awaitTrue(func() bool {
		return !s.daemons[0].IsDegraded(stalled)
	})
}

// Guards against a daemon that never becomes ready. It waited without a bound for the reports
// about servers while the store answered only for other tables.
func TestDaemonBecomesReadyWhenReportsCannotBeRead(t *testing.T) {
	s := newSite(t, 1)
	s.daemons[0].Kill()
	s.standin.Store.StopAnsweringTable("told")
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
