package entry_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/settings"
	"headcourse/lab/standin"
)

// Each of 295 daemons that started read tables from the store and followed them there:
// 1,140 calls when the system started. It reads the list of the daemons there, and asks others for the rest.
func TestDaemonThatStartsAsksOthersBeforeTheStore(t *testing.T) {
	s := newSite(t, 3)
	daemon := s.startDaemonWith("front-z", func(known *settings.Settings) {
		known.IsFirstStart = false
		// It comes after the others in the list, so that it is no relay itself.
		known.Strength = 0.01
	})
	s.daemons = append(s.daemons, daemon)
	s.await(func() standin.Answer {
		return s.client(len(s.daemons)-1, standin.KeyOne).Stream(context.Background(), standin.ModelLarge, 3)
	}, isWhole)
	direct, relayed := daemon.StoreAnswers()
	qt.Assert(t, direct, qt.Equals, int64(1))
	qt.Assert(t, relayed > 0, qt.IsTrue)
}
