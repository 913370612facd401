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
// these are candidates only now and then, and subsets would change as often. Slow servers count
// by their slowdown. They are in the subset of no daemon while the zone has others, since all
// requests of a daemon whose subset happens to have only slow servers would be late.
func (p Preference) WithTiers(candidates []Candidate, point float64) []Candidate {
	zone := locality.ZoneAt(locality.Divide(p.Zone, p.zones(candidates)), point)
	ids, capacity := subsetServers(candidates, zone)
	chosen := p.Position.Choose(ids, int(capacity))
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

// subsetServers returns the servers of a zone from which subsets are chosen, and their capacity in
// requests in flight. Slow ones are included only if there are no others.
func subsetServers(candidates []Candidate, zone string) (ids []string, capacity float64) {
	var slowIDs []string
	slowCapacity := 0.0
	for _, candidate := range candidates {
		if candidate.Zone != zone || !candidate.countsAsCapacity() {
			continue
		}
		if candidate.isSlow() {
			slowIDs = append(slowIDs, candidate.ID)
			slowCapacity += float64(candidate.Capacity) / candidate.slowdown()
			continue
		}
		ids = append(ids, candidate.ID)
		capacity += float64(candidate.Capacity)
	}
	if len(ids) == 0 {
		return slowIDs, slowCapacity
	}
	return ids, capacity
}

// tierOf returns the tier of one candidate.
func (p Preference) tierOf(candidate Candidate, zone string, isInSubset map[string]bool) tier {
	switch {
	case candidate.IsRateLimited && candidate.Zone == p.Zone:
		// The daemon's quota there expires if it is not used.
		return tierSubset
	case zone != "" && candidate.Zone != zone:
		return tierOtherZone
	case isInSubset[candidate.ID] || candidate.IsDegraded || candidate.isSlow():
		// IsDegraded alone ranks the server after all healthy ones, and a slowdown by its factor.
		return tierSubset
	default:
		return tierZone
	}
}

// countsAsCapacity reports whether the candidate adds to the capacity of its zone.
func (c Candidate) countsAsCapacity() bool {
	return !c.IsDegraded && !c.IsRateLimited
}

// isSlow reports that the daemons found the server slow.
func (c Candidate) isSlow() bool { return c.Slowdown > 1 }

// slowdown returns the factor by which the server is slow, 1 if it is healthy.
func (c Candidate) slowdown() float64 { return max(1, c.Slowdown) }

// weight returns the part that the candidate adds to the capacity of its zone, in requests in
// flight.
func (c Candidate) weight() float64 { return float64(max(1, c.Capacity)) / c.slowdown() }

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
			capacities[candidate.Zone] += candidate.weight()
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
