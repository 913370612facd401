package ratelimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/ratelimit"
)

// The requirement for a cold server: the most requests that it may get from all daemons in any
// second.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldExtra  = 5
)

// setCold sets the cold limit at all daemons.
func (m *model) setCold(perSecond float64, duration time.Duration) {
	for _, d := range m.daemons {
		d.limiter.SetColdLimit(m.start, ratelimit.NewColdLimit(perSecond, coldFactor, coldExtra), duration)
	}
}

// maxInWindow returns the highest number of requests that arrived in any window of the given
// length.
func (m *model) maxInWindow(duration time.Duration) int {
	maximum, from := 0, 0
	for to, at := range m.arrivals {
		for at.Sub(m.arrivals[from]) >= duration {
			from++
		}
		maximum = max(maximum, to-from+1)
	}
	return maximum
}

// A zone comes back cold, and hundreds of daemons have a request for each of its servers at
// once. Each server can serve only some requests a second from all daemons together.
func TestAllDaemonsTogetherStayWithinAColdLimit(t *testing.T) {
	for _, count := range []int{1, 9, 89, 360, 984, 1968, 2484} {
		for _, perSecond := range []float64{0.5, 17, 18, 60} {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(count)
				m.setCold(perSecond, time.Minute)
				m.run(4 * time.Second)
				// Quotas accrue while there is no load, and are used all at once.
				time.Sleep(5 * time.Second)
				m.run(2 * time.Second)
				allowed := coldFactor*perSecond + coldExtra
				maximum := m.maxInWindow(coldWindow)
				qt.Check(t, float64(maximum) <= allowed, qt.IsTrue, qt.Commentf("%d daemons, %v a second: %d requests, allowed %v", count, perSecond, maximum, allowed))
			})
		}
	}
}

// A cold server gets most of what it can serve, and is unlimited once it is warm.
func TestColdLimitIsUsedAndExpires(t *testing.T) {
	for _, count := range []int{1, 9, 360, 984} {
		synctest.Test(t, func(t *testing.T) {
			const perSecond = 18
			const duration = 10 * time.Second
			m := newModel(count)
			m.setCold(perSecond, duration)
			m.run(duration)
			rate := float64(len(m.arrivals)) / duration.Seconds()
			qt.Check(t, rate >= 0.8*perSecond && rate <= perSecond, qt.IsTrue, qt.Commentf("%d daemons: %v", count, rate))
			time.Sleep(time.Second)
			for _, d := range m.daemons {
				qt.Assert(t, d.limiter.IsLimited(m.start), qt.IsFalse)
			}
		})
	}
}

// Some daemons learn late that a server is cold. Until then they send it the load of a warm
// one, which is that of a head of a full group.
func TestColdLimitHoldsWhileSomeDaemonsLearnItLate(t *testing.T) {
	const perSecond = 18
	const warmRate = 28.0
	const maxDelay = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		const count = 90
		m := newModel(count)
		limit := ratelimit.NewColdLimit(perSecond, coldFactor, coldExtra)
		began := time.Now()
		for i, d := range m.daemons {
			time.AfterFunc(time.Duration(i)*maxDelay/count, func() {
				d.limiter.SetColdLimit(m.start, limit, time.Minute)
			})
		}
		next := began
		for ; time.Since(began) < 4*time.Second; time.Sleep(sendInterval) {
			for _, d := range m.daemons {
				isLate := !d.limiter.IsLimited(m.start)
				if isLate && time.Now().Before(next) {
					continue
				}
				if d.send(m.start, d.position(m.start)) {
					m.arrivals = append(m.arrivals, time.Now())
					if isLate {
						next = next.Add(time.Second / warmRate)
					}
				}
			}
		}
		allowed := coldFactor*perSecond + coldExtra
		maximum := m.maxInWindow(coldWindow)
		qt.Assert(t, float64(maximum) <= allowed, qt.IsTrue, qt.Commentf("%d requests, allowed %v", maximum, allowed))
	})
}

// A server that announces a limit while it is cold gets only what both limits allow.
func TestAnnouncedAndColdLimitHoldTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(9)
		m.setCold(18, time.Minute)
		m.observe(1)
		m.run(20 * time.Second)
		m.check(t, 1)
		for _, d := range m.daemons {
			d.limiter.ApplyReport(m.start, ratelimit.Limit{})
			qt.Assert(t, d.limiter.IsLimited(m.start), qt.IsTrue)
		}
	})
}

// The delay for a daemon without a quota ends when the server is warm, at the latest.
func TestWaitEndsWhenTheColdLimitExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter ratelimit.Limiter
		limiter.SetColdLimit(start, ratelimit.NewColdLimit(1, coldFactor, coldExtra), 3*time.Second)
		delay, hasQuota := limiter.Delay(start, ratelimit.Position{
			Rank:  80,
			Total: 90,
		})
		qt.Assert(t, hasQuota, qt.IsTrue)
		qt.Assert(t, delay, qt.Equals, 3*time.Second)
		time.Sleep(3 * time.Second)
		qt.Assert(t, limiter.HasCapacity(start, ratelimit.Position{}), qt.IsTrue)
		qt.Assert(t, limiter.IsEmpty(), qt.IsTrue)
	})
}
