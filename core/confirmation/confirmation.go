// Package confirmation decides what a daemon may do by a configuration, given how long ago the
// configuration was confirmed to be complete by the store or by a relay.
//
// Each decision has a bound of its own, since each rests on another promise:
//   - A key or route that the configuration lacks is refused as unknown only if the configuration was
//     confirmed within the bound for changes. Otherwise the key or route may have been added since, and be
//     in force everywhere.
//   - A request that it allows may have been forbidden, or moved to another service, after that bound. A
//     daemon that has just been cut off, or stood still, confirms the configuration first. If that fails it
//     serves on, since an outage of the store must not become an outage for every caller.
//   - A key that it contains is accepted within the bound for withdrawn keys, if the operator has chosen that
//     every daemon must reject a withdrawn key in time. Otherwise it is accepted for as long as nothing newer
//     is known.
package confirmation

import "time"

// Margin is subtracted from the bounds: a store that drops its history may report no change
// for up to a second before it reports the drop, and an answer takes up to 0.2 s.
const Margin = 1200 * time.Millisecond

// Policy determines how old a configuration may be for each decision. The zero value is not strict, and
// never lets a request be refused as unknown.
type Policy struct {
	// ApplyBound is the time within which a confirmed change must be in force at every daemon.
	ApplyBound time.Duration
	// RevocationBound is the time within which daemons must reject a withdrawn key.
	RevocationBound time.Duration
	// IsRevocationStrict is set if a withdrawn key must be rejected within RevocationBound by every daemon,
	// also by one that cannot learn of the withdrawal.
	IsRevocationStrict bool
}

// MaxRefusalAge is the age from which on a configuration no longer shows that a key or route does not exist.
func (p Policy) MaxRefusalAge() time.Duration {
	return p.ApplyBound - Margin
}

// MayRefuse reports whether a key or route may be refused as unknown by a configuration that was confirmed
// age ago and lacks it.
func (p Policy) MayRefuse(age time.Duration) bool {
	return age < p.MaxRefusalAge()
}

// MayBeSuperseded reports whether a change that must be in force may be missing from a configuration
// that was confirmed age ago.
func (p Policy) MayBeSuperseded(age time.Duration) bool {
	return age >= p.ApplyBound
}

// IsWithinRevocationBound reports whether a configuration that was confirmed age ago lacks every key that was
// withdrawn longer ago than RevocationBound.
func (p Policy) IsWithinRevocationBound(age time.Duration) bool {
	return age < p.RevocationBound-Margin
}

// MayAcceptKeys reports whether keys of a configuration that was confirmed age ago may be accepted.
func (p Policy) MayAcceptKeys(age time.Duration) bool {
	return !p.IsRevocationStrict || p.IsWithinRevocationBound(age)
}
