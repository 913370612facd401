// Package neighbours knows the other daemons, and which of them relay the
// store's tables to the others, and which stand by for these.
//
// Each daemon lists itself in the store when it starts. The relays are the first
// few by a hash of their names, the same at every daemon that has read the same
// list, of those on the largest VMs: a relay sends what it reads to many. Each
// availability zone has its own, since bytes between zones cost more than those
// within one. Which of them a daemon asks first is also chosen by hash, so that
// relays share the work.
//
// The next daemons of the list stand by. The store may turn away all relays, or they may
// be gone, while it serves others: then the standbys find out first, and the first of them
// that is served follows the store for all. So one or two follow it, not everyone whom it
// serves.
package neighbours

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Table is the list of the daemons; the key is a daemon's name.
const Table = "daemons"

// Figures of relays.
const (
	// Relays is how many daemons follow the store for the others, at least: one
	// may be gone, another cut off, and the third still serves.
	Relays = 3
	// daemonsPerRelay is how many daemons of a zone one relay serves. Serving few takes
	// little of its VM's processor, but each relay costs calls to the store.
	daemonsPerRelay = 32
	// Standbys is how many daemons stand by. Of eight, each turned away by the store with
	// a chance of a third, all are so once in 6,500 outages.
	Standbys = 8
	// mostAsked is how many relays a daemon asks before the standbys, at most: among
	// thousands of daemons there are tens, and one that cannot be told from those that
	// are cut off costs a call.
	mostAsked = 6
)

// Daemon is one daemon of the list.
type Daemon struct {
	Name string `json:"-"`
	Zone string `json:"zone"`
	// Address is where it relays tables, IP:port.
	Address string `json:"address"`
	// Strength is how much the VM can carry, in any unit that is the same for all.
	Strength float64 `json:"strength"`
}

// Encode returns the daemon's value in the store.
func (d Daemon) Encode() ([]byte, error) {
	value, err := json.Marshal(d)
	return value, errors.Wrapf(err, "encode daemon %s", d.Name)
}

// Decode returns the daemon in a row of Table.
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

// check returns what is wrong with a daemon that was decoded.
func (d Daemon) check() error {
	if _, err := netip.ParseAddrPort(d.Address); err != nil || d.Name == "" {
		return errors.Errorf("decode daemon %q: address %.80q is no IP:port", d.Name, d.Address)
	}
	if !(d.Strength >= 0) {
		return errors.Errorf("decode daemon %q: strength %v is none", d.Name, d.Strength)
	}
	return nil
}

// List is all daemons that are known. The zero value is empty.
type List struct {
	daemons []Daemon
}

