// Package retry bounds the retries that a daemon adds to the load.
//
// A budget earns a share of a token with every first try and pays a whole one
// for every retry. So when a backend server is slow for everyone, retries stay
// a fixed share of the traffic and cannot drown it; a count for each request
// would multiply the load just when it hurts.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of a budget.
const (
	// Share is the part of the traffic that retries may add.
	Share = 0.1
	// Burst is how many retries may come at once after quiet times.
	Burst = 20.0
)

// burstPart is the part of a burst for all daemons that is divided: when all restart within a
// window, each begins with a whole part again.
const burstPart = 0.45

// BurstPart returns one daemon's part of the burst that so many may make together. One below 1
// is rounded at random (Budgets): were each daemon allowed one at least, hundreds of daemons
// would retry more often than all may; were none allowed any, a service that each of them is
// rarely asked for would never be retried.
func BurstPart(burst float64, daemons int) float64 {
	return burstPart * burst / float64(max(1, daemons))
}

// Budget is a retry budget, safe for concurrent use. The zero value starts
// with Burst retries and earns Share of a token a request.
//
// With a window, what was earned and spent is forgotten after the window: in any
// window at most share of the window's requests plus burst is spent. Without
// one, what was earned is kept, but never more than burst.
type Budget struct {
	mutex sync.Mutex
	// share, burst and window are the figures of SetFigures; 0 stands for the
	// defaults, and for no window.
	share  float64
	burst  float64
	window time.Duration
	// rounding is added to what the budget holds, of which whole retries are spent.
	rounding float64
	// spent is how far below burst the budget is, where there is no window.
	spent  float64
	slices [windowSlices]slice
}

// windowSlices is how many slices a window is counted in. One more is kept, so
// that a whole window is covered at any moment.
const windowSlices = 21

// slice counts requests and retries during a part of the window.
type slice struct {
	number   int64
	requests float64
	retries  float64
}

// SetFigures gives the budget a share of the traffic, a burst and a window of
// its own, such as a daemon's part of what all daemons may send again together.
func (b *Budget) SetFigures(share, burst float64, window time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.share = share
	b.burst = burst
	b.window = window
}

// figures returns the share and the burst in force. The mutex is held.
func (b *Budget) figures() (share, burst float64) {
	if b.share == 0 && b.burst == 0 {
		return Share, Burst
	}
	return b.share, b.burst
}

// now returns the slice that counts now. The mutex is held.
func (b *Budget) now() *slice {
	number := time.Now().UnixNano() / int64(b.window/(windowSlices-1))
	current := &b.slices[number%windowSlices]
	if current.number != number {
		*current = slice{
			number: number,
		}
	}
	return current
}

// sums returns the requests and retries of the last window. The mutex is held.
func (b *Budget) sums() (requests, retries float64) {
	newest := b.now().number
	for _, one := range b.slices {
		if newest-one.number >= windowSlices {
			continue
		}
		retries += one.retries
		if newest-one.number < windowSlices-1 {
			requests += one.requests
		}
	}
	return requests, retries
}

// Earn notes a first try.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.window > 0 {
		b.now().requests++
		return
	}
	share, _ := b.figures()
	b.spent = max(0, b.spent-share)
}

// Spend tells whether one retry may be made, and pays for it.
func (b *Budget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	share, burst := b.figures()
	if b.window > 0 {
		requests, retries := b.sums()
		if retries+1 > share*requests+burst+b.rounding {
			return false
		}
		b.now().retries++
		return true
	}
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}

// Budgets are budgets by name, such as one for each service, with the same
// figures. It is safe for concurrent use; the zero value has the figures of a
// zero Budget.
//
// What a budget holds is rounded at random, by a draw of its own that it keeps: up with the
// chance of its fraction. So the mean over many daemons is the sum of their parts, and the
// sum differs from it by the square root of their number at most, where each part rounded
// down would leave nothing of the sum.
type Budgets struct {
	mutex  sync.Mutex
	named  map[string]*Budget
	share  float64
	burst  float64
	window time.Duration
}

// SetFigures gives all budgets their figures, those to come as well.
func (b *Budgets) SetFigures(share, burst float64, window time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.share, b.burst, b.window = share, burst, window
	for _, one := range b.named {
		one.SetFigures(share, burst, window)
	}
}

// Of returns the budget of a name.
func (b *Budgets) Of(name string) *Budget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one, ok := b.named[name]
	if ok {
		return one
	}
	one = &Budget{
		rounding: rand.Float64(),
	}
	one.SetFigures(b.share, b.burst, b.window)
	if b.named == nil {
		b.named = map[string]*Budget{}
	}
	b.named[name] = one
	return one
}
