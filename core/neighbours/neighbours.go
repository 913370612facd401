// Package neighbours holds the list of daemons and decides which of them relay the store's tables
// to the others, and which are standbys for the relays.
//
// Each daemon registers itself in the store when it starts. The relays are the daemons on the
// largest VMs; among equal VMs a hash of the names decides. So all daemons that have read the same
// list choose the same relays. A relay needs a large VM because it sends what it reads to many
// daemons. Each availability zone has its own relays, since traffic between zones costs more than
// traffic within one. A hash also decides which relay a daemon calls first, so that the relays
// share the load.
//
// The next daemons of the list are the standbys. The store may fail for all relays, or the
// relays may be unresponsive, while the store serves other daemons. In that case the standbys
// detect it first, and the first standby that the store serves follows it for all. Thus one or
// two daemons follow the store instead of all that it serves.
package neighbours

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Table is the name of the table of daemons. The key of a row is the daemon's name.
const Table = "daemons"

const (
	// MinRelays is the minimum number of relays: one may be unresponsive, another one cut off, and
	// the third still serves. A list with fewer daemons has fewer relays.
	MinRelays = 3
	// daemonsPerRelay is the maximum number of daemons of a zone for each of its relays. Serving
	// few daemons takes little of the processor of the relay's VM, but each relay adds calls to the
	// store.
	daemonsPerRelay = 32
	// MaxStandbys is the maximum number of standbys. If the store refuses each of eight daemons
	// with a probability of one third, it refuses all of them in one of 6,500 outages.
	MaxStandbys = 8
	// maxRelaysCalled is the maximum number of relays that a daemon that is no relay calls before
	// the standbys. With thousands of daemons there are tens of relays, and a relay that is cut off
	// costs a call, since only the call shows that it is.
	maxRelaysCalled = 6
)

// Daemon is one daemon of the list.
type Daemon struct {
	Name string `json:"-"`
	Zone string `json:"zone"`
	// Address is the IP:port at which the daemon relays tables.
	Address string `json:"address"`
	// TunnelAddress is the IP:port at which the daemon opens tunnels to backend servers; empty: none.
	TunnelAddress string `json:"tunnel,omitempty"`
	// Capacity is the capacity of the daemon's VM, in any unit that is the same for all.
	Capacity float64 `json:"strength"`
}

// Encode returns the value of the daemon's row.
func (d Daemon) Encode() ([]byte, error) {
	value, err := json.Marshal(d)
	return value, errors.Wrapf(err, "encode daemon %s", d.Name)
}

// Decode returns the daemon of a row of Table.
func Decode(name string, value []byte) (Daemon, error) {
	daemon := Daemon{
		Name: name,
	}
	if err := json.Unmarshal(value, &daemon); err != nil {
		return Daemon{}, errors.Wrapf(err, "decode daemon %s", name)
	}
	if err := daemon.check(); err != nil {
		return Daemon{}, err
	}
	return daemon, nil
}

// check returns an error if a decoded daemon is invalid.
func (d Daemon) check() error {
	if _, err := netip.ParseAddrPort(d.Address); err != nil || d.Name == "" {
		return errors.Errorf("decode daemon %q: the name is empty or address %.80q is not IP:port", d.Name, d.Address)
	}
	if _, err := netip.ParseAddrPort(d.TunnelAddress); err != nil && d.TunnelAddress != "" {
		return errors.Errorf("decode daemon %q: tunnel %.80q is not IP:port", d.Name, d.TunnelAddress)
	}
	if !(d.Capacity >= 0) {
		return errors.Errorf("decode daemon %q: strength %v is not 0 or more", d.Name, d.Capacity)
	}
	return nil
}

// List is the set of known daemons, those with the highest capacity first. The zero value is empty.
type List struct {
	daemons []Daemon
}

