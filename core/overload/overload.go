// Package overload decides which part of the requests of a kind has priority if the heads cannot
// serve all of them in time, and at what rate the others may be sent.
//
// If all requests were sent at once, they would delay each other, and most would be late. The part
// that can be in time follows from the demand of the fleet and the capacity of the heads, by the
// engine's model of a pass. The timeliness of the answers corrects it, since timings are estimates
// and heads may be lost before they are known to be.
//
// All daemons get the same totals, so that they reach the same decision, and together send what
// the heads can serve. No daemon decides for others.
package overload

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"headcourse/core/usage"
)

const (
	// maxAge is the age from which totals don't count: a burst may have begun or ended since.
	maxAge = 3 * time.Second
	// maxElapsed limits the time for which one update counts. After a longer pause of the daemon,
	// one sample would otherwise stand for all of the pause.
	maxElapsed = time.Second
	// minDeferredShare is the part of the capacity that deferred requests always get, so that
	// none of them starves.
	minDeferredShare = 0.05
	// exitShare is the share of the demand that must be within the capacity before an overload ends.
	// The demand of a kind varies by several percent at random, and a decision at exactly the
	// capacity would flap.
	exitShare = 1.1
	// exitDelay is how long the load must be low enough before an overload ends.
	exitDelay = 400 * time.Millisecond
	// heldTime is how long a deferred request waits at most before it is sent or refused.
	heldTime = 900 * time.Millisecond
	// smallestBacklog is the backlog, as a time at the full capacity, below which it counts as served.
	smallestBacklog = 20 * time.Millisecond
)

// Load is the demand of the fleet for a kind of request.
type Load struct {
	Rate usage.Rate
	// InTime and Late are how many answers to requests with priority began in time or late, in
	// answers a second.
	InTime float64
	Late   float64
	// Age is the age of the totals.
	Age time.Duration
	// IsKnown is false if there are no totals.
	IsKnown bool
}

// lateExcess returns by how much the late part of the answers exceeds maxLateFraction: 1 if all are
// late, and negative if fewer are. ok is false if there were no answers.
func (l Load) lateExcess() (excess float64, ok bool) {
	answers := l.InTime + l.Late
	if !isAmount(l.InTime) || !isAmount(l.Late) || !isPositive(answers) {
		return 0, false
	}
	return (l.Late/answers - maxLateFraction) / (1 - maxLateFraction), true
}

// isValid reports whether the totals are present and recent, and all rates are finite.
func (l Load) isValid() bool {
	return l.IsKnown && l.Age >= 0 && l.Age <= maxAge &&
		isAmount(l.Rate.Requests) && isAmount(l.Rate.Prompt) && isAmount(l.Rate.Answer) && isAmount(l.Rate.PromptSquares)
}

// Decision is how the requests of a kind are sent.
type Decision struct {
	// PriorityFraction is the part of the requests that may have priority: 1 without overload.
	PriorityFraction float64
	// DeferredRate is how many requests without priority all daemons together may send in a second.
	// It is +Inf without overload.
	DeferredRate float64
	// Backlog is how long a request that is deferred now waits at DeferredRate.
	Backlog time.Duration
	// IsOverloaded is true from when the demand exceeds the capacity until the deferred requests are
	// served.
	IsOverloaded bool
	// IsKnown is false if the load or the capacity is not known. Nothing is deferred then.
	IsKnown bool
	// Age is the age of the totals that the decision is based on.
	Age time.Duration
}

// withoutOverload returns a decision that defers nothing.
func withoutOverload(isKnown bool) Decision {
	return Decision{
		PriorityFraction: 1,
		DeferredRate:     math.Inf(1),
		IsKnown:          isKnown,
	}
}

// decided is a decision and the time of the update that made it.
type decided struct {
	decision Decision
	at       time.Time
}

// Controller decides for one kind of request. The zero value is ready to use; its decision is not
// known until the first update. It is safe for concurrent use.
type Controller struct {
	// current is read for every request, without the mutex.
	current atomic.Pointer[decided]
	mutex   sync.Mutex
	state   state
}

// state is what a controller remembers between updates.
type state struct {
	updatedAt time.Time
	// capacity is the last one known. It is kept while there is no demand.
	capacity   capacity
	correction correction
	// backlog is the number of deferred requests that wait.
	backlog float64
	excess  excess
	// sentDeferred is the estimated rate of deferred requests that are sent.
	sentDeferred float64
	// excessAt is when requests last waited at the heads, by the estimate.
	excessAt time.Time
	trend    trend
	history  history
	heads    float64
	// priorityFraction and deferredRate are those of the last decision.
	priorityFraction float64
	deferredRate     float64
	isOverloaded     bool
	// lowSince is since when the load is low enough for the overload to end, or zero.
	lowSince time.Time
}

