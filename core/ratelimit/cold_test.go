package ratelimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/ratelimit"
)

// What a cold server may get from all daemons in any second, as the users' rule has it.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldExtra  = 5
)

// cool has all daemons know that the server is cold for a while.
func (m *model) cool(perSecond float64, length time.Duration) {
	for _, one := range m.daemons {
		one.book.LimitCold(m.start, ratelimit.Cold(perSecond, coldFactor, coldExtra), length)
	}
}

// mostIn returns the most requests that came in any window of a length.
func (m *model) mostIn(length time.Duration) int {
	most, from := 0, 0
	for to, at := range m.came {
		for at.Sub(m.came[from]) >= length {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// A zone comes back cold: hundreds of daemons have a request for each of its servers at once.
// Each bears some requests a second, over all daemons.
func TestSumOverAllDaemonsStaysWithinWhatAColdServerBears(t *testing.T) {
	for _, count := range []int{1, 9, 89, 360, 984, 1968, 2484} {
		for _, perSecond := range []float64{0.5, 17, 18, 60} {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(count)
				m.cool(perSecond, time.Minute)
				m.play(4 * time.Second)
				// Parts gather while nobody asks for anything, and are used at one moment.
				time.Sleep(5 * time.Second)
				m.play(2 * time.Second)
				allowed := coldFactor*perSecond + coldExtra
				most := m.mostIn(coldWindow)
				qt.Check(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d daemons, %v a second: %d requests, allowed %v", count, perSecond, most, allowed))
			})
		}
	}
}

// A cold server is used for most of what it bears, and like any other when it is warm.
func TestColdServerIsUsedForWhatItBears(t *testing.T) {
	for _, count := range []int{1, 9, 360, 984} {
		synctest.Test(t, func(t *testing.T) {
			const perSecond = 18
			const length = 10 * time.Second
			m := newModel(count)
			m.cool(perSecond, length)
			m.play(length)
			got := float64(len(m.came)) / length.Seconds()
			qt.Check(t, got >= 0.8*perSecond && got <= perSecond, qt.IsTrue, qt.Commentf("%d daemons: %v", count, got))
			time.Sleep(time.Second)
			for _, one := range m.daemons {
				qt.Assert(t, one.book.Has(m.start), qt.IsFalse)
			}
		})
	}
}

// Some daemons learn later than others that a server is cold, and send it what they would send
// a warm one until then: as much as a head of a full group gets.
func TestDaemonsThatLearnLateLeaveTheSumWithinItsBound(t *testing.T) {
	const perSecond = 18
	const warm = 28.0
	const latest = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		const count = 90
		m := newModel(count)
		limit := ratelimit.Cold(perSecond, coldFactor, coldExtra)
		began := time.Now()
		for i, one := range m.daemons {
			time.AfterFunc(time.Duration(i)*latest/count, func() {
				one.book.LimitCold(m.start, limit, time.Minute)
			})
		}
		next := began
		for ; time.Since(began) < 4*time.Second; time.Sleep(step) {
			for _, one := range m.daemons {
				isLate := !one.book.Has(m.start)
				if isLate && time.Now().Before(next) {
					continue
				}
				if one.send(m.start, one.place(m.start)) {
					m.came = append(m.came, time.Now())
					if isLate {
						next = next.Add(time.Second / warm)
					}
				}
			}
		}
		allowed := coldFactor*perSecond + coldExtra
		most := m.mostIn(coldWindow)
		qt.Assert(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d requests, allowed %v", most, allowed))
	})
}

// A server that names a limit while it is cold gets what both allow.
func TestBothLimitsOfAServerHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(9)
		m.cool(18, time.Minute)
		m.tell(1)
		m.play(20 * time.Second)
		m.check(t, 1)
		for _, one := range m.daemons {
			one.book.Reported(m.start, ratelimit.Limit{})
			qt.Assert(t, one.book.Has(m.start), qt.IsTrue)
		}
	})
}

// Where all who have room are others, a client is told to return when the server is warm at
// the latest.
func TestWaitEndsWhenTheServerIsWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book ratelimit.Book
		book.LimitCold(start, ratelimit.Cold(1, coldFactor, coldExtra), 3*time.Second)
		wait, isEver := book.Wait(start, ratelimit.Place{
			Rank: 80,
			Of:   90,
		})
		qt.Assert(t, isEver, qt.IsTrue)
		qt.Assert(t, wait, qt.Equals, 3*time.Second)
		time.Sleep(3 * time.Second)
		qt.Assert(t, book.HasRoom(start, ratelimit.Place{}), qt.IsTrue)
		qt.Assert(t, book.IsEmpty(), qt.IsTrue)
	})
}
