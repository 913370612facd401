package tunnel

import (
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"headcourse/core/reach"
	"headcourse/io/tcp"
)

// Fleet is what a daemon knows of the backend servers. Addresses are IP:port.
type Fleet interface {
	// ServiceOf returns the service of the server at an address.
	ServiceOf(address string) (service string, ok bool)
	// ControlServers returns the addresses of a few other servers of a service, chosen at random; of
	// any service if the service is empty.
	ControlServers(service, except string) []string
}

// Names of counters. countOpened counts connects through a peer, countDetoured those without a direct
// try, and countHopeless those that were given up at once.
const (
	countOpened   = "tunnels_used.opened"
	countDetoured = "tunnels_used.without_direct_try"
	countHopeless = "tunnels_used.no_path"
)

// Dialer connects to backend servers, directly or through a peer. It implements tcp.Dialer. Errors
// are of type *tcp.DialError.
type Dialer struct {
	// Direct connects directly.
	Direct tcp.Dialer
	Paths  *reach.Paths
	Peers  *reach.Peers
	// Candidates returns the other daemons.
	Candidates func() []reach.Peer
	Fleet      Fleet
	Registry   metrics.Registry
}

// Dial connects to a server.
func (d *Dialer) Dial(address string, timeout time.Duration) (net.Conn, error) {
	service, _ := d.Fleet.ServiceOf(address)
	plan := d.Paths.Plan(service, address)
	if plan.IsHopeless {
		d.count(countHopeless)
		return nil, &tcp.DialError{
			Cause: tcp.ErrNoPath,
		}
	}
	if !plan.UsesDirect {
		d.count(countDetoured)
	}
	r := &race{
		dialer:   d,
		service:  service,
		address:  address,
		deadline: time.Now().Add(timeout),
		plan:     plan,
		direct:   make(chan directResult, 1),
		tunnels:  make(chan tunnelResult, 1),
	}
	return r.run()
}

// IsDetoured reports whether new connections to a server go through peers, so that kept direct ones
// may hang.
func (d *Dialer) IsDetoured(address string) bool {
	if !d.Paths.HasDetours() {
		return false
	}
	service, _ := d.Fleet.ServiceOf(address)
	return d.Paths.IsDetoured(service, address)
}

// HasDetours reports whether new connections to any server go through peers.
func (d *Dialer) HasDetours() bool {
	return d.Paths.HasDetours()
}

// count increments a counter.
func (d *Dialer) count(name string) {
	metrics.GetOrRegisterCounter(name, d.Registry).Inc(1)
}

// directResult and tunnelResult are the results of the two ways.
type directResult struct {
	conn net.Conn
	err  error
}

type tunnelResult struct {
	conn     net.Conn
	evidence reach.PeerOutcome
	// isRefused is set if the server refused a peer.
	isRefused bool
	err       error
}

// race is one connect, by one way or by both at once. The first connection wins.
type race struct {
	dialer   *Dialer
	service  string
	address  string
	deadline time.Time
	plan     reach.Plan

	direct        chan directResult
	tunnels       chan tunnelResult
	startedDirect bool
	startedTunnel bool
	// directErr and tunnelErr are set when a way has failed, evidence and isRefusedAtPeer with the latter.
	directErr       error
	tunnelErr       error
	evidence        reach.PeerOutcome
	isRefusedAtPeer bool
	// hasOwnEvidence is set if evidence is this daemon's own.
	hasOwnEvidence bool
}

// run returns the first connection, or the error of both ways.
func (r *race) run() (net.Conn, error) {
	if r.plan.UsesDirect {
		r.startDirect()
	}
	if r.plan.UsesTunnel {
		r.startTunnel()
	}
	headStart := time.NewTimer(reach.DirectHeadStart)
	defer headStart.Stop()
	for {
		select {
		case <-headStart.C:
			r.startTunnel()
		case result := <-r.direct:
			if result.err == nil {
				r.record(reach.Connected)
				r.abandonTunnel()
				return result.conn, nil
			}
			r.directErr = result.err
			if !r.startedTunnel && tcp.IsRefused(result.err) && r.isRefusedWithWorkingLinks() {
				return nil, r.failure()
			}
			r.startTunnel()
		case result := <-r.tunnels:
			if result.err == nil {
				r.evidence = reach.PeerConnected
				r.dialer.count(countOpened)
				r.recordBesideTunnel()
				return result.conn, nil
			}
			r.tunnelErr = result.err
			r.evidence = result.evidence
			r.isRefusedAtPeer = result.isRefused
			r.startDirect()
		}
		if r.directErr != nil && r.tunnelErr != nil {
			return r.conclude()
		}
	}
}

