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
)

// budgetFleet is a fleet of daemons of which each has a retry budget, and the oracle of their
// sum.
type budgetFleet struct {
	burst   float64
	daemons []*retry.Budgets
	ledger  retryledger.Ledger
}

// newBudgetFleet returns a fleet of daemons that have just started.
func newBudgetFleet(daemons int, burst float64) *budgetFleet {
	f := &budgetFleet{
		burst:   burst,
		daemons: make([]*retry.Budgets, daemons),
		ledger: retryledger.Ledger{
			Share:  fleetShare,
			Burst:  burst,
			Window: fleetWindow,
		},
	}
	for i := range f.daemons {
		f.restart(i)
	}
	return f
}

// restart replaces a daemon by its next start.
func (f *budgetFleet) restart(daemon int) {
	f.daemons[daemon] = &retry.Budgets{}
	f.daemons[daemon].SetLimits(fleetShare, retry.BurstPerDaemon(f.burst, len(f.daemons)), fleetWindow)
}

// send sends requests to a daemon, which makes as many retries as its budget allows, up to a
// number for each request.
func (f *budgetFleet) send(daemon, requests, maxRetries int) {
	budget := f.daemons[daemon].ForName(fleetService)
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

// Guards against a retry budget that begins anew with each start of a daemon: repeats beyond share
// and burst when daemons are killed several times in a window.
func TestRetriesOfAllStartsStayWithinTheBound(t *testing.T) {
	for _, daemons := range []int{1, 9, 89, 360, 984, 2484} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newBudgetFleet(daemons, 136)
			for range 4 {
				for daemon := range daemons {
					fleet.send(daemon, 3, 2)
					fleet.restart(daemon)
				}
				time.Sleep(2500 * time.Millisecond)
			}
			worst, isViolated := fleet.ledger.Worst()
			qt.Check(t, isViolated, qt.IsFalse, qt.Commentf("%d daemons: %v", daemons, worst))
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
	daemons := rapid.IntRange(1, 40).Draw(rt, "daemons")
	fleet := newBudgetFleet(daemons, float64(rapid.IntRange(0, 60).Draw(rt, "burst")))
	for range rapid.IntRange(1, 60).Draw(rt, "steps") {
		fleet.randomStep(rt)
	}
	if worst, isViolated := fleet.ledger.Worst(); isViolated {
		rt.Fatalf("%d daemons: %v", daemons, worst)
	}
}

// randomStep lets time pass, sends requests to one or all daemons, or restarts some.
func (f *budgetFleet) randomStep(rt *rapid.T) {
	daemon := rapid.IntRange(0, len(f.daemons)-1)
	switch rapid.IntRange(0, 4).Draw(rt, "step") {
	case 0:
		time.Sleep(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "pause_ms")) * time.Millisecond)
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
	}
}
