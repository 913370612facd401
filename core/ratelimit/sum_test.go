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

// What all daemons together are allowed, as the users' rule has it: from contact after a server
// first named a limit, in any window, factor of what the limit allows and extra requests.
const (
	contact = 3 * time.Second
	window  = 4 * time.Second
	factor  = 1.5
	extra   = 5
)

// step is how often each daemon of a model tries to send.
const step = 20 * time.Millisecond

// start is the start of the server that names a limit, zone is where it is.
const (
	start = "i-1@1"
	zone  = "a"
)

// servers is how many servers a test plays of which each has its own order of daemons.
const servers = 20

// model is a server that names a limit, and daemons that send it all they may.
type model struct {
	start   string
	daemons []*daemon
	began   time.Time
	// came are the times at which the server got requests.
	came []time.Time
}

// daemon is one daemon of a model, with the list that it knows.
type daemon struct {
	name string
	book ratelimit.Book
	list neighbours.List
}

// list returns a list of so many daemons in three zones.
func list(count int) neighbours.List {
	var daemons []neighbours.Daemon
	for i := range count {
		daemons = append(daemons, neighbours.Daemon{
			Name: fmt.Sprintf("front-%d", i),
			Zone: string(rune('a' + i%3)),
		})
	}
	return neighbours.NewList(daemons)
}

// newModel returns so many daemons that know each other.
func newModel(count int) *model {
	m := &model{
		start: start,
		began: time.Now(),
	}
	known := list(count)
	for i := range count {
		m.daemons = append(m.daemons, &daemon{
			name: fmt.Sprintf("front-%d", i),
			list: known,
		})
	}
	return m
}

// place returns a daemon's place for the server.
func (d *daemon) place(start string) ratelimit.Place {
	rank, near := d.list.OrderFor(start, zone, d.name)
	return ratelimit.Place{
		Rank: rank,
		Near: near,
		Of:   d.list.Len(),
	}
}

// send sends a request if the daemon may, and tells whether it did.
func (d *daemon) send(start string, place ratelimit.Place) bool {
	room, ok := d.book.Reserve(start, place)
	if !ok {
		return false
	}
	defer room.Release()
	_, ok = room.Take(place)
	return ok
}

// tell has all daemons hear a limit.
func (m *model) tell(perSecond float64) {
	for _, one := range m.daemons {
		one.book.Observed(m.start, ratelimit.Named(perSecond), time.Now())
	}
}

