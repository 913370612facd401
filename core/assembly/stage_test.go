package assembly_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/assembly"
	"headcourse/core/fleet"
)

func TestEachDomainHasSpareOfEachModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newStartedFleet(6)
		spares := map[string]int{}
		for _, server := range s.servers {
			if server.state == fleet.NoGroup {
				spares[server.domain+server.staged]++
			}
		}
		qt.Assert(t, spares, qt.HasLen, 12)
	})
}

// Guards against counting finished loads of spares as pending. On a day with many replaced
// servers, new servers loaded nothing for 15 s.
func TestNewServerLoadsImmediatelyAfterSparesFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimFleet(6)
		c := &assembly.Controller{}
		for !s.isWarm() {
			runFor(s, c, true, simStep)
		}
		before := s.orderCounts["stage"]
		s.addServer("d0", "")
		runFor(s, c, false, time.Second)
		qt.Assert(t, s.orderCounts["stage"], qt.Equals, before+1)
	})
}

// Guards against exceeding the limit on loads when the leader changes. A leader has no
// record of the loads that its predecessor ordered: two leaders within one window each used
// the whole limit and started 26 loads or more where 25 are allowed.
func TestLoadRateStaysWithinLimit(t *testing.T) {
	for _, example := range []struct {
		name string
		// term is how long one leader leads.
		term time.Duration
		// maxLoads is the maximum total of loads: a leader repeats orders without visible
		// result.
		maxLoads int
	}{
		{
			name:     "one leader",
			term:     time.Hour,
			maxLoads: 96,
		},
		{
			name:     "leaders change",
			term:     2 * time.Second,
			maxLoads: 96 * 5,
		},
	} {
		t.Run(example.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loads := countLoads(t, example.term)
				qt.Assert(t, loads >= 96 && loads <= example.maxLoads, qt.IsTrue, qt.Commentf("%d", loads))
			})
		})
	}
}

// countLoads runs a fleet without weights under successive leaders, checks the number of
// loads in each window, and returns the total.
func countLoads(t *testing.T, termLength time.Duration) int {
	t.Helper()
	s := newSimFleet(12)
	c := &assembly.Controller{}
	var loads []time.Time
	elected := time.Now()
	recordLoad := func(order assembly.Order) delivery {
		server := s.servers[order.Server.ID]
		isLoad := order.Kind == assembly.Stage || (order.Kind == assembly.Join && server.staged != order.Model && server.group != order.Group)
		if isLoad {
			loads = append(loads, time.Now())
		}
		return delivery{}
	}
	for end := time.Now().Add(200 * time.Second); time.Now().Before(end); {
		if time.Since(elected) >= termLength {
			elected = time.Now()
			c = &assembly.Controller{}
		}
		s.step(c, false, recordLoad)
		s.tick()
	}
	const bound = 4*5*1.1 + 3
	for i, first := range loads {
		count := 0
		for _, at := range loads[i:] {
			if at.Sub(first) <= 5*time.Second {
				count++
			}
		}
		qt.Assert(t, float64(count) <= bound, qt.IsTrue, qt.Commentf("%d loads", count))
	}
	return len(loads)
}

// Second models are loaded before the first client arrives, with all loads that the weight
// store serves at once. Otherwise hundreds of servers in eight domains would load for tens
// of seconds during the first requests. The limit on loads still applies.
func TestSecondModelsLoadFasterBeforeFirstRequest(t *testing.T) {
	staged := func(isIdle bool) int {
		s := newSimFleet(24)
		s.config.Services[0].Engine.FullSpeedLoads = 40
		s.config.Services[0].Engine.LoadsPerSecond = 20
		c := &assembly.Controller{}
		runFor(s, c, true, 500*time.Millisecond)
		s.isIdle = isIdle
		runFor(s, c, false, 14*time.Second)
		before := s.orderCounts["stage"]
		runFor(s, c, false, 5*time.Second)
		return s.orderCounts["stage"] - before
	}
	synctest.Test(t, func(t *testing.T) {
		busy, idle := staged(false), staged(true)
		qt.Assert(t, idle >= busy*3/2, qt.IsTrue, qt.Commentf("%d loads while idle, %d otherwise", idle, busy))
		// 20 a second and 10% more, in any 5 s.
		qt.Assert(t, idle <= 110, qt.IsTrue, qt.Commentf("%d", idle))
	})
}
