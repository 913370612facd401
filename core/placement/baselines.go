package placement

import (
	"headcourse/core/declaration"
)

// FirstFit is a baseline policy: it immediately replaces lost members, or moves the group
// to the first domain with enough free VMs, regardless of the weights.
type FirstFit struct{}

// Repair returns the first remedy that fits, or Wait if none does.
func (FirstFit) Repair(loss Loss, domains []Domain, _ declaration.Weights) (Remedy, Choice) {
	ordered := sortedDomains(domains)
	if spares := freeVMsOf(ordered, loss.Domain); loss.RemainingMembers > 0 && len(spares) >= loss.LostMembers {
		return Replace, Choice{
			Name:    loss.Group,
			Domain:  loss.Domain,
			Members: spares[:loss.LostMembers:loss.LostMembers],
		}
	}
	request := Request{
		Name:  loss.Group,
		Size:  loss.LostMembers + loss.RemainingMembers,
		Zones: loss.Zones,
	}
	for _, domain := range ordered {
		if zoneRank(loss.Zones, domain.Zone) >= 0 && len(domain.FreeVMs) >= request.Size {
			return Move, chooseFirst(domain, request)
		}
	}
	return Wait, Choice{}
}

// AlwaysWait is a baseline policy: it waits for the lost members to return.
type AlwaysWait struct{}

// Repair returns Wait.
func (AlwaysWait) Repair(Loss, []Domain, declaration.Weights) (Remedy, Choice) {
	return Wait, Choice{}
}
