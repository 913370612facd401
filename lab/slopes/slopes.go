// Package slopes measures the cost of control in an idle fleet for several numbers of daemons:
// processor time, memory and peer traffic of each daemon, and reads and writes of the store.
// The stand-ins run in another process, so that the measured processor time is that of the
// daemons alone.
package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"headcourse/core/group"
	"headcourse/core/plan"
	"headcourse/core/table"
	"headcourse/daemon"
	"headcourse/io/http1"
	"headcourse/lab/examples"
	"headcourse/lab/tablestore"
	"headcourse/lab/usage"
)

// Settings configure a measurement.
type Settings struct {
	Deployment examples.Deployment
	Table      string
	VMList     string
	Daemons    int
	// Settle is the waiting time before the measurement, and Measure its duration.
	Settle  time.Duration
	Measure time.Duration
}

// Measurement holds the measured values. They are for one daemon and one second, unless the
// comment of a field states otherwise.
type Measurement struct {
	Daemons int
	Groups  int
	VMs     int
	// CPUCores is the seconds of processor time, MemoryBytes the bytes of heap and stacks.
	CPUCores    float64
	MemoryBytes float64
	// PeerBytesPerSecond is the number of bytes read and written between daemons.
	// ReadsPerSecond and CommitsPerSecond are operations of the store by all daemons together.
	PeerBytesPerSecond float64
	ReadsPerSecond     float64
	CommitsPerSecond   float64
	// PropagationSeconds is the time in seconds from a change in the table until every daemon
	// has applied it.
	PropagationSeconds float64
}

// Measure starts daemons, measures them while they are idle, and then measures how long a change
// takes to reach all of them.
func Measure(settings Settings) (Measurement, error) {
	measurement := Measurement{
		Daemons: settings.Daemons,
	}
	before := usage.MemoryBytes()
	daemons, err := startDaemons(settings)
	defer stopDaemons(daemons)
	if err != nil {
		return measurement, err
	}
	if err = formGroups(settings, daemons); err != nil {
		return measurement, err
	}
	time.Sleep(settings.Settle)
	measurement.MemoryBytes = (usage.MemoryBytes() - before) / float64(settings.Daemons)
	if err = settings.measureIdle(daemons, &measurement); err != nil {
		return measurement, err
	}
	measurement.PropagationSeconds, err = measurePropagation(settings, daemons)
	state := daemons[0].FleetState()
	measurement.Groups = len(state.Groups)
	measurement.VMs = len(state.VMs)
	return measurement, err
}

// startDaemons starts daemons without listeners for callers and operators.
func startDaemons(settings Settings) ([]*daemon.Daemon, error) {
	var daemons []*daemon.Daemon
	zones := settings.Deployment.Declaration.Zones
	for index := range settings.Daemons {
		daemonSettings := daemon.Settings{
			ID:       fmt.Sprintf("entry-%d", index+1),
			Zone:     zones[index%len(zones)].Name,
			Peers:    "127.0.0.1:0",
			Table:    settings.Table,
			VMList:   settings.VMList,
			PeerKey:  "slopes-peer-key-0123456789",
			IdleTime: time.Minute,
		}
		started, err := daemon.Start(daemonSettings, zap.NewNop())
		if err != nil {
			return daemons, err
		}
		daemons = append(daemons, started)
	}
	return daemons, nil
}

// stopDaemons stops the daemons gracefully, so that they leave the roster.
func stopDaemons(daemons []*daemon.Daemon) {
	var stopping conc.WaitGroup
	for _, target := range daemons {
		stopping.Go(func() {
			target.Leave(time.Minute)
		})
	}
	stopping.Wait()
}

// stateTimeout limits the wait until the groups are formed or the configuration has reached
// every daemon.
const stateTimeout = 3 * time.Minute

