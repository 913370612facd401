package tunnel

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/reach"
	"headcourse/io/tcp"
)

const (
	// nextPeerDelay is how long a peer may take before the next one is asked beside it.
	nextPeerDelay = 40 * time.Millisecond
	// maxPeersAsked bounds the peers that are asked for one tunnel.
	maxPeersAsked = 8
	// answerMargin is the time that remains to a peer's answer after the peer's own timeout.
	answerMargin = 10 * time.Millisecond
)

// errNoPeer is the error of a connect for which no peer could be asked.
var errNoPeer = errors.New("no other daemon to open a tunnel")

// opened is the outcome of asking one peer.
type opened struct {
	peer   reach.Peer
	conn   net.Conn
	result result
	err    error
}

// peerDialer opens tunnels.
type peerDialer struct {
	peers      *reach.Peers
	candidates func() []reach.Peer
}

// dial asks peers for a tunnel to a server until one connects, all have answered, or the deadline
// passes.
func (p peerDialer) dial(address string, deadline time.Time) tunnelResult {
	order := p.peers.Choose(p.candidates(), maxPeersAsked)
	outcomes := make(chan opened, len(order))
	pending := 0
	failed := tunnelResult{
		err: errNoPeer,
	}
	askNext := func() {
		if len(order) == 0 || !time.Now().Before(deadline) {
			return
		}
		peer := order[0]
		order = order[1:]
		pending++
		go func() { outcomes <- open(peer, address, deadline) }()
	}
	ticker := time.NewTicker(nextPeerDelay)
	defer ticker.Stop()
	askNext()
	for pending > 0 {
		select {
		case <-ticker.C:
			askNext()
		case outcome := <-outcomes:
			pending--
			p.record(outcome)
			if outcome.conn != nil {
				go closeLate(outcomes, pending)
				return tunnelResult{
					conn:     outcome.conn,
					evidence: reach.PeerConnected,
				}
			}
			failed.err = outcome.err
			if outcome.result.isEvidence() {
				failed.evidence = reach.ServerFailed
				failed.isRefused = failed.isRefused || outcome.result == resultRefused
				if pending == 0 {
					return failed
				}
				continue
			}
			askNext()
		}
	}
	return failed
}

// record records whether a peer could help.
func (p peerDialer) record(outcome opened) {
	if outcome.conn != nil || outcome.result.isEvidence() {
		p.peers.RecordHelped(outcome.peer.Name)
		return
	}
	p.peers.RecordFailed(outcome.peer.Name)
}

// isEvidence reports whether the result shows that the server itself cannot be reached.
func (r result) isEvidence() bool {
	return r == resultRefused || r == resultUnreachable
}

// closeLate closes tunnels that open after another one was chosen.
func closeLate(outcomes <-chan opened, pending int) {
	for range pending {
		if late := <-outcomes; late.conn != nil {
			_ = late.conn.Close()
		}
	}
}

// open asks one peer for a tunnel to a server.
func open(peer reach.Peer, address string, deadline time.Time) opened {
	outcome := opened{
		peer: peer,
	}
	outcome.conn, outcome.result, outcome.err = openAt(peer, address, deadline)
	return outcome
}

// openAt asks a peer for a tunnel to the server at an address.
func openAt(peer reach.Peer, address string, deadline time.Time) (net.Conn, result, error) {
	raw, err := tcp.DirectDialer{}.Dial(peer.Address, time.Until(deadline))
	if err != nil {
		return nil, "", errors.Wrapf(err, "connect to peer %s", peer.Name)
	}
	answer, reader, err := requestTunnel(raw, address, deadline)
	if err == nil && answer.Result != resultConnected {
		err = errors.Errorf("tunnel to %s through %s: %.40s", address, peer.Name, answer.Result)
	}
	if err != nil {
		_ = raw.Close()
		return nil, answer.Result, err
	}
	return &Conn{
		Conn:   raw,
		reader: reader,
		peer:   peer.Name,
	}, resultConnected, nil
}

// requestTunnel sends the opening and reads the answer.
func requestTunnel(raw net.Conn, address string, deadline time.Time) (openAnswer, *bufio.Reader, error) {
	var answer openAnswer
	line, err := encodeLine(openRequest{
		Address:   address,
		TimeoutMS: (time.Until(deadline) - answerMargin).Milliseconds(),
	})
	if err != nil {
		return answer, nil, err
	}
	if err = raw.SetDeadline(deadline); err != nil {
		return answer, nil, errors.Wrap(err, "set deadline of tunnel")
	}
	if _, err = raw.Write(line); err != nil {
		return answer, nil, errors.Wrap(err, "write opening of tunnel")
	}
	reader := bufio.NewReaderSize(raw, maxLineBytes)
	if err = readLine(reader, &answer); err != nil {
		return answer, nil, err
	}
	return answer, reader, errors.Wrap(raw.SetDeadline(time.Time{}), "clear deadline of tunnel")
}
