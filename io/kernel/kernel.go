// Package kernel reads values from the kernel that the Go runtime does not provide.
package kernel

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxClockDrift is how far the wall clock may drift from the monotonic clock before the
	// kernel is queried. Regular corrections of clocks are below 1 ms per second.
	maxClockDrift = 5 * time.Millisecond
	// maxQueryInterval is the time after which the kernel is queried even without a drift: a
	// wall clock that is set back by exactly the time of a suspension shows none.
	maxQueryInterval = time.Second
)

// SuspendClock measures how long the VM has been suspended in total. A suspension makes the wall
// clock drift from the monotonic clock, and only then is the kernel queried. Most calls
// therefore read just these two clocks, which needs no system call. The zero value is ready
// to use and safe for concurrent use.
type SuspendClock struct {
	mutex     sync.Mutex
	queriedAt time.Time
	suspended time.Duration
}

// Suspended returns how long the VM has been suspended since it was started.
func (s *SuspendClock) Suspended() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	monotonic := now.Sub(s.queriedAt)
	// Round(0) strips the monotonic reading, so that Sub compares wall clocks.
	wallClock := now.Round(0).Sub(s.queriedAt.Round(0))
	if !s.queriedAt.IsZero() && monotonic < maxQueryInterval && (wallClock-monotonic).Abs() < maxClockDrift {
		return s.suspended
	}
	s.queriedAt = now
	if suspended, err := querySuspended(); err == nil {
		// Each result is slightly too small, so the largest is the most accurate.
		s.suspended = max(s.suspended, suspended)
	}
	return s.suspended
}

// querySuspended returns a lower bound of the time that the VM has been suspended: the
// difference of the clocks CLOCK_BOOTTIME, which counts suspended time, and CLOCK_MONOTONIC,
// which does not. The process may be descheduled between the two readings, for tens of
// milliseconds on a small VM. The monotonic clock is read last, so that this time is not
// counted as suspended.
func querySuspended() (time.Duration, error) {
	var bootTime, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	return max(0, time.Duration(bootTime.Nano()-monotonic.Nano())), nil
}
