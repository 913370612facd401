// Package slopes measures what one daemon spends on control at rest: processor
// time, memory, bytes to other daemons, and reads and writes of the store, for
// several numbers of daemons. The stand-ins run in another process, so that
// the processor time is the daemons' own.
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

// Settings are the properties of a measurement.
type Settings struct {
	Deployment examples.Deployment
	Table      string
	VMList     string
	Daemons    int
	// Settle and Measure are the times before and of the measurement.
	Settle  time.Duration
	Measure time.Duration
}

// Figures are what was measured, for one daemon and one second, but for Spread.
type Figures struct {
	Daemons int
	Groups  int
	VMs     int
	// CPU is in seconds of processor time, Memory in bytes of heap and stacks.
	CPU    float64
	Memory float64
	// Peer is bytes read and written between daemons, Reads and Commits are
	// operations of the store by all daemons together.
	Peer    float64
	Reads   float64
	Commits float64
	// Spread is the time in seconds from a change in the table until the last
	// daemon held it.
	Spread float64
}

// Measure runs daemons and measures them at rest.
func Measure(settings Settings) (Figures, error) {
	figures := Figures{
		Daemons: settings.Daemons,
	}
	before := usage.Memory()
	daemons, err := start(settings)
	defer stop(daemons)
	if err != nil {
		return figures, err
	}
	if err = form(settings, daemons); err != nil {
		return figures, err
	}
	time.Sleep(settings.Settle)
	figures.Memory = (usage.Memory() - before) / float64(settings.Daemons)
	if err = settings.rest(daemons, &figures); err != nil {
		return figures, err
	}
	figures.Spread, err = spread(settings, daemons)
	world := daemons[0].World()
	figures.Groups = len(world.Groups)
	figures.VMs = len(world.VMs)
	return figures, err
}

// start starts the daemons' control parts.
func start(settings Settings) ([]*daemon.Daemon, error) {
	var daemons []*daemon.Daemon
	zones := settings.Deployment.Declaration.Zones
	for number := range settings.Daemons {
		one := daemon.Settings{
			ID:       fmt.Sprintf("entry-%d", number+1),
			Zone:     zones[number%len(zones)].Name,
			Peers:    "127.0.0.1:0",
			Table:    settings.Table,
			VMList:   settings.VMList,
			PeerKey:  "slopes-peer-key-0123456789",
			IdleTime: time.Minute,
		}
		started, err := daemon.Start(one, zap.NewNop())
		if err != nil {
			return daemons, err
		}
		daemons = append(daemons, started)
	}
	return daemons, nil
}

// stop stops the daemons, so that they leave the roster.
func stop(daemons []*daemon.Daemon) {
	var stopping conc.WaitGroup
	for _, one := range daemons {
		stopping.Go(func() {
			one.Leave(time.Minute)
		})
	}
	stopping.Wait()
}

// formTimeout bounds the forming of all groups.
const formTimeout = 3 * time.Minute

// form declares the deployment and waits until all its groups serve at every
// daemon.
func form(settings Settings, daemons []*daemon.Daemon) error {
	ctx, cancel := timeout()
	defer cancel()
	store := daemons[0].Store()
	if err := declare(settings, daemons[0]); err != nil {
		return err
	}
	wanted := 0
	for _, count := range settings.Deployment.Declaration.Models[0].Replicas {
		wanted += count
	}
	world, err := await(daemons[0], func(world plan.World) bool {
		return world.Configuration.Revision > 0 && len(world.VMs) > 0
	})
	if err != nil {
		return err
	}
	if len(world.Groups) < wanted {
		made, buildErr := plan.Build(fmt.Sprintf("slopes-%d", time.Now().UnixNano()), "slopes", plan.Intent{
			Kind: plan.Reconcile,
		}, world)
		if buildErr != nil {
			return buildErr
		}
		confirm, confirmErr := plan.Confirm(made, world)
		if confirmErr != nil {
			return confirmErr
		}
		if _, err = store.Commit(ctx, confirm); err != nil {
			return errors.Wrap(err, "confirm plan")
		}
	}
	_, err = await(daemons[len(daemons)-1], func(world plan.World) bool {
		serving := 0
		for _, record := range world.Groups {
			if record.Phase == group.Serving {
				serving++
			}
		}
		return serving >= wanted
	})
	return err
}

// declare stores the declaration as the next revision.
func declare(settings Settings, one *daemon.Daemon) error {
	ctx, cancel := timeout()
	defer cancel()
	row, err := one.Store().Read(ctx, plan.ConfigKey)
	if err != nil {
		return err
	}
	var present plan.Configuration
	if row.Version != 0 {
		if err = row.Decode(&present); err != nil {
			return err
		}
	}
	change := table.Transaction{}.WithCondition(plan.ConfigKey, row.Version)
	change = change.WithWrite(table.Put(plan.ConfigKey, plan.Configuration{
		Revision:    present.Revision + 1,
		Operator:    "slopes",
		Declaration: settings.Deployment.Declaration,
	}))
	_, err = one.Store().Commit(ctx, change)
	return errors.Wrap(err, "declare")
}

// await waits until a daemon's world is as wanted.
func await(one *daemon.Daemon, isWanted func(plan.World) bool) (plan.World, error) {
	deadline := time.Now().Add(formTimeout)
	for time.Now().Before(deadline) {
		if world := one.World(); isWanted(world) {
			return world, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return plan.World{}, errors.New("the fleet did not get to where it can be measured")
}

// rest measures the daemons while nothing happens.
func (s Settings) rest(daemons []*daemon.Daemon, figures *Figures) error {
	countsBefore, err := counts(s.Table)
	if err != nil {
		return err
	}
	cpuBefore, peerBefore, began := usage.ProcessorTime(), peerBytes(daemons), time.Now()
	time.Sleep(s.Measure)
	passed := time.Since(began).Seconds()
	figures.CPU = (usage.ProcessorTime() - cpuBefore) / passed / float64(s.Daemons)
	figures.Peer = (peerBytes(daemons) - peerBefore) / passed / float64(s.Daemons)
	countsAfter, err := counts(s.Table)
	figures.Reads = float64(countsAfter.Reads-countsBefore.Reads) / passed
	figures.Commits = float64(countsAfter.Commits-countsBefore.Commits) / passed
	return err
}

// spread changes the configuration and measures until the last daemon holds it.
func spread(settings Settings, daemons []*daemon.Daemon) (float64, error) {
	before := daemons[0].Snapshot().Configuration.Revision
	if err := declare(settings, daemons[0]); err != nil {
		return 0, err
	}
	began := time.Now()
	for _, one := range daemons {
		for one.Snapshot().Configuration.Revision <= before {
			if time.Since(began) > formTimeout {
				return 0, errors.New("the configuration did not spread")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began).Seconds(), nil
}

// counts reads the table's counters.
func counts(address string) (tablestore.Counts, error) {
	var found tablestore.Counts
	_, body, err := new(http1.Client).JSON(address, "/lab/counts", nil)
	if err != nil {
		return found, err
	}
	return found, json.Unmarshal(body, &found)
}

// peerBytes sums up the bytes between daemons; each is read by one and written
// by another, and counts for both.
func peerBytes(daemons []*daemon.Daemon) float64 {
	total := int64(0)
	for _, one := range daemons {
		total += one.Traffic().Read.Load() + one.Traffic().Written.Load()
	}
	return float64(total)
}

// timeout returns a context for one exchange with the store.
func timeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 10*time.Second)
}
