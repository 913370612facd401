package placement_test

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/declaration"
	"headcourse/core/placement"
	"headcourse/core/vm"
	"headcourse/lab/fuzz"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m))
}

// weights are the weights of an operator who minds both measures.
var weights = declaration.Weights{
	GroupDowntime:        10,
	StrandedAccelerators: 1,
}

// domain returns a fabric domain with free VMs.
func domain(name, zone string, free, groups int) placement.Domain {
	made := placement.Domain{
		Name:   name,
		Zone:   zone,
		Groups: groups,
	}
	for number := range free {
		made.Free = append(made.Free, vm.VM{
			ID:           fmt.Sprintf("%s-%02d", name, number),
			Zone:         zone,
			Domain:       name,
			Accelerators: 8,
		})
	}
	return made
}

// drawDomains draws fabric domains.
func drawDomains(rt *rapid.T, most int) []placement.Domain {
	count := rapid.IntRange(1, most).Draw(rt, "domains")
	domains := make([]placement.Domain, count)
	for i := range domains {
		domains[i] = domain(fmt.Sprintf("d%02d", i), fmt.Sprintf("z%d", i%3), rapid.IntRange(0, 9).Draw(rt, "free"), rapid.IntRange(0, 2).Draw(rt, "groups"))
	}
	return domains
}

// drawWants draws groups to be placed.
func drawWants(rt *rapid.T, most int) []placement.Want {
	wants := make([]placement.Want, rapid.IntRange(1, most).Draw(rt, "wants"))
	for i := range wants {
		wants[i] = placement.Want{
			Name:  fmt.Sprintf("g%d", i),
			Size:  rapid.IntRange(1, 5).Draw(rt, "size"),
			Zones: rapid.Permutation([]string{"z0", "z1", "z2"}).Draw(rt, "zones")[:rapid.IntRange(1, 3).Draw(rt, "allowed")],
		}
	}
	return wants
}

// TestPlacementIsPossible checks small and large inputs: whole groups, of one
// domain, in an allowed zone, no VM twice, and the same again for the same
// input.
func TestPlacementIsPossible(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains, wants := drawDomains(rt, 12), drawWants(rt, 12)
		choices := placement.Place(domains, wants, weights)
		taken := map[string]bool{}
		for i, choice := range choices {
			if choice.Name != wants[i].Name {
				rt.Fatalf("choice %d is of %q", i, choice.Name)
			}
			if len(choice.Members) == 0 {
				continue
			}
			if len(choice.Members) != wants[i].Size {
				rt.Fatalf("%s has %d of %d VMs", choice.Name, len(choice.Members), wants[i].Size)
			}
			isAllowed := false
			for _, zone := range wants[i].Zones {
				isAllowed = isAllowed || zone == choice.Zone
			}
			if !isAllowed {
				rt.Fatalf("%s is in %s", choice.Name, choice.Zone)
			}
			for _, member := range choice.Members {
				if taken[member.ID] || member.Domain != choice.Domain {
					rt.Fatalf("%s takes %s of %s, of %s, or twice", choice.Name, member.ID, member.Domain, choice.Domain)
				}
				taken[member.ID] = true
			}
		}
		again := placement.Place(domains, wants, weights)
		if fmt.Sprint(again) != fmt.Sprint(choices) {
			rt.Fatalf("another choice for the same input")
		}
	})
}

// placed returns how many groups got VMs.
func placed(choices []placement.Choice) int {
	count := 0
	for _, choice := range choices {
		if len(choice.Members) > 0 {
			count++
		}
	}
	return count
}

// most returns the largest number of wants that any order of first-fit places;
// for wants of one size and free zones that is the optimum.
func most(domains []placement.Domain, size int) int {
	count := 0
	for _, one := range domains {
		count += len(one.Free) / size
	}
	return count
}

// TestGreedyPlacesAllThatFit compares the greedy search with the exact optimum
// where that is known: groups of one size that may go anywhere.
func TestGreedyPlacesAllThatFit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := drawDomains(rt, 12)
		size := rapid.IntRange(1, 5).Draw(rt, "size")
		wants := make([]placement.Want, rapid.IntRange(7, 20).Draw(rt, "wants"))
		for i := range wants {
			wants[i] = placement.Want{
				Name:  fmt.Sprint(i),
				Size:  size,
				Zones: []string{"z0", "z1", "z2"},
			}
		}
		got := placed(placement.Place(domains, wants, weights))
		if expected := min(len(wants), most(domains, size)); got != expected {
			rt.Fatalf("placed %d, of %d that fit", got, expected)
		}
	})
}

func TestSpareBesideTheGroupIsPreferred(t *testing.T) {
	choices := placement.Place([]placement.Domain{
		domain("tight", "z0", 4, 0),
		domain("spare", "z0", 5, 0),
	}, []placement.Want{{
		Name:  "g",
		Size:  4,
		Zones: []string{"z0"},
	}}, declaration.Weights{
		GroupDowntime:        100,
		StrandedAccelerators: 0.0001,
	})
	qt.Assert(t, choices[0].Domain, qt.Equals, "spare")
}

func TestRepairWeighsWaitingAgainstReplacing(t *testing.T) {
	loss := placement.Loss{
		Group:         "g",
		Lost:          1,
		Kept:          3,
		Zones:         []string{"z0"},
		Domain:        "d",
		LoadSeconds:   90,
		UnseenSeconds: 10,
		AwaySeconds:   10,
		Accelerators:  24,
	}
	domains := []placement.Domain{domain("d", "z0", 1, 1)}
	remedy, _ := placement.Weighed{}.Repair(loss, domains, weights)
	qt.Assert(t, remedy, qt.Equals, placement.Wait)
	loss.UnseenSeconds = 60
	remedy, choice := placement.Weighed{}.Repair(loss, domains, weights)
	qt.Assert(t, remedy, qt.Equals, placement.Replace)
	qt.Assert(t, choice.Members, qt.HasLen, 1)
	loss.UnseenSeconds = -1
	remedy, _ = placement.Weighed{}.Repair(loss, nil, weights)
	qt.Assert(t, remedy, qt.Equals, placement.Wait)
	loss.AwaySeconds = 120
	remedy, _ = placement.Weighed{}.Repair(loss, nil, weights)
	qt.Assert(t, remedy, qt.Equals, placement.GiveUp)
}

// BenchmarkPlaceTwoYears places all groups of the size to design for: 106
// groups of 16 VMs on 1,700 VMs in 64 domains of 8 zones.
func BenchmarkPlaceTwoYears(b *testing.B) {
	var domains []placement.Domain
	for number := range 64 {
		domains = append(domains, domain(fmt.Sprintf("d%02d", number), fmt.Sprintf("z%d", number%8), 27, 0))
	}
	var wants []placement.Want
	for number := range 64 {
		wants = append(wants, placement.Want{
			Name:  fmt.Sprint(number),
			Size:  16,
			Zones: []string{"z0", "z1", "z2", "z3", "z4", "z5", "z6", "z7"},
		})
	}
	for b.Loop() {
		placement.Place(domains, wants, weights)
	}
}