// NewList returns the list of some daemons.
func NewList(daemons []Daemon) List {
	ranked := slices.Clone(daemons)
	slices.SortFunc(ranked, func(a, b Daemon) int {
		if a.Strength != b.Strength {
			return cmp.Compare(b.Strength, a.Strength)
		}
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	return List{
		daemons: ranked,
	}
}

// Len returns how many daemons there are.
func (l List) Len() int {
	return len(l.daemons)
}

// IsRelay tells whether a daemon follows the store for others. One that is not
// listed yet does not.
func (l List) IsRelay(name string) bool {
	return slices.ContainsFunc(l.relays(), func(d Daemon) bool {
		return d.Name == name
	})
}

// Sharing returns how many daemons would ask the store where those before them have no
// copy: the relays among themselves, with the standbys, and all others.
func (l List) Sharing(name string) int {
	relays, standbys := l.split()
	isIt := func(d Daemon) bool {
		return d.Name == name
	}
	switch {
	case slices.ContainsFunc(relays, isIt):
		return len(relays)
	case slices.ContainsFunc(standbys, isIt):
		return len(relays) + len(standbys)
	default:
		return len(l.daemons)
	}
}

// Rank returns a daemon's place in the order of the list; that of an unlisted one
// is after all others.
func (l List) Rank(name string) int {
	for i, daemon := range l.daemons {
		if daemon.Name == name {
			return i
		}
	}
	return len(l.daemons)
}

// InZone counts the daemons of a zone, and returns a daemon's place among them, from 0;
// that of an unlisted one is after all others.
func (l List) InZone(name, zone string) (place, of int) {
	place = -1
	for _, daemon := range l.daemons {
		if daemon.Zone != zone {
			continue
		}
		if daemon.Name == name {
			place = of
		}
		of++
	}
	if place < 0 {
		place = of
	}
	return place, of
}

// OrderFor returns a daemon's place, from 0, in an order of all daemons for a key, and how many
// of them are in a zone, which come first. The orders of different keys differ, so that they
// burden different daemons; the place of an unlisted daemon is after all others.
func (l List) OrderFor(key, zone, name string) (place, near int) {
	isListed := false
	own := orderHash(key, name)
	isNear := false
	for _, daemon := range l.daemons {
		if daemon.Name == name {
			isListed, isNear = true, daemon.Zone == zone
		}
	}
	for _, daemon := range l.daemons {
		isBefore := daemon.Name != name && orderHash(key, daemon.Name) < own
		if daemon.Zone == zone {
			near++
		}
		if (daemon.Zone == zone) != isNear {
			isBefore = !isNear
		}
		if isBefore {
			place++
		}
	}
	if !isListed {
		return len(l.daemons), near
	}
	return place, near
}

// orderHash orders daemons for a key.
func orderHash(key, name string) uint64 {
	return xxhash.Sum64String(key + "/" + name)
}

// Zones returns the zones that have daemons, each once, in their order.
func (l List) Zones() []string {
	var zones []string
	for _, daemon := range l.daemons {
		zones = append(zones, daemon.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Has tells whether a daemon is listed with an address.
func (l List) Has(self Daemon) bool {
	return slices.Contains(l.daemons, self)
}

// relays returns the daemons that relay.
func (l List) relays() []Daemon {
	relays, _ := l.split()
	return relays
}

// split returns the daemons that relay, the strongest of each zone, one for every so many
// daemons, and further ones where these are too few; and those that stand by.
func (l List) split() (relays, standbys []Daemon) {
	inZone := map[string]int{}
	for _, daemon := range l.daemons {
		inZone[daemon.Zone]++
	}
	chosen := map[string]int{}
	var others []Daemon
	for _, daemon := range l.daemons {
		if chosen[daemon.Zone]*daemonsPerRelay < inZone[daemon.Zone] {
			chosen[daemon.Zone]++
			relays = append(relays, daemon)
		} else {
			others = append(others, daemon)
		}
	}
	missing := min(max(0, Relays-len(relays)), len(others))
	relays = append(relays, others[:missing]...)
	others = others[missing:]
	return relays, others[:min(Standbys, len(others))]
}

// relaysAsked is how many of the relays before it a relay asks: where the first one is
// gone for good or cut off, the next follows the store in its place, not all of them.
const relaysAsked = 3

// For returns the relays in the order in which a daemon of a zone should ask them,
// those of its zone first. A relay asks those before it, the first of which follows the
// store itself: with three that did so, two of three calls to the store were for the
// same news.
func (l List) For(name, zone string) []Daemon {
	order := slices.Clone(l.relays())
	place := slices.IndexFunc(order, func(d Daemon) bool {
		return d.Name == name
	})
	switch {
	case place == 0:
		return nil
	case place > 0:
		return order[:min(place, relaysAsked)]
	}
	sortFor(order, name, zone)
	return order[:min(mostAsked, len(order))]
}

// StandbysFor returns the standbys in the order in which a daemon of a zone should ask
// them where no relay has a copy. A standby asks those before it, a relay none: it is
// asked itself, and asks the store.
func (l List) StandbysFor(name, zone string) []Daemon {
	relays, standbys := l.split()
	isIt := func(d Daemon) bool {
		return d.Name == name
	}
	if slices.ContainsFunc(relays, isIt) {
		return nil
	}
	if place := slices.IndexFunc(standbys, isIt); place >= 0 {
		return slices.Clone(standbys[:place])
	}
	order := slices.Clone(standbys)
	sortFor(order, name, zone)
	return order
}

// FallbacksFor returns the daemons that ask a relay or a standby, of those that may be
// served by the store in its place: the next relays and the standbys, or the standbys
// after it. The others have none.
func (l List) FallbacksFor(name string) []Daemon {
	relays, standbys := l.split()
	isIt := func(d Daemon) bool {
		return d.Name == name
	}
	if place := slices.IndexFunc(standbys, isIt); place >= 0 {
		return slices.Clone(standbys[place+1:])
	}
	place := slices.IndexFunc(relays, isIt)
	if place < 0 {
		return nil
	}
	next := relays[place+1:]
	return slices.Concat(next[:min(relaysAsked, len(next))], standbys)
}

// Nearest returns daemons in the order in which one of a zone asks them, as For orders relays.
func Nearest(daemons []Daemon, name, zone string) []Daemon {
	order := slices.Clone(daemons)
	sortFor(order, name, zone)
	return order
}

// sortFor orders daemons by how soon one of a zone should ask them.
func sortFor(order []Daemon, name, zone string) {
	slices.SortFunc(order, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(a.distance(zone), b.distance(zone)),
			cmp.Compare(a.turnFor(name), b.turnFor(name)),
		)
	})
}

// distance is 0 within the daemon's zone and 1 beyond it.
func (d Daemon) distance(zone string) int {
	if d.Zone == zone {
		return 0
	}
	return 1
}

// turnFor orders relays for another daemon, for each in a way of its own.
func (d Daemon) turnFor(name string) uint64 {
	return xxhash.Sum64String(name + "/" + d.Name)
}
