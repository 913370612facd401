// Package proxy passes TCP connections on over the loopback address and harms
// them on demand: it delays, resets, silences, or cuts them one way. It stands
// between real processes, so that faults come from outside of them.
package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Harm is what is done to the connections of a proxy.
type Harm int

// The harms. Silence drops bytes both ways and keeps connections open; CutThere
// drops those to the server, CutBack those from it; Reset ends all connections
// and refuses new ones with a reset; Delay holds bytes up.
const (
	None Harm = iota
	Delay
	Silence
	CutThere
	CutBack
	Reset
)

// String returns the harm as it stands in logs.
func (h Harm) String() string {
	return [...]string{"none", "delay", "silence", "cut_there", "cut_back", "reset"}[h]
}

// Figures of a proxy.
const (
	// delayTime is how long Delay holds bytes up, each way.
	delayTime = 120 * time.Millisecond
	// chunk is how much is copied at once.
	chunk = 16 << 10
)

// Proxy is one listening address that leads to another. Use Listen.
type Proxy struct {
	listener net.Listener
	to       string

	mutex sync.Mutex
	harm  Harm
	conns map[net.Conn]struct{}
	// strandings counts the calls of Strand; connections that were open at one are
	// silent from then on.
	strandings int
}

// Listen leads a free port of the loopback address to IP:port.
func Listen(to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "listen for a proxy to %s", to)
	}
	p := &Proxy{
		listener: listener,
		to:       to,
		conns:    map[net.Conn]struct{}{},
	}
	go p.accept()
	return p, nil
}

// Address returns the IP:port listened on.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Set changes the harm from now on. Connections that lost bytes are reset when
// the harm ends: a stream of bytes with a hole is none.
func (p *Proxy) Set(harm Harm) {
	p.mutex.Lock()
	former := p.harm
	p.harm = harm
	p.mutex.Unlock()
	if former != harm && (former == Silence || former == CutThere || former == CutBack || harm == Reset) {
		p.resetAll()
	}
}

// Strand silences the connections that are open now for good: they stay open, and no
// byte passes any more, whatever harm is set. Connections made later are well.
func (p *Proxy) Strand() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.strandings++
}

// isStranded tells whether a connection was silenced for good since it was made, when
// there had been so many strandings.
func (p *Proxy) isStranded(strandings int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.strandings != strandings
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.resetAll()
}

// current returns the harm in force.
func (p *Proxy) current() Harm {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.harm
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

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// accept takes connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(near)
	}
}

// pass passes one connection on.
func (p *Proxy) pass(near net.Conn) {
	if p.current() == Reset {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(near)
		return
	}
	p.mutex.Lock()
	p.conns[near] = struct{}{}
	p.conns[far] = struct{}{}
	strandings := p.strandings
	p.mutex.Unlock()
	go p.copy(far, near, CutThere, strandings)
	p.copy(near, far, CutBack, strandings)
	p.mutex.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mutex.Unlock()
}

// copy copies one way until it ends; cut is the harm that drops this way, strandings
// how many there were when the connection was made.
func (p *Proxy) copy(to, from net.Conn, cut Harm, strandings int) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		harm := p.current()
		if harm == Delay {
			time.Sleep(delayTime)
		}
		isDropped := harm == Silence || harm == cut || p.isStranded(strandings)
		if n > 0 && !isDropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if !isDropped {
				_ = to.Close()
			}
			return
		}
	}
}
