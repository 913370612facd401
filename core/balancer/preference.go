package balancer

import (
	"maps"
	"slices"

	"headcourse/core/locality"
	"headcourse/core/subset"
)

// Preference orders candidates by the daemon's zone and by the demand of each zone, before the
// daemon's own requests count. It is immutable. The zero value has no zone and no subset: zones are
// drawn in proportion to their capacity.
type Preference struct {
	// Zone is the daemon's availability zone. Position is its position among the daemons
	// there.
	Zone     string
	Position subset.Position
	// Demand is the demand for the kind of request in each zone, in any unit.
	Demand map[string]float64
}

// tier ranks candidates before their loads are compared.
type tier int

// The tiers are the daemon's own subset in the drawn zone, the other servers there, and servers
// in other zones.
const (
	tierSubset tier = iota
	tierZone
	tierOtherZone
)

// WithTiers returns the candidates with their tiers for one request. The zone is drawn by
// point, from 0 to 1. Degraded servers do not count as capacity, nor do rate limited ones:
// these are candidates only now and then, and subsets would change as often.
func (p Preference) WithTiers(candidates []Candidate, point float64) []Candidate {
	zone := locality.ZoneAt(locality.Divide(p.Zone, p.zones(candidates)), point)
	var ids []string
	capacity := 0
	for _, candidate := range candidates {
		if candidate.Zone == zone && candidate.countsAsCapacity() {
			ids = append(ids, candidate.ID)
			capacity += candidate.Capacity
		}
	}
	chosen := p.Position.Choose(ids, capacity)
	isInSubset := map[string]bool{}
	for _, id := range chosen {
		isInSubset[id] = true
	}
	tiered := make([]Candidate, len(candidates))
	for i, candidate := range candidates {
		candidate.tier = p.tierOf(candidate, zone, isInSubset)
		if candidate.tier == tierOtherZone && len(chosen) == len(ids) {
			// A daemon that uses all servers of a zone sees a good part of their load. Its own
			// requests in flight show sooner than the demand of all zones that requests should
			// leave the zone.
			candidate.tier = tierSubset
			candidate.isCrossZone = true
		}
		tiered[i] = candidate
	}
	return tiered
}

// tierOf returns the tier of one candidate.
func (p Preference) tierOf(candidate Candidate, zone string, isInSubset map[string]bool) tier {
	switch {
	case candidate.IsRateLimited && candidate.Zone == p.Zone:
		// The daemon's quota there expires if it is not used.
		return tierSubset
	case zone != "" && candidate.Zone != zone:
		return tierOtherZone
	case isInSubset[candidate.ID] || candidate.IsDegraded:
		// IsDegraded alone ranks the server after all healthy ones.
		return tierSubset
	default:
		return tierZone
	}
}

// countsAsCapacity reports whether the candidate adds to the capacity of its zone.
func (c Candidate) countsAsCapacity() bool {
	return !c.IsDegraded && !c.IsRateLimited
}

// zones returns the capacity and the demand of each zone, ordered by name.
func (p Preference) zones(candidates []Candidate) []locality.Zone {
	capacities := map[string]float64{
		p.Zone: 0,
	}
	for zone := range p.Demand {
		capacities[zone] = 0
	}
	for _, candidate := range candidates {
		if candidate.countsAsCapacity() {
			capacities[candidate.Zone] += float64(max(1, candidate.Capacity))
		}
	}
	zones := make([]locality.Zone, 0, len(capacities))
	for _, name := range slices.Sorted(maps.Keys(capacities)) {
		zones = append(zones, locality.Zone{
			Name:     name,
			Capacity: capacities[name],
			Demand:   p.Demand[name],
		})
	}
	return zones
}
