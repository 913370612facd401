// Package placement chooses VMs for serving groups.
//
// A group takes VMs of one fabric domain. Which domain it takes decides what a
// later failure costs: a domain with a spare VM beside its groups repairs a
// lost member by loading one group anew, a domain without must move the whole
// group; and free VMs too few to form a group are stranded. Cost weighs both
// by the operator's declared weights, and every choice minimises it. The same
// input always gives the same choice.
//
// For example, with 4 VMs a group and two domains with 5 and 8 free VMs, an
// operator who weighs downtime takes the domain with 5 (one spare remains
// beside the group), and so does one who weighs stranded accelerators (the
// other domain can still hold two groups).
package placement

import (
	"sort"

	"headcourse/core/declaration"
	"headcourse/core/vm"
)

// Domain is a fabric domain with its free VMs in the order of their ids.
type Domain struct {
	Name string
	Zone string
	Free []vm.VM
	// Groups is how many groups have their members in the domain.
	Groups int
}

// Without returns the domain with its first n free VMs taken by a group.
func (d Domain) Without(n int) Domain {
	d.Free = d.Free[n:]
	d.Groups++
	return d
}

// Want is one group to be placed: its size, and the zones it may go to, the
// earlier the better.
type Want struct {
	Name  string
	Size  int
	Zones []string
}

// Choice is where a group goes. Members is empty where nothing fits.
type Choice struct {
	Name    string
	Zone    string
	Domain  string
	Members []vm.VM
}

// Figures of Cost. A member loss is taken to hit a VM once in lossEvery
// seconds; repairSeconds and moveSeconds are the downtime with and without a
// spare in the domain; the horizon is what a placement is judged over.
const (
	lossEvery     = 60 * 86400.0
	repairSeconds = 60.0
	moveSeconds   = 180.0
	horizon       = 86400.0
)

// Cost returns what a domain is expected to cost over a day under the weights:
// downtime of its groups of the given size after losses, and accelerators that
// no further group of that size can use. Lower is better.
func (d Domain) Cost(size int, weights declaration.Weights) float64 {
	losses := float64(d.Groups*size) * horizon / lossEvery
	downtime := losses * moveSeconds
	if len(d.Free) > 0 {
		downtime = losses * repairSeconds
	}
	stranded := 0.0
	for _, free := range d.Free[:len(d.Free)%size] {
		stranded += float64(free.Accelerators) * horizon
	}
	return weights.GroupDowntime*downtime + weights.StrandedAccelerators*stranded*strandedShare
}

// strandedShare is the part of a day in which a VM left over would otherwise
// have been used; a spare is needed some of the time.
const strandedShare = 0.001

// Place chooses places for all wants. Small inputs are searched wholly, larger
// ones greedily, the biggest group first, each to the domain that raises the
// cost least. Wants that fit nowhere get a choice without members.
func Place(domains []Domain, wants []Want, weights declaration.Weights) []Choice {
	ordered := sortedDomains(domains)
	if isSmall(ordered, wants) {
		return placeExactly(ordered, wants, weights)
	}
	return placeGreedily(ordered, wants, weights)
}

// Bounds of the exact search.
const (
	exactWants   = 6
	exactDomains = 6
)

// isSmall tells whether the exact search is affordable.
func isSmall(domains []Domain, wants []Want) bool {
	return len(wants) <= exactWants && len(domains) <= exactDomains
}

// sortedDomains returns a copy in the order of names.
func sortedDomains(domains []Domain) []Domain {
	ordered := append([]Domain(nil), domains...)
	sort.Slice(ordered, func(i, j int) bool {
		return ordered[i].Name < ordered[j].Name
	})
	return ordered
}

// zoneRank returns the place of zone in zones, or -1.
func zoneRank(zones []string, zone string) int {
	for i, name := range zones {
		if name == zone {
			return i
		}
	}
	return -1
}

// take returns the choice of the first VMs of a domain.
func take(domain Domain, want Want) Choice {
	return Choice{
		Name:    want.Name,
		Zone:    domain.Zone,
		Domain:  domain.Name,
		Members: domain.Free[:want.Size:want.Size],
	}
}

// ----------------------------------------------------------------------------
// Greedy placement

// placeGreedily places the biggest wants first.
func placeGreedily(domains []Domain, wants []Want, weights declaration.Weights) []Choice {
	sequence := make([]int, len(wants))
	for i := range sequence {
		sequence[i] = i
	}
	sort.SliceStable(sequence, func(i, j int) bool {
		return wants[sequence[i]].Size > wants[sequence[j]].Size
	})
	choices := make([]Choice, len(wants))
	for _, index := range sequence {
		want := wants[index]
		choices[index].Name = want.Name
		best := cheapest(domains, want, weights)
		if best < 0 {
			continue
		}
		choices[index] = take(domains[best], want)
		domains[best] = domains[best].Without(want.Size)
	}
	return choices
}

// cheapest returns the domain that a want raises the cost of least, within the
// first of its zones that has room; -1 where none has.
func cheapest(domains []Domain, want Want, weights declaration.Weights) int {
	best, bestRank, bestRise := -1, 0, 0.0
	for i, domain := range domains {
		rank := zoneRank(want.Zones, domain.Zone)
		if rank < 0 || len(domain.Free) < want.Size {
			continue
		}
		rise := domain.Without(want.Size).Cost(want.Size, weights) - domain.Cost(want.Size, weights)
		if best < 0 || rank < bestRank || (rank == bestRank && rise < bestRise) {
			best, bestRank, bestRise = i, rank, rise
		}
	}
	return best
}

// ----------------------------------------------------------------------------
// Exact placement

// search is the state of the exact search over all assignments.
type search struct {
	wants      []Want
	weights    declaration.Weights
	assigned   []int
	best       []int
	bestPlaced int
	bestRank   int
	bestCost   float64
}

// placeExactly tries every assignment: most groups placed, then the zones
// liked best, then the lowest cost.
func placeExactly(domains []Domain, wants []Want, weights declaration.Weights) []Choice {
	state := &search{
		wants:      wants,
		weights:    weights,
		assigned:   make([]int, len(wants)),
		bestPlaced: -1,
	}
	state.try(domains, 0, 0, 0)
	choices := make([]Choice, len(wants))
	for i, want := range wants {
		choices[i].Name = want.Name
		if chosen := state.best[i]; chosen >= 0 {
			choices[i] = take(domains[chosen], want)
			domains[chosen] = domains[chosen].Without(want.Size)
		}
	}
	return choices
}

// try assigns the want at index and all after it.
func (s *search) try(domains []Domain, index, placed, ranks int) {
	if index == len(s.wants) {
		s.compare(domains, placed, ranks)
		return
	}
	want := s.wants[index]
	for i, domain := range domains {
		rank := zoneRank(want.Zones, domain.Zone)
		if rank < 0 || len(domain.Free) < want.Size {
			continue
		}
		s.assigned[index] = i
		domains[i] = domain.Without(want.Size)
		s.try(domains, index+1, placed+1, ranks+rank)
		domains[i] = domain
	}
	s.assigned[index] = -1
	s.try(domains, index+1, placed, ranks)
}

// compare keeps the assignment if it is the best so far.
func (s *search) compare(domains []Domain, placed, ranks int) {
	size := 1
	for _, want := range s.wants {
		size = max(size, want.Size)
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
