// Package deferral holds requests without priority in their daemon while their kind is overloaded,
// so that engines keep room for requests that can be in time. A deferred request was not sent, so
// a refusal can state that it has not run.
//
// Each kind has a token bucket with a burst of 1, filled at this daemon's part of the fleet's rate.
// A token releases the waiting request that is first in this order: priority, requests that can
// still be in time, the organisation that has used least of its share, age. A request is released
// without a token when it has waited for its MaxWait.
package deferral

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// defaultMaxRequests and defaultMaxBytes bound what a daemon holds if SetCapacity sets no other
	// bounds.
	defaultMaxRequests = 512
	defaultMaxBytes    = 8 << 20
	// memoryDivisor bounds the held bytes to 1/memoryDivisor of a VM's memory.
	memoryDivisor = 16
)

// Result is the outcome of Acquire.
type Result int

const (
	// Admitted means that the request may be sent.
	Admitted Result = iota
	// Refused means that the request was refused on arrival and has not waited.
	Refused
	// Withdrawn means that the request's context ended first.
	Withdrawn
)

// String returns the result as it appears in logs.
func (r Result) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case Refused:
		return "refused"
	default:
		return "withdrawn"
	}
}

// Ticket describes a request to be deferred.
type Ticket struct {
	// Priority is the operator's; 0 is the most urgent.
	Priority int
	// Deadline is when the answer has to begin to be in time; a request without a deadline always
	// is. Of two requests, the one with the earlier deadline has waited longer, over all attempts of
	// its client.
	Deadline time.Time
	// Organisation and Share are for fairness within a level: organisations are released in
	// proportion to their shares. A share that is not positive and finite counts as 1.
	Organisation string
	Share        float64
	// Bytes is the size of the request in memory.
	Bytes int
	// MaxWait is the longest time that the request waits.
	MaxWait time.Duration
	// MayRefuse makes Acquire refuse the request on arrival if, at the current rate, it would wait
	// beyond MaxWait. Otherwise it is queued and released after MaxWait at the latest.
	MayRefuse bool
}

// Limits bounds what a Queue holds, over all kinds. A limit of 0 stands for the default: 512
// requests, 8 MiB.
type Limits struct {
	Requests int
	Bytes    int
}

// LimitsForMemory returns the limits for a VM with the given bytes of memory: the defaults, but at
// most a sixteenth of the memory. For unknown memory (0) it returns the defaults.
func LimitsForMemory(memory int) Limits {
	limits := Limits{
		Requests: defaultMaxRequests,
		Bytes:    defaultMaxBytes,
	}
	if memory > 0 {
		limits.Bytes = max(1, min(limits.Bytes, memory/memoryDivisor))
	}
	return limits
}

// Queue holds the deferred requests of a daemon. The zero value is ready to use and defers nothing:
// a kind is limited from the first SetRate on. It is safe for concurrent use.
type Queue struct {
	mutex  sync.Mutex
	limits Limits
	// kinds holds the kinds with a finite rate.
	kinds    map[string]*kindQueue
	requests int
	bytes    int
}

// Acquire waits until a request of a kind may be sent. It returns Refused at once if the queue is
// full or, for tickets with MayRefuse, if the request would wait beyond MaxWait, and Withdrawn if
// ctx ends. A request that waits is never refused later: it is released after MaxWait at the
// latest.
func (q *Queue) Acquire(ctx context.Context, kind string, ticket Ticket) Result {
	if ctx.Err() != nil {
		return Withdrawn
	}
	w, result := q.enqueue(kind, ticket)
	if w == nil {
		return result
	}
	select {
	case <-w.released:
		return Admitted
	case <-ctx.Done():
		return q.withdraw(kind, w)
	}
}

// SetRate sets this daemon's part of the rate of a kind, in requests per second. A rate of 0, or one
// that is negative or not a number, releases requests only when they have waited for their MaxWait.
// +Inf removes the limit and releases all waiting requests; such a kind uses no memory.
func (q *Queue) SetRate(kind string, perSecond float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	k, isLimited := q.kinds[kind]
	if math.IsInf(perSecond, 1) {
		if isLimited {
			q.removeLimit(kind, k)
		}
		return
	}
	if !isLimited {
		if q.kinds == nil {
			q.kinds = map[string]*kindQueue{}
		}
		k = &kindQueue{}
		q.kinds[kind] = k
	}
	now := time.Now()
	k.bucket.setRate(now, perSecond)
	q.releaseDue(kind, k, now)
}

