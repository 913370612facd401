package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"headcourse/lab/standin"
)

// Servers that named a limit of requests a second, for all daemons together, went on to get as
// many as before: up to 21 in four seconds from nine daemons, where 15 were allowed, from three
// seconds after their first word on. No client noticed.
//
// The stand-in checks the sum over all daemons by the users' formula.
func TestServersThatNameALimitGetNoMoreFromAllDaemonsTogether(t *testing.T) {
	const (
		daemons = 5
		limit   = 1.7
		// length is longer than the time after which requests count, and a window.
		length = 8 * time.Second
		// between is the time between two requests of one daemon's clients: each daemon
		// alone stays below the limit of a server.
		between = 250 * time.Millisecond
	)
	s := newSite(t, daemons)
	s.platform.Servers(standin.ServicePlain)[0].NameLimit(limit)
	s.platform.Heads(standin.ModelSmall)[0].NameLimit(limit)
	var clients conc.WaitGroup
	for i := range s.daemons {
		clients.Go(func() {
			client := s.client(i, standin.KeyOne)
			for began := time.Now(); time.Since(began) < length; time.Sleep(between) {
				qt.Check(t, isWhole(get(client)), qt.IsTrue)
				qt.Check(t, isWhole(post(client)), qt.IsTrue)
				qt.Check(t, isWhole(streamSmall(client)), qt.IsTrue)
			}
		})
	}
	clients.Wait()
	qt.Assert(t, s.platform.DirectiveCounts().Limits > 0, qt.IsTrue)
}
