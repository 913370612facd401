package placement

import (
	"headcourse/core/declaration"
	"headcourse/core/vm"
)

// Remedy is how a group that lost members gets whole again.
type Remedy string

// The remedies.
const (
	// Replace takes spare VMs of the same domain in place of the lost ones.
	Replace Remedy = "replace"
	// Move forms the group anew in another domain.
	Move Remedy = "move"
	// Wait leaves the group as it is for now.
	Wait Remedy = "wait"
	// GiveUp frees the group's VMs for other groups, until it fits somewhere.
	GiveUp Remedy = "give_up"
)

// giveUpSeconds is how long lost members are awaited where nothing can stand in
// for them.
const giveUpSeconds = 60.0

// Loss describes a group that lost members.
type Loss struct {
	Group string
	// Lost and Kept count the members lost and left.
	Lost int
	Kept int
	// Zones are where the group may go, the group's own zone first.
	Zones  []string
	Domain string
	// LoadSeconds is how long the model loads.
	LoadSeconds float64
	// UnseenSeconds is how long the lost members have been away so far;
	// negative when they are gone for good.
	UnseenSeconds float64
	// AwaySeconds is how long they have been away, gone for good or not.
	AwaySeconds float64
	// Accelerators are those of the members kept.
	Accelerators int
}

// Weighed is the repair policy of headcourse. The zero value works.
type Weighed struct{}

// Repair returns the cheapest remedy under the weights and the VMs it takes:
// those that replace the lost ones, or all members in the new domain.
func (Weighed) Repair(loss Loss, domains []Domain, weights declaration.Weights) (Remedy, Choice) {
	size := loss.Lost + loss.Kept
	remedy, choice, cost := Wait, Choice{}, waitCost(loss, weights)
	if spares := sparesOf(domains, loss.Domain); loss.Kept > 0 && len(spares) >= loss.Lost {
		replaceCost := weights.GroupDowntime * loss.LoadSeconds
		replaceCost += weights.StrandedAccelerators * loss.LoadSeconds * float64(loss.Accelerators)
		if replaceCost < cost {
			remedy, cost = Replace, replaceCost
			choice = Choice{
				Name:    loss.Group,
				Domain:  loss.Domain,
				Members: spares[:loss.Lost:loss.Lost],
			}
		}
	}
	moved := Place(withoutDomain(domains, loss.Domain), []Want{{
		Name:  loss.Group,
		Size:  size,
		Zones: loss.Zones,
	}}, weights)[0]
	moveCost := weights.GroupDowntime * loss.LoadSeconds
	// The members kept are stranded until another group needs them.
	moveCost += weights.StrandedAccelerators * (loss.LoadSeconds + idleSeconds) * float64(loss.Accelerators)
	if len(moved.Members) == size && moveCost < cost {
		return Move, moved
	}
	if remedy == Wait && loss.AwaySeconds > giveUpSeconds {
		return GiveUp, Choice{}
	}
	return remedy, choice
}

// Times that the costs of remedies stand on, in seconds.
const (
	// idleSeconds is how long VMs left by a moved group stay unused.
	idleSeconds = 300.0
	// neverSeconds stands for the wait for a member that will not return.
	neverSeconds = 1e9
)

// waitCost returns the cost of leaving the group down until members return.
// A member that has been away for some time is expected to stay away for as
// long again, and in half of the cases to have lost its state: the rule of the
// rent-or-buy problem, which never costs more than twice the best in hindsight.
// Members lost together share a cause, a dark fabric domain for one, which
// lasts far longer than a pause; they are not waited for.
func waitCost(loss Loss, weights declaration.Weights) float64 {
	seconds := neverSeconds
	if loss.UnseenSeconds >= 0 && loss.Lost == 1 {
		seconds = loss.UnseenSeconds + loss.LoadSeconds/2
	}
	return seconds * (weights.GroupDowntime + weights.StrandedAccelerators*float64(loss.Accelerators))
}

// sparesOf returns the free VMs of a domain.
func sparesOf(domains []Domain, name string) []vm.VM {
	for _, domain := range domains {
		if domain.Name == name {
			return domain.Free
		}
	}
	return nil
}

// withoutDomain returns the domains but one.
func withoutDomain(domains []Domain, name string) []Domain {
	var others []Domain
	for _, domain := range domains {
		if domain.Name != name {
			others = append(others, domain)
		}
	}
	return others
}
