package soak

import (
	"time"

	"headcourse/lab/standin"
)

// zonesOfServers is in how many zones the servers are: one can be evacuated, and the other
// serves on.
const zonesOfServers = 2

// Figures of cold servers.
const leastCold, mostCold = 500 * time.Millisecond, 3 * time.Second

// evacuateZone evacuates a zone for a while. It is not checked beside other troubles: daemons
// that are cut off cannot observe it.
func evacuateZone(s *soak) func() {
	zone := standin.Zone(s.random.IntN(zonesOfServers))
	s.platform.Evacuate(zone, 0)
	return func() { s.platform.TakeBack(zone) }
}

// coolServers turns some servers cold.
func coolServers(s *soak) func() {
	for _, one := range s.someServers() {
		one.Cool(s.between(leastCold, mostCold))
	}
	return nil
}

// calmEvacuation is how long a zone is evacuated when the faults are over.
const calmEvacuation = 2 * standin.EvacuateTime

// checkEvacuation evacuates a zone while nothing else happens, and returns which daemon does not
// serve meanwhile, or afterwards by servers that have turned cold. The stand-in notes requests
// to the zone.
func (s *soak) checkEvacuation() []string {
	zone := standin.Zone(s.random.IntN(zonesOfServers))
	s.platform.Evacuate(zone, standin.EvacuateTime)
	time.Sleep(calmEvacuation)
	broken := s.await("an evacuation of " + zone)
	for _, one := range s.platform.Servers(standin.ServicePlain) {
		one.Cool(leastCold)
	}
	s.platform.TakeBack(zone)
	return append(broken, s.await("the return of "+zone)...)
}
