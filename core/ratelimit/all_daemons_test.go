package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/neighbours"
	"headcourse/core/ratelimit"
)

// The requirement for all daemons together: from graceTime after a server first announced a
// limit, any window may have factor times what the limit allows plus extra requests.
const (
	graceTime    = 3 * time.Second
	excessWindow = 4 * time.Second
	factor       = 1.5
	extra        = 5
)

// sendInterval is how often each daemon of a model tries to send.
const sendInterval = 20 * time.Millisecond

// start is the start of the server with a limit, and zone is its zone.
const (
	start = "i-1@1"
	zone  = "a"
)

// serverCount is the number of servers that a test runs with; each has its own order of
// daemons.
const serverCount = 20

// model is a server with a limit, and daemons that send it as many requests as they may.
type model struct {
	start   string
	daemons []*daemon
	began   time.Time
	// arrivals are the times of the requests at the server.
	arrivals []time.Time
}

// daemon is one daemon of a model with its own list of daemons.
type daemon struct {
	name    string
	limiter ratelimit.Limiter
	list    neighbours.List
}

// listOf returns a list of the given number of daemons in three zones.
func listOf(count int) neighbours.List {
	var daemons []neighbours.Daemon
	for i := range count {
		daemons = append(daemons, neighbours.Daemon{
			Name: fmt.Sprintf("front-%d", i),
			Zone: string(rune('a' + i%3)),
		})
	}
	return neighbours.NewList(daemons)
}

// newModel returns a model with the given number of daemons, which all have the list of all of
// them.
func newModel(count int) *model {
	m := &model{
		start: start,
		began: time.Now(),
	}
	daemons := listOf(count)
	for i := range count {
		m.daemons = append(m.daemons, &daemon{
			name: fmt.Sprintf("front-%d", i),
			list: daemons,
		})
	}
	return m
}

// position returns a daemon's position for the server.
func (d *daemon) position(start string) ratelimit.Position {
	rank, sameZone := d.list.PositionForKey(start, zone, d.name)
	return ratelimit.Position{
		Rank:     rank,
		SameZone: sameZone,
		Total:    d.list.Len(),
	}
}

// send sends a request if the daemon may, and reports whether it did.
func (d *daemon) send(start string, position ratelimit.Position) bool {
	reservation, ok := d.limiter.Reserve(start, position)
	if !ok {
		return false
	}
	defer reservation.Release()
	_, ok = reservation.Take(position)
	return ok
}

// observe lets all daemons observe a limit.
func (m *model) observe(perSecond float64) {
	for _, d := range m.daemons {
		d.limiter.Observe(m.start, ratelimit.NewLimit(perSecond), time.Now())
	}
}

// run lets all daemons send as many requests as they may for the given time.
func (m *model) run(duration time.Duration) {
	positions := make([]ratelimit.Position, len(m.daemons))
	for i, d := range m.daemons {
		positions[i] = d.position(m.start)
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(sendInterval) {
		for i, d := range m.daemons {
			for d.send(m.start, positions[i]) {
				m.arrivals = append(m.arrivals, time.Now())
			}
		}
	}
}

// maxInToleratedWindow returns the highest number of requests in any window after graceTime.
func (m *model) maxInToleratedWindow() int {
	maximum, from := 0, 0
	for to, at := range m.arrivals {
		for at.Sub(m.arrivals[from]) >= excessWindow || m.arrivals[from].Sub(m.began) < graceTime {
			if from == to {
				break
			}
			from++
		}
		maximum = max(maximum, to-from+1)
	}
	return maximum
}

// check fails the test if the server got more requests than allowed.
func (m *model) check(t *testing.T, perSecond float64) {
	t.Helper()
	allowed := factor*perSecond*excessWindow.Seconds() + extra
	maximum := m.maxInToleratedWindow()
	qt.Check(t, float64(maximum) <= allowed, qt.IsTrue, qt.Commentf("%d daemons, %v a second: %d requests in a window, allowed %v", len(m.daemons), perSecond, maximum, allowed))
}

// testedLimits are the limits in requests a second that tests announce.
var testedLimits = []float64{0, 0.05, 0.3, 1.7, 2.2, 20, 400}

// Guards against equal quotas for all daemons. Each daemon sends whole requests, so with many
// daemons the first requests alone exceed the limit: 360 of them where 15 are allowed.
func TestAllDaemonsTogetherStayWithinALimit(t *testing.T) {
	for _, count := range []int{1, 4, 9, 89, 360, 2484} {
		for _, perSecond := range testedLimits {
			if count > 360 && perSecond > 20 {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				m := newModel(count)
				m.observe(perSecond)
				m.run(12 * time.Second)
				// Quotas accrue while there is no load, and are used all at once.
				time.Sleep(20 * time.Second)
				m.run(10 * time.Second)
				m.check(t, perSecond)
			})
		}
	}
}

