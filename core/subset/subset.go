// Package subset gives each daemon a small subset of the backend servers to prefer.
//
// A daemon that spreads its own requests evenly spreads all requests evenly only if it has
// several in flight at each server that it uses. With hundreds of daemons each one has two or
// three in all. Spread over all servers, these are effectively random, and some servers become
// full while others have capacity. Over a small subset the daemon's own counts are meaningful
// again, and connections are reused.
//
// Subsets must cover the servers evenly. Daemons are numbered within their zone and take
// consecutive servers from a shuffled ring. Each round of daemons covers every server exactly
// once, and each round is shuffled anew, so that the load of a stopped daemon is spread over
// all servers. This is the deterministic subsetting of Beyer et al., "Site Reliability
// Engineering" (2016), chapter 20, without its remainder. Fewer requests reach a full server
// than with random choice over all servers, and far fewer than with subsets that each daemon
// draws by itself (TestDaemonsSpreadRequestsEvenlyOverServers in core/balancer).
package subset

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// minSize is the smallest subset. In a smaller one, a lost or slow server leaves too little
// choice, and a busy daemon cannot spread its load.
const minSize = 4

// Position is a daemon's position among the daemons that share servers.
type Position struct {
	// Rank is the daemon's number, from 0.
	Rank int
	// Total is the number of daemons; 0 if not known.
	Total int
}

// Size returns the size of the daemon's subset for the given number of servers and their total
// capacity in requests in flight. It is the number of requests that the daemon itself has in
// flight while all servers are full. A daemon among few uses all servers.
func (p Position) Size(servers, capacity int) int {
	if p.Total <= 0 {
		return servers
	}
	const minSubsetsPerRound = 2
	size := max(minSize, int(math.Ceil(float64(capacity)/float64(p.Total))))
	if minSubsetsPerRound*size > servers {
		return servers
	}
	return size
}

// Choose returns the IDs of the daemon's subset.
func (p Position) Choose(ids []string, capacity int) []string {
	size := p.Size(len(ids), capacity)
	if size >= len(ids) {
		return ids
	}
	first := p.Rank * size
	roundNumber, offset := first/len(ids), first%len(ids)
	remaining := roundOrder(ids, roundNumber, size)[offset:]
	if len(remaining) >= size {
		return remaining[:size]
	}
	return append(remaining, roundOrder(ids, roundNumber+1, size)[:size-len(remaining)]...)
}

// roundOrder returns the order of the servers in a round, each once. A daemon that took the
// last few servers of the previous round completes its subset from this round. Those few are
// therefore not among the first ones here and follow right after them. A subset is at most half
// of the servers, so this does not affect the last few servers of this round.
func roundOrder(ids []string, roundNumber, size int) []string {
	order := shuffledRing(ids, roundNumber)
	carried := roundNumber * len(ids) % size
	if carried == 0 {
		return order
	}
	previous := shuffledRing(ids, roundNumber-1)
	alreadyTaken := previous[len(previous)-carried:]
	first := make([]string, 0, len(order))
	var others []string
	for _, id := range order {
		if len(first) < size-carried && !slices.Contains(alreadyTaken, id) {
			first = append(first, id)
		} else {
			others = append(others, id)
		}
	}
	return append(first, others...)
}

// ringEntry is a server with its hash for a round.
type ringEntry struct {
	id   string
	hash uint64
}

// shuffledRing returns the servers in the shuffled order of a round. All daemons compute the
// same order.
func shuffledRing(ids []string, round int) []string {
	entries := make([]ringEntry, len(ids))
	for i, id := range ids {
		entries[i] = ringEntry{
			id:   id,
			hash: xxhash.Sum64String(id + "/" + strconv.Itoa(round)),
		}
	}
	slices.SortFunc(entries, func(a, b ringEntry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	order := make([]string, len(entries))
	for i, entry := range entries {
		order[i] = entry.id
	}
	return order
}
