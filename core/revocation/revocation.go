// Package revocation decides what a daemon may still do by a configuration that it
// cannot confirm any more, because the store and all relays are out of reach.
//
// A view that is young enough is current: every key withdrawn for longer than the
// bound is dead in it, and what it does not hold does not exist. The operator chooses
// what holds beyond that. Where withdrawal is strict, no key is accepted any more: a
// withdrawn one must die within the bound wherever the daemon is. Where it is not,
// keys of the last good configuration are served on, since an outage of the store
// would otherwise be an outage for every caller: the eight seconds of one outage cost
// a third of that day's answers. A key or a route that such a view does not hold is
// never denied: it may have been added since.
package revocation

import "time"

// Margin is kept away from the bound: a store that drops its history may tell nothing
// for a second before it says so, and an answer takes up to 0.2 s to come.
const Margin = 1200 * time.Millisecond

// Policy says how old a configuration may be. The zero value is not strict and takes
// no view for current.
type Policy struct {
	// IsStrict tells that a withdrawn key must be dead within the bound everywhere,
	// also where nothing can be heard of the withdrawal.
	IsStrict bool
	// Within is the bound.
	Within time.Duration
}

// IsCurrent tells whether a view confirmed age ago shows all that has been in force for
// longer than the bound. Routes and keys that it does not hold may be denied.
func (p Policy) IsCurrent(age time.Duration) bool {
	return age < p.Within-Margin
}

// MayAccept tells whether keys of a view confirmed age ago may be accepted.
func (p Policy) MayAccept(age time.Duration) bool {
	return !p.IsStrict || p.IsCurrent(age)
}