// formGroups declares the deployment, confirms a plan if groups are missing, and waits until all
// groups of its first model are serving in the state of the last daemon.
func formGroups(settings Settings, daemons []*daemon.Daemon) error {
	ctx, cancel := storeContext()
	defer cancel()
	store := daemons[0].Store()
	if err := storeDeclaration(settings, daemons[0]); err != nil {
		return err
	}
	declaredGroups := 0
	for _, count := range settings.Deployment.Declaration.Models[0].Replicas {
		declaredGroups += count
	}
	state, err := waitForFleetState(daemons[0], func(state plan.FleetState) bool {
		return state.Configuration.Revision > 0 && len(state.VMs) > 0
	})
	if err != nil {
		return err
	}
	if len(state.Groups) < declaredGroups {
		proposed, buildErr := plan.Build(fmt.Sprintf("slopes-%d", time.Now().UnixNano()), "slopes", plan.Intent{
			Kind: plan.Reconcile,
		}, state)
		if buildErr != nil {
			return buildErr
		}
		confirm, confirmErr := plan.Confirm(proposed, state)
		if confirmErr != nil {
			return confirmErr
		}
		if _, err = store.Commit(ctx, confirm); err != nil {
			return errors.Wrap(err, "confirm plan")
		}
	}
	_, err = waitForFleetState(daemons[len(daemons)-1], func(state plan.FleetState) bool {
		serving := 0
		for _, record := range state.Groups {
			if record.Phase == group.Serving {
				serving++
			}
		}
		return serving >= declaredGroups
	})
	return err
}

// storeDeclaration stores the declaration as the next revision.
func storeDeclaration(settings Settings, target *daemon.Daemon) error {
	ctx, cancel := storeContext()
	defer cancel()
	row, err := target.Store().Read(ctx, plan.ConfigKey)
	if err != nil {
		return err
	}
	var current plan.Configuration
	if row.Version != 0 {
		if err = row.Decode(&current); err != nil {
			return err
		}
	}
	change := table.Transaction{}.WithCondition(plan.ConfigKey, row.Version)
	change = change.WithWrite(table.Put(plan.ConfigKey, plan.Configuration{
		Revision:    current.Revision + 1,
		Operator:    "slopes",
		Declaration: settings.Deployment.Declaration,
	}))
	_, err = target.Store().Commit(ctx, change)
	return errors.Wrap(err, "declare")
}

// waitForFleetState waits until a daemon's view of the fleet meets a condition.
func waitForFleetState(target *daemon.Daemon, isReached func(plan.FleetState) bool) (plan.FleetState, error) {
	deadline := time.Now().Add(stateTimeout)
	for time.Now().Before(deadline) {
		if state := target.FleetState(); isReached(state) {
			return state, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return plan.FleetState{}, errors.New("fleet did not reach the state to measure before the timeout")
}

// measureIdle measures the daemons while nothing changes.
func (s Settings) measureIdle(daemons []*daemon.Daemon, measurement *Measurement) error {
	countsBefore, err := readCounts(s.Table)
	if err != nil {
		return err
	}
	cpuBefore, peerBefore, startedAt := usage.CPUSeconds(), peerBytes(daemons), time.Now()
	time.Sleep(s.Measure)
	elapsed := time.Since(startedAt).Seconds()
	measurement.CPUCores = (usage.CPUSeconds() - cpuBefore) / elapsed / float64(s.Daemons)
	measurement.PeerBytesPerSecond = (peerBytes(daemons) - peerBefore) / elapsed / float64(s.Daemons)
	countsAfter, err := readCounts(s.Table)
	measurement.ReadsPerSecond = float64(countsAfter.Reads-countsBefore.Reads) / elapsed
	measurement.CommitsPerSecond = float64(countsAfter.Commits-countsBefore.Commits) / elapsed
	return err
}

// measurePropagation changes the configuration and returns the seconds until every daemon has
// applied it.
func measurePropagation(settings Settings, daemons []*daemon.Daemon) (float64, error) {
	before := daemons[0].Snapshot().Configuration.Revision
	if err := storeDeclaration(settings, daemons[0]); err != nil {
		return 0, err
	}
	startedAt := time.Now()
	for _, target := range daemons {
		for target.Snapshot().Configuration.Revision <= before {
			if time.Since(startedAt) > stateTimeout {
				return 0, errors.New("configuration did not reach every daemon before the timeout")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(startedAt).Seconds(), nil
}

// readCounts reads the operation counters of the table service.
func readCounts(address string) (tablestore.Counts, error) {
	var parsed tablestore.Counts
	_, body, err := new(http1.Client).CallJSON(address, "/lab/counts", nil)
	if err != nil {
		return parsed, err
	}
	return parsed, json.Unmarshal(body, &parsed)
}

// peerBytes returns the sum of the bytes that all daemons exchanged. Each byte counts twice,
// for the daemon that wrote it and the one that read it.
func peerBytes(daemons []*daemon.Daemon) float64 {
	total := int64(0)
	for _, source := range daemons {
		total += source.Traffic().Read.Load() + source.Traffic().Written.Load()
	}
	return float64(total)
}

// storeContext returns a context with the timeout of store operations.
func storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 10*time.Second)
}
