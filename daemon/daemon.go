// Package daemon runs one headcourse daemon: it joins the decisions of core
// with the peers that io speaks to.
//
// One goroutine owns the control state (control.Controller). Pollers, probers
// and servers hand it what they learned as functions to run, and it hands out
// immutable snapshots, which the goroutines that carry traffic read. Data
// flows one way:
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

// stepEvery is the time between two steps of control without news.
const stepEvery = 200 * time.Millisecond

// inboxSize is how many pieces of news may wait for the control goroutine.
const inboxSize = 1024

// Daemon is one running daemon. Use Start.
type Daemon struct {
	settings Settings
	log      *zap.Logger
	self     roster.Daemon

	store   *table.Settling
	vms     *vmlist.Client
	engines *engine.Client
	peers   *peer.Client
	server  *peer.Server
	traffic peer.Traffic

	inbox    chan func(*control.Controller)
	snapshot atomic.Pointer[control.Snapshot]
	targets  atomic.Pointer[[]control.Target]
	sources  atomic.Pointer[[]roster.Source]
	refresh  chan struct{}
	onChange []func()
	// probeRound counts the rounds of probes.
	probeRound int

	stop  context.CancelFunc
	tasks conc.WaitGroup
	ended chan struct{}
	once  sync.Once
}

// Start starts the control part of a daemon. Settings have been checked.
func Start(settings Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: settings,
		log:      log,
		store: &table.Settling{
			Store: tablestore.New(settings.Table),
		},
		vms:     vmlist.New(settings.VMList),
		engines: engine.New(settings.IdleTime),
		inbox:   make(chan func(*control.Controller), inboxSize),
		refresh: make(chan struct{}, 1),
		ended:   make(chan struct{}),
	}
	server, err := peer.Listen(settings.Peers, settings.PeerKey, d, &d.traffic)
	if err != nil {
		return nil, err
	}
	d.server = server
	d.self = roster.Daemon{
		ID:   idOf(settings, server.Address()),
		Zone: settings.Zone,
		Peer: server.Address(),
	}
	d.peers = peer.NewClient(peer.Hello{
		Key:    settings.PeerKey,
		Daemon: d.self.ID,
	}, &d.traffic)
	d.snapshot.Store(&control.Snapshot{})
	d.targets.Store(&[]control.Target{})
	d.sources.Store(&[]roster.Source{})
	d.run()
	d.log.Info("daemon: started", zap.String("id", d.self.ID), zap.String("zone", settings.Zone), zap.String("peers", d.self.Peer))
	return d, nil
}

// idOf returns an id that no other daemon has and that no later start of this
// one has either, since what it held before is gone.
func idOf(settings Settings, address string) string {
	const suffix = 8
	name := settings.ID
	if name == "" {
		name = address
	}
	return name + "." + uuid.NewString()[:suffix]
}

// ID returns the daemon's id.
func (d *Daemon) ID() string {
	return d.self.ID
}

// PeerAddress returns the IP:port for other daemons.
func (d *Daemon) PeerAddress() string {
	return d.self.Peer
}

// Engines returns the client of backend servers.
func (d *Daemon) Engines() *engine.Client {
	return d.engines
}

// Store returns the store, whose commits are settled.
func (d *Daemon) Store() table.Store {
	return d.store
}

// Snapshot returns the newest snapshot.
func (d *Daemon) Snapshot() *control.Snapshot {
	return d.snapshot.Load()
}

// Traffic returns the bytes exchanged with peers.
func (d *Daemon) Traffic() *peer.Traffic {
	return &d.traffic
}

// OnChange registers a function that is called after every new snapshot. It
// must be registered before requests are taken, and must not block.
func (d *Daemon) OnChange(changed func()) {
	d.ask(func(*control.Controller) {
		d.onChange = append(d.onChange, changed)
	})
}

// Leave gives up leases and the place in the roster, then stops the daemon.
func (d *Daemon) Leave(timeout time.Duration) {
	d.ask(func(c *control.Controller) {
		c.Leave()
	})
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for !d.hasLeft() {
		select {
		case <-deadline.C:
			d.Stop()
			return
		case <-time.After(stepEvery):
		}
	}
	d.Stop()
}

// hasLeft tells whether the roster no longer lists the daemon.
func (d *Daemon) hasLeft() bool {
	left := false
	d.ask(func(c *control.Controller) {
		left = !c.Roster().Has(d.self.ID)
	})
	return left
}

// Stop stops the daemon at once.
func (d *Daemon) Stop() {
	d.once.Do(func() {
		d.stop()
		d.server.Close()
		d.peers.Close()
		d.tasks.Wait()
		close(d.ended)
		d.log.Info("daemon: stopped", zap.String("id", d.self.ID))
	})
	<-d.ended
}

// ask runs a function in the control goroutine and waits for it. It returns
// false when the daemon has stopped and the function was not run.
func (d *Daemon) ask(question func(*control.Controller)) bool {
	done := make(chan struct{})
	news := func(c *control.Controller) {
		question(c)
		close(done)
	}
	select {
	case d.inbox <- news:
	case <-d.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-d.ended:
		return false
	}
}

// tell hands news to the control goroutine without waiting for it.
func (d *Daemon) tell(ctx context.Context, news func(*control.Controller)) {
	select {
	case d.inbox <- news:
	case <-ctx.Done():
	}
}

// World returns the world as control sees it.
func (d *Daemon) World() plan.World {
	var world plan.World
	d.ask(func(c *control.Controller) {
		world = c.World()
	})
	return world
}

// ErrStopped reports that the daemon has stopped.
var ErrStopped = errors.New("daemon stopped")

// IsAlive tells whether a daemon is on the roster.
func (d *Daemon) IsAlive(id string) bool {
	return d.Roster().Has(id)
}
