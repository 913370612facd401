package reach_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/reach"
)

// somePeers returns n peers of another zone with the same capacity.
func somePeers(n int) []reach.Peer {
	peers := make([]reach.Peer, n)
	for i := range peers {
		peers[i] = reach.Peer{
			Name:     strconv.Itoa(i),
			Capacity: 1,
		}
	}
	return peers
}

// Guards against one peer that carries the load of all daemons that are cut off.
func TestPeersShareTheLoad(t *testing.T) {
	var known reach.Peers
	peers := somePeers(4)
	first := map[string]int{}
	const rounds = 4000
	for range rounds {
		first[known.Choose(peers, 1)[0].Name]++
	}
	for name, count := range first {
		qt.Check(t, count > rounds/8 && count < rounds/2, qt.IsTrue, qt.Commentf("peer %s is first %d times", name, count))
	}
}

func TestPeerThatFailedIsAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var known reach.Peers
		peers := somePeers(5)
		known.RecordFailed("2")
		for range 100 {
			order := known.Choose(peers, len(peers))
			qt.Assert(t, order, qt.HasLen, len(peers))
			qt.Assert(t, order[4].Name, qt.Equals, "2")
		}
		known.RecordHelped("2")
		isEarlier := false
		for range 100 {
			isEarlier = isEarlier || known.Choose(peers, len(peers))[4].Name != "2"
		}
		qt.Assert(t, isEarlier, qt.IsTrue)
		known.RecordFailed("3")
		time.Sleep(2 * time.Second)
		isEarlier = false
		for range 100 {
			isEarlier = isEarlier || known.Choose(peers, len(peers))[4].Name != "3"
		}
		qt.Assert(t, isEarlier, qt.IsTrue)
	})
}

func TestChooseReturnsNoMorePeersThanThereAre(t *testing.T) {
	var known reach.Peers
	qt.Assert(t, known.Choose(nil, 8), qt.HasLen, 0)
	qt.Assert(t, known.Choose(somePeers(3), 8), qt.HasLen, 3)
	qt.Assert(t, known.Choose(somePeers(1000), 8), qt.HasLen, 8)
}
