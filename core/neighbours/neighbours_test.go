package neighbours_test

import (
	"fmt"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/neighbours"
)

// daemons returns n daemons of one zone.
func daemons(n int) []neighbours.Daemon {
	var all []neighbours.Daemon
	for i := range n {
		all = append(all, neighbours.Daemon{
			Name:    fmt.Sprintf("front-%d", i),
			Zone:    "a",
			Address: fmt.Sprintf("10.0.0.%d:7340", i),
		})
	}
	return all
}

func TestRelaysDoNotDependOnListOrder(t *testing.T) {
	all := daemons(9)
	first := neighbours.NewList(all)
	reversed := append([]neighbours.Daemon{}, all...)
	for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
		reversed[i], reversed[j] = reversed[j], reversed[i]
	}
	second := neighbours.NewList(reversed)
	relays, callers, followers := 0, 0, 0
	for _, daemon := range all {
		qt.Assert(t, first.IsRelay(daemon.Name), qt.Equals, second.IsRelay(daemon.Name))
		qt.Assert(t, first.Position(daemon.Name), qt.Equals, second.Position(daemon.Name))
		if first.IsRelay(daemon.Name) {
			relays++
			order := first.RelaysFor(daemon.Name, daemon.Zone)
			if len(order) == 0 {
				followers++
				continue
			}
			// Only one relay follows the store: the one that all other relays call first.
			qt.Assert(t, first.RelaysFor(order[0].Name, order[0].Zone), qt.HasLen, 0)
			for _, called := range order {
				qt.Assert(t, first.Position(called.Name) < first.Position(daemon.Name), qt.IsTrue)
			}
			callers++
		} else {
			qt.Assert(t, first.RelaysFor(daemon.Name, daemon.Zone), qt.HasLen, neighbours.MinRelays)
		}
	}
	qt.Assert(t, relays, qt.Equals, neighbours.MinRelays)
	qt.Assert(t, callers, qt.Equals, neighbours.MinRelays-1)
	qt.Assert(t, followers, qt.Equals, 1)
}

func TestOtherDaemonsAreSpreadOverRelays(t *testing.T) {
	all := daemons(40)
	list := neighbours.NewList(all)
	first := map[string]int{}
	for _, daemon := range all {
		if order := list.RelaysFor(daemon.Name, daemon.Zone); !list.IsRelay(daemon.Name) {
			first[order[0].Name]++
		}
	}
	qt.Assert(t, first, qt.HasLen, neighbours.MinRelays)
	for name, count := range first {
		qt.Assert(t, count > 6, qt.IsTrue, qt.Commentf("%s: %d", name, count))
	}
}

func TestRelaysAreOnLargestVMsAndScaleWithDaemons(t *testing.T) {
	all := daemons(160)
	for i := range all {
		all[i].Capacity = float64(i % 4)
	}
	list := neighbours.NewList(all)
	count := 0
	for _, daemon := range all {
		if list.IsRelay(daemon.Name) {
			count++
			qt.Assert(t, daemon.Capacity, qt.Equals, 3.0)
		}
	}
	qt.Assert(t, count, qt.Equals, 5)
}

// Guards against relayed traffic between zones. When daemons called relays of any zone, 300 daemons
// sent 1.6 GB across zones in 45 s.
func TestDaemonsCallRelaysOfTheirZoneFirst(t *testing.T) {
	all := daemons(80)
	for i := range all {
		all[i].Zone = []string{"a", "b", "c", "d"}[i%4]
	}
	list := neighbours.NewList(all)
	inZone := map[string]int{}
	for _, daemon := range all {
		if list.IsRelay(daemon.Name) {
			inZone[daemon.Zone]++
			continue
		}
		order := list.RelaysFor(daemon.Name, daemon.Zone)
		qt.Assert(t, order, qt.HasLen, 4)
		qt.Assert(t, order[0].Zone, qt.Equals, daemon.Zone)
	}
	qt.Assert(t, inZone, qt.DeepEquals, map[string]int{
		"a": 1,
		"b": 1,
		"c": 1,
		"d": 1,
	})
}

// Guards against all relays following the store if the first relay has stopped for good but is
// still listed. Only the next relay takes its place.
func TestRelaysCallEarlierRelays(t *testing.T) {
	all := daemons(320)
	list := neighbours.NewList(all)
	followers, standbys := 0, 0
	for _, daemon := range all {
		if !list.IsRelay(daemon.Name) {
			isStandby := len(list.StandbysFor(daemon.Name, daemon.Zone)) < neighbours.MaxStandbys
			if isStandby {
				standbys++
				qt.Assert(t, list.ContenderCount(daemon.Name), qt.Equals, 10+neighbours.MaxStandbys)
			} else {
				qt.Assert(t, list.ContenderCount(daemon.Name), qt.Equals, 320)
			}
			continue
		}
		qt.Assert(t, list.ContenderCount(daemon.Name), qt.Equals, 10)
		order := list.RelaysFor(daemon.Name, daemon.Zone)
		for _, earlier := range order {
			qt.Assert(t, list.Position(earlier.Name) < list.Position(daemon.Name), qt.IsTrue)
		}
		if len(order) == 0 {
			followers++
		}
	}
	qt.Assert(t, followers, qt.Equals, 1)
	qt.Assert(t, standbys, qt.Equals, neighbours.MaxStandbys)
}

