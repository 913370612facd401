package retry

import "time"

const (
	// DefaultShare is the default share of the traffic that retries may add.
	DefaultShare = 0.1
	// DefaultBurst is the default number of retries that may be made at once after an idle time.
	DefaultBurst = 20.0
)

// Limits bound retries, either those of one daemon or those of all daemons together.
type Limits struct {
	// Share is the number of retries per request.
	Share float64
	// Burst is the number of retries besides: in any window, or without a window at once after an
	// idle time.
	Burst float64
	// Window is the time in which retries are bounded; 0 means that there is no window.
	Window time.Duration
	// BurstSince is when the burst began to apply; the zero value means always.
	BurstSince time.Time
}

const (
	// storedShare is the fraction of the share that may be stored for a window. The rest is earned
	// at once. A bound on their sum holds even if the traffic moves between daemons: the requests of
	// a window pay for the rest, those of the window before for what was stored at its start.
	storedShare = 0.5
	// storedBurst is the fraction of the burst that may be stored. The rest is earned evenly over
	// the window.
	storedBurst = 0.5
	// minBurst is the smallest burst that is of use: one retry stored, and one earned in a window.
	minBurst = 2
)

// storableBurst returns how many retries of the burst may be stored. At least one may be, if the
// burst allows it, since retries are whole.
func (l Limits) storableBurst() float64 {
	if l.Window == 0 {
		return l.Burst
	}
	return max(min(l.Burst, 1), storedBurst*l.Burst)
}

// earnedPerRequest returns the number of retries that a request earns.
func (l Limits) earnedPerRequest() float64 {
	if l.Window == 0 {
		return l.Share
	}
	return (1 - storedShare) * l.Share
}

// earnedBetween returns the number of retries of the burst that are earned between two times.
func (l Limits) earnedBetween(from, to time.Time) float64 {
	if l.Window == 0 {
		return 0
	}
	if from.Before(l.BurstSince) {
		from = l.BurstSince
	}
	elapsed := max(0, to.Sub(from))
	return (l.Burst - l.storableBurst()) * elapsed.Seconds() / l.Window.Seconds()
}

// capacity returns the number of retries that may be stored after a number of requests in the last
// window.
func (l Limits) capacity(recentRequests float64) float64 {
	if l.Window == 0 {
		return l.Burst
	}
	return l.storableBurst() + storedShare*l.Share*recentRequests
}
