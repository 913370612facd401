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
// with Burst retries.
type Budget struct {
	mutex sync.Mutex
	// spent is how far below Burst the budget is.
	spent float64
}

// Earn notes a first try.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.spent = max(0, b.spent-Share)
}

// Spend tells whether one retry may be made, and pays for it.
func (b *Budget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.spent+1 > Burst {
		return false
	}
	b.spent++
	return true
}
