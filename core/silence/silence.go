// Package silence measures how long a server has sent nothing of an answer that a daemon awaits.
//
// Only time in which the daemon could have received something counts. A daemon that stood still itself, or
// whose client does not read the answer, would otherwise take its own delay for a silence of the server. Bytes that
// show no progress, such as comments, do not end a silence.
package silence

import "time"

// minLateness is the lateness of a timer from which on the daemon counts as having stood still. A timer of a VM
// that is merely busy is less late.
const minLateness = 20 * time.Millisecond

// Watch is one exchange that is watched by a timer. It is immutable. The zero value awaits nothing.
type Watch struct {
	isAwaiting bool
	// since is when the silence began, moved on by the time that does not count.
	since time.Time
	// former is the silence until the daemon ceased to await the server's bytes.
	former time.Duration
	// dueAt is when the timer should run next.
	dueAt time.Time
}

// WithAwaiting returns the watch once the daemon begins to await the server's bytes.
func (w Watch) WithAwaiting() Watch {
	if w.isAwaiting {
		return w
	}
	w.isAwaiting = true
	w.since = time.Now().Add(-w.former)
	return w
}

// WithoutAwaiting returns the watch once the daemon has stopped reading, as it does while its client is slow.
func (w Watch) WithoutAwaiting() Watch {
	w.former = w.Duration()
	w.isAwaiting = false
	return w
}

// WithProgress returns the watch after the server has sent an event.
func (w Watch) WithProgress() Watch {
	w.since = time.Now()
	w.former = 0
	return w
}

// WithTimer returns the watch with a timer that runs after a duration.
func (w Watch) WithTimer(after time.Duration) Watch {
	w.dueAt = time.Now().Add(after)
	return w
}

// WithTimerRun returns the watch once its timer runs. The time by which it is late does not count as silence: the
// daemon did not run, and what has arrived meanwhile may not have been read.
func (w Watch) WithTimerRun() Watch {
	late := w.Lateness()
	if late < minLateness {
		return w
	}
	w.since = w.since.Add(late)
	if now := time.Now(); w.since.After(now) {
		w.since = now
	}
	return w
}

// Lateness returns by how much the timer is late; 0 if it is not due.
func (w Watch) Lateness() time.Duration {
	return max(0, time.Since(w.dueAt))
}

// Duration returns how long the server has been silent; 0 if nothing is awaited.
func (w Watch) Duration() time.Duration {
	if !w.isAwaiting {
		return 0
	}
	return time.Since(w.since)
}

// IsAwaiting reports whether the server's bytes are awaited.
func (w Watch) IsAwaiting() bool {
	return w.isAwaiting
}

// Since returns when the silence began.
func (w Watch) Since() time.Time {
	return w.since
}
