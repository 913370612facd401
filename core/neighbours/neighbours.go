// Package neighbours knows the other daemons, and which of them relay the
// store's tables to the others.
//
// Each daemon lists itself in the store when it starts. The relays are the first
// few by a hash of their names, the same at every daemon that has read the same
// list, of those on the largest VMs: a relay sends what it reads to many. Each
// availability zone has its own, since bytes between zones cost more than those
// within one. Which of them a daemon asks first is also chosen by hash, so that
// relays share the work.
package neighbours

import (
	"cmp"
	"encoding/json"
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
	// daemonsPerRelay is how many daemons of a zone one relay serves. With 79 daemons the
	// busiest relay of 16 used a twentieth of its VM's processor; each relay costs
	// about 90 calls a minute to the store.
	daemonsPerRelay = 32
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
	return daemon, nil
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

// Sharing returns how many daemons would ask the store where their relays have no copy:
// the relays among themselves, and all others.
func (l List) Sharing(name string) int {
	if l.IsRelay(name) {
		return len(l.relays())
	}
	return len(l.daemons)
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

// relays returns the daemons that relay: the strongest of each zone, one for every
// so many daemons, and further ones where these are too few.
func (l List) relays() []Daemon {
	inZone := map[string]int{}
	for _, daemon := range l.daemons {
		inZone[daemon.Zone]++
	}
	chosen := map[string]int{}
	var relays, others []Daemon
	for _, daemon := range l.daemons {
		if chosen[daemon.Zone]*daemonsPerRelay < inZone[daemon.Zone] {
			chosen[daemon.Zone]++
			relays = append(relays, daemon)
		} else {
			others = append(others, daemon)
		}
	}
	missing := max(0, Relays-len(relays))
	return append(relays, others[:min(missing, len(others))]...)
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
	slices.SortFunc(order, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(a.distance(zone), b.distance(zone)),
			cmp.Compare(a.turnFor(name), b.turnFor(name)),
		)
	})
	return order
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
