package locality_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/locality"
)

// fractionOf returns the fraction of the requests that goes to a zone.
func fractionOf(shares []locality.Share, zone string) float64 {
	for _, share := range shares {
		if share.Zone == zone {
			return share.Fraction
		}
	}
	return 0
}

// threeZones returns three zones; the first one has the given capacity and demand.
func threeZones(capacityA, demandA float64) []locality.Zone {
	return []locality.Zone{
		{
			Name:     "a",
			Capacity: capacityA,
			Demand:   demandA,
		},
		{
			Name:     "b",
			Capacity: 100,
			Demand:   50,
		},
		{
			Name:     "c",
			Capacity: 100,
			Demand:   50,
		},
	}
}

func TestRequestsStayInAZoneWithCapacity(t *testing.T) {
	qt.Assert(t, fractionOf(locality.Divide("a", threeZones(100, 50)), "a"), qt.Equals, 1.0)
	qt.Assert(t, fractionOf(locality.Divide("a", threeZones(200, 50)), "a"), qt.Equals, 1.0)
}

func TestZoneWithoutCapacitySendsAllRequestsAway(t *testing.T) {
	shares := locality.Divide("a", threeZones(0, 50))
	qt.Assert(t, fractionOf(shares, "a"), qt.Equals, 0.0)
	qt.Assert(t, fractionOf(shares, "b"), qt.Equals, 0.5)
}

func TestRequestsStayWithoutKnownDemand(t *testing.T) {
	zones := []locality.Zone{
		{
			Name:     "a",
			Capacity: 10,
		},
		{
			Name:     "b",
			Capacity: 100,
		},
	}
	qt.Assert(t, fractionOf(locality.Divide("a", zones), "a"), qt.Equals, 1.0)
	zones[0].Capacity = 0
	qt.Assert(t, fractionOf(locality.Divide("a", zones), "b"), qt.Equals, 1.0)
}

func TestNoCapacityYieldsNoShares(t *testing.T) {
	qt.Assert(t, locality.Divide("a", nil), qt.HasLen, 0)
	qt.Assert(t, locality.ZoneAt(nil, 0.5), qt.Equals, "")
}

// For any zones, the fractions add up to 1, and the servers of all zones are equally loaded.
func TestZonesAreEquallyLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "zones")
		zones := make([]locality.Zone, count)
		for i := range zones {
			zones[i] = locality.Zone{
				Name:     string(rune('a' + i)),
				Capacity: float64(rapid.IntRange(1, 300).Draw(t, "room")),
				Demand:   float64(rapid.IntRange(1, 300).Draw(t, "demand")),
			}
		}
		load := map[string]float64{}
		for _, ownZone := range zones {
			sum := 0.0
			for _, share := range locality.Divide(ownZone.Name, zones) {
				sum += share.Fraction
				load[share.Zone] += share.Fraction * ownZone.Demand
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("fractions of %s add up to %v", ownZone.Name, sum)
			}
		}
		utilisation := load["a"] / zones[0].Capacity
		for _, zone := range zones {
			if math.Abs(load[zone.Name]/zone.Capacity-utilisation) > 1e-6 {
				t.Fatalf("utilisation of %s is %v, of a %v", zone.Name, load[zone.Name]/zone.Capacity, utilisation)
			}
		}
	})
}
