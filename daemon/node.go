package daemon

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/lease"
	"headcourse/io/caller"
	"headcourse/io/operator"
)

// Node is a whole daemon: control, callers' side and operators' side. Use
// StartNode.
type Node struct {
	daemon    *Daemon
	callers   *caller.Server
	operators *operator.Server
	settings  Settings
	log       *zap.Logger
}

// StartNode starts a whole daemon. Settings have been checked.
func StartNode(settings Settings, log *zap.Logger) (*Node, error) {
	started, err := Start(settings, log)
	if err != nil {
		return nil, err
	}
	registry := metrics.NewRegistry()
	callers, err := caller.Listen(settings.Callers, started, registry, log)
	if err != nil {
		started.Stop()
		return nil, err
	}
	operators, err := operator.Listen(settings.Operators, settings.BootstrapHash, NewFleet(started, registry), log)
	if err != nil {
		callers.Kill()
		started.Stop()
		return nil, err
	}
	log.Info("daemon: listening", zap.String("callers", callers.Address()), zap.String("operators", operators.Address()))
	return &Node{
		daemon:    started,
		callers:   callers,
		operators: operators,
		settings:  settings,
		log:       log,
	}, nil
}

// Daemon returns the control part.
func (n *Node) Daemon() *Daemon {
	return n.daemon
}

// Callers returns the IP:port for callers.
func (n *Node) Callers() string {
	return n.callers.Address()
}

// Operators returns the IP:port for operators.
func (n *Node) Operators() string {
	return n.operators.Address()
}

// leaveTimeout bounds giving up leases and the place in the roster. Leases are
// given up once their term has run out.
const leaveTimeout = lease.Term + 4*time.Second

// Stop stops in order: unready to the balancer at once, no new requests after
// UnreadyTime, every answer in flight finished within DrainTime, leases given
// up. It returns an error if answers were cut off.
func (n *Node) Stop() error {
	n.log.Info("daemon: leaving", zap.String("id", n.daemon.ID()))
	n.callers.Unready()
	time.Sleep(n.settings.UnreadyTime)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTime)
	defer cancel()
	err := n.callers.Close(ctx)
	n.daemon.Leave(leaveTimeout)
	n.operators.Close()
	return err
}

// Kill stops at once, as a crash would.
func (n *Node) Kill() {
	n.callers.Kill()
	n.daemon.Stop()
	n.operators.Close()
}
