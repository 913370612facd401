package ratelimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/boottime"
	"headcourse/core/ratelimit"
)

// onlyDaemon is the position of a single daemon. withoutQuota is a position so far back that
// the daemon has no quota.
var (
	onlyDaemon = ratelimit.Position{
		Total: 1,
	}
	withoutQuota = ratelimit.Position{
		Rank:  300,
		Total: 360,
	}
)

// sendMax sends as many requests as possible at once, at most 1000, and returns their number.
func sendMax(limiter *ratelimit.Limiter, position ratelimit.Position) int {
	const maxRequests = 1000
	count := 0
	for range maxRequests {
		reservation, ok := limiter.Reserve(start, position)
		if !ok {
			return count
		}
		if _, ok = reservation.Take(position); !ok {
			return count
		}
		count++
	}
	return count
}

// isLimited reports whether the start has an announced limit.
func isLimited(limiter *ratelimit.Limiter) bool {
	limit, _ := limiter.AnnouncedLimit(start)
	return limit.IsSet
}

func TestLimitHoldsUntilAnAnswerNamesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter ratelimit.Limiter
		qt.Assert(t, limiter.IsEmpty(), qt.IsTrue)
		qt.Assert(t, sendMax(&limiter, onlyDaemon), qt.Equals, 1000)

		qt.Assert(t, limiter.Observe(start, ratelimit.NewLimit(2), time.Now()), qt.IsTrue)
		// Requests before the announcement were not counted, so nothing may be sent at first.
		qt.Assert(t, sendMax(&limiter, onlyDaemon), qt.Equals, 0)
		time.Sleep(time.Second)
		qt.Assert(t, sendMax(&limiter, onlyDaemon), qt.Equals, 2)
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, sendMax(&limiter, onlyDaemon), qt.Equals, 1)
		qt.Assert(t, limiter.Observe(start, ratelimit.NewLimit(2), time.Now()), qt.IsFalse)

		time.Sleep(time.Millisecond)
		qt.Assert(t, limiter.Observe(start, ratelimit.Limit{}, time.Now()), qt.IsTrue)
		qt.Assert(t, limiter.IsEmpty(), qt.IsTrue)
		qt.Assert(t, limiter.Observe(start, ratelimit.Limit{}, time.Now()), qt.IsFalse)
	})
}

// Guards against answers that arrive out of order: one that was made before the server
// announced its limit, or lowered it, must not change it. An invalid limit must not end it
// either.
func TestAnswerToAnOlderRequestNeitherRaisesNorEndsALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter ratelimit.Limiter
		earlier := time.Now()
		time.Sleep(100 * time.Millisecond)
		limiter.Observe(start, ratelimit.NewLimit(2), time.Now())
		for _, observed := range []ratelimit.Limit{{}, ratelimit.NewLimit(20), ratelimit.NewLimit(-1)} {
			qt.Assert(t, limiter.Observe(start, observed, earlier), qt.IsFalse)
			qt.Assert(t, limiter.Observe(start, observed, time.Time{}), qt.IsFalse)
			limit, _ := limiter.AnnouncedLimit(start)
			qt.Assert(t, limit, qt.Equals, ratelimit.NewLimit(2))
		}
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, limiter.Observe(start, ratelimit.NewLimit(-1), time.Now()), qt.IsFalse)
		// A lower limit applies at once, whichever answer it came with.
		qt.Assert(t, limiter.Observe(start, ratelimit.NewLimit(1), time.Time{}), qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, limiter.Observe(start, ratelimit.NewLimit(20), time.Now()), qt.IsTrue)
		limit, _ := limiter.AnnouncedLimit(start)
		qt.Assert(t, limit, qt.Equals, ratelimit.NewLimit(20))
	})
}

// A daemon that learns of a limit by a report keeps to its quota without an answer of its own,
// and a report ends the limit as well. An answer to an earlier request does not end it.
func TestReportOfAnotherDaemonSetsAndEndsALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter ratelimit.Limiter
		before := time.Now()
		time.Sleep(time.Millisecond)
		limiter.ApplyReport(start, ratelimit.NewLimit(1.7))
		qt.Assert(t, limiter.Observe(start, ratelimit.Limit{}, before), qt.IsFalse)
		time.Sleep(30 * time.Second)
		qt.Assert(t, sendMax(&limiter, withoutQuota), qt.Equals, 0)
		limiter.ApplyReport(start, ratelimit.Limit{})
		qt.Assert(t, sendMax(&limiter, withoutQuota), qt.Equals, 1000)
		// No limit is known, so a report of its end changes nothing.
		limiter.ApplyReport(start, ratelimit.Limit{})
		qt.Assert(t, limiter.IsEmpty(), qt.IsTrue)
	})
}

