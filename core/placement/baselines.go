package placement

import (
	"headcourse/core/declaration"
)

// FirstFit is a baseline: it replaces lost members, or moves the group, at once
// and to the first domain with room, whatever the weights.
type FirstFit struct{}

// Repair returns the first remedy that fits.
func (FirstFit) Repair(loss Loss, domains []Domain, _ declaration.Weights) (Remedy, Choice) {
	ordered := sortedDomains(domains)
	if spares := sparesOf(ordered, loss.Domain); loss.Kept > 0 && len(spares) >= loss.Lost {
		return Replace, Choice{
			Name:    loss.Group,
			Domain:  loss.Domain,
			Members: spares[:loss.Lost:loss.Lost],
		}
	}
	want := Want{
		Name:  loss.Group,
		Size:  loss.Lost + loss.Kept,
		Zones: loss.Zones,
	}
	for _, domain := range ordered {
		if zoneRank(loss.Zones, domain.Zone) >= 0 && len(domain.Free) >= want.Size {
			return Move, take(domain, want)
		}
	}
	return Wait, Choice{}
}

// AlwaysWait is a baseline: it waits for the lost members to return.
type AlwaysWait struct{}

// Repair returns Wait.
func (AlwaysWait) Repair(Loss, []Domain, declaration.Weights) (Remedy, Choice) {
	return Wait, Choice{}
}