// Retain removes the limits of all kinds but the given ones, and releases the requests of these kinds.
// Callers use it for kinds that no longer exist, for which SetRate is not called again.
func (q *Queue) Retain(kinds map[string]bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for kind, k := range q.kinds {
		if !kinds[kind] {
			q.removeLimit(kind, k)
		}
	}
}

// SetCapacity sets the limits of what the queue holds. Requests that wait already are kept.
func (q *Queue) SetCapacity(limits Limits) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limits = limits
}

// Waiting returns the number of waiting requests of all kinds, and their size in bytes.
func (q *Queue) Waiting() (requests, bytes int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.requests, q.bytes
}

// WaitingOf returns the number of waiting requests of a kind.
func (q *Queue) WaitingOf(kind string) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if k, isLimited := q.kinds[kind]; isLimited {
		return len(k.waiting)
	}
	return 0
}

// enqueue queues a request and returns its waiter. If the request need not wait or may not, the
// waiter is nil and the result is valid.
func (q *Queue) enqueue(kind string, ticket Ticket) (*waiter, Result) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	k, isLimited := q.kinds[kind]
	if !isLimited {
		return nil, Admitted
	}
	now := time.Now()
	// Requests whose release is due precede this one, even if the timer is late.
	q.releaseDue(kind, k, now)
	if len(k.waiting) == 0 && k.bucket.isReady(now) {
		k.bucket.takeIdle(now)
		return nil, Admitted
	}
	ticket.Bytes = max(0, ticket.Bytes)
	w := k.newWaiter(ticket, now)
	switch {
	case ticket.MayRefuse && k.expectedWait(w, now) > ticket.MaxWait:
		return nil, Refused
	case ticket.MaxWait <= 0:
		q.recordLeft(k.releaseBefore(w.level(now), now))
		q.setTimer(kind, k, now)
		return nil, Admitted
	case q.isFull(ticket.Bytes):
		return nil, Refused
	}
	k.add(w)
	q.requests++
	q.bytes += ticket.Bytes
	q.setTimer(kind, k, now)
	return w, Admitted
}

// removeLimit removes the limit of a kind and releases its requests. The mutex must be held.
func (q *Queue) removeLimit(kind string, k *kindQueue) {
	q.recordLeft(k.releaseAll(time.Now()))
	k.stopTimer()
	delete(q.kinds, kind)
	if len(q.kinds) == 0 {
		// A map keeps its memory when entries are deleted.
		q.kinds = nil
	}
}

// isFull reports whether a request of a size exceeds the limits. The mutex must be held.
func (q *Queue) isFull(bytes int) bool {
	maxRequests, maxBytes := q.limits.Requests, q.limits.Bytes
	if maxRequests == 0 {
		maxRequests = defaultMaxRequests
	}
	if maxBytes == 0 {
		maxBytes = defaultMaxBytes
	}
	return q.requests >= maxRequests || bytes > maxBytes-q.bytes
}

// withdraw removes a request whose context has ended, unless it was released in the meantime.
func (q *Queue) withdraw(kind string, w *waiter) Result {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	select {
	case <-w.released:
		return Admitted
	default:
	}
	// A waiter that has not been released is in its kind's queue: the entry of a kind is deleted
	// only after all its waiters were released.
	k := q.kinds[kind]
	k.remove(w)
	q.recordLeft([]*waiter{w})
	q.setTimer(kind, k, time.Now())
	return Withdrawn
}

// onTimer releases the requests of a kind that are due.
func (q *Queue) onTimer(kind string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if k, isLimited := q.kinds[kind]; isLimited {
		q.releaseDue(kind, k, time.Now())
	}
}

// releaseDue releases the requests of a kind that are due, and sets its timer for the next ones.
// The mutex must be held.
func (q *Queue) releaseDue(kind string, k *kindQueue, now time.Time) {
	q.recordLeft(k.releaseDue(now))
	q.setTimer(kind, k, now)
}

// recordLeft subtracts requests that no longer wait from the totals. The mutex must be held.
func (q *Queue) recordLeft(waiters []*waiter) {
	for _, w := range waiters {
		q.requests--
		q.bytes -= w.ticket.Bytes
	}
}

// setTimer sets the timer of a kind to its next release, or stops it if nothing waits. The mutex
// must be held.
func (q *Queue) setTimer(kind string, k *kindQueue, now time.Time) {
	if len(k.waiting) == 0 {
		k.stopTimer()
		return
	}
	at := k.nextReleaseAt()
	if k.timer != nil && at.Equal(k.timerAt) {
		return
	}
	k.timerAt = at
	if k.timer == nil {
		k.timer = time.AfterFunc(at.Sub(now), func() {
			q.onTimer(kind)
		})
		return
	}
	k.timer.Reset(at.Sub(now))
}
