package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/reach"
	"headcourse/io/tunnel"
)

const (
	// controlServers is the number of servers that a check of this daemon's own links connects to.
	controlServers = 2
	// tunnelPollInterval is the interval at which a stopping daemon checks for open tunnels.
	tunnelPollInterval = 50 * time.Millisecond
)

// Names of the counters of times at which only other daemons reached a service, and of their ends.
const (
	countIsolated   = "links_lost.begun"
	countReconnects = "links_lost.ended"
)

// initPaths prepares connecting to backend servers by any path.
func (d *Daemon) initPaths() {
	d.paths.OnChange = d.recordIsolation
	d.dialer = &tunnel.Dialer{
		Direct:     d.direct,
		Paths:      &d.paths,
		Peers:      &d.peers,
		Candidates: d.tunnelPeers,
		Fleet:      (*serverAddresses)(d),
		Registry:   d.registry,
	}
}

// listenTunnels starts to open tunnels for other daemons.
func (d *Daemon) listenTunnels() (*tunnel.Server, error) {
	return tunnel.Listen(tunnel.Options{
		Address:  d.settings.TunnelAddress,
		Direct:   d.direct,
		Paths:    &d.paths,
		Fleet:    (*serverAddresses)(d),
		IsDaemon: d.isDaemonIP,
		Registry: d.registry,
		Log:      d.log,
	})
}

// recordIsolation logs that only other daemons reach the servers of a service, or the end of it.
func (d *Daemon) recordIsolation(service string, isIsolated bool, lasted time.Duration) {
	if isIsolated {
		metrics.GetOrRegisterCounter(countIsolated, d.registry).Inc(1)
		d.log.Warn("servers: only other daemons reach them", zap.String("service", service))
		return
	}
	metrics.GetOrRegisterCounter(countReconnects, d.registry).Inc(1)
	d.log.Info("servers: reached directly again", zap.String("service", service), zap.Int64("lasted_ms", lasted.Milliseconds()))
}

// tunnelPeers returns the other daemons that open tunnels.
func (d *Daemon) tunnelPeers() []reach.Peer {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	return d.directory.tunnelPeers
}

// updateTunnelPeers derives the daemons that open tunnels, and the IP addresses of all daemons, from
// the list. The caller holds the directory's mutex.
func (d *Daemon) updateTunnelPeers() {
	directory := &d.directory
	var peers []reach.Peer
	ips := map[netip.Addr]bool{}
	for _, other := range directory.list.Others(d.settings.Name) {
		if address, err := netip.ParseAddrPort(other.Address); err == nil {
			ips[address.Addr()] = true
		}
		if other.TunnelAddress == "" {
			continue
		}
		peers = append(peers, reach.Peer{
			Name:     other.Name,
			Address:  other.TunnelAddress,
			IsNear:   other.Zone == d.settings.Zone,
			Capacity: other.Capacity,
		})
	}
	directory.tunnelPeers = peers
	directory.daemonIPs = ips
}

// isDaemonIP reports whether another daemon is listed with an IP address.
func (d *Daemon) isDaemonIP(ip string) bool {
	parsed, err := netip.ParseAddr(ip)
	if err != nil {
		return false
	}
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	return d.directory.daemonIPs[parsed.Unmap()]
}

// awaitTunnels waits until no other daemon uses a tunnel, or ctx ends.
func (d *Daemon) awaitTunnels(ctx context.Context) {
	ticker := time.NewTicker(tunnelPollInterval)
	defer ticker.Stop()
	for d.tunnels.Active() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// serverAddresses finds backend servers of the daemon's view by their addresses.
type serverAddresses Daemon

// servers returns the servers of the view.
func (s *serverAddresses) servers() []fleet.Server {
	return (*Daemon)(s).view.Load().Fleet.Servers()
}

// ServiceOf returns the service of the server at an address.
func (s *serverAddresses) ServiceOf(address string) (service string, ok bool) {
	for _, server := range s.servers() {
		if server.Address == address {
			return server.Service, true
		}
	}
	return "", false
}

// ControlServers returns the addresses of other servers of a service, chosen at random. Without a
// service, because the entry of the server in question has expired, they may be of any service.
func (s *serverAddresses) ControlServers(service, except string) []string {
	var others []string
	for _, server := range s.servers() {
		if (server.Service == service || service == "") && server.Address != except {
			others = append(others, server.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(controlServers, len(others))]
}