// startDirect starts a direct connect, once.
func (r *race) startDirect() {
	if r.startedDirect {
		return
	}
	r.startedDirect = true
	go func() {
		conn, err := r.dialer.Direct.Dial(r.address, time.Until(r.deadline))
		r.direct <- directResult{
			conn: conn,
			err:  err,
		}
	}()
}

// startTunnel starts to open a tunnel, once.
func (r *race) startTunnel() {
	if r.startedTunnel {
		return
	}
	r.startedTunnel = true
	peers := peerDialer{
		peers:      r.dialer.Peers,
		candidates: r.dialer.Candidates,
	}
	go func() { r.tunnels <- peers.dial(r.address, r.deadline) }()
}

// isRefusedWithWorkingLinks reports whether the daemon connects to other servers, so that a refusal is the server's own.
func (r *race) isRefusedWithWorkingLinks() bool {
	if !hasWorkingLinks(r.dialer.Direct, r.dialer.Fleet.ControlServers(r.service, r.address)) {
		return false
	}
	r.setServerAtFault()
	return true
}

// setServerAtFault records that this daemon connects to other servers, so that the failure is the server's own.
func (r *race) setServerAtFault() {
	r.evidence = reach.ServerFailed
	r.hasOwnEvidence = true
}

// conclude compares the server with others after both ways have failed, unless peers have done so. It returns a connection
// if the server has resumed meanwhile.
func (r *race) conclude() (net.Conn, error) {
	if r.evidence == reach.ServerFailed {
		return nil, r.failure()
	}
	compared := compare(r.dialer.Direct, r.address, r.dialer.Fleet.ControlServers(r.service, r.address))
	if compared.err == nil {
		r.record(reach.Connected)
		return compared.conn, nil
	}
	r.directErr = compared.err
	if compared.hasWorkingLinks {
		r.setServerAtFault()
	}
	return nil, r.failure()
}

// abandonTunnel closes a tunnel that opens after the direct connection.
func (r *race) abandonTunnel() {
	if !r.startedTunnel || r.tunnelErr != nil {
		return
	}
	go func() {
		if late := <-r.tunnels; late.conn != nil {
			_ = late.conn.Close()
		}
	}()
}

// recordBesideTunnel records whether this daemon has lost its own link to a server that a peer has connected to.
func (r *race) recordBesideTunnel() {
	if tcp.IsRefused(r.directErr) {
		r.record(reach.Failed)
		return
	}
	r.record(reach.NotTried)
	if !r.startedDirect {
		return
	}
	// The direct connect is older than the peer's, and the server may have resumed in between.
	go r.recordNewConnect()
	if r.directErr == nil {
		go r.recordLateConnect()
	}
}

// recordNewConnect records the outcome of a direct connect that begins after that of the peer.
func (r *race) recordNewConnect() {
	conn, err := r.dialer.Direct.Dial(r.address, controlTimeout)
	if err != nil {
		r.record(reach.Failed)
		return
	}
	r.record(reach.Connected)
	_ = conn.Close()
}

// recordLateConnect records that the direct connect has succeeded after the tunnel was opened.
func (r *race) recordLateConnect() {
	late := <-r.direct
	if late.err != nil {
		return
	}
	r.record(reach.Connected)
	_ = late.conn.Close()
}

// record records the outcome.
func (r *race) record(direct reach.DirectOutcome) {
	r.dialer.Paths.Record(r.service, r.address, direct, r.evidence)
}

// failure returns the error of a connect that failed. If it is confirmed, the server refuses connects only if the
// observer that confirms it was refused.
func (r *race) failure() error {
	isConfirmed := r.evidence == reach.ServerFailed
	isRefused := tcp.IsRefused(r.directErr)
	if isConfirmed && !r.hasOwnEvidence {
		isRefused = r.isRefusedAtPeer
	}
	r.record(reach.Failed)
	return &tcp.DialError{
		Refused:   isRefused,
		Confirmed: isConfirmed,
		Cause:     r.directErr,
	}
}