// play has all daemons send what they may for a while.
func (m *model) play(length time.Duration) {
	places := make([]ratelimit.Place, len(m.daemons))
	for i, one := range m.daemons {
		places[i] = one.place(m.start)
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(step) {
		for i, one := range m.daemons {
			for one.send(m.start, places[i]) {
				m.came = append(m.came, time.Now())
			}
		}
	}
}

// most returns the most requests that came in any window that counts.
func (m *model) most() int {
	most, from := 0, 0
	for to, at := range m.came {
		for at.Sub(m.came[from]) >= window || m.came[from].Sub(m.began) < contact {
			if from == to {
				break
			}
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// check fails the test if the server got more than is allowed.
func (m *model) check(t *testing.T, perSecond float64) {
	t.Helper()
	allowed := factor*perSecond*window.Seconds() + extra
	most := m.most()
	qt.Check(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d daemons, %v a second: %d requests in a window, allowed %v", len(m.daemons), perSecond, most, allowed))
}

// limits are what servers of the tests name.
var limits = []float64{0, 0.05, 0.3, 1.7, 2.2, 20, 400}

// Each daemon that keeps to a part of its own sends one whole request at a time, so that even
// parts add up to more than a server takes as soon as there are many daemons: 360 first requests
// where 15 are allowed.
func TestSumOverAllDaemonsStaysWithinALimit(t *testing.T) {
	for _, count := range []int{1, 4, 9, 89, 360, 2484} {
		for _, perSecond := range limits {
			if count > 360 && perSecond > 20 {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				m := newModel(count)
				m.tell(perSecond)
				m.play(12 * time.Second)
				// Parts gather while nobody asks for anything, and are used at one moment.
				time.Sleep(20 * time.Second)
				m.play(10 * time.Second)
				m.check(t, perSecond)
			})
		}
	}
}

// A server that is left alone although it takes requests serves nobody.
func TestLimitIsUsedWhereThereIsWork(t *testing.T) {
	for _, count := range []int{1, 9, 360} {
		for _, perSecond := range []float64{0.3, 1.7, 20} {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(count)
				m.tell(perSecond)
				const length = 50 * time.Second
				m.play(length)
				got := float64(len(m.came)) / length.Seconds()
				qt.Check(t, got >= 0.85*perSecond, qt.IsTrue, qt.Commentf("%d daemons, %v a second: %v", count, perSecond, got))
			})
		}
	}
}

// Daemons that are added are known to the others at different moments. Whoever has a part by
// the former list may use it until then, beside those that have it by the new one.
func TestSumStaysWithinALimitWhileListsDiffer(t *testing.T) {
	const latest = 800 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	for _, sizes := range [][2]int{{9, 10}, {9, 14}, {14, 9}, {89, 120}, {89, 60}} {
		for _, perSecond := range limits {
			if perSecond > 20 {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				m := newModel(max(sizes[0], sizes[1]))
				former, next := list(sizes[0]), list(sizes[1])
				for _, one := range m.daemons {
					one.list = former
				}
				m.tell(perSecond)
				m.play(30 * time.Second)
				// Parts are full.
				time.Sleep(10 * time.Second)
				changes := make([]time.Time, len(m.daemons))
				for i := range changes {
					changes[i] = time.Now().Add(time.Duration(random.Int64N(int64(latest))))
				}
				for range 30 {
					for i, one := range m.daemons {
						if time.Now().After(changes[i]) {
							one.list = next
						}
					}
					m.play(100 * time.Millisecond)
				}
				m.play(10 * time.Second)
				m.check(t, perSecond)
			})
		}
	}
}

// Daemons are added one after the other. Those that get a part by it have not sent anything,
// and would all begin with a burst.
func TestSumStaysWithinALimitWhileDaemonsAreAdded(t *testing.T) {
	for _, perSecond := range []float64{0.05, 0.3, 1.7} {
		for server := range servers {
			synctest.Test(t, func(t *testing.T) {
				const first, last = 9, 60
				const between = 100 * time.Millisecond
				m := newModel(last)
				m.start = fmt.Sprintf("i-%d@1", server)
				for _, one := range m.daemons {
					one.list = list(first)
				}
				m.tell(perSecond)
				m.play(30 * time.Second)
				for count := first; count <= last; count++ {
					for _, one := range m.daemons {
						one.list = list(count)
					}
					m.play(between)
				}
				m.check(t, perSecond)
			})
		}
	}
}

// A server that falls further into need is not sent what gathered by the higher limit.
func TestSumStaysWithinALowerLimit(t *testing.T) {
	for _, count := range []int{9, 360} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(count)
			m.tell(20)
			m.play(10 * time.Second)
			time.Sleep(10 * time.Second)
			m.came = nil
			m.tell(0.3)
			m.play(20 * time.Second)
			m.check(t, 0.3)
		})
	}
}

// Where all daemons that had a part are gone, nobody hears that a limit is over. The others
// ask in turn, one at a time.
func TestLimitIsAskedForInTurnsWhereNobodySpeaksOfIt(t *testing.T) {
	for _, count := range []int{9, 89} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(count)
			const perSecond = 0.3
			m.tell(perSecond)
			var without []*daemon
			for _, one := range m.daemons {
				if ratelimit.Named(perSecond).Part(one.place(m.start)).PerSecond == 0 {
					without = append(without, one)
				}
			}
			m.daemons = without
			m.play(time.Minute)
			qt.Assert(t, m.came, qt.HasLen, 0)
			m.play(5 * time.Minute)
			qt.Assert(t, len(m.came) >= 2, qt.IsTrue)
			m.check(t, perSecond)
		})
	}
}
