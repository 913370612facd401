package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/admission"
	"headcourse/core/declaration"
	"headcourse/core/outcome"
)

// organisation returns an organisation with high limits; tests lower the ones that they need.
func organisation(name string, share int) declaration.Organisation {
	return declaration.Organisation{
		Name:              name,
		Share:             share,
		MaxInFlight:       1000,
		MaxQueued:         1000,
		RequestsPerSecond: 1e6,
	}
}

// pool is a backend with a number of free places.
type pool struct {
	places int
}

// try takes a place. The queue calls it with its mutex held.
func (p *pool) try() bool {
	if p.places == 0 {
		return false
	}
	p.places--
	return true
}

// A large organisation has a hundred waiting requests when a small one arrives, and places
// become free one by one.
func TestSmallOrganisationIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue admission.Queue
		backend := &pool{}
		order := make(chan string, 200)
		enter := func(from declaration.Organisation, priority int) {
			go func() {
				_, rejection := queue.Admit(context.Background(), admission.Request{
					Organisation: from,
					Priority:     priority,
					Daemons:      1,
					TryPlace:     backend.try,
				})
				qt.Check(t, rejection == nil, qt.IsTrue)
				order <- from.Name
			}()
			synctest.Wait()
		}
		for range 100 {
			enter(organisation("large", 4), 0)
		}
		for range 10 {
			enter(organisation("small", 1), 0)
		}
		served := map[string]int{}
		for range 50 {
			backend.places = 1
			queue.DispatchAll()
			served[<-order]++
		}
		// With shares of 4 and 1, a fifth of the places belongs to the small organisation.
		qt.Assert(t, served["small"], qt.Equals, 10)
		backend.places = 60
		queue.DispatchAll()
		synctest.Wait()
		qt.Assert(t, queue.Waiting(), qt.Equals, 0)
	})
}

func TestHigherPriorityGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue admission.Queue
		backend := &pool{}
		order := make(chan int, 3)
		for _, priority := range []int{1, 9, 5} {
			go func() {
				_, rejection := queue.Admit(context.Background(), admission.Request{
					Organisation: organisation("o", 1),
					Priority:     priority,
					Daemons:      1,
					TryPlace:     backend.try,
				})
				qt.Check(t, rejection == nil, qt.IsTrue)
				order <- priority
			}()
			synctest.Wait()
		}
		for _, expected := range []int{9, 5, 1} {
			backend.places = 1
			queue.DispatchAll()
			qt.Assert(t, <-order, qt.Equals, expected)
		}
	})
}

// admitReason admits one request and returns the reason of its rejection.
func admitReason(queue *admission.Queue, from declaration.Organisation, wait time.Duration) outcome.Reason {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	_, rejection := queue.Admit(ctx, admission.Request{
		Organisation: from,
		Daemons:      2,
		TryPlace: func() bool {
			return false
		},
	})
	if rejection == nil {
		return outcome.ReasonNone
	}
	return rejection.Reason
}

func TestRequestsBeyondLimitsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue admission.Queue
		limited := organisation("o", 1)
		limited.MaxQueued = 2
		go admitReason(&queue, limited, time.Minute)
		synctest.Wait()
		// Two daemons share the limit of two.
		qt.Assert(t, admitReason(&queue, limited, time.Minute), qt.Equals, outcome.ReasonQueueFull)
		time.Sleep(time.Minute)
		synctest.Wait()
		qt.Assert(t, queue.Waiting(), qt.Equals, 0)
		qt.Assert(t, admitReason(&queue, organisation("p", 1), time.Second), qt.Equals, outcome.ReasonQueueDeadline)
		slow := organisation("q", 1)
		slow.RequestsPerSecond = 1
		qt.Assert(t, admitReason(&queue, slow, time.Millisecond), qt.Equals, outcome.ReasonQueueDeadline)
		qt.Assert(t, admitReason(&queue, slow, time.Millisecond), qt.Equals, outcome.ReasonRateLimit)
		qt.Assert(t, admission.RetryAfter(outcome.ReasonRateLimit) > 0, qt.IsTrue)
	})
}

func TestRequestsInFlightAreLimited(t *testing.T) {
	var queue admission.Queue
	limited := organisation("o", 1)
	limited.MaxInFlight = 1
	enter := func(wait time.Duration) (func(), *outcome.Failure) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		return queue.Admit(ctx, admission.Request{
			Organisation: limited,
			Daemons:      1,
			TryPlace: func() bool {
				return true
			},
		})
	}
	release, rejection := enter(time.Minute)
	qt.Assert(t, rejection == nil, qt.IsTrue)
	_, rejection = enter(time.Millisecond)
	qt.Assert(t, rejection.Reason, qt.Equals, outcome.ReasonQueueDeadline)
	release()
	release()
	_, rejection = enter(time.Minute)
	qt.Assert(t, rejection == nil, qt.IsTrue)
	_, rejection = enter(time.Millisecond)
	qt.Assert(t, rejection != nil, qt.IsTrue)
}
