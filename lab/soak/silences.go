package soak

import (
	"time"

	"golang.org/x/sys/unix"

	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// rowsBeforeSilences is the number of rows of the table of faults before those of servers that stand still. Seeds that
// draw from no more rows play without the check of silences, as when they were found.
const rowsBeforeSilences = 37

// Parameters of silences.
const (
	minSilence, maxSilence = time.Second, 1600 * time.Millisecond
	// silenceDelay is the time from a change of the configuration to a silence.
	silenceDelay = 600 * time.Millisecond
	// silencesInSeries is the number of silences of a series. silenceGap is the time between their begins.
	silencesInSeries = 3
	silenceGap       = 2 * time.Second
	// stillShare of the servers stand still if neither one nor all do.
	stillShare = 0.6
)

// Ranges of the limit for idle connections and of the time-out of routes. Both are longer than any silence that a
// request meets at one server.
const (
	minIdleTimeout, maxIdleTimeout   = 2 * time.Second, 30 * time.Second
	minRouteTimeout, maxRouteTimeout = 5 * time.Second, 8 * time.Second
)

// drawsSilences reports whether the seed draws from the rows of servers that stand still.
func (s *soak) drawsSilences() bool {
	return len(s.faults) > rowsBeforeSilences
}

// randomSilence returns a random duration of a silence.
func (s *soak) randomSilence() time.Duration {
	return s.randomDuration(minSilence, maxSilence)
}

// allServers returns the servers of all services that clients of the soak use.
func (s *soak) allServers() []*standin.Server {
	return append(s.platform.Servers(standin.ServicePlain), s.platform.Servers(standin.ServiceModel)...)
}

// randomShare returns a share of the servers in random order.
func (s *soak) randomShare(share float64) (chosen, others []*standin.Server) {
	servers := s.allServers()
	s.random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	count := int(share * float64(len(servers)))
	return servers[:count], servers[count:]
}

// silenceServer makes one server stand still, which may be a member of a group that is not its head.
func silenceServer(s *soak) func() {
	servers := s.allServers()
	chosen := servers[s.random.IntN(len(servers))]
	s.standStill([]*standin.Server{chosen}, s.randomSilence())
	return nil
}

// silenceGroup makes all members of a group stand still.
func silenceGroup(s *soak) func() {
	if member := s.randomMember(); member != nil {
		s.standStill(s.platform.Members(member), s.randomSilence())
	}
	return nil
}

// silenceServers makes a share of all servers stand still, or all.
func silenceServers(s *soak) func() {
	chosen, _ := s.randomShare([]float64{stillShare, 1}[s.random.IntN(2)])
	s.standStill(chosen, s.randomSilence())
	return nil
}

// silenceAtPlace makes a share of all servers hold requests at one place of their answers.
func silenceAtPlace(s *soak) func() {
	chosen, _ := s.randomShare([]float64{stillShare, 1}[s.random.IntN(2)])
	s.holdAtRandomPlace(chosen, s.randomSilence())
	return nil
}

// holdAtRandomPlace makes servers hold requests at one place of their answers, while they answer all else.
func (s *soak) holdAtRandomPlace(servers []*standin.Server, silence time.Duration) {
	place := standin.BeforeHead + standin.Place(s.random.IntN(int(standin.BeforeEnd)))
	for _, server := range servers {
		server.StandStill(place, silence)
	}
	s.logf("servers hold requests %s", place)
}

// silenceConnects makes a share of all servers stand still and leave connects unanswered.
func silenceConnects(s *soak) func() {
	chosen, _ := s.randomShare(stillShare)
	s.standStillUnconnected(chosen, s.randomSilence())
	return nil
}

// standStillUnconnected makes servers stand still and leave connects unanswered.
func (s *soak) standStillUnconnected(servers []*standin.Server, silence time.Duration) {
	s.standStill(servers, silence)
	s.serverProxiesMutex.Lock()
	defer s.serverProxiesMutex.Unlock()
	for _, server := range servers {
		if held := s.serverProxies[server.Address()]; held != nil {
			go func() {
				if release, err := held.HoldConnects(); err == nil {
					time.AfterFunc(silence, release)
				}
			}()
		}
	}
}

// silenceBesideFull makes a share of all servers stand still while all others refuse requests.
func silenceBesideFull(s *soak) func() {
	still, full := s.randomShare(stillShare)
	s.standStill(still, s.randomSilence())
	return beginFull(full)
}

// beginFull makes servers refuse requests until end is called.
func beginFull(full []*standin.Server) (end func()) {
	for _, server := range full {
		server.SetBehaviour(standin.Rejecting)
	}
	return func() {
		for _, server := range full {
			server.SetBehaviour(standin.Normal)
		}
	}
}

// silencesBesideChanges makes servers stand still several times, each time after a change of the configuration.
func silencesBesideChanges(s *soak) func() {
	for i := range silencesInSeries {
		begin := time.Duration(i) * silenceGap
		change := s.randomConfigChange()
		chosen, _ := s.randomShare([]float64{stillShare, 1}[s.random.IntN(2)])
		silence := s.randomSilence()
		s.schedule(begin, change)
		s.schedule(begin+silenceDelay, func() { s.standStill(chosen, silence) })
	}
	return nil
}

// randomConfigChange returns a random change of the configuration: of the limit for idle connections, of time-outs,
// routes or the key.
func (s *soak) randomConfigChange() func() {
	changes := []func(config *wire.Config){
		standin.WithIdleTimeout(s.randomDuration(minIdleTimeout, maxIdleTimeout)),
		standin.WithRouteTimeout(s.randomDuration(minRouteTimeout, maxRouteTimeout)),
		standin.WithAddedRoute,
	}
	chosen := s.random.IntN(len(changes) + 1)
	if chosen == len(changes) {
		return s.rotateKeys
	}
	return func() { s.platform.ChangeConfig(changes[chosen]) }
}

// changeConfig changes the configuration.
func changeConfig(s *soak) func() {
	s.randomConfigChange()()
	return nil
}

// signalDaemonInSilence stops a daemon in order, or makes it reload its settings, while servers stand still.
func signalDaemonInSilence(s *soak) func() {
	chosen, _ := s.randomShare([]float64{stillShare, 1}[s.random.IntN(2)])
	silence := s.randomSilence()
	s.standStill(chosen, silence)
	signal := []unix.Signal{unix.SIGTERM, unix.SIGHUP}[s.random.IntN(2)]
	d := s.randomDaemon()
	s.schedule(s.randomDuration(0, silence), func() {
		s.exempt(d, stopExemption)
		s.signalDaemon(d, signal)
	})
	return nil
}
