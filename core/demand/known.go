package demand

import "time"

// KnownTotals are the totals of all daemons as one daemon knows them.
type KnownTotals struct {
	Totals
	// IsKnown is false if nothing is known about the demand at other daemons. The totals are then those of
	// this daemon alone, and Age is 0.
	IsKnown bool
	// Age is the time since the totals were received.
	Age time.Duration
}

// KnownTotals returns the totals of all daemons as far as they are known here. Unlike ReceiveReport it
// records no sender, and it does not keep the sum of details that other methods reuse. The lists must not
// be modified.
func (a *Aggregator) KnownTotals() KnownTotals {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	known := KnownTotals{
		IsKnown: a.isKnown(),
	}
	if known.IsKnown {
		known.Age = a.age()
	}
	var sum details
	if a.usesParentTotals("") {
		known.Demand = a.parentTotals.demand
		sum = a.parentTotals.details
	} else {
		known.Demand = a.subtreeReport("").Demand
		sum = a.subtreeDetails("")
	}
	if sum.isFresh() {
		known.Organisations = sum.organisations
		known.Paces = sum.paces
		known.HasDetails = true
	}
	return known
}
