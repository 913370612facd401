package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/lab/standin"
)

// Guards against a retry budget that begins anew with each start of a daemon: repeats beyond share
// and burst when all daemons are killed several times in a window. The stand-in checks the sum.
func TestRetriesOfAllStartsOfDaemonsStayWithinTheBudget(t *testing.T) {
	s := newSite(t, 3)
	for _, server := range s.standin.Servers(standin.ServicePlain) {
		server.SetBehaviour(standin.Failing)
	}
	const starts, requestsPerStart = 5, 20
	for range starts {
		for i := range s.daemons {
			client := s.client(i, standin.KeyCuenca)
			for range requestsPerStart {
				get(client)
			}
		}
		s.restartAll()
	}
	qt.Assert(t, s.standin.Repeats(standin.ServicePlain) > 0, qt.IsTrue)
}

// restartAll kills all daemons and starts them again.
func (s *site) restartAll() {
	s.t.Helper()
	names := []string{"front-a", "front-b", "front-c", "front-d", "front-e"}[:len(s.daemons)]
	for _, daemon := range s.daemons {
		daemon.Kill()
	}
	s.daemons = nil
	for _, name := range names {
		s.daemons = append(s.daemons, s.startDaemon(name))
	}
}