// A limit that is too strict would leave a server idle although it accepts requests.
func TestLimitIsUsedUnderLoad(t *testing.T) {
	for _, count := range []int{1, 9, 360} {
		for _, perSecond := range []float64{0.3, 1.7, 20} {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(count)
				m.observe(perSecond)
				const duration = 50 * time.Second
				m.run(duration)
				rate := float64(len(m.arrivals)) / duration.Seconds()
				qt.Check(t, rate >= 0.85*perSecond, qt.IsTrue, qt.Commentf("%d daemons, %v a second: %v", count, perSecond, rate))
			})
		}
	}
}

// Daemons learn of added daemons at different times. Until then, quotas by the old list and by
// the new one are used together.
func TestLimitHoldsWhileDaemonListsDiffer(t *testing.T) {
	const maxDelay = 800 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	for _, sizes := range [][2]int{{9, 10}, {9, 14}, {14, 9}, {89, 120}, {89, 60}} {
		for _, perSecond := range testedLimits {
			if perSecond > 20 {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				m := newModel(max(sizes[0], sizes[1]))
				previous, next := listOf(sizes[0]), listOf(sizes[1])
				for _, d := range m.daemons {
					d.list = previous
				}
				m.observe(perSecond)
				m.run(30 * time.Second)
				// All buckets are full.
				time.Sleep(10 * time.Second)
				changes := make([]time.Time, len(m.daemons))
				for i := range changes {
					changes[i] = time.Now().Add(time.Duration(random.Int64N(int64(maxDelay))))
				}
				for range 30 {
					for i, d := range m.daemons {
						if time.Now().After(changes[i]) {
							d.list = next
						}
					}
					m.run(100 * time.Millisecond)
				}
				m.run(10 * time.Second)
				m.check(t, perSecond)
			})
		}
	}
}

// Daemons are added one after the other. Each one that gets a quota has not sent anything yet,
// and all would begin with a burst.
func TestLimitHoldsWhileDaemonsAreAdded(t *testing.T) {
	for _, perSecond := range []float64{0.05, 0.3, 1.7} {
		for server := range serverCount {
			synctest.Test(t, func(t *testing.T) {
				const first, last = 9, 60
				const between = 100 * time.Millisecond
				m := newModel(last)
				m.start = fmt.Sprintf("i-%d@1", server)
				for _, d := range m.daemons {
					d.list = listOf(first)
				}
				m.observe(perSecond)
				m.run(30 * time.Second)
				for count := first; count <= last; count++ {
					for _, d := range m.daemons {
						d.list = listOf(count)
					}
					m.run(between)
				}
				m.check(t, perSecond)
			})
		}
	}
}

// After a server lowers its limit, tokens that accrued at the higher one are not used.
func TestLoweredLimitHolds(t *testing.T) {
	for _, count := range []int{9, 360} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(count)
			m.observe(20)
			m.run(10 * time.Second)
			time.Sleep(10 * time.Second)
			m.arrivals = nil
			m.observe(0.3)
			m.run(20 * time.Second)
			m.check(t, 0.3)
		})
	}
}

// If all daemons with a quota have stopped, no daemon observes that the limit is over. The
// others probe in turns, one at a time.
func TestLimitIsProbedInTurnsWithoutNewReports(t *testing.T) {
	for _, count := range []int{9, 89} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(count)
			const perSecond = 0.3
			m.observe(perSecond)
			var without []*daemon
			for _, d := range m.daemons {
				if ratelimit.NewLimit(perSecond).Quota(d.position(m.start)).PerSecond == 0 {
					without = append(without, d)
				}
			}
			m.daemons = without
			m.run(time.Minute)
			qt.Assert(t, m.arrivals, qt.HasLen, 0)
			m.run(5 * time.Minute)
			qt.Assert(t, len(m.arrivals) >= 2, qt.IsTrue)
			m.check(t, perSecond)
		})
	}
}