// Decision returns the current decision. It takes no lock.
func (c *Controller) Decision() Decision {
	latest := c.current.Load()
	if latest == nil {
		return withoutOverload(false)
	}
	decision := latest.decision
	decision.Age += time.Since(latest.at)
	if decision.IsKnown && decision.Age > maxAge {
		return withoutOverload(false)
	}
	return decision
}

// Update decides by the present capacity and load. It may be called at any interval.
func (c *Controller) Update(room Room, load Load) Decision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	decision := c.state.update(now, room, load)
	c.current.Store(&decided{
		decision: decision,
		at:       now,
	})
	return decision
}

// update returns the next decision.
func (s *state) update(now time.Time, room Room, load Load) Decision {
	if !load.isValid() || !isPositive(room.Heads) {
		*s = state{}
		return withoutOverload(false)
	}
	if load.Rate.Requests > 0 {
		known, ok := room.capacityFor(load.Rate)
		if !ok {
			*s = state{}
			return withoutOverload(false)
		}
		s.capacity = known
	}
	if room.Heads < s.heads {
		s.excess = s.excess.scaled(room.Heads / s.heads)
	}
	s.heads = room.Heads
	s.trend = s.trend.next(load.Rate.Requests, now.Add(-load.Age))
	elapsed := 0.0
	if !s.updatedAt.IsZero() {
		elapsed = min(maxElapsed, now.Sub(s.updatedAt)).Seconds()
	}
	s.updatedAt = now
	return s.decide(now, elapsed, load)
}

// decide returns the decision for a valid load, elapsed seconds after the one before.
func (s *state) decide(now time.Time, elapsed float64, load Load) Decision {
	demand := s.trend.present(load.Rate).Requests
	asOf := now.Add(-load.Age)
	s.follow(elapsed, demand, s.history.mean(asOf.Add(-seconds(elapsed)), asOf))
	// The excess is as of the totals. What was sent since follows from the decisions since.
	sentSince := demand*s.history.mean(asOf, now) + s.sentDeferred
	present := s.excess.after(load.Age.Seconds(), sentSince, s.corrected())
	if !present.isServed(s.capacity) {
		s.excessAt = now
	}
	isExplained := !s.excessAt.IsZero() && now.Sub(s.excessAt) < explainedTime
	s.correction = s.correction.next(elapsed, load, s.capacity.requests, s.isOverloaded, isExplained)
	served := s.corrected().requests
	s.switchOverload(now, demand, served)
	if !s.isOverloaded {
		s.history.record(1, now)
		s.priorityFraction = 1
		s.deferredRate = math.Inf(1)
		decision := withoutOverload(true)
		decision.Age = load.Age
		return decision
	}
	permitted := 1.0
	if demand > served {
		permitted = served / demand
	}
	s.priorityFraction = present.reduced(permitted, demand)
	s.history.record(s.priorityFraction, now)
	s.deferredRate = max(minDeferredShare*served, served-permitted*demand)
	return Decision{
		PriorityFraction: s.priorityFraction,
		DeferredRate:     s.deferredRate,
		Backlog:          seconds(s.backlog / s.deferredRate),
		IsOverloaded:     true,
		IsKnown:          true,
		Age:              load.Age,
	}
}

// corrected returns the capacity with what was learned. Heads that are slower than computed have as
// many slots.
func (s *state) corrected() capacity {
	return capacity{
		requests: s.correction.factor() * s.capacity.requests,
		running:  s.capacity.running,
	}
}

// follow estimates what recent decisions led to in the elapsed seconds. sentFraction is the part of
// the demand that was sent with priority.
func (s *state) follow(elapsed, demand, sentFraction float64) {
	if elapsed == 0 {
		return
	}
	if !s.isOverloaded {
		s.backlog, s.sentDeferred = 0, 0
		s.excess = s.excess.after(elapsed, sentFraction*demand, s.corrected())
		return
	}
	deferred := (1 - s.priorityFraction) * demand
	s.sentDeferred = min(s.deferredRate, deferred+s.backlog/elapsed)
	s.excess = s.excess.after(elapsed, sentFraction*demand+s.sentDeferred, s.corrected())
	held := s.backlog + (deferred-s.sentDeferred)*elapsed
	s.backlog = max(0, held*math.Exp(-elapsed/heldTime.Seconds()))
}

// switchOverload decides whether there is an overload. Both rates are in requests a second.
func (s *state) switchOverload(now time.Time, demand, served float64) {
	if demand > served {
		s.isOverloaded = true
		s.lowSince = time.Time{}
		return
	}
	isDone := s.backlog <= smallestBacklog.Seconds()*served && s.excess.isServed(s.capacity)
	// A correction above 1 does not end an overload: it is learned in one only.
	isLow := exitShare*demand <= min(served, s.capacity.requests)
	if !s.isOverloaded || !isLow || !isDone {
		s.lowSince = time.Time{}
		return
	}
	if s.lowSince.IsZero() {
		s.lowSince = now
	}
	if now.Sub(s.lowSince) >= exitDelay {
		s.isOverloaded = false
	}
}

// seconds converts a number of seconds.
func seconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Second))
}