// NewList returns the list of the given daemons.
func NewList(daemons []Daemon) List {
	ranked := slices.Clone(daemons)
	slices.SortFunc(ranked, func(a, b Daemon) int {
		if a.Capacity != b.Capacity {
			return cmp.Compare(b.Capacity, a.Capacity)
		}
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	return List{
		daemons: ranked,
	}
}

// Len returns the number of daemons.
func (l List) Len() int {
	return len(l.daemons)
}

// IsRelay reports whether a daemon is a relay. A daemon that is not listed yet is none.
func (l List) IsRelay(name string) bool {
	return slices.ContainsFunc(l.relays(), func(d Daemon) bool {
		return d.Name == name
	})
}

// ContenderCount returns how many daemons call the store in the same way as this one if the daemons
// before them have no copy: all relays for a relay, the relays and standbys for a standby, and
// otherwise all daemons.
func (l List) ContenderCount(name string) int {
	relays, standbys := l.relaysAndStandbys()
	isSelf := func(d Daemon) bool {
		return d.Name == name
	}
	switch {
	case slices.ContainsFunc(relays, isSelf):
		return len(relays)
	case slices.ContainsFunc(standbys, isSelf):
		return len(relays) + len(standbys)
	default:
		return len(l.daemons)
	}
}

// Position returns a daemon's position in the list. A daemon that is not listed comes after all
// others.
func (l List) Position(name string) int {
	for i, daemon := range l.daemons {
		if daemon.Name == name {
			return i
		}
	}
	return len(l.daemons)
}

// PositionInZone returns a daemon's position among the daemons of a zone, from 0, and the number of
// these daemons. A daemon that is not listed comes after all others.
func (l List) PositionInZone(name, zone string) (position, count int) {
	position = -1
	for _, daemon := range l.daemons {
		if daemon.Zone != zone {
			continue
		}
		if daemon.Name == name {
			position = count
		}
		count++
	}
	if position < 0 {
		position = count
	}
	return position, count
}

// PositionForKey returns a daemon's position, from 0, in an order of all daemons for a key, and the
// number of daemons in a zone. The daemons of that zone come first. The order differs by key, so
// that different keys load different daemons. A daemon that is not listed comes after all others.
func (l List) PositionForKey(key, zone, name string) (position, inZone int) {
	isListed := false
	ownHash := orderHash(key, name)
	isInZone := false
	for _, daemon := range l.daemons {
		if daemon.Name == name {
			isListed, isInZone = true, daemon.Zone == zone
		}
	}
	for _, daemon := range l.daemons {
		isBefore := daemon.Name != name && orderHash(key, daemon.Name) < ownHash
		if daemon.Zone == zone {
			inZone++
		}
		if (daemon.Zone == zone) != isInZone {
			isBefore = !isInZone
		}
		if isBefore {
			position++
		}
	}
	if !isListed {
		return len(l.daemons), inZone
	}
	return position, inZone
}

// orderHash is the hash by which daemons are ordered for a key.
func orderHash(key, name string) uint64 {
	return xxhash.Sum64String(key + "/" + name)
}

// Zones returns the sorted names of the zones that have daemons.
func (l List) Zones() []string {
	var zones []string
	for _, daemon := range l.daemons {
		zones = append(zones, daemon.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Contains reports whether the list contains exactly this daemon, with its address.
func (l List) Contains(self Daemon) bool {
	return slices.Contains(l.daemons, self)
}

// Others returns all daemons but one.
func (l List) Others(name string) []Daemon {
	others := make([]Daemon, 0, len(l.daemons))
	for _, daemon := range l.daemons {
		if daemon.Name != name {
			others = append(others, daemon)
		}
	}
	return others
}

// relays returns the relays.
func (l List) relays() []Daemon {
	relays, _ := l.relaysAndStandbys()
	return relays
}

// relaysAndStandbys returns the relays and the standbys. The relays are the daemons with the
// highest capacity of each zone, one for every daemonsPerRelay daemons or part of them, and further
// daemons if these are fewer than MinRelays.
func (l List) relaysAndStandbys() (relays, standbys []Daemon) {
	daemonsInZone := map[string]int{}
	for _, daemon := range l.daemons {
		daemonsInZone[daemon.Zone]++
	}
	relaysInZone := map[string]int{}
	var others []Daemon
	for _, daemon := range l.daemons {
		if relaysInZone[daemon.Zone]*daemonsPerRelay < daemonsInZone[daemon.Zone] {
			relaysInZone[daemon.Zone]++
			relays = append(relays, daemon)
		} else {
			others = append(others, daemon)
		}
	}
	missing := min(max(0, MinRelays-len(relays)), len(others))
	relays = append(relays, others[:missing]...)
	others = others[missing:]
	return relays, others[:min(MaxStandbys, len(others))]
}

// maxEarlierRelays is the maximum number of relays that a relay calls: the first ones of those
// before it. If the first relay has stopped for good or is cut off, the next relay follows the
// store in its place, rather than all relays.
const maxEarlierRelays = 3

// RelaysFor returns the relays that a daemon of a zone calls, in call order: at most
// maxRelaysCalled, those of its zone first. A relay calls at most maxEarlierRelays of the relays
// before it, of any zone, in the order of the list. The first relay calls none and follows the
// store itself. When three relays followed the store, two of three calls to it returned the same
// changes.
func (l List) RelaysFor(name, zone string) []Daemon {
	order := slices.Clone(l.relays())
	position := slices.IndexFunc(order, func(d Daemon) bool {
		return d.Name == name
	})
	switch {
	case position == 0:
		return nil
	case position > 0:
		return order[:min(position, maxEarlierRelays)]
	}
	sortByDistance(order, name, zone)
	return order[:min(maxRelaysCalled, len(order))]
}

// StandbysFor returns the standbys that a daemon of a zone calls if no relay has a copy, in call
// order. A standby calls the standbys before it. A relay calls none: standbys call the relay, and
// the relay calls the store.
func (l List) StandbysFor(name, zone string) []Daemon {
	relays, standbys := l.relaysAndStandbys()
	isSelf := func(d Daemon) bool {
		return d.Name == name
	}
	if slices.ContainsFunc(relays, isSelf) {
		return nil
	}
	if position := slices.IndexFunc(standbys, isSelf); position >= 0 {
		return slices.Clone(standbys[:position])
	}
	order := slices.Clone(standbys)
	sortByDistance(order, name, zone)
	return order
}

// FallbacksFor returns the daemons that a relay or a standby calls if the store fails for it,
// because the store may serve them: for a relay at most maxEarlierRelays next relays and the
// standbys, for a standby the standbys after it. They may call this daemon themselves. Other
// daemons have no fallbacks.
func (l List) FallbacksFor(name string) []Daemon {
	relays, standbys := l.relaysAndStandbys()
	isSelf := func(d Daemon) bool {
		return d.Name == name
	}
	if position := slices.IndexFunc(standbys, isSelf); position >= 0 {
		return slices.Clone(standbys[position+1:])
	}
	position := slices.IndexFunc(relays, isSelf)
	if position < 0 {
		return nil
	}
	next := relays[position+1:]
	return slices.Concat(next[:min(maxEarlierRelays, len(next))], standbys)
}

// InCallOrder returns daemons in the order in which a daemon of a zone calls them, as RelaysFor
// does for relays.
func InCallOrder(daemons []Daemon, name, zone string) []Daemon {
	order := slices.Clone(daemons)
	sortByDistance(order, name, zone)
	return order
}

// sortByDistance sorts daemons into the order in which a daemon of a zone calls them.
func sortByDistance(order []Daemon, name, zone string) {
	slices.SortFunc(order, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(a.zoneDistance(zone), b.zoneDistance(zone)),
			cmp.Compare(a.orderHashFor(name), b.orderHashFor(name)),
		)
	})
}

// zoneDistance is 0 within the daemon's zone and 1 outside.
func (d Daemon) zoneDistance(zone string) int {
	if d.Zone == zone {
		return 0
	}
	return 1
}

// orderHashFor is the hash by which relays are ordered for another daemon. The order differs by
// daemon.
func (d Daemon) orderHashFor(name string) uint64 {
	return xxhash.Sum64String(name + "/" + d.Name)
}
