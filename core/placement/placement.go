// Package placement chooses VMs for serving groups.
//
// A group uses VMs of one fabric domain. The choice of the domain determines the cost of a
// later failure. If the domain has a spare VM beside its groups, a lost member is repaired
// by loading one group again; otherwise the whole group must move. VMs that are left over
// and too few to form a group are stranded. Cost weighs both by the operator's declared
// weights. It decides between placements of as many groups in equally preferred zones. The same
// input always gives the same choice.
//
// For example, with 4 VMs per group and two domains with 4 and 5 free VMs, an operator who
// gives weight to downtime gets the domain with 5, since one spare remains beside the group.
// Groups of one size strand the same number of VMs wherever they are placed, so the weight of
// stranded accelerators matters mainly if groups of several sizes are placed together.
package placement

import (
	"sort"

	"headcourse/core/declaration"
	"headcourse/core/vm"
)

// Domain is a fabric domain with its free VMs, in the order in which they are used.
type Domain struct {
	Name    string
	Zone    string
	FreeVMs []vm.VM
	// Groups is the number of groups that have their members in the domain.
	Groups int
}

// WithGroupPlaced returns the domain after a group has used its first n free VMs.
func (d Domain) WithGroupPlaced(n int) Domain {
	d.FreeVMs = d.FreeVMs[n:]
	d.Groups++
	return d
}

// Request is a group to be placed, with its size in VMs and the zones in which it may be
// placed, in order of preference.
type Request struct {
	Name  string
	Size  int
	Zones []string
}

// Choice is where a group is placed. Members is empty if nothing fits.
type Choice struct {
	Name    string
	Zone    string
	Domain  string
	Members []vm.VM
}

// Constants of Cost. A VM is assumed to be lost once per lossIntervalSeconds. The downtime
// of a repair is repairDowntimeSeconds with a spare in the domain and moveDowntimeSeconds
// without. Cost is computed over horizonSeconds.
const (
	lossIntervalSeconds   = 60 * 86400.0
	repairDowntimeSeconds = 60.0
	moveDowntimeSeconds   = 180.0
	horizonSeconds        = 86400.0
)

// Cost returns the expected cost of a domain over a day under the weights: the downtime of
// its groups of the given size after losses, and the accelerators that no further group of
// that size can use. Lower is better.
func (d Domain) Cost(size int, weights declaration.Weights) float64 {
	losses := float64(d.Groups*size) * horizonSeconds / lossIntervalSeconds
	downtime := losses * moveDowntimeSeconds
	if len(d.FreeVMs) > 0 {
		downtime = losses * repairDowntimeSeconds
	}
	stranded := 0.0
	for _, free := range d.FreeVMs[:len(d.FreeVMs)%size] {
		stranded += float64(free.Accelerators) * horizonSeconds
	}
	return weights.GroupDowntime*downtime + weights.StrandedAccelerators*stranded*strandedShare
}

// strandedShare is the share of a day during which a left-over VM would otherwise have been
// used; a spare is needed some of the time.
const strandedShare = 0.001

// Place places all requests. Small inputs are searched exactly. Larger ones are placed
// greedily: the largest group first, each in the domain whose cost increases least. A request
// that does not fit anywhere gets a choice without members.
func Place(domains []Domain, requests []Request, weights declaration.Weights) []Choice {
	ordered := sortedDomains(domains)
	if canSearchExactly(ordered, requests) {
		return placeExactly(ordered, requests, weights)
	}
	return placeGreedily(ordered, requests, weights)
}

// Input limits of the exact search.
const (
	maxExactRequests = 6
	maxExactDomains  = 6
)

// canSearchExactly reports whether the input is small enough for the exact search.
func canSearchExactly(domains []Domain, requests []Request) bool {
	return len(requests) <= maxExactRequests && len(domains) <= maxExactDomains
}

// sortedDomains returns a copy of the domains, ordered by name.
func sortedDomains(domains []Domain) []Domain {
	ordered := append([]Domain(nil), domains...)
	sort.Slice(ordered, func(i, j int) bool {
		return ordered[i].Name < ordered[j].Name
	})
	return ordered
}

// zoneRank returns the index of zone in zones, or -1.
func zoneRank(zones []string, zone string) int {
	for i, name := range zones {
		if name == zone {
			return i
		}
	}
	return -1
}

