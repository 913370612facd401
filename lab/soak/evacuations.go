package soak

import (
	"time"

	"headcourse/lab/standin"
)

// serverZones is the number of zones of the servers: if one is evacuated, the other still
// serves.
const serverZones = 2

// Range of the time for which servers are cold.
const minColdTime, maxColdTime = 500 * time.Millisecond, 3 * time.Second

// evacuateZone evacuates a zone for a while. The evacuation is not checked during other
// faults: a daemon that is cut off from the store can't observe it.
func evacuateZone(s *soak) func() {
	zone := standin.Zone(s.random.IntN(serverZones))
	s.platform.Evacuate(zone, 0)
	return func() { s.platform.EndEvacuation(zone) }
}

// makeServersCold makes some servers cold.
func makeServersCold(s *soak) func() {
	for _, server := range s.randomServers() {
		server.MakeCold(s.randomDuration(minColdTime, maxColdTime))
	}
	return nil
}

// checkedEvacuationTime is the length of the evacuation that is checked after the faults.
const checkedEvacuationTime = 2 * standin.EvacuationDeadline

// checkEvacuation evacuates a zone without other faults. It returns the daemons that do not
// serve during the evacuation, or afterwards with servers that are cold. The stand-in records
// requests to the evacuated zone as violations.
func (s *soak) checkEvacuation() []string {
	zone := standin.Zone(s.random.IntN(serverZones))
	s.platform.Evacuate(zone, standin.EvacuationDeadline)
	time.Sleep(checkedEvacuationTime)
	failures := s.awaitServing("an evacuation of " + zone)
	for _, server := range s.platform.Servers(standin.ServicePlain) {
		server.MakeCold(minColdTime)
	}
	s.platform.EndEvacuation(zone)
	return append(failures, s.awaitServing("the return of "+zone)...)
}