func TestPositionInZoneReturnsUniquePositions(t *testing.T) {
	all := daemons(9)
	for i := range all {
		all[i].Zone = []string{"a", "b", "c"}[i%3]
	}
	list := neighbours.NewList(all)
	qt.Assert(t, list.Zones(), qt.DeepEquals, []string{"a", "b", "c"})
	positions := map[string]bool{}
	for _, daemon := range all {
		position, count := list.PositionInZone(daemon.Name, daemon.Zone)
		qt.Assert(t, count, qt.Equals, 3)
		qt.Assert(t, position >= 0 && position < count, qt.IsTrue)
		positions[daemon.Zone+strconv.Itoa(position)] = true
	}
	qt.Assert(t, positions, qt.HasLen, len(all))
	position, count := list.PositionInZone("unlisted", "a")
	qt.Assert(t, position, qt.Equals, 3)
	qt.Assert(t, count, qt.Equals, 3)
}

func TestListWithFewOrNoDaemons(t *testing.T) {
	qt.Assert(t, neighbours.List{}.RelaysFor("x", "a"), qt.HasLen, 0)
	list := neighbours.NewList(daemons(2))
	qt.Assert(t, list.IsRelay("front-0"), qt.IsTrue)
	qt.Assert(t, list.IsRelay("unlisted"), qt.IsFalse)
	qt.Assert(t, list.RelaysFor("unlisted", "a"), qt.HasLen, 2)
	qt.Assert(t, list.Position("unlisted"), qt.Equals, 2)
}

func TestEncodedDaemonDecodesUnchanged(t *testing.T) {
	daemon := daemons(1)[0]
	value, err := daemon.Encode()
	qt.Assert(t, err, qt.IsNil)
	decoded, err := neighbours.Decode(daemon.Name, value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decoded, qt.Equals, daemon)
	_, err = neighbours.Decode("front-0", []byte("{"))
	qt.Assert(t, err, qt.ErrorMatches, "decode daemon front-0: .*")
}

// Each daemon has a unique position for a key, daemons of the key's zone come first, and different
// keys put different daemons first.
func TestPositionForKeyPutsZoneFirstAndSpreadsKeys(t *testing.T) {
	const daemonsPerZone = 5
	all := daemons(3 * daemonsPerZone)
	for i := range all {
		all[i].Zone = []string{"a", "b", "c"}[i%3]
	}
	list := neighbours.NewList(all)
	first := map[string]int{}
	for key := range 60 {
		positions := map[int]bool{}
		for _, daemon := range all {
			position, inZone := list.PositionForKey(strconv.Itoa(key), "b", daemon.Name)
			qt.Assert(t, inZone, qt.Equals, daemonsPerZone)
			qt.Assert(t, positions[position], qt.IsFalse)
			positions[position] = true
			qt.Assert(t, position < daemonsPerZone, qt.Equals, daemon.Zone == "b", qt.Commentf("%s: %d", daemon.Name, position))
			if position == 0 {
				first[daemon.Name]++
			}
		}
		qt.Assert(t, positions, qt.HasLen, list.Len())
		unlisted, _ := list.PositionForKey(strconv.Itoa(key), "b", "nobody")
		qt.Assert(t, unlisted, qt.Equals, list.Len())
	}
	qt.Assert(t, first, qt.HasLen, daemonsPerZone)
}

// A starting daemon learns from the leader's row which daemons have the whole list.
func TestPublishedRelaysDecodeUnchanged(t *testing.T) {
	var daemons []neighbours.Daemon
	for i := range 984 {
		daemons = append(daemons, neighbours.Daemon{
			Name:     fmt.Sprintf("front-%d", i),
			Zone:     string(rune('a' + i%5)),
			Address:  fmt.Sprintf("10.0.%d.%d:7700", i/250, i%250),
			Capacity: float64(i % 20),
		})
	}
	relays := neighbours.NewList(daemons).Relays()
	encoded, err := neighbours.EncodeRelays(relays)
	qt.Assert(t, err, qt.IsNil)
	// A row may have 64 KiB; six times as many relays must fit.
	const rowBytes = 64 << 10
	qt.Assert(t, 6*len(encoded) < rowBytes, qt.IsTrue, qt.Commentf("%d bytes", len(encoded)))
	decoded, err := neighbours.DecodeRelays(encoded)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decoded, qt.DeepEquals, relays)
	for _, daemon := range daemons {
		qt.Assert(t, neighbours.RelaysKey < daemon.Name, qt.IsTrue)
	}
	nearest := neighbours.InCallOrder(relays, "front-1", "b")
	qt.Assert(t, nearest[0].Zone, qt.Equals, "b")
	for _, invalid := range []string{"", "{}", `[{"name":"x"}]`, `[{"name":"","address":"10.0.0.1:1"}]`, `[{"name":"x","address":"10.0.0.1:1","strength":-1}]`} {
		_, err = neighbours.DecodeRelays([]byte(invalid))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", invalid))
	}
}
