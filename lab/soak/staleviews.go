package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// staleViewRow is the name of the first row of faults that make views of the configuration old.
const staleViewRow = "store does not answer daemons after a change of the configuration"

// drawsStaleViews reports whether the seed draws faults that make views of the configuration old.
func (s *soak) drawsStaleViews() bool {
	for _, row := range s.faults {
		if row.name == staleViewRow {
			return true
		}
	}
	return false
}

// silenceStoreAfterChange adds or removes a route, and makes the store leave daemons without answers.
func silenceStoreAfterChange(s *soak) func() {
	s.platform.ChangeConfig(standin.WithAddedRoute)
	return injectStoreFault(standin.Unresponsive)(s)
}

// pauseDaemonsBesideChange stops all daemons but one for a while, and adds or removes a route meanwhile.
func pauseDaemonsBesideChange(s *soak) func() {
	paused := s.daemons[1:]
	var ends []func()
	for _, d := range paused {
		ends = append(ends, s.beginExemption(d))
		s.signalDaemon(d, unix.SIGSTOP)
	}
	s.platform.ChangeConfig(standin.WithAddedRoute)
	return func() {
		for i, d := range paused {
			s.signalDaemon(d, unix.SIGCONT)
			ends[i]()
		}
	}
}

// setAddedRoute adds the route that operators add and remove, or removes it.
func (s *soak) setAddedRoute(isPresent bool) {
	s.platform.ChangeConfig(func(config *wire.Config) {
		before := len(config.Routes)
		standin.WithAddedRoute(config)
		if isAdded := len(config.Routes) > before; isAdded != isPresent {
			standin.WithAddedRoute(config)
		}
	})
}

// staleViewCase is a disturbance beside which a route is added. The daemons in exempt stand still.
type staleViewCase struct {
	name   string
	begin  func() (end func())
	exempt int
}

// staleViewCases returns the disturbances of checkStaleViews.
func (s *soak) staleViewCases() []staleViewCase {
	return []staleViewCase{
		{
			name: "store that does not answer daemons",
			begin: func() func() {
				return injectStoreFault(standin.Unresponsive)(s)
			},
			exempt: len(s.daemons),
		},
		{
			name: "store that refuses daemons",
			begin: func() func() {
				return injectStoreFault(standin.Unavailable)(s)
			},
			exempt: len(s.daemons),
		},
		{
			name: "all daemons but one stopped",
			begin: func() func() {
				for _, d := range s.daemons[1:] {
					s.signalDaemon(d, unix.SIGSTOP)
				}
				return func() {
					for _, d := range s.daemons[1:] {
						s.signalDaemon(d, unix.SIGCONT)
					}
				}
			},
			exempt: len(s.daemons) - 1,
		},
		{
			name: "open connections of all daemons to the store that go silent",
			begin: func() func() {
				for _, d := range s.daemons {
					d.storeProxy.BlackholeOpenConnections()
				}
				return func() {}
			},
		},
	}
}

const (
	// staleViewTime is how long a disturbance of checkStaleViews lasts, which is longer than the bound for changes.
	staleViewTime = 4 * time.Second
	// staleViewInterval is the time between two requests for the added route to a daemon.
	staleViewInterval = 20 * time.Millisecond
)

// checkStaleViews adds a route beside disturbances. It returns a failure for daemons that refuse the route as unknown after
// the bound for changes, and for daemons that do not serve it then: those that are not exempt within the bound after
// the change, the others within the bound after the disturbance.
func (s *soak) checkStaleViews() []string {
	if !s.drawsStaleViews() {
		return nil
	}
	var failures []string
	for _, checked := range s.staleViewCases() {
		s.setAddedRoute(false)
		failures = append(failures, s.awaitServing("before "+checked.name)...)
		end := checked.begin()
		s.setAddedRoute(true)
		changedAt := time.Now()
		restoredAt := changedAt.Add(staleViewTime)
		time.AfterFunc(staleViewTime, end)
		var mutex sync.Mutex
		var probes sync.WaitGroup
		for i, d := range s.daemons {
			isExempt := i >= len(s.daemons)-checked.exempt
			mustServeAt := changedAt.Add(configApplyTime)
			if isExempt {
				mustServeAt = restoredAt.Add(configApplyTime)
			}
			probes.Go(func() {
				refused, unserved := s.probeAddedRoute(i, changedAt.Add(configApplyTime), mustServeAt)
				s.logf("%s: %s refuses the route %d times, serves it not %d times when it must", checked.name, d.name, refused, unserved)
				mutex.Lock()
				defer mutex.Unlock()
				if refused > 0 || unserved > 0 {
					failures = append(failures, fmt.Sprintf("%s: %s refuses an added route as unknown %d times after %s, and does not serve it %d times when it must", checked.name, d.name, refused, configApplyTime, unserved))
				}
			})
		}
		probes.Wait()
		failures = append(failures, s.awaitServing(checked.name)...)
	}
	return failures
}

// probeAddedRoute sends requests for the added route to a daemon until a second after mustServeAt. It returns how many of
// those that were sent after appliedAt were refused as unknown, and how many after mustServeAt were not served.
func (s *soak) probeAddedRoute(index int, appliedAt, mustServeAt time.Time) (refused, unserved int) {
	client := &standin.Client{
		Platform: s.platform,
		Address:  s.daemons[index].clientProxy.Address(),
		Daemon:   s.daemons[index].name,
	}
	for end := mustServeAt.Add(time.Second); time.Now().Before(end); time.Sleep(staleViewInterval) {
		client.Key = s.keys.pick(false)
		sentAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), staleViewTime)
		answer := client.Send(ctx, http.MethodGet, standin.PathAdded+"gate", nil, "")
		cancel()
		isUnknown := answer.Status == http.StatusNotFound || answer.Status == http.StatusUnauthorized
		if isUnknown && sentAt.After(appliedAt) {
			refused++
		}
		if answer.Status != http.StatusOK && sentAt.After(mustServeAt) {
			unserved++
		}
	}
	return refused, unserved
}
