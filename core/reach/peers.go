package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// avoidFor is how long a peer that could not help is asked only after the others.
	avoidFor = time.Second
	// nearWeight is how many times more likely a peer of the own zone is than one of another zone
	// with the same capacity: traffic within a zone costs less.
	nearWeight = 4
	// minCapacity is the capacity of a peer that reports none.
	minCapacity = 0.01
	// maxKnownPeers bounds the peers that are remembered.
	maxKnownPeers = 4096
)

// Peer is another daemon that may open tunnels.
type Peer struct {
	Name    string
	Address string
	// IsNear is set if the peer is in the daemon's own zone.
	IsNear bool
	// Capacity is the capacity of the peer's VM, in any unit that is the same for all.
	Capacity float64
}

// Peers is what a daemon knows of the other daemons as ways to backend servers. The zero value knows
// nothing. It is safe for concurrent use.
type Peers struct {
	mutex sync.Mutex
	// avoidUntil is until when a peer counts as unable to help.
	avoidUntil map[string]time.Time
}

// Choose returns up to count peers in the order in which to ask them. The order is random, so that
// the load is spread over all that can help; peers with more capacity and near ones come earlier
// more often. Those that failed a moment ago come last.
func (p *Peers) Choose(candidates []Peer, count int) []Peer {
	type scored struct {
		peer      Peer
		isAvoided bool
		score     float64
	}
	now := time.Now()
	order := make([]scored, len(candidates))
	p.mutex.Lock()
	for i, peer := range candidates {
		weight := max(peer.Capacity, minCapacity)
		if peer.IsNear {
			weight *= nearWeight
		}
		order[i] = scored{
			peer:      peer,
			isAvoided: now.Before(p.avoidUntil[peer.Name]),
			// The smallest of exponential variables is the i-th with probability weight_i / total.
			score: rand.ExpFloat64() / weight,
		}
	}
	p.mutex.Unlock()
	slices.SortFunc(order, func(a, b scored) int {
		switch {
		case a.isAvoided != b.isAvoided && a.isAvoided, a.isAvoided == b.isAvoided && a.score > b.score:
			return 1
		default:
			return -1
		}
	})
	chosen := make([]Peer, 0, min(count, len(order)))
	for _, one := range order[:min(count, len(order))] {
		chosen = append(chosen, one.peer)
	}
	return chosen
}

// RecordHelped records that a peer opened a tunnel.
func (p *Peers) RecordHelped(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.avoidUntil, name)
}

// RecordFailed records that a peer could not help.
func (p *Peers) RecordFailed(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.avoidUntil == nil {
		p.avoidUntil = map[string]time.Time{}
	}
	now := time.Now()
	if len(p.avoidUntil) >= maxKnownPeers {
		for known, until := range p.avoidUntil {
			if !now.Before(until) {
				delete(p.avoidUntil, known)
			}
		}
	}
	p.avoidUntil[name] = now.Add(avoidFor)
}
