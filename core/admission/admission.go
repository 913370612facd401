// Package admission decides which waiting request goes next.
//
// Requests wait in a queue for each organisation. When a group has room, the
// organisation that has had least for its share goes first (start-time fair
// queueing), so a large organisation cannot keep a small one waiting; within an
// organisation the higher priority goes first, then the earlier. Queues are
// bounded, an organisation has at most so many requests in flight, and a
// request that cannot be served in time is told so at once, with when to come
// back.
package admission

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"headcourse/core/declaration"
	"headcourse/core/outcome"
)

// Request is one request that asks to be admitted.
type Request struct {
	Organisation declaration.Organisation
	// Pool is what it waits for: a model or a service.
	Pool     string
	Priority int
	// Daemons is how many daemons share the organisation's limits.
	Daemons int
	// Try chooses a backend server and takes a place there; it returns false
	// while none has room. It is called under the queue's lock.
	Try func() bool
}

// Queue holds the waiting requests. It is safe for concurrent use; the zero
// value is empty.
type Queue struct {
	mutex         sync.Mutex
	organisations map[string]*account
	pools         map[string][]*waiter
	arrivals      uint64
}

// account is what is known of one organisation.
type account struct {
	inFlight int
	waiting  int
	// served is the virtual time: requests started, divided by the share.
	served  float64
	limiter *rate.Limiter
}

// waiter is one waiting request.
type waiter struct {
	request Request
	account *account
	arrival uint64
	granted chan struct{}
	isGone  bool
}

// Admit waits until the request may go, at most until ctx ends. It returns the
// function that gives its place back, or the refusal.
func (q *Queue) Admit(ctx context.Context, request Request) (release func(), refusal *outcome.Failure) {
	waiting, refusal := q.enter(request)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case <-waiting.granted:
		return q.releaser(waiting), nil
	default:
	}
	select {
	case <-waiting.granted:
		return q.releaser(waiting), nil
	case <-ctx.Done():
		return q.leave(waiting)
	}
}

// enter checks the limits and queues the request.
func (q *Queue) enter(request Request) (*waiter, *outcome.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	owner := q.accountOf(request)
	if !owner.limiter.Allow() {
		return nil, outcome.Refuse(outcome.ReasonRateLimit, "admit request")
	}
	if owner.waiting >= share(request.Organisation.MaxQueued, request.Daemons) {
		return nil, outcome.Refuse(outcome.ReasonQueueFull, "admit request")
	}
	q.arrivals++
	waiting := &waiter{
		request: request,
		account: owner,
		arrival: q.arrivals,
		granted: make(chan struct{}),
	}
	if owner.waiting == 0 && owner.inFlight == 0 {
		owner.served = max(owner.served, q.leastServed(owner))
	}
	owner.waiting++
	q.pools[request.Pool] = append(q.pools[request.Pool], waiting)
	q.dispatch(request.Pool)
	return waiting, nil
}

// accountOf returns the organisation's account, with its rate as declared now.
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

// share returns a daemon's part of a fleet-wide limit, rounded up.
func share(limit, daemons int) int {
	daemons = max(1, daemons)
	return (limit + daemons - 1) / daemons
}

// leastServed returns the least virtual time among the other organisations
// that have requests here, so that one that comes back has no credit.
func (q *Queue) leastServed(except *account) float64 {
	least, found := 0.0, false
	for _, other := range q.organisations {
		if other == except || other.waiting+other.inFlight == 0 {
			continue
		}
		if !found || other.served < least {
			least, found = other.served, true
		}
	}
	return least
}

// leave takes a request out of its queue, unless it was granted meanwhile.
func (q *Queue) leave(waiting *waiter) (release func(), refusal *outcome.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	select {
	case <-waiting.granted:
		return q.releaser(waiting), nil
	default:
	}
	waiting.isGone = true
	waiting.account.waiting--
	q.remove(waiting)
	return nil, outcome.Refuse(outcome.ReasonQueueDeadline, "admit request")
}

// remove takes a waiter out of its pool's list. The mutex is held.
func (q *Queue) remove(waiting *waiter) {
	list := q.pools[waiting.request.Pool]
	for i, other := range list {
		if other == waiting {
			q.pools[waiting.request.Pool] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// releaser returns the function that gives a granted place back.
func (q *Queue) releaser(granted *waiter) func() {
	return sync.OnceFunc(func() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		granted.account.inFlight--
		for pool := range q.pools {
			q.dispatch(pool)
		}
	})
}

// Wake tries all queues again, because something else has changed: a group
// came back, or a new report tells of room.
func (q *Queue) Wake() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for pool := range q.pools {
		q.dispatch(pool)
	}
}

// dispatch grants waiting requests of a pool while there is room. The mutex is
// held.
func (q *Queue) dispatch(pool string) {
	for {
		next := q.next(pool)
		if next == nil || !next.request.Try() {
			return
		}
		owner := next.account
		owner.waiting--
		owner.inFlight++
		owner.served += 1 / float64(max(1, next.request.Organisation.Share))
		q.remove(next)
		close(next.granted)
	}
}

// next returns the request of a pool that goes next, or nil.
func (q *Queue) next(pool string) *waiter {
	var best *waiter
	for _, candidate := range q.pools[pool] {
		limit := share(candidate.request.Organisation.MaxInFlight, candidate.request.Daemons)
		if candidate.account.inFlight >= limit {
			continue
		}
		if best == nil || goesBefore(candidate, best) {
			best = candidate
		}
	}
	return best
}

// goesBefore tells whether a goes before b.
func goesBefore(a, b *waiter) bool {
	if a.account != b.account {
		if a.account.served != b.account.served {
			return a.account.served < b.account.served
		}
		return a.arrival < b.arrival
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	return a.arrival < b.arrival
}

// RetryAfter returns when a refused caller should come back, by the reason.
func RetryAfter(reason outcome.Reason) time.Duration {
	switch reason {
	case outcome.ReasonRateLimit, outcome.ReasonLeaving:
		return time.Second
	case outcome.ReasonQueueFull, outcome.ReasonQueueDeadline, outcome.ReasonEngineBusy:
		return 2 * time.Second
	case outcome.ReasonNoGroup, outcome.ReasonNoServer, outcome.ReasonKeyInProgress, outcome.ReasonKeyStoreDown, outcome.ReasonCutOff, outcome.ReasonNotConfigured:
		return 5 * time.Second
	case outcome.ReasonConnect, outcome.ReasonRetryBudget, outcome.ReasonEngineRefused:
		return time.Second
	default:
		return 0
	}
}

// Waiting returns how many requests wait, over all pools.
func (q *Queue) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	total := 0
	for _, list := range q.pools {
		total += len(list)
	}
	return total
}