// A report may be older than this daemon's last observation. It applies once that observation
// is no longer recent.
func TestRecentObservationTakesPrecedenceOverReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter ratelimit.Limiter
		for _, reported := range []ratelimit.Limit{{}, ratelimit.NewLimit(5)} {
			limiter.Observe(start, ratelimit.NewLimit(2), time.Now())
			limiter.ApplyReport(start, reported)
			limit, _ := limiter.AnnouncedLimit(start)
			qt.Assert(t, limit, qt.Equals, ratelimit.NewLimit(2))
			limiter.ApplyReport(start, ratelimit.NewLimit(1))
			limit, _ = limiter.AnnouncedLimit(start)
			qt.Assert(t, limit, qt.Equals, ratelimit.NewLimit(1))

			limiter.Observe(start, ratelimit.NewLimit(0.5), time.Now())
			limiter.ApplyReport(start, reported)
			time.Sleep(5 * time.Second)
			limiter.HasCapacity(start, onlyDaemon)
			limit, _ = limiter.AnnouncedLimit(start)
			qt.Assert(t, limit, qt.Equals, reported)
		}
	})
}

// Reserved capacity is not given to another request, and comes back if the request is not sent.
func TestReservationIsExclusiveAndReleasable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 0.05
		var limiter ratelimit.Limiter
		limiter.Observe(start, ratelimit.NewLimit(perSecond), time.Now())
		position := ratelimit.Position{
			Total: 2,
		}
		delay, hasQuota := limiter.Delay(start, position)
		qt.Assert(t, hasQuota, qt.IsTrue)
		qt.Assert(t, delay, qt.Equals, 2*20*time.Second)
		time.Sleep(delay)
		reservation, ok := limiter.Reserve(start, position)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, limiter.HasCapacity(start, position), qt.IsFalse)
		reservation.Release()
		qt.Assert(t, limiter.HasCapacity(start, position), qt.IsTrue)
		qt.Assert(t, sendMax(&limiter, position), qt.Equals, 1)
		// Capacity that was used does not come back.
		reservation.Release()
		qt.Assert(t, limiter.HasCapacity(start, position), qt.IsFalse)
		_, hasQuota = limiter.Delay(start, withoutQuota)
		qt.Assert(t, hasQuota, qt.IsFalse)
	})
}

// Guards against exceeding a limit that the server announces, or lowers, while a chosen request
// waits for its connection.
func TestReservationIsRejectedAfterALimitIsSetOrLowered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter ratelimit.Limiter
		chosen, ok := limiter.Reserve(start, onlyDaemon)
		qt.Assert(t, ok, qt.IsTrue)
		limiter.Observe(start, ratelimit.NewLimit(20), time.Now())
		_, ok = chosen.Take(onlyDaemon)
		qt.Assert(t, ok, qt.IsFalse)

		time.Sleep(time.Second)
		chosen, ok = limiter.Reserve(start, onlyDaemon)
		qt.Assert(t, ok, qt.IsTrue)
		// The other requests of a burst are sent, and the list changes so that this daemon has
		// no quota.
		qt.Assert(t, sendMax(&limiter, onlyDaemon) > 10, qt.IsTrue)
		_, ok = chosen.Take(withoutQuota)
		qt.Assert(t, ok, qt.IsFalse)
	})
}

// Tokens accrue while the VM is suspended, as they do at the server.
func TestTokensAccrueWhileTheVMIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		limiter := ratelimit.Limiter{
			Clock: boottime.Clock{
				Suspended: func() time.Duration { return suspended },
			},
		}
		limiter.Observe(start, ratelimit.NewLimit(1), limiter.Clock.Now())
		qt.Assert(t, limiter.HasCapacity(start, onlyDaemon), qt.IsFalse)
		suspended += time.Second
		qt.Assert(t, limiter.HasCapacity(start, onlyDaemon), qt.IsTrue)
	})
}

func TestLimitsOfUnknownServersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter ratelimit.Limiter
		limiter.Observe(start, ratelimit.NewLimit(1), time.Now())
		isKnown := true
		sweep := func() {
			limiter.Sweep(func(string) bool { return isKnown })
		}
		time.Sleep(time.Hour)
		sweep()
		qt.Assert(t, isLimited(&limiter), qt.IsTrue)
		isKnown = false
		limiter.Observe(start, ratelimit.NewLimit(1), time.Now())
		sweep()
		qt.Assert(t, isLimited(&limiter), qt.IsTrue)
		time.Sleep(time.Hour)
		sweep()
		qt.Assert(t, limiter.IsEmpty(), qt.IsTrue)
	})
}