// chooseFirst returns the choice of the first free VMs of a domain.
func chooseFirst(domain Domain, request Request) Choice {
	return Choice{
		Name:    request.Name,
		Zone:    domain.Zone,
		Domain:  domain.Name,
		Members: domain.FreeVMs[:request.Size:request.Size],
	}
}

// ----------------------------------------------------------------------------
// Greedy placement

// placeGreedily places the largest requests first.
func placeGreedily(domains []Domain, requests []Request, weights declaration.Weights) []Choice {
	bySize := make([]int, len(requests))
	for i := range bySize {
		bySize[i] = i
	}
	sort.SliceStable(bySize, func(i, j int) bool {
		return requests[bySize[i]].Size > requests[bySize[j]].Size
	})
	choices := make([]Choice, len(requests))
	for _, index := range bySize {
		request := requests[index]
		choices[index].Name = request.Name
		chosen := cheapestDomain(domains, request, weights)
		if chosen < 0 {
			continue
		}
		choices[index] = chooseFirst(domains[chosen], request)
		domains[chosen] = domains[chosen].WithGroupPlaced(request.Size)
	}
	return choices
}

// cheapestDomain returns the index of the domain whose cost the request increases least, among
// the domains of the first of its zones with enough free VMs, or -1 if there is none.
func cheapestDomain(domains []Domain, request Request, weights declaration.Weights) int {
	best, bestRank, bestIncrease := -1, 0, 0.0
	for i, domain := range domains {
		rank := zoneRank(request.Zones, domain.Zone)
		if rank < 0 || len(domain.FreeVMs) < request.Size {
			continue
		}
		increase := domain.WithGroupPlaced(request.Size).Cost(request.Size, weights) - domain.Cost(request.Size, weights)
		if best < 0 || rank < bestRank || (rank == bestRank && increase < bestIncrease) {
			best, bestRank, bestIncrease = i, rank, increase
		}
	}
	return best
}

// ----------------------------------------------------------------------------
// Exact placement

// exactSearch is the state of the exact search over all assignments.
type exactSearch struct {
	requests   []Request
	weights    declaration.Weights
	assigned   []int
	best       []int
	bestPlaced int
	bestRank   int
	bestCost   float64
}

// placeExactly tries every assignment. It prefers the most groups placed, then the most
// preferred zones, then the lowest cost.
func placeExactly(domains []Domain, requests []Request, weights declaration.Weights) []Choice {
	state := &exactSearch{
		requests:   requests,
		weights:    weights,
		assigned:   make([]int, len(requests)),
		bestPlaced: -1,
	}
	state.assignFrom(domains, 0, 0, 0)
	choices := make([]Choice, len(requests))
	for i, request := range requests {
		choices[i].Name = request.Name
		if chosen := state.best[i]; chosen >= 0 {
			choices[i] = chooseFirst(domains[chosen], request)
			domains[chosen] = domains[chosen].WithGroupPlaced(request.Size)
		}
	}
	return choices
}

// assignFrom tries all assignments of the requests from index on.
func (s *exactSearch) assignFrom(domains []Domain, index, placed, ranks int) {
	if index == len(s.requests) {
		s.keepIfBetter(domains, placed, ranks)
		return
	}
	request := s.requests[index]
	for i, domain := range domains {
		rank := zoneRank(request.Zones, domain.Zone)
		if rank < 0 || len(domain.FreeVMs) < request.Size {
			continue
		}
		s.assigned[index] = i
		domains[i] = domain.WithGroupPlaced(request.Size)
		s.assignFrom(domains, index+1, placed+1, ranks+rank)
		domains[i] = domain
	}
	s.assigned[index] = -1
	s.assignFrom(domains, index+1, placed, ranks)
}

// keepIfBetter stores the assignment if it is the best so far.
func (s *exactSearch) keepIfBetter(domains []Domain, placed, ranks int) {
	size := 1
	for _, request := range s.requests {
		size = max(size, request.Size)
	}
	cost := 0.0
	for _, domain := range domains {
		cost += domain.Cost(size, s.weights)
	}
	switch {
	case placed != s.bestPlaced:
		if placed < s.bestPlaced {
			return
		}
	case ranks != s.bestRank:
		if ranks > s.bestRank {
			return
		}
	case cost >= s.bestCost:
		return
	}
	s.best = append([]int(nil), s.assigned...)
	s.bestPlaced, s.bestRank, s.bestCost = placed, ranks, cost
}
