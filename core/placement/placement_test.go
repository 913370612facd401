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

// testWeights are the weights of an operator who gives weight to both measures.
var testWeights = declaration.Weights{
	GroupDowntime:        10,
	StrandedAccelerators: 1,
}

// newDomain returns a fabric domain with free VMs.
func newDomain(name, zone string, free, groups int) placement.Domain {
	domain := placement.Domain{
		Name:   name,
		Zone:   zone,
		Groups: groups,
	}
	for number := range free {
		domain.FreeVMs = append(domain.FreeVMs, vm.VM{
			ID:           fmt.Sprintf("%s-%02d", name, number),
			Zone:         zone,
			Domain:       name,
			Accelerators: 8,
		})
	}
	return domain
}

// drawDomains draws fabric domains.
func drawDomains(rt *rapid.T, limit int) []placement.Domain {
	count := rapid.IntRange(1, limit).Draw(rt, "domains")
	domains := make([]placement.Domain, count)
	for i := range domains {
		domains[i] = newDomain(fmt.Sprintf("d%02d", i), fmt.Sprintf("z%d", i%3), rapid.IntRange(0, 9).Draw(rt, "free"), rapid.IntRange(0, 2).Draw(rt, "groups"))
	}
	return domains
}

// drawRequests draws groups to be placed.
func drawRequests(rt *rapid.T, limit int) []placement.Request {
	requests := make([]placement.Request, rapid.IntRange(1, limit).Draw(rt, "requests"))
	for i := range requests {
		requests[i] = placement.Request{
			Name:  fmt.Sprintf("g%d", i),
			Size:  rapid.IntRange(1, 5).Draw(rt, "size"),
			Zones: rapid.Permutation([]string{"z0", "z1", "z2"}).Draw(rt, "zones")[:rapid.IntRange(1, 3).Draw(rt, "allowed")],
		}
	}
	return requests
}

// Checks small and large inputs: groups are complete, in one domain and in an allowed zone,
// no VM is used twice, and the same input gives the same result.
func TestPlacementIsValidAndDeterministic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains, requests := drawDomains(rt, 12), drawRequests(rt, 12)
		choices := placement.Place(domains, requests, testWeights)
		used := map[string]bool{}
		for i, choice := range choices {
			if choice.Name != requests[i].Name {
				rt.Fatalf("choice %d has the name %q", i, choice.Name)
			}
			if len(choice.Members) == 0 {
				continue
			}
			if len(choice.Members) != requests[i].Size {
				rt.Fatalf("%s has %d of %d VMs", choice.Name, len(choice.Members), requests[i].Size)
			}
			isAllowed := false
			for _, zone := range requests[i].Zones {
				isAllowed = isAllowed || zone == choice.Zone
			}
			if !isAllowed {
				rt.Fatalf("%s is in zone %s, which is not allowed", choice.Name, choice.Zone)
			}
			for _, member := range choice.Members {
				if used[member.ID] || member.Domain != choice.Domain {
					rt.Fatalf("%s uses VM %s of domain %s; want an unused VM of domain %s", choice.Name, member.ID, member.Domain, choice.Domain)
				}
				used[member.ID] = true
			}
		}
		again := placement.Place(domains, requests, testWeights)
		if fmt.Sprint(again) != fmt.Sprint(choices) {
			rt.Fatalf("different choices for the same input")
		}
	})
}

// countPlaced returns how many groups got VMs.
func countPlaced(choices []placement.Choice) int {
	count := 0
	for _, choice := range choices {
		if len(choice.Members) > 0 {
			count++
		}
	}
	return count
}

// maxPlaceable returns the maximum number of requests of one size that can be placed if they
// may be placed in any zone.
func maxPlaceable(domains []placement.Domain, size int) int {
	count := 0
	for _, domain := range domains {
		count += len(domain.FreeVMs) / size
	}
	return count
}

// Compares greedy placement with the known optimum of groups of one size that may be placed
// in any zone.
func TestGreedyPlacementReachesOptimumForEqualSizes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := drawDomains(rt, 12)
		size := rapid.IntRange(1, 5).Draw(rt, "size")
		requests := make([]placement.Request, rapid.IntRange(7, 20).Draw(rt, "requests"))
		for i := range requests {
			requests[i] = placement.Request{
				Name:  fmt.Sprint(i),
				Size:  size,
				Zones: []string{"z0", "z1", "z2"},
			}
		}
		got := countPlaced(placement.Place(domains, requests, testWeights))
		if expected := min(len(requests), maxPlaceable(domains, size)); got != expected {
			rt.Fatalf("placed %d of %d groups that fit", got, expected)
		}
	})
}

func TestDomainWithSpareIsPreferred(t *testing.T) {
	choices := placement.Place([]placement.Domain{
		newDomain("tight", "z0", 4, 0),
		newDomain("spare", "z0", 5, 0),
	}, []placement.Request{{
		Name:  "g",
		Size:  4,
		Zones: []string{"z0"},
	}}, declaration.Weights{
		GroupDowntime:        100,
		StrandedAccelerators: 0.0001,
	})
	qt.Assert(t, choices[0].Domain, qt.Equals, "spare")
}

func TestRepairChoosesCheapestRemedy(t *testing.T) {
	loss := placement.Loss{
		Group:               "g",
		LostMembers:         1,
		RemainingMembers:    3,
		Zones:               []string{"z0"},
		Domain:              "d",
		LoadSeconds:         90,
		UnresponsiveSeconds: 10,
		LostSeconds:         10,
		Accelerators:        24,
	}
	domains := []placement.Domain{newDomain("d", "z0", 1, 1)}
	remedy, _ := placement.CostBased{}.Repair(loss, domains, testWeights)
	qt.Assert(t, remedy, qt.Equals, placement.Wait)
	loss.UnresponsiveSeconds = 60
	remedy, choice := placement.CostBased{}.Repair(loss, domains, testWeights)
	qt.Assert(t, remedy, qt.Equals, placement.Replace)
	qt.Assert(t, choice.Members, qt.HasLen, 1)
	loss.UnresponsiveSeconds = -1
	remedy, _ = placement.CostBased{}.Repair(loss, nil, testWeights)
	qt.Assert(t, remedy, qt.Equals, placement.Wait)
	loss.LostSeconds = 120
	remedy, _ = placement.CostBased{}.Repair(loss, nil, testWeights)
	qt.Assert(t, remedy, qt.Equals, placement.GiveUp)
}

// BenchmarkPlaceTwoYears places all groups of the largest fleet to design for: 106 groups
// of 16 VMs on 1,700 VMs in 64 domains of 8 zones.
func BenchmarkPlaceTwoYears(b *testing.B) {
	var domains []placement.Domain
	for number := range 64 {
		domains = append(domains, newDomain(fmt.Sprintf("d%02d", number), fmt.Sprintf("z%d", number%8), 27, 0))
	}
	var requests []placement.Request
	for number := range 64 {
		requests = append(requests, placement.Request{
			Name:  fmt.Sprint(number),
			Size:  16,
			Zones: []string{"z0", "z1", "z2", "z3", "z4", "z5", "z6", "z7"},
		})
	}
	for b.Loop() {
		placement.Place(domains, requests, testWeights)
	}
}
