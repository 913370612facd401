package balancer

import (
	"maps"
	"slices"

	"headcourse/core/locality"
	"headcourse/core/subset"
)

// Preference is what a daemon goes by before it looks at its own requests: where it
// is, and what is asked in each zone. Its values are not changed. The zero value
// prefers no server.
type Preference struct {
	// Zone is the daemon's availability zone, Daemon its place among the daemons there.
	Zone   string
	Daemon subset.Daemon
	// Asked is what is asked in each zone of the kind of request, in any unit.
	Asked map[string]float64
}

// tier orders candidates before their loads are looked at.
type tier int

// The tiers: the daemon's own subset in the zone that was drawn for the request, the
// other servers there, and those of other zones.
const (
	inSubset tier = iota
	inZone
	elsewhere
)

// WithTiers returns the candidates with the tiers that they have for one request. The
// zone is drawn at a place between 0 and 1. Servers in trouble do not count as room, nor do
// those that take only some requests a second: they come and go as candidates with each of
// these, and subsets would change as often.
func (p Preference) WithTiers(candidates []Candidate, at float64) []Candidate {
	zone := locality.Draw(locality.Divide(p.Zone, p.zones(candidates)), at)
	var ids []string
	places := 0
	for _, candidate := range candidates {
		if candidate.Zone == zone && candidate.isRoom() {
			ids = append(ids, candidate.ID)
			places += candidate.Capacity
		}
	}
	subset := p.Daemon.Choose(ids, places)
	isChosen := map[string]bool{}
	for _, id := range subset {
		isChosen[id] = true
	}
	placed := make([]Candidate, len(candidates))
	for i, candidate := range candidates {
		candidate.tier = p.tierOf(candidate, zone, isChosen)
		if candidate.tier == elsewhere && len(subset) == len(ids) {
			// A daemon that uses all servers of a zone sees a good part of their load, and
			// leaves the zone by its own requests sooner than by what is asked everywhere.
			candidate.tier = inSubset
			candidate.isFar = true
		}
		placed[i] = candidate
	}
	return placed
}

// tierOf returns the tier of one candidate.
func (p Preference) tierOf(candidate Candidate, zone string, isChosen map[string]bool) tier {
	switch {
	case candidate.IsLimited && candidate.Zone == p.Zone:
		// What it takes of this daemon is lost if it is not used.
		return inSubset
	case zone != "" && candidate.Zone != zone:
		return elsewhere
	case isChosen[candidate.ID] || candidate.IsTroubled:
		// Trouble alone puts a server after all others.
		return inSubset
	default:
		return inZone
	}
}

// isRoom tells whether the candidate counts as room for requests.
func (c Candidate) isRoom() bool {
	return !c.IsTroubled && !c.IsLimited
}

// zones joins the room of each zone with what is asked there, ordered by name.
func (p Preference) zones(candidates []Candidate) []locality.Zone {
	rooms := map[string]float64{
		p.Zone: 0,
	}
	for zone := range p.Asked {
		rooms[zone] = 0
	}
	for _, candidate := range candidates {
		if candidate.isRoom() {
			rooms[candidate.Zone] += float64(max(1, candidate.Capacity))
		}
	}
	zones := make([]locality.Zone, 0, len(rooms))
	for _, name := range slices.Sorted(maps.Keys(rooms)) {
		zones = append(zones, locality.Zone{
			Name:  name,
			Room:  rooms[name],
			Asked: p.Asked[name],
		})
	}
	return zones
}
