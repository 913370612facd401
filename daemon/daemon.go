// Package daemon runs one headcourse daemon: it connects the decision logic in
// core with the network clients and servers in io.
//
// One goroutine, the control goroutine, owns the control state
// (control.Controller). Pollers, probers and servers queue their updates to it
// as functions. It publishes immutable snapshots, which the goroutines that
// serve requests read. Data flows in one direction:
//
//	table, VM list, probes, peers → control goroutine → snapshot → callers
package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"headcourse/core/control"
	"headcourse/core/plan"
	"headcourse/core/roster"
	"headcourse/core/table"
	"headcourse/io/engine"
	"headcourse/io/peer"
	"headcourse/io/tablestore"
	"headcourse/io/vmlist"
)

// maxStepInterval is the time between two control steps when no update arrives.
const maxStepInterval = 200 * time.Millisecond

// inboxCapacity is how many functions can be queued for the control goroutine.
const inboxCapacity = 1024

// Daemon is the control part of one running daemon. Start creates it.
type Daemon struct {
	settings Settings
	log      *zap.Logger
	self     roster.Daemon

	store   *table.ResolvingStore
	vmList  *vmlist.Client
	engines *engine.Client
	peers   *peer.Client
	server  *peer.Server
	traffic peer.Traffic

	inbox             chan func(*control.Controller)
	snapshot          atomic.Pointer[control.Snapshot]
	probeTargets      atomic.Pointer[[]control.Target]
	pullSources       atomic.Pointer[[]roster.Source]
	refreshRequests   chan struct{}
	snapshotListeners []func()
	// probeRound counts the probe rounds since the start.
	probeRound int

	cancel     context.CancelFunc
	goroutines conc.WaitGroup
	// controlEnded is closed when the control goroutine has ended, stopped when all have.
	controlEnded chan struct{}
	stopped      chan struct{}
	stopOnce     sync.Once
}

// Start starts the control part of a daemon. The settings must have passed
// Settings.Check.
func Start(settings Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: settings,
		log:      log,
		store: &table.ResolvingStore{
			Store: tablestore.New(settings.Table),
		},
		vmList:          vmlist.New(settings.VMList),
		engines:         engine.New(settings.IdleTime),
		inbox:           make(chan func(*control.Controller), inboxCapacity),
		refreshRequests: make(chan struct{}, 1),
		controlEnded:    make(chan struct{}),
		stopped:         make(chan struct{}),
	}
	server, err := peer.Listen(settings.Peers, settings.PeerKey, d, &d.traffic)
	if err != nil {
		return nil, err
	}
	d.server = server
	d.self = roster.Daemon{
		ID:          newDaemonID(settings, server.Address()),
		Zone:        settings.Zone,
		PeerAddress: server.Address(),
	}
	d.peers = peer.NewClient(peer.Hello{
		Key:    settings.PeerKey,
		Daemon: d.self.ID,
	}, &d.traffic)
	d.snapshot.Store(&control.Snapshot{})
	d.probeTargets.Store(&[]control.Target{})
	d.pullSources.Store(&[]roster.Source{})
	d.startGoroutines()
	d.log.Info("daemon: started", zap.String("id", d.self.ID), zap.String("zone", settings.Zone), zap.String("peers", d.self.PeerAddress))
	return d, nil
}

// newDaemonID returns an id that is unique to this start of the daemon. A
// restarted daemon needs a new id because it has lost its state, such as the
// leases that it held.
func newDaemonID(settings Settings, address string) string {
	const suffixLength = 8
	name := settings.ID
	if name == "" {
		name = address
	}
	return name + "." + uuid.NewString()[:suffixLength]
}

// ID returns the daemon's id, which is unique to this start.
func (d *Daemon) ID() string {
	return d.self.ID
}

// PeerAddress returns the IP:port on which the daemon listens for other daemons.
func (d *Daemon) PeerAddress() string {
	return d.self.PeerAddress
}

// Engines returns the client for backend servers.
func (d *Daemon) Engines() *engine.Client {
	return d.engines
}

// Store returns the store. It resolves commits whose answer was lost
// (table.ResolvingStore).
func (d *Daemon) Store() table.Store {
	return d.store
}

// Snapshot returns the latest published snapshot.
func (d *Daemon) Snapshot() *control.Snapshot {
	return d.snapshot.Load()
}

// Traffic returns the counters of bytes exchanged with peers.
func (d *Daemon) Traffic() *peer.Traffic {
	return &d.traffic
}

// OnSnapshot registers a listener that is called after each published snapshot.
// Register it before the daemon accepts requests. The listener must not block.
func (d *Daemon) OnSnapshot(listener func()) {
	d.runInControl(func(*control.Controller) {
		d.snapshotListeners = append(d.snapshotListeners, listener)
	})
}

// Leave releases the leases, removes the daemon from the roster and stops it.
// It stops the daemon after the timeout in any case.
func (d *Daemon) Leave(timeout time.Duration) {
	d.runInControl(func(c *control.Controller) {
		c.Leave()
	})
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for !d.hasLeft() {
		select {
		case <-deadline.C:
			d.Stop()
			return
		case <-time.After(maxStepInterval):
		}
	}
	d.Stop()
}

// hasLeft reports whether the roster no longer lists the daemon. It returns false if
// the daemon has stopped.
func (d *Daemon) hasLeft() bool {
	left := false
	d.runInControl(func(c *control.Controller) {
		left = !c.Roster().Contains(d.self.ID)
	})
	return left
}

// Stop stops the daemon immediately and waits for its goroutines.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() {
		d.cancel()
		d.server.Close()
		d.peers.Close()
		d.goroutines.Wait()
		close(d.stopped)
		d.log.Info("daemon: stopped", zap.String("id", d.self.ID))
	})
	<-d.stopped
}

// runInControl runs a function in the control goroutine and waits for it. It
// returns false if that goroutine ended first.
func (d *Daemon) runInControl(task func(*control.Controller)) bool {
	done := make(chan struct{})
	queued := func(c *control.Controller) {
		task(c)
		close(done)
	}
	select {
	case d.inbox <- queued:
	case <-d.controlEnded:
		return false
	}
	select {
	case <-done:
		return true
	case <-d.controlEnded:
		return false
	}
}

// postToControl queues a function for the control goroutine without waiting for
// it to run.
func (d *Daemon) postToControl(ctx context.Context, task func(*control.Controller)) {
	select {
	case d.inbox <- task:
	case <-ctx.Done():
	}
}

// FleetState returns the controller's view of the fleet, or an empty one if the
// daemon has stopped.
func (d *Daemon) FleetState() plan.FleetState {
	var fleetState plan.FleetState
	d.runInControl(func(c *control.Controller) {
		fleetState = c.FleetState()
	})
	return fleetState
}

// ErrStopped is returned by operations on a stopped daemon.
var ErrStopped = errors.New("daemon stopped")

// IsMember reports whether the roster lists a daemon.
func (d *Daemon) IsMember(id string) bool {
	return d.Roster().Contains(id)
}
