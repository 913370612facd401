// Package admission decides which waiting request is served next.
//
// Each organisation has a queue. When a group has capacity, the organisation with the least
// service relative to its share goes first (start-time fair queueing), so a large organisation
// cannot starve a small one. Within an organisation, the higher priority goes first, then the
// earlier request. The request rate, the queue and the requests in flight are limited for each
// organisation. A request beyond the rate or the queue limit is rejected at once; one beyond the
// limit of requests in flight waits, and is rejected when its context ends. RetryAfter returns the
// time after which to retry.
package admission

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"headcourse/core/declaration"
	"headcourse/core/outcome"
)

// Request is a request to be admitted.
type Request struct {
	Organisation declaration.Organisation
	// Pool is the model or service that the request needs.
	Pool     string
	Priority int
	// Daemons is the number of daemons that share the organisation's limits.
	Daemons int
	// TryPlace chooses a backend server and takes a place there. It returns false if no server has
	// capacity. It is called with the queue's mutex held.
	TryPlace func() bool
}

// Queue holds the waiting requests. The zero value is empty. It is safe for concurrent use.
type Queue struct {
	mutex         sync.Mutex
	organisations map[string]*account
	pools         map[string][]*waiter
	arrivals      uint64
}

// account is the state of one organisation.
type account struct {
	inFlight int
	queued   int
	// virtualTime increases by 1 divided by the organisation's share with each started request.
	// When an idle organisation becomes active, it is raised to minVirtualTime.
	virtualTime float64
	limiter     *rate.Limiter
}

// waiter is one waiting request.
type waiter struct {
	request Request
	account *account
	arrival uint64
	granted chan struct{}
	hasLeft bool
}

// Admit waits until the request may start, or until ctx ends. It returns the function that
// releases the request's place, or the rejection.
func (q *Queue) Admit(ctx context.Context, request Request) (release func(), rejection *outcome.Failure) {
	w, rejection := q.enqueue(request)
	if rejection != nil {
		return nil, rejection
	}
	select {
	case <-w.granted:
		return q.releaseFunc(w), nil
	default:
	}
	select {
	case <-w.granted:
		return q.releaseFunc(w), nil
	case <-ctx.Done():
		return q.withdraw(w)
	}
}

// enqueue checks the limits and queues the request.
func (q *Queue) enqueue(request Request) (*waiter, *outcome.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	owner := q.accountOf(request)
	if !owner.limiter.Allow() {
		return nil, outcome.NotRunFailure(outcome.ReasonRateLimit, "admit request")
	}
	if owner.queued >= perDaemonLimit(request.Organisation.MaxQueued, request.Daemons) {
		return nil, outcome.NotRunFailure(outcome.ReasonQueueFull, "admit request")
	}
	q.arrivals++
	w := &waiter{
		request: request,
		account: owner,
		arrival: q.arrivals,
		granted: make(chan struct{}),
	}
	if owner.queued == 0 && owner.inFlight == 0 {
		owner.virtualTime = max(owner.virtualTime, q.minVirtualTime(owner))
	}
	owner.queued++
	q.pools[request.Pool] = append(q.pools[request.Pool], w)
	q.dispatch(request.Pool)
	return w, nil
}

// accountOf returns the organisation's account and updates its rate to this daemon's part of the
// declared one. The mutex must be held.
func (q *Queue) accountOf(request Request) *account {
	if q.organisations == nil {
		q.organisations = map[string]*account{}
		q.pools = map[string][]*waiter{}
	}
	organisation := request.Organisation
	limit := rate.Limit(organisation.RequestsPerSecond / float64(max(1, request.Daemons)))
	burst := max(1, int(2*float64(limit)+0.5))
	owner, ok := q.organisations[organisation.Name]
	if !ok {
		owner = &account{
			limiter: rate.NewLimiter(limit, burst),
		}
		q.organisations[organisation.Name] = owner
	}
	if owner.limiter.Limit() != limit {
		owner.limiter.SetLimit(limit)
		owner.limiter.SetBurst(burst)
	}
	return owner
}

