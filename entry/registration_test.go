package entry_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/settings"
	"headcourse/lab/standin"
)

// Guards against starting daemons that overload the store. Each of 295 starting daemons read
// and watched the tables there, which made 1,140 calls at the start of the system. A daemon
// should read only the daemon list from the store and the other tables from other daemons.
func TestStartingDaemonReadsTablesFromOtherDaemons(t *testing.T) {
	s := newSite(t, 3)
	daemon := s.startDaemonWith("front-z", func(nodeSettings *settings.Settings) {
		nodeSettings.IsFirstStart = false
		// It ranks last in the list, so that it is no relay itself.
		nodeSettings.RelativeCapacity = 0.01
	})
	s.daemons = append(s.daemons, daemon)
	s.await(func() standin.Answer {
		return s.client(len(s.daemons)-1, standin.KeyCuenca).Stream(context.Background(), standin.ModelLarge, 3)
	}, isSuccess)
	direct, relayed := daemon.ReadCounts()
	qt.Assert(t, direct, qt.Equals, int64(1))
	qt.Assert(t, relayed > 0, qt.IsTrue)
}
