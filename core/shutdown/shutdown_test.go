package shutdown_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/shutdown"
)

// second is a shorthand for tables of times.
const second = time.Second

// Guards against a stop whose parts do not fit into a short time to stop.
func TestScheduleFitsIntoTimeToStop(t *testing.T) {
	start := time.Unix(0, 0)
	for timeout, want := range map[time.Duration]struct{ notice, end time.Duration }{
		second: {
			notice: 500 * time.Millisecond,
			end:    800 * time.Millisecond,
		},
		8 * second: {
			notice: 2600 * time.Millisecond,
			end:    7300 * time.Millisecond,
		},
		30 * second: {
			notice: 2600 * time.Millisecond,
			end:    29300 * time.Millisecond,
		},
	} {
		schedule := shutdown.Schedule{}.WithStart(start, timeout)
		qt.Check(t, schedule.NoticeEnd().Sub(start), qt.Equals, want.notice)
		qt.Check(t, schedule.End().Sub(start), qt.Equals, want.end)
	}
}

// Guards against requests that are refused by a daemon that does not stop, or taken by one whose end is too near.
func TestWorkIsAdmittedIfItIsExpectedToEnd(t *testing.T) {
	start := time.Unix(0, 0)
	for name, row := range map[string]struct {
		work   shutdown.Work
		latest time.Duration
	}{
		"may not be repeated": {
			work: shutdown.Work{
				Expected: second,
				Limit:    6 * second,
			},
			latest: 5950 * time.Millisecond,
		},
		"may be repeated": {
			work: shutdown.Work{
				Expected:     second,
				Limit:        6 * second,
				IsRepeatable: true,
			},
			latest: 6100 * time.Millisecond,
		},
		"answered by its own timeout": {
			work: shutdown.Work{
				Expected: 20 * second,
				Limit:    2 * second,
			},
			latest: 5200 * time.Millisecond,
		},
		"of unknown length": {
			work: shutdown.Work{
				Limit: 20 * second,
			},
			latest: 2600 * time.Millisecond,
		},
		"of unknown length, answered by its own timeout": {
			work: shutdown.Work{
				Limit: second,
			},
			latest: 6200 * time.Millisecond,
		},
		"nothing known": {
			latest: 2600 * time.Millisecond,
		},
		"longer than the stop": {
			work: shutdown.Work{
				Expected: 20 * second,
				Limit:    20 * second,
			},
			latest: -12800 * time.Millisecond,
		},
	} {
		schedule := shutdown.Schedule{}.WithStart(start, 8*second)
		qt.Check(t, schedule.LatestStart(row.work).Sub(start), qt.Equals, row.latest, qt.Commentf("%s", name))
		qt.Check(t, schedule.Admits(start.Add(row.latest), row.work), qt.IsTrue)
		qt.Check(t, schedule.Admits(start.Add(row.latest+1), row.work), qt.IsFalse)
		qt.Check(t, shutdown.Schedule{}.Admits(start, row.work), qt.IsTrue)
	}
}

// arrival is a request of a series: when its head and its body are complete, and how long it takes.
type arrival struct {
	headAt, bodyAt time.Time
	takes          time.Duration
}

// series is a random series of arrivals around a stop.
type series struct {
	random *rand.Rand
	// usual is the median of the time that a request takes, spread the part by which others differ from it.
	usual, spread float64
}

// duration returns the time that a request takes.
func (s series) duration() time.Duration {
	return time.Duration(s.usual * (1 + s.spread*(2*s.random.Float64()-1)))
}

// arrival returns a request whose head comes before the end of the notice. Some bodies take as long as the stop.
func (s series) arrival(schedule shutdown.Schedule) arrival {
	notice := schedule.NoticeEnd().Sub(schedule.StartedAt())
	headAt := schedule.StartedAt().Add(time.Duration((1.5*s.random.Float64() - 0.5) * float64(notice)))
	bodyAt := headAt
	const slowShare = 0.2
	if s.random.Float64() < slowShare {
		bodyAt = headAt.Add(time.Duration(s.random.Float64() * float64(schedule.End().Sub(headAt))))
	}
	return arrival{
		headAt: headAt,
		bodyAt: bodyAt,
		takes:  s.duration(),
	}
}

