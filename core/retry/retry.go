// Package retry bounds the load that a daemon's retries add.
//
// Each first attempt earns a fraction of a retry, and each retry costs a whole one. When a
// backend server is slow for all requests, retries thus stay a fixed share of the traffic. A
// limit for each request would multiply the load just when the server is overloaded.
//
// All daemons together must stay within the limits in any window, although daemons crash, start
// again and forget what they have spent. So a budget starts empty. What it spends in a window was
// earned in the window by the same start of the daemon, or stored at its beginning, and what all
// daemons may have stored at a time is bounded.
package retry

import (
	"sync"
	"time"

	"headcourse/core/boottime"
)

// Budget is a retry budget. The zero value has no window: it starts with DefaultBurst retries and
// earns DefaultShare of a retry for each request. It is safe for concurrent use.
type Budget struct {
	// Limits returns the current limits; nil means the defaults. It is called for each decision,
	// so that limits that no longer apply are not used.
	Limits func() Limits
	// Clock dates requests and retries; it continues while the VM is suspended.
	Clock boottime.Clock

	mutex sync.Mutex
	// balance is the number of retries that may be made, as of updatedAt.
	balance   float64
	updatedAt time.Time
	isUsed    bool
	recent    recentRequests
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

// update returns the current limits and time, and adds to the balance what was earned since the
// last call. The mutex must be held.
func (b *Budget) update() (Limits, time.Time) {
	limits := Limits{
		Share: DefaultShare,
		Burst: DefaultBurst,
	}
	if b.Limits != nil {
		limits = b.Limits()
	}
	now := b.Clock.Now()
	if !b.isUsed && limits.Window == 0 {
		b.balance = limits.Burst
	}
	if !b.updatedAt.IsZero() {
		b.balance += limits.earnedBetween(b.updatedAt, now)
	}
	b.isUsed = true
	b.updatedAt = now
	b.limitBalance(limits, now)
	return limits, now
}

// limitBalance removes what exceeds the capacity. The mutex must be held.
func (b *Budget) limitBalance(limits Limits, now time.Time) {
	recent := 0.0
	if limits.Window > 0 {
		recent = b.recent.total(now, limits.Window)
	}
	b.balance = min(b.balance, limits.capacity(recent))
}

// RecordRequest records a first attempt.
func (b *Budget) RecordRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limits, now := b.update()
	b.requestCount++
	if limits.Window > 0 {
		b.recent.add(now, limits.Window)
	}
	b.balance += limits.earnedPerRequest()
	b.limitBalance(limits, now)
}

// TrySpend reports whether a retry may be made, and takes it from the balance if so.
func (b *Budget) TrySpend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.update()
	if b.balance < 1 {
		b.rejectedCount++
		return false
	}
	b.balance--
	b.retryCount++
	return true
}

// State returns a snapshot of the budget.
func (b *Budget) State() State {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limits, _ := b.update()
	return State{
		Requests:  b.requestCount,
		Retries:   b.retryCount,
		Rejected:  b.rejectedCount,
		Available: b.balance,
		Burst:     limits.Burst,
	}
}

// Budgets holds budgets by name, for instance one for each service, with the same limits. The
// zero value has the defaults of Budget. It is safe for concurrent use.
type Budgets struct {
	// Limits and Clock are those of each Budget.
	Limits func() Limits
	Clock  boottime.Clock
	// StartedAt, if set, is when the daemon started. A budget earns its burst from then on.
	StartedAt time.Time

	mutex  sync.Mutex
	byName map[string]*Budget
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
		Limits:    b.Limits,
		Clock:     b.Clock,
		updatedAt: b.StartedAt,
	}
	if b.byName == nil {
		b.byName = map[string]*Budget{}
	}
	b.byName[name] = budget
	return budget
}
