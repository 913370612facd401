package retry_test

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/retry"
	"headcourse/lab/fuzz"
	"headcourse/lab/retryledger"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m))
}

// Limits of the daemons of a test, for all of them together.
const (
	fleetShare  = 0.2
	fleetWindow = 10 * time.Second
	// fleetService is the service that all requests are for.
	fleetService = "engines"
	// maxRandomDaemons is the number of daemons to which no more are added at random.
	maxRandomDaemons = 40
)

// budgetFleet is a fleet of daemons of which each has a retry budget, and the oracle of their
// sum.
type budgetFleet struct {
	total   retry.Limits
	daemons []*budgetDaemon
	ledger  retryledger.Ledger
}

// budgetDaemon is one start of a daemon.
type budgetDaemon struct {
	budgets *retry.Budgets
	part    retry.Part
}

// newBudgetFleet returns a fleet of daemons that have just started and read a list of all.
func newBudgetFleet(daemons int, burst float64) *budgetFleet {
	f := &budgetFleet{
		total: retry.Limits{
			Share:  fleetShare,
			Burst:  burst,
			Window: fleetWindow,
		},
		ledger: retryledger.Ledger{
			Share:  fleetShare,
			Burst:  burst,
			Window: fleetWindow,
		},
	}
	f.daemons = make([]*budgetDaemon, daemons)
	for i := range f.daemons {
		f.restart(i)
	}
	return f
}

// restart replaces a daemon by its next start, which reads the list.
func (f *budgetFleet) restart(daemon int) {
	started := &budgetDaemon{
		part: retry.Part{
			Total: f.total,
		},
	}
	started.budgets = &retry.Budgets{
		Limits: func() retry.Limits {
			return started.part.Limits(time.Now())
		},
		StartedAt: time.Now(),
	}
	f.daemons[daemon] = started
	f.observeList(daemon)
}

// observeList makes a daemon read the list of all daemons.
func (f *budgetFleet) observeList(daemon int) {
	// The order differs from that in which daemons were added.
	position := 0
	for other := range f.daemons {
		if orderOf(other) < orderOf(daemon) {
			position++
		}
	}
	now := time.Now()
	f.daemons[daemon].part = f.daemons[daemon].part.WithList(len(f.daemons), position, now, now)
}

// orderOf returns a number by which the daemons are ordered.
func orderOf(daemon int) uint32 {
	const multiplier = 2654435761
	return uint32(daemon) * multiplier
}

// observeLists makes all daemons read the list.
func (f *budgetFleet) observeLists() {
	for daemon := range f.daemons {
		f.observeList(daemon)
	}
}

// settle lets so much time pass that all daemons have what they can store of their burst.
func (f *budgetFleet) settle() {
	for range 2 {
		time.Sleep(fleetWindow)
		f.observeLists()
	}
}

// addDaemon adds a daemon, which reads the list. The others read it later.
func (f *budgetFleet) addDaemon() {
	f.daemons = append(f.daemons, nil)
	f.restart(len(f.daemons) - 1)
}

// send sends requests to a daemon, which makes as many retries as its budget allows, up to a
// number for each request.
func (f *budgetFleet) send(daemon, requests, maxRetries int) {
	budget := f.daemons[daemon].budgets.ForName(fleetService)
	for range requests {
		f.ledger.RecordRequest()
		budget.RecordRequest()
		for range maxRetries {
			if budget.TrySpend() {
				f.ledger.RecordRepeat()
			}
		}
	}
}

// spendAll makes a daemon spend all retries that its budget allows.
func (f *budgetFleet) spendAll(daemon int) int {
	retries := 0
	for f.daemons[daemon].budgets.ForName(fleetService).TrySpend() {
		f.ledger.RecordRepeat()
		retries++
	}
	return retries
}

// spendAllFor lets time pass, while all daemons spend whatever their budgets allow.
func (f *budgetFleet) spendAllFor(duration time.Duration) {
	const interval = 100 * time.Millisecond
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for daemon := range f.daemons {
			f.spendAll(daemon)
		}
		time.Sleep(min(interval, time.Until(end)))
	}
}

// checkBound fails the test if a window has more repeats than share and burst allow.
func (f *budgetFleet) checkBound(t *testing.T) {
	t.Helper()
	worst, isViolated := f.ledger.Worst()
	qt.Check(t, isViolated, qt.IsFalse, qt.Commentf("%d daemons: %v", len(f.daemons), worst))
}

