package entry_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

const (
	// applyBound is the time within which a change must be in force, as the stand-in's settings have it.
	applyBound = 2 * time.Second
	// silenceAfterChange is how long the store does not answer daemons after a change.
	silenceAfterChange = 5 * time.Second
	// addedKey is a key that is added to an organisation.
	addedKey = "key-added-while-the-store-is-silent"
)

// withAddedRouteAndKey adds a route to the plain service and a key to the first organisation.
func withAddedRouteAndKey(config *wire.Config) {
	standin.WithAddedRoute(config)
	config.Tenants[0].APIKeys = append(config.Tenants[0].APIKeys, addedKey)
}

// Guards against a route or key that a daemon refuses as unknown more than the bound after the store has confirmed it,
// since the daemon has not been able to read the store in the meantime.
func TestRouteAndKeyAreNotRefusedByViewOlderThanBound(t *testing.T) {
	for _, fault := range []standin.Fault{standin.Unresponsive, standin.Unavailable} {
		for _, daemons := range []int{1, 3} {
			s := newSite(t, daemons)
			s.standin.Store.SetFault(fault)
			s.standin.ChangeConfig(withAddedRouteAndKey)
			confirmedAt := time.Now()
			falseRefusals := s.countFalseRefusals(confirmedAt)
			s.standin.Store.SetFault(standin.NoFault)
			qt.Check(t, falseRefusals, qt.DeepEquals, map[int]int{}, qt.Commentf("fault %d, %d daemons", fault, daemons))
			for i := range s.daemons {
				s.await(func() standin.Answer { return sendToAddedRoute(s.client(i, standin.KeyCuenca)) }, isSuccess)
				s.await(func() standin.Answer { return get(s.client(i, addedKey)) }, isSuccess)
			}
		}
	}
}

// sendToAddedRoute sends a request to the added route.
func sendToAddedRoute(client *standin.Client) standin.Answer {
	return client.Send(context.Background(), http.MethodGet, standin.PathAdded+"gate", nil, "")
}

// countFalseRefusals sends requests to an added route, and with an added key, to all daemons until silenceAfterChange
// after the change was confirmed, and counts by status those that were sent after the bound and refused as unknown.
func (s *site) countFalseRefusals(confirmedAt time.Time) map[int]int {
	const interval = 20 * time.Millisecond
	var mutex sync.Mutex
	counts := map[int]int{}
	var clients sync.WaitGroup
	for i := range s.daemons {
		for _, send := range []func() standin.Answer{
			func() standin.Answer { return sendToAddedRoute(s.client(i, standin.KeyCuenca)) },
			func() standin.Answer { return get(s.client(i, addedKey)) },
		} {
			clients.Go(func() {
				for time.Since(confirmedAt) < silenceAfterChange {
					isAfterBound := time.Since(confirmedAt) > applyBound
					status := send().Status
					mutex.Lock()
					if isAfterBound && status/100 == http.StatusBadRequest/100 {
						counts[status]++
					}
					mutex.Unlock()
					time.Sleep(interval)
				}
			})
		}
	}
	clients.Wait()
	return counts
}