// perDaemonLimit returns one daemon's part of a limit for all daemons, rounded up.
func perDaemonLimit(limit, daemons int) int {
	daemons = max(1, daemons)
	return (limit + daemons - 1) / daemons
}

// minVirtualTime returns the lowest virtual time of the other organisations with requests here.
// An organisation that was idle continues from it, so it gains no credit.
func (q *Queue) minVirtualTime(except *account) float64 {
	minimum, found := 0.0, false
	for _, other := range q.organisations {
		if other == except || other.queued+other.inFlight == 0 {
			continue
		}
		if !found || other.virtualTime < minimum {
			minimum, found = other.virtualTime, true
		}
	}
	return minimum
}

// withdraw removes a request from its queue, unless it was granted in the meantime.
func (q *Queue) withdraw(w *waiter) (release func(), rejection *outcome.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	select {
	case <-w.granted:
		return q.releaseFunc(w), nil
	default:
	}
	w.hasLeft = true
	w.account.queued--
	q.remove(w)
	return nil, outcome.NotRunFailure(outcome.ReasonQueueDeadline, "admit request")
}

// remove removes a waiter from its pool. The mutex must be held.
func (q *Queue) remove(w *waiter) {
	waiters := q.pools[w.request.Pool]
	for i, other := range waiters {
		if other == w {
			q.pools[w.request.Pool] = append(waiters[:i], waiters[i+1:]...)
			return
		}
	}
}

// releaseFunc returns the function that releases a granted place.
func (q *Queue) releaseFunc(w *waiter) func() {
	return sync.OnceFunc(func() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		w.account.inFlight--
		for pool := range q.pools {
			q.dispatch(pool)
		}
	})
}

// DispatchAll dispatches all queues again after an external change: a group serves again, or a
// new report shows capacity.
func (q *Queue) DispatchAll() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for pool := range q.pools {
		q.dispatch(pool)
	}
}

// dispatch grants waiting requests of a pool while there is capacity. The mutex must be held.
func (q *Queue) dispatch(pool string) {
	for {
		next := q.next(pool)
		if next == nil || !next.request.TryPlace() {
			return
		}
		owner := next.account
		owner.queued--
		owner.inFlight++
		owner.virtualTime += 1 / float64(max(1, next.request.Organisation.Share))
		q.remove(next)
		close(next.granted)
	}
}

// next returns the next request of a pool, or nil. The mutex must be held.
func (q *Queue) next(pool string) *waiter {
	var best *waiter
	for _, candidate := range q.pools[pool] {
		limit := perDaemonLimit(candidate.request.Organisation.MaxInFlight, candidate.request.Daemons)
		if candidate.account.inFlight >= limit {
			continue
		}
		if best == nil || precedes(candidate, best) {
			best = candidate
		}
	}
	return best
}

// precedes reports whether a is served before b.
func precedes(a, b *waiter) bool {
	if a.account != b.account {
		if a.account.virtualTime != b.account.virtualTime {
			return a.account.virtualTime < b.account.virtualTime
		}
		return a.arrival < b.arrival
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	return a.arrival < b.arrival
}

// RetryAfter returns the time after which a rejected client should retry, by the reason of the
// rejection.
func RetryAfter(reason outcome.Reason) time.Duration {
	switch reason {
	case outcome.ReasonRateLimit, outcome.ReasonDaemonLeaving:
		return time.Second
	case outcome.ReasonQueueFull, outcome.ReasonQueueDeadline, outcome.ReasonEngineBusy:
		return 2 * time.Second
	case outcome.ReasonNoGroup, outcome.ReasonNoServer, outcome.ReasonKeyInProgress, outcome.ReasonIdempotencyStoreUnavailable, outcome.ReasonDaemonCutOff, outcome.ReasonDaemonNotConfigured:
		return 5 * time.Second
	case outcome.ReasonBackendConnectFailed, outcome.ReasonRetryBudget, outcome.ReasonEngineRefused:
		return time.Second
	default:
		return 0
	}
}

// Waiting returns the number of waiting requests in all pools.
func (q *Queue) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	total := 0
	for _, waiters := range q.pools {
		total += len(waiters)
	}
	return total
}
