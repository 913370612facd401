// Package proxy forwards TCP connections over the loopback address and injects faults into
// them: it delays, resets or blackholes connections, or drops the bytes of one direction. It
// runs between real processes, so that they need no code for faults.
package proxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is the fault that a proxy injects into its connections.
type Fault int

// Faults of a proxy. Delay holds bytes back for addedDelay. Blackhole drops the bytes of both
// directions and keeps connections open. DropToTarget drops the bytes to the server,
// DropFromTarget those from it. Reset resets all connections, also new ones.
const (
	NoFault Fault = iota
	Delay
	Blackhole
	DropToTarget
	DropFromTarget
	Reset
)

// String returns the name of the fault in logs.
func (f Fault) String() string {
	return [...]string{"none", "delay", "silence", "cut_there", "cut_back", "reset"}[f]
}

// Parameters of forwarding.
const (
	// addedDelay is the time for which Delay holds bytes back, in each direction.
	addedDelay = 120 * time.Millisecond
	// bufferBytes is the number of bytes that are copied at once.
	bufferBytes = 16 << 10
)

// Proxy listens on one address and forwards connections to another. Use Listen.
type Proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
	// generation counts the calls of BlackholeOpenConnections; connections of earlier
	// generations are blackholed.
	generation int
	// released is closed when connects are answered again; nil if they are.
	released chan struct{}
}

// Listen forwards connections from a free port of the loopback address to the target, an
// IP:port.
func Listen(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "listen for a proxy to %s", target)
	}
	p := &Proxy{
		listener: listener,
		target:   target,
		conns:    map[net.Conn]struct{}{},
	}
	go p.acceptConnections()
	return p, nil
}

// Address returns the IP:port that the proxy listens on.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetFault changes the fault from now on. All connections are reset when a fault that drops
// bytes ends, since a byte stream with a gap is corrupt.
func (p *Proxy) SetFault(fault Fault) {
	p.mutex.Lock()
	former := p.fault
	p.fault = fault
	p.mutex.Unlock()
	if former != fault && (former == Blackhole || former == DropToTarget || former == DropFromTarget || fault == Reset) {
		p.resetAll()
	}
}

// BlackholeOpenConnections blackholes the connections that are open now: they stay open, but
// no more bytes pass, whatever fault is set. Connections that are opened later are not
// affected.
func (p *Proxy) BlackholeOpenConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.generation++
}

// isBlackholed reports whether BlackholeOpenConnections was called since a connection of the
// generation was opened.
func (p *Proxy) isBlackholed(generation int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.generation != generation
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.resetAll()
}

// currentFault returns the fault that is set.
func (p *Proxy) currentFault() Fault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

// resetAll resets all connections.
func (p *Proxy) resetAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
	p.conns = map[net.Conn]struct{}{}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The error is ignored: a closed connection needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// acceptConnections accepts connections until the listener is closed.
func (p *Proxy) acceptConnections() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.awaitRelease()
		go p.forward(client)
	}
}

// forward forwards one connection until it ends.
func (p *Proxy) forward(client net.Conn) {
	if p.currentFault() == Reset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mutex.Lock()
	p.conns[client] = struct{}{}
	p.conns[server] = struct{}{}
	generation := p.generation
	p.mutex.Unlock()
	go p.copy(server, client, DropToTarget, generation)
	p.copy(client, server, DropFromTarget, generation)
	p.mutex.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mutex.Unlock()
}

// copy copies one direction until it ends. dropFault is the fault that drops this direction;
// generation is that of the connection.
func (p *Proxy) copy(to, from net.Conn, dropFault Fault, generation int) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		fault := p.currentFault()
		if fault == Delay {
			time.Sleep(addedDelay)
		}
		isDropped := fault == Blackhole || fault == dropFault || p.isBlackholed(generation)
		if n > 0 && !isDropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
			continue
		case isDropped:
		case errors.Is(err, io.EOF):
			_ = to.Close()
		default:
			// A reset must not look like the orderly end of what was sent.
			reset(to)
		}
		return
	}
}
