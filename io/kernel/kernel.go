// Package kernel asks the kernel for what the runtime does not tell.
package kernel

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Figures of a Sleep.
const (
	// drift is how far the time of day may move against the steady clock before the
	// kernel is asked: clocks are corrected by less than 1 ms in a second.
	drift = 5 * time.Millisecond
	// askEvery is when it is asked in any case: a clock that is set back by just as much
	// as the machine slept shows no drift.
	askEvery = time.Second
)

// Sleep measures for how long the machine has been suspended. The kernel is asked when the
// time of day has moved against the steady clock, which it does in each sleep, so a question
// costs two readings of clocks that need no call of the kernel. The zero value works and is
// safe for concurrent use.
type Sleep struct {
	mutex     sync.Mutex
	asked     time.Time
	suspended time.Duration
}

// Suspended returns for how long the machine has been suspended since it was started.
func (s *Sleep) Suspended() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	steady := now.Sub(s.asked)
	// Without its steady reading, the same time is the time of day.
	day := now.Round(0).Sub(s.asked.Round(0))
	if !s.asked.IsZero() && steady < askEvery && (day-steady).Abs() < drift {
		return s.suspended
	}
	s.asked = now
	if suspended, err := ask(); err == nil {
		// Each answer is a little too small; the largest is nearest.
		s.suspended = max(s.suspended, suspended)
	}
	return s.suspended
}

// ask returns by how much the clock that counts suspended time is at least ahead of the
// steady one, as clock_gettime(2) tells. The process may lose its turn between two readings,
// for tens of milliseconds on a small VM, so the steady clock is read last: time that went by
// in between must not count as sleep.
func ask() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	return max(0, time.Duration(boot.Nano()-steady.Nano())), nil
}
