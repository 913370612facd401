package locality_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/locality"
)

// part returns the part of a zone in a division.
func part(shares []locality.Share, zone string) float64 {
	for _, share := range shares {
		if share.Zone == zone {
			return share.Part
		}
	}
	return 0
}

// zones returns three zones.
func zones(roomA, askedA float64) []locality.Zone {
	return []locality.Zone{
		{
			Name:  "a",
			Room:  roomA,
			Asked: askedA,
		},
		{
			Name:  "b",
			Room:  100,
			Asked: 50,
		},
		{
			Name:  "c",
			Room:  100,
			Asked: 50,
		},
	}
}

func TestRequestsStayWhereThereIsRoom(t *testing.T) {
	qt.Assert(t, part(locality.Divide("a", zones(100, 50)), "a"), qt.Equals, 1.0)
	qt.Assert(t, part(locality.Divide("a", zones(200, 50)), "a"), qt.Equals, 1.0)
}

func TestZoneWithoutServersSendsAllAway(t *testing.T) {
	shares := locality.Divide("a", zones(0, 50))
	qt.Assert(t, part(shares, "a"), qt.Equals, 0.0)
	qt.Assert(t, part(shares, "b"), qt.Equals, 0.5)
}

func TestWithoutWordOfWhatIsAskedRequestsStay(t *testing.T) {
	known := []locality.Zone{
		{
			Name: "a",
			Room: 10,
		},
		{
			Name: "b",
			Room: 100,
		},
	}
	qt.Assert(t, part(locality.Divide("a", known), "a"), qt.Equals, 1.0)
	known[0].Room = 0
	qt.Assert(t, part(locality.Divide("a", known), "b"), qt.Equals, 1.0)
}

func TestWithoutAnyRoomThereIsNoDivision(t *testing.T) {
	qt.Assert(t, locality.Divide("a", nil), qt.HasLen, 0)
	qt.Assert(t, locality.Draw(nil, 0.5), qt.Equals, "")
}

// Whatever the zones, the parts add up to one, and servers of zones that are asked
// something are equally busy wherever requests travel.
func TestServersAreEquallyBusy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "zones")
		known := make([]locality.Zone, count)
		for i := range known {
			known[i] = locality.Zone{
				Name:  string(rune('a' + i)),
				Room:  float64(rapid.IntRange(1, 300).Draw(t, "room")),
				Asked: float64(rapid.IntRange(1, 300).Draw(t, "asked")),
			}
		}
		taken := map[string]float64{}
		for _, own := range known {
			sum := 0.0
			for _, share := range locality.Divide(own.Name, known) {
				sum += share.Part
				taken[share.Zone] += share.Part * own.Asked
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("parts of %s add up to %v", own.Name, sum)
			}
		}
		busy := taken["a"] / known[0].Room
		for _, zone := range known {
			if math.Abs(taken[zone.Name]/zone.Room-busy) > 1e-6 {
				t.Fatalf("%s is busy %v, a is %v", zone.Name, taken[zone.Name]/zone.Room, busy)
			}
		}
	})
}