// isTaken reports whether a request is taken, judged at its head and at its body. One that was complete before the stop is.
func (a arrival) isTaken(schedule shutdown.Schedule, work shutdown.Work) bool {
	if a.bodyAt.Before(schedule.StartedAt()) {
		return true
	}
	deadline := schedule.BodyDeadline(shutdown.Work{})
	if !a.headAt.Before(schedule.StartedAt()) {
		deadline = schedule.BodyDeadline(work)
	}
	return !a.bodyAt.After(deadline) && schedule.Admits(a.bodyAt, work)
}

// run plays a request that ends with a whole answer without events.
func run(durations *shutdown.Durations, kind string, takes time.Duration) {
	ran := durations.Begin(shutdown.Request{
		Kind: kind,
	})
	time.Sleep(takes)
	ran.End(true)
}

// expected returns how long nearly all requests of a kind take that state no largest answer.
func expected(durations *shutdown.Durations, kind string) time.Duration {
	return durations.Expected(shutdown.Request{
		Kind: kind,
	})
}

// Guards against a daemon that takes requests during its stop without the time to finish them, or refuses many that it could
// finish.
func TestWhatIsTakenEndsAndLittleIsRefused(t *testing.T) {
	const (
		plays, arrivals = 300, 400
		minServed       = 0.95
	)
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(plays) {
			random := rand.New(rand.NewPCG(seed, seed))
			timeout := second + time.Duration(random.Float64()*float64(29*second))
			schedule := shutdown.Schedule{}.WithStart(time.Now(), timeout)
			s := series{
				random: random,
				usual:  (0.005 + 0.2*random.Float64()) * float64(timeout),
				spread: 0.2 * random.Float64(),
			}
			var durations shutdown.Durations
			for range 50 + random.IntN(100) {
				run(&durations, "kind", s.duration())
				time.Sleep(time.Duration(random.Float64() * float64(second)))
			}
			schedule = schedule.WithStart(time.Now(), timeout)
			work := shutdown.Work{
				Expected:     expected(&durations, "kind"),
				Limit:        time.Minute,
				IsRepeatable: random.IntN(2) == 0,
			}
			could, served := 0, 0
			for range arrivals {
				a := s.arrival(schedule)
				ends := a.bodyAt.Add(a.takes)
				isTaken := a.isTaken(schedule, work)
				if !ends.After(schedule.End()) {
					could++
					if isTaken {
						served++
					}
				}
				if isTaken && !a.bodyAt.Before(schedule.StartedAt()) {
					qt.Assert(t, ends.After(schedule.End()), qt.IsFalse, qt.Commentf("seed %d: complete %v after the stop began, takes %v of %v",
						seed, a.bodyAt.Sub(schedule.StartedAt()), a.takes, timeout))
				}
			}
			qt.Check(t, float64(served) >= minServed*float64(could), qt.IsTrue, qt.Commentf("seed %d: %d of %d, usually %v of %v, repeatable: %v",
				seed, served, could, time.Duration(s.usual), timeout, work.IsRepeatable))
		}
	})
}

// Guards against an expected duration that one request decides, or that stays after the load has changed.
func TestExpectedDurationIsThatOfNearlyAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var durations shutdown.Durations
		qt.Assert(t, expected(&durations, "a"), qt.Equals, time.Duration(0))
		for range 9 {
			run(&durations, "a", second)
		}
		qt.Assert(t, expected(&durations, "a"), qt.Equals, time.Duration(0))
		run(&durations, "a", second)
		qt.Assert(t, expected(&durations, "a"), qt.Equals, second)
		qt.Assert(t, expected(&durations, "b"), qt.Equals, time.Duration(0))
		for range 600 {
			time.Sleep(second)
			run(&durations, "a", 2*second)
		}
		qt.Assert(t, expected(&durations, "a"), qt.Equals, 2*second)
	})
}
