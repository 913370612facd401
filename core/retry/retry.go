// Package retry bounds the load that a daemon's retries add.
//
// Each first attempt earns a fraction of a token, and each retry costs a whole one. When a
// backend server is slow for all requests, retries thus stay a fixed share of the traffic. A
// limit for each request would multiply the load just when the server is overloaded.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultShare is the default share of the traffic that retries may add.
	DefaultShare = 0.1
	// DefaultBurst is the default number of retries that may be made at once after an idle time.
	DefaultBurst = 20.0
)

// burstFraction is the fraction of the total burst that is divided among daemons. If all
// daemons restart within a window, each one starts with its whole burst again, so the fraction
// is below one half.
const burstFraction = 0.45

// BurstPerDaemon returns one daemon's burst out of a total burst for all daemons. Budgets rounds a
// burst below 1 at random. If each daemon had at least one retry, hundreds of daemons would
// exceed the total; if each had none, a service with few requests at each daemon would never be
// retried.
func BurstPerDaemon(burst float64, daemons int) float64 {
	return burstFraction * burst / float64(max(1, daemons))
}

// Budget is a retry budget. The zero value starts with DefaultBurst retries and earns DefaultShare
// of a token for each request. It is safe for concurrent use.
//
// With a window, requests and retries expire after the window: in any window, retries are at
// most share times the requests plus burst. Without a window, unused tokens are kept up to
// burst.
type Budget struct {
	mutex sync.Mutex
	// share, burst and window are the arguments of SetLimits. The defaults apply if share and burst
	// are both 0. With a window of 0 there is no window.
	share  float64
	burst  float64
	window time.Duration
	// rounding is added to the balance before it is rounded down to whole retries.
	rounding float64
	// spent is the number of tokens below burst; it is used without a window only.
	spent  float64
	slices [sliceCount]windowSlice
	// requestCount, retryCount and rejectedCount are the totals in State.
	requestCount  int64
	retryCount    int64
	rejectedCount int64
}

// State is a snapshot of a budget.
type State struct {
	// Requests, Retries and Rejected are the numbers of first attempts, of allowed retries and of
	// rejected retries since the budget was created.
	Requests int64
	Retries  int64
	Rejected int64
	// Available is the balance, in retries.
	Available float64
	// Burst is the current burst, in retries.
	Burst float64
}

// sliceCount is the number of slices of a window, plus one so that the slices cover a whole
// window at any moment.
const sliceCount = 21

// windowSlice counts requests and retries in one slice of the window.
type windowSlice struct {
	number   int64
	requests float64
	retries  float64
}

// SetLimits sets the share of the traffic, the burst and the window, for instance to one
// daemon's part of the limits for all daemons.
func (b *Budget) SetLimits(share, burst float64, window time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.share = share
	b.burst = burst
	b.window = window
}

// limits returns the effective share and burst. The mutex must be held.
func (b *Budget) limits() (share, burst float64) {
	if b.share == 0 && b.burst == 0 {
		return DefaultShare, DefaultBurst
	}
	return b.share, b.burst
}

// currentSlice returns the slice for the current time. The mutex must be held.
func (b *Budget) currentSlice() *windowSlice {
	number := time.Now().UnixNano() / int64(b.window/(sliceCount-1))
	current := &b.slices[number%sliceCount]
	if current.number != number {
		*current = windowSlice{
			number: number,
		}
	}
	return current
}

// windowTotals returns the requests and retries of the last window. The mutex must be held.
func (b *Budget) windowTotals() (requests, retries float64) {
	newest := b.currentSlice().number
	for _, s := range b.slices {
		if newest-s.number >= sliceCount {
			continue
		}
		retries += s.retries
		if newest-s.number < sliceCount-1 {
			requests += s.requests
		}
	}
	return requests, retries
}

// RecordRequest records a first attempt.
func (b *Budget) RecordRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requestCount++
	if b.window > 0 {
		b.currentSlice().requests++
		return
	}
	share, _ := b.limits()
	b.spent = max(0, b.spent-share)
}

// balance returns the number of retries that may be made now, with its fraction. The mutex must be
// held.
func (b *Budget) balance() float64 {
	share, burst := b.limits()
	if b.window > 0 {
		requests, retries := b.windowTotals()
		return share*requests + burst + b.rounding - retries
	}
	return burst - b.spent
}

// TrySpend reports whether a retry may be made, and takes its token if so.
func (b *Budget) TrySpend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.balance() < 1 {
		b.rejectedCount++
		return false
	}
	b.retryCount++
	if b.window > 0 {
		b.currentSlice().retries++
		return true
	}
	b.spent++
	return true
}

// State returns a snapshot of the budget.
func (b *Budget) State() State {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, burst := b.limits()
	return State{
		Requests:  b.requestCount,
		Retries:   b.retryCount,
		Rejected:  b.rejectedCount,
		Available: b.balance(),
		Burst:     burst,
	}
}

// Budgets holds budgets by name, for instance one for each service, with the same limits. The
// zero value has the defaults of Budget. It is safe for concurrent use.
//
// Each budget rounds its balance at random, by an offset that is drawn once: up with a probability
// equal to its fraction. So many daemons together have on average the sum of their parts, with a
// deviation of at most the square root of the number of daemons. Rounding each part down would
// leave nothing of the sum.
type Budgets struct {
	mutex  sync.Mutex
	byName map[string]*Budget
	share  float64
	burst  float64
	window time.Duration
}

// SetLimits sets the limits of all current and future budgets.
func (b *Budgets) SetLimits(share, burst float64, window time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.share, b.burst, b.window = share, burst, window
	for _, budget := range b.byName {
		budget.SetLimits(share, burst, window)
	}
}

// ForName returns the budget with the given name.
func (b *Budgets) ForName(name string) *Budget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	budget, ok := b.byName[name]
	if ok {
		return budget
	}
	budget = &Budget{
		rounding: rand.Float64(),
	}
	budget.SetLimits(b.share, b.burst, b.window)
	if b.byName == nil {
		b.byName = map[string]*Budget{}
	}
	b.byName[name] = budget
	return budget
}
