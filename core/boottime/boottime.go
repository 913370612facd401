// Package boottime provides a clock that continues while the VM is suspended.
//
// The clock of the Go runtime stops during a suspension, so anything dated by it seems younger
// than it is. A VM that was suspended for ten seconds resumes with a configuration that looks
// current, and accepts keys that were revoked meanwhile. Whatever is allowed only for a
// limited time is therefore dated and checked with a Clock, right before it is done. Times of
// a Clock must not be compared with times of the runtime's clock.
package boottime

import "time"

// Clock is the runtime's clock plus the total time for which the VM has been suspended. The zero
// value is the runtime's clock.
type Clock struct {
	// Suspended returns the total time for which the VM has been suspended; nil means never.
	Suspended func() time.Duration
}

// Now returns the present time.
func (c Clock) Now() time.Time {
	if c.Suspended == nil {
		return time.Now()
	}
	return time.Now().Add(c.Suspended())
}

// Since returns the time that has passed since a time of this clock.
func (c Clock) Since(t time.Time) time.Duration {
	return c.Now().Sub(t)
}

// Until returns the time that is left until a time of this clock.
func (c Clock) Until(t time.Time) time.Duration {
	return t.Sub(c.Now())
}
