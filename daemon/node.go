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

// Node is a complete daemon: the control part and the servers for callers and
// operators. StartNode creates it.
type Node struct {
	daemon    *Daemon
	callers   *caller.Server
	operators *operator.Server
	settings  Settings
	log       *zap.Logger
}

// StartNode starts a complete daemon. The settings must have passed
// Settings.Check.
func StartNode(settings Settings, log *zap.Logger) (*Node, error) {
	daemon, err := Start(settings, log)
	if err != nil {
		return nil, err
	}
	registry := metrics.NewRegistry()
	callers, err := caller.Listen(settings.Callers, daemon, registry, log)
	if err != nil {
		daemon.Stop()
		return nil, err
	}
	operators, err := operator.Listen(settings.Operators, settings.BootstrapHash, NewOperatorService(daemon, registry), log)
	if err != nil {
		callers.Kill()
		daemon.Stop()
		return nil, err
	}
	log.Info("daemon: listening", zap.String("callers", callers.Address()), zap.String("operators", operators.Address()))
	return &Node{
		daemon:    daemon,
		callers:   callers,
		operators: operators,
		settings:  settings,
		log:       log,
	}, nil
}

// Daemon returns the control part of the daemon.
func (n *Node) Daemon() *Daemon {
	return n.daemon
}

// CallersAddress returns the IP:port on which the daemon listens for callers.
func (n *Node) CallersAddress() string {
	return n.callers.Address()
}

// OperatorsAddress returns the IP:port on which the daemon listens for operators.
func (n *Node) OperatorsAddress() string {
	return n.operators.Address()
}

// leaveTimeout bounds Daemon.Leave. A lease is released only after the last order
// under it has expired, which is lease.Term from now at the latest. The rest of the
// timeout is for the commits that release the leases and leave the roster.
const leaveTimeout = lease.Term + 4*time.Second

// Stop drains and stops the daemon: it reports unready to the load balancer at
// once, accepts requests for UnreadyTime longer, waits for answers in flight for
// DrainTime at most, and then releases its leases. It returns an error if answers
// were cut off.
func (n *Node) Stop() error {
	n.log.Info("daemon: leaving", zap.String("id", n.daemon.ID()))
	n.callers.SetUnready()
	time.Sleep(n.settings.UnreadyTime)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTime)
	defer cancel()
	err := n.callers.Close(ctx)
	n.daemon.Leave(leaveTimeout)
	n.operators.Close()
	return err
}

// Kill stops the daemon immediately, as a crash would: nothing is drained or
// released.
func (n *Node) Kill() {
	n.callers.Kill()
	n.daemon.Stop()
	n.operators.Close()
}
