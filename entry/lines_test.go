package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// 295 daemons wrote a million lines in 22 s, one each for every change of every server.
func TestChangesOfServersAreWrittenWhereTheyAreReadOnly(t *testing.T) {
	s := newSite(t, 5)
	const followers = 2
	byDaemon := map[string]bool{}
	for _, entry := range s.logs.All() {
		if entry.Message == "servers: head changed" {
			byDaemon[entry.ContextMap()["daemon"].(string)] = true
		}
	}
	// The first relay and the leader, of which there may have been another at the start.
	qt.Assert(t, len(byDaemon) >= 1 && len(byDaemon) <= followers+1, qt.IsTrue, qt.Commentf("%v", byDaemon))
}
