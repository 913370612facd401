package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/settings"
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

// Guards against a daemon that never uses its part of the burst: it does so once its list has
// contained it for a window.
func TestDaemonUsesItsPartOfTheRetryBurst(t *testing.T) {
	const window = 6 * time.Second
	s := newSiteWith(t, 1, func(nodeSettings *settings.Settings) {
		nodeSettings.RetryWindow = window
	})
	for _, server := range s.standin.Servers(standin.ServicePlain) {
		server.SetBehaviour(standin.Failing)
	}
	client := s.client(0, standin.KeyCuenca)
	var burst float64
	s.awaitTrue(func() bool {
		get(client)
		decisions := s.logs.FilterMessage("clients: retry decided").All()
		if len(decisions) == 0 {
			return false
		}
		burst, _ = decisions[len(decisions)-1].ContextMap()["burst"].(float64)
		return burst > 0
	})
	qt.Assert(t, burst > standin.RetryBurst/2 && burst < standin.RetryBurst, qt.IsTrue)
}

// earnRetries sends a daemon requests that succeed, so that it may retry later ones: its retry
// budget starts empty.
func (s *site) earnRetries(daemon int, send func(*standin.Client) standin.Answer) {
	s.t.Helper()
	const requests = 200
	client := s.client(daemon, standin.KeyCuenca)
	for range requests {
		qt.Assert(s.t, isSuccess(send(client)), qt.IsTrue)
	}
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