// Guards against a retry budget that begins anew with each start of a daemon: repeats beyond share
// and burst when daemons are killed several times in a window.
func TestRetriesOfAllStartsStayWithinTheBound(t *testing.T) {
	for _, daemons := range []int{1, 9, 89, 360, 984, 2484} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newBudgetFleet(daemons, 136)
			fleet.settle()
			for range 4 {
				for daemon := range daemons {
					fleet.send(daemon, 3, 2)
					fleet.restart(daemon)
				}
				time.Sleep(2500 * time.Millisecond)
			}
			qt.Check(t, fleet.ledger.Repeats() > 0, qt.IsTrue)
			fleet.checkBound(t)
		})
	}
}

// Guards against a share of requests that is spent in a later window, while the clients' next
// requests earn their share at other daemons: repeats beyond share and burst when traffic moves.
func TestShareEarnedBeforeTheWindowStaysWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, requests = 10, 1000
		fleet := newBudgetFleet(daemons, 10)
		fleet.settle()
		for range 10 {
			for daemon := range daemons / 2 {
				fleet.send(daemon, requests/10/(daemons/2), 0)
			}
			time.Sleep(time.Second)
		}
		for daemon := range daemons {
			fleet.spendAll(daemon)
		}
		for range 10 {
			for daemon := daemons / 2; daemon < daemons; daemon++ {
				fleet.send(daemon, requests/10/(daemons/2), 2)
			}
			time.Sleep(990 * time.Millisecond)
		}
		fleet.checkBound(t)
	})
}

// Guards against daemons that are added while the others still have a shorter list, or have spent
// their larger parts: repeats beyond the burst.
func TestBurstStaysWithinTheBoundWhileDaemonsAreAdded(t *testing.T) {
	for _, settled := range []time.Duration{0, 5 * time.Second, 9500 * time.Millisecond, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			const daemons = 10
			fleet := newBudgetFleet(daemons, 400)
			fleet.settle()
			for range daemons {
				fleet.addDaemon()
			}
			time.Sleep(settled)
			fleet.spendAllFor(5 * time.Second)
			fleet.observeLists()
			fleet.spendAllFor(10 * time.Second)
			qt.Check(t, fleet.ledger.Repeats() >= 200, qt.IsTrue)
			fleet.checkBound(t)
		})
	}
}

// All retries together stay within share and burst in any window, for any series of starts and
// any distribution of requests.
func TestRetriesOfAnyFleetStayWithinTheBound(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		checkRandomFleet(rt)
	})
}

// checkRandomFleet runs random steps of a fleet and fails if a window has too many repeats.
func checkRandomFleet(rt *rapid.T) {
	daemons := rapid.IntRange(1, 12).Draw(rt, "daemons")
	fleet := newBudgetFleet(daemons, float64(rapid.IntRange(0, 100).Draw(rt, "burst")))
	if rapid.Bool().Draw(rt, "settled") {
		fleet.settle()
	}
	for range rapid.IntRange(1, 60).Draw(rt, "steps") {
		fleet.randomStep(rt)
	}
	if worst, isViolated := fleet.ledger.Worst(); isViolated {
		rt.Fatalf("%d daemons: %v", daemons, worst)
	}
}

// randomStep lets time pass, sends requests to one or all daemons, spends what they have, restarts
// some, adds some, or makes one read the list.
func (f *budgetFleet) randomStep(rt *rapid.T) {
	daemon := rapid.IntRange(0, len(f.daemons)-1)
	switch rapid.IntRange(0, 8).Draw(rt, "step") {
	case 0:
		pause := time.Duration(rapid.IntRange(1, 6000).Draw(rt, "pause_ms")) * time.Millisecond
		if rapid.Bool().Draw(rt, "spends meanwhile") {
			f.spendAllFor(pause)
		}
		time.Sleep(pause)
	case 1:
		f.send(daemon.Draw(rt, "daemon"), rapid.IntRange(1, 100).Draw(rt, "requests"), rapid.IntRange(0, 3).Draw(rt, "retries"))
	case 2:
		requests, retries := rapid.IntRange(1, 10).Draw(rt, "requests"), rapid.IntRange(0, 3).Draw(rt, "retries")
		for i := range f.daemons {
			f.send(i, requests, retries)
		}
	case 3:
		f.restart(daemon.Draw(rt, "daemon"))
	case 4:
		for i := range rapid.IntRange(1, len(f.daemons)).Draw(rt, "killed") {
			f.restart(i)
		}
	case 5:
		if len(f.daemons) < maxRandomDaemons {
			for range rapid.IntRange(1, len(f.daemons)).Draw(rt, "added") {
				f.addDaemon()
			}
		}
	case 6:
		f.observeList(daemon.Draw(rt, "daemon"))
	case 7:
		f.settle()
	case 8:
		for i := range f.daemons {
			f.spendAll(i)
		}
	}
}
