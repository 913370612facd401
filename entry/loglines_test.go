package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against excessive logging: 295 daemons wrote a million lines in 22 s when each of them
// logged every change of every server.
func TestServerChangesAreLoggedOnlyByDaemonsReadingTheStore(t *testing.T) {
	s := newSite(t, 5)
	const storeReaders = 2
	byDaemon := map[string]bool{}
	for _, entry := range s.logs.All() {
		if entry.Message == "servers: head changed" {
			byDaemon[entry.ContextMap()["daemon"].(string)] = true
		}
	}
	// These are the first relay and the leader. The leader may have changed once during the
	// start.
	qt.Assert(t, len(byDaemon) >= 1 && len(byDaemon) <= storeReaders+1, qt.IsTrue, qt.Commentf("%v", byDaemon))
}
