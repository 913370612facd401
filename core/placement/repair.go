package placement

import (
	"headcourse/core/declaration"
	"headcourse/core/vm"
)

// Remedy is how a group that lost members is repaired.
type Remedy string

// Remedies for lost members.
const (
	// Replace uses spare VMs of the same domain in place of the lost ones.
	Replace Remedy = "replace"
	// Move forms the group again in another domain.
	Move Remedy = "move"
	// Wait leaves the group unchanged for now.
	Wait Remedy = "wait"
	// GiveUp frees the group's VMs for other groups. The group waits until there are
	// enough free VMs for it.
	GiveUp Remedy = "give_up"
)

// maxLostSeconds is how long a group waits for lost members. After that time it gives up its VMs
// if waiting is still the cheapest remedy, as it always is if no VMs can replace the lost members.
const maxLostSeconds = 60.0

// Loss describes a group that lost members.
type Loss struct {
	Group string
	// LostMembers and RemainingMembers are the numbers of lost and remaining members.
	LostMembers      int
	RemainingMembers int
	// Zones are the zones in which the group may be placed, its own zone first.
	Zones  []string
	Domain string
	// LoadSeconds is how long the model takes to load.
	LoadSeconds float64
	// UnresponsiveSeconds is how long the lost members have been unresponsive so far. It is
	// negative if they will not return.
	UnresponsiveSeconds float64
	// LostSeconds is how long they have been unresponsive, whether or not they will return.
	LostSeconds float64
	// Accelerators is the number of accelerators of the remaining members.
	Accelerators int
}

// CostBased is the default repair policy, which compares the costs of the remedies. The zero
// value is ready to use.
type CostBased struct{}

// Repair returns the cheapest remedy under the weights and the VMs that it uses: those that
// replace the lost ones, or all members in the new domain.
func (CostBased) Repair(loss Loss, domains []Domain, weights declaration.Weights) (Remedy, Choice) {
	size := loss.LostMembers + loss.RemainingMembers
	remedy, choice, cost := Wait, Choice{}, waitCost(loss, weights)
	if spares := freeVMsOf(domains, loss.Domain); loss.RemainingMembers > 0 && len(spares) >= loss.LostMembers {
		replaceCost := weights.GroupDowntime * loss.LoadSeconds
		replaceCost += weights.StrandedAccelerators * loss.LoadSeconds * float64(loss.Accelerators)
		if replaceCost < cost {
			remedy, cost = Replace, replaceCost
			choice = Choice{
				Name:    loss.Group,
				Domain:  loss.Domain,
				Members: spares[:loss.LostMembers:loss.LostMembers],
			}
		}
	}
	moveChoice := Place(withoutDomain(domains, loss.Domain), []Request{{
		Name:  loss.Group,
		Size:  size,
		Zones: loss.Zones,
	}}, weights)[0]
	moveCost := weights.GroupDowntime * loss.LoadSeconds
	// The remaining members are stranded until another group needs them.
	moveCost += weights.StrandedAccelerators * (loss.LoadSeconds + idleAfterMoveSeconds) * float64(loss.Accelerators)
	if len(moveChoice.Members) == size && moveCost < cost {
		return Move, moveChoice
	}
	if remedy == Wait && loss.LostSeconds > maxLostSeconds {
		return GiveUp, Choice{}
	}
	return remedy, choice
}

// Assumptions of the costs of remedies, in seconds.
const (
	// idleAfterMoveSeconds is how long the VMs that a moved group leaves stay unused.
	idleAfterMoveSeconds = 300.0
	// noReturnSeconds stands for the waiting time for a member that will not return.
	noReturnSeconds = 1e9
)

// waitCost returns the cost of leaving the group down until the lost members return. A
// member that has been unresponsive for some time is expected to stay so for as long again,
// and in half of the cases to have lost its state. This is the rule of the rent-or-buy
// problem, which never costs more than twice the optimum in hindsight. Several members that
// are lost together have a common cause, for instance an outage of their fabric domain,
// which lasts far longer than a pause; the policy does not wait for them.
func waitCost(loss Loss, weights declaration.Weights) float64 {
	seconds := noReturnSeconds
	if loss.UnresponsiveSeconds >= 0 && loss.LostMembers == 1 {
		seconds = loss.UnresponsiveSeconds + loss.LoadSeconds/2
	}
	return seconds * (weights.GroupDowntime + weights.StrandedAccelerators*float64(loss.Accelerators))
}

// freeVMsOf returns the free VMs of a domain.
func freeVMsOf(domains []Domain, name string) []vm.VM {
	for _, domain := range domains {
		if domain.Name == name {
			return domain.FreeVMs
		}
	}
	return nil
}

// withoutDomain returns the domains except one.
func withoutDomain(domains []Domain, name string) []Domain {
	var others []Domain
	for _, domain := range domains {
		if domain.Name != name {
			others = append(others, domain)
		}
	}
	return others
}
