// Package subset gives each daemon a few of the backend servers to use first.
//
// A daemon spreads its own requests evenly, and that spreads all requests evenly only
// if it has several under way at each server it uses. With hundreds of daemons each has
// two or three in all: over all servers its choice is chance, and chance fills some
// servers while others have room. Over a few servers its own counts say something
// again, and connections are used again instead of made anew.
//
// The subsets must cover the servers evenly. Daemons are numbered within their zone,
// and take the servers in turn from a shuffled ring: each round of daemons covers each
// server exactly once, and each round shuffles anew, so that what one daemon leaves behind
// is spread over all. This is the deterministic subsetting of Beyer et al., "Site
// Reliability Engineering" (2016), chapter 20, without its remainder. Fewer requests find
// their server full so than by chance over all servers, and far fewer than over subsets that
// each daemon draws by itself (TestDaemonsSpreadOverServers).
package subset

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// leastSize is the fewest servers a daemon uses: with fewer, one that is lost or slow
// leaves too little choice, and a busy daemon cannot spread what it has.
const leastSize = 4

// Daemon is a daemon's place among those that share servers.
type Daemon struct {
	// Rank is its number among them, from 0.
	Rank int
	// Of is how many there are; 0: not known.
	Of int
}

// Size returns how many servers a daemon uses first, of so many that can have places
// requests under way in all: as many as it may itself have requests under way while all
// servers are full. A daemon among few uses all of them.
func (d Daemon) Size(servers, places int) int {
	if d.Of <= 0 {
		return servers
	}
	const half = 2
	size := max(leastSize, int(math.Ceil(float64(places)/float64(d.Of))))
	if half*size > servers {
		return servers
	}
	return size
}

// Choose returns the servers that a daemon uses first, by their IDs.
func (d Daemon) Choose(ids []string, places int) []string {
	size := d.Size(len(ids), places)
	if size >= len(ids) {
		return ids
	}
	first := d.Rank * size
	number, from := first/len(ids), first%len(ids)
	rest := round(ids, number, size)[from:]
	if len(rest) >= size {
		return rest[:size]
	}
	return append(rest, round(ids, number+1, size)[:size-len(rest)]...)
}

// round returns the servers in the order of a round, each once. The daemon that took the
// last few of the round before goes on in this one, so these few are not among the first
// that it takes here: they come right after them. A subset is at most half of the servers,
// so that this does not reach the last few of this round.
func round(ids []string, number, size int) []string {
	order := shuffled(ids, number)
	left := number * len(ids) % size
	if left == 0 {
		return order
	}
	before := shuffled(ids, number-1)
	taken := before[len(before)-left:]
	first := make([]string, 0, len(order))
	var others []string
	for _, id := range order {
		if len(first) < size-left && !slices.Contains(taken, id) {
			first = append(first, id)
		} else {
			others = append(others, id)
		}
	}
	return append(first, others...)
}

// turn is a server's place in a round.
type turn struct {
	id   string
	hash uint64
}

// shuffled returns the servers in the order of a round, the same at every daemon.
func shuffled(ids []string, round int) []string {
	turns := make([]turn, len(ids))
	for i, id := range ids {
		turns[i] = turn{
			id:   id,
			hash: xxhash.Sum64String(id + "/" + strconv.Itoa(round)),
		}
	}
	slices.SortFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	order := make([]string, len(turns))
	for i, one := range turns {
		order[i] = one.id
	}
	return order
}
