// Package boottime tells a time that goes on while the machine is suspended.
//
// The runtime's clock stands still meanwhile, so what rests on an age seems younger than it
// is: a machine that slept for ten seconds wakes with a configuration that looks current,
// and accepts keys that were withdrawn. Whatever may be done only for so long is therefore
// dated and aged by a Clock, right before it is done. Times of one Clock must not be compared
// with those of the runtime's.
package boottime

import "time"

// Clock is the runtime's clock and the time for which the machine has been suspended. The
// zero value is the runtime's clock.
type Clock struct {
	// Suspended returns for how long the machine has been suspended in all; nil: never.
	Suspended func() time.Duration
}

// Now returns the present.
func (c Clock) Now() time.Time {
	if c.Suspended == nil {
		return time.Now()
	}
	return time.Now().Add(c.Suspended())
}

// Since returns how long ago a time of this clock is.
func (c Clock) Since(t time.Time) time.Duration {
	return c.Now().Sub(t)
}

// Until returns how long it is to a time of this clock.
func (c Clock) Until(t time.Time) time.Duration {
	return t.Sub(c.Now())
}
