package soak

import (
	"time"

	"headcourse/lab/standin"
)

// Range of the pauses that servers request.
const minPause, maxPause = 200 * time.Millisecond, 20 * time.Second

// Times for which a daemon is exempt from the checks of directives that it received before:
// killExemption lasts until a killed daemon has ended, stopExemption until a daemon has shut
// down. killExemption also applies to all daemons when the connections to a server are
// blackholed.
const (
	killExemption = 1500 * time.Millisecond
	stopExemption = 6 * time.Second
)

// requestPauses makes some servers of a service reject requests and request pauses: either one
// pause for all of them or a separate pause for each.
func requestPauses(s *soak) func() {
	chosen := s.randomServers()
	isSamePause := s.random.IntN(2) == 0
	pause := s.randomDuration(minPause, maxPause)
	for _, server := range chosen {
		if !isSamePause {
			pause = s.randomDuration(minPause, maxPause)
		}
		server.RejectWithRetryAfter(pause)
	}
	return func() {
		for _, server := range chosen {
			server.RejectWithRetryAfter(0)
		}
	}
}

// drainInAnswersOnly makes a plain server drain and end without a change of its entry, and
// starts a replacement.
func drainInAnswersOnly(s *soak) func() {
	servers := s.platform.Servers(standin.ServicePlain)
	s.replaceServer(servers[s.random.IntN(len(servers))], (*standin.Server).DrainInAnswersOnly)
	return nil
}

// exempt exempts a daemon, or all if it is nil, from the checks of directives for the
// duration.
func (s *soak) exempt(d *daemon, duration time.Duration) {
	end := s.beginExemption(d)
	time.AfterFunc(duration, end)
}

// beginExemption exempts a daemon, or all if it is nil, until end is called.
func (s *soak) beginExemption(d *daemon) (end func()) {
	name := ""
	if d != nil {
		name = d.name
	}
	s.platform.Exempt(name, 1)
	return func() { s.platform.Exempt(name, -1) }
}
