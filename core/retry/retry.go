// Package retry bounds the retries that a daemon adds to the load.
//
// A budget earns a share of a token with every first try and pays a whole one
// for every retry. So when a backend server is slow for everyone, retries stay
// a fixed share of the traffic and cannot drown it; a count for each request
// would multiply the load just when it hurts.
package retry

import "sync"

// Figures of a budget.
const (
	// Share is the part of the traffic that retries may add.
	Share = 0.1
	// Burst is how many retries may come at once after quiet times.
	Burst = 20.0
)

// Budget is a retry budget, safe for concurrent use. The zero value starts
// with Burst retries and earns Share of a token a request.
type Budget struct {
	mutex sync.Mutex
	// share and burst are the figures of SetFigures; 0 stands for the defaults.
	share float64
	burst float64
	// spent is how far below burst the budget is.
	spent float64
}

// SetFigures gives the budget a share of the traffic and a burst of its own,
// such as a daemon's part of what all daemons may send again together.
func (b *Budget) SetFigures(share, burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.share = share
	b.burst = burst
}

// figures returns the share and the burst in force. The mutex is held.
func (b *Budget) figures() (share, burst float64) {
	if b.share == 0 && b.burst == 0 {
		return Share, Burst
	}
	return b.share, b.burst
}

// Earn notes a first try.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	share, _ := b.figures()
	b.spent = max(0, b.spent-share)
}

// Spend tells whether one retry may be made, and pays for it.
func (b *Budget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, burst := b.figures()
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
