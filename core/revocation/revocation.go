// Package revocation decides how a daemon may use a configuration that it can no longer
// confirm, because it reaches neither the store nor a relay.
//
// A configuration that was confirmed recently enough is current: it lacks every key that
// was revoked longer ago than the bound, and keys or routes that it lacks do not exist.
// The operator chooses what happens with an older one:
//   - If revocation is strict, no key is accepted, since every daemon must reject a revoked
//     key within the bound.
//   - Otherwise the keys of the last known configuration are still accepted. Rejecting
//     them would turn an outage of the store into an outage for every caller: one outage of
//     eight seconds cost a third of that day's answers.
//
// A key or route that an older configuration lacks is never rejected as unknown, since it
// may have been added in the meantime.
package revocation

import "time"

// Margin is subtracted from the bound: a store that drops its history may report no change
// for up to a second before it reports the drop, and an answer takes up to 0.2 s.
const Margin = 1200 * time.Millisecond

// Policy determines how old a configuration may be. The zero value is not strict, and
// regards no configuration as current.
type Policy struct {
	// IsStrict is set if a revoked key must be rejected within the bound by every daemon,
	// also by one that cannot learn of the revocation.
	IsStrict bool
	// Bound is the time within which daemons must reject a revoked key.
	Bound time.Duration
}

// IsCurrent reports whether a configuration that was confirmed age ago contains every change
// that is older than the bound. Routes and keys that it lacks may then be rejected.
func (p Policy) IsCurrent(age time.Duration) bool {
	return age < p.Bound-Margin
}

// MayAccept reports whether keys of a configuration that was confirmed age ago may be
// accepted.
func (p Policy) MayAccept(age time.Duration) bool {
	return !p.IsStrict || p.IsCurrent(age)
}
