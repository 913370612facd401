// Package roster lists the daemons and shares work among them by hash.
//
// Every daemon has a row in the table. Work that any daemon can do (watching a
// group, holding a shard of control, relaying reports within a zone) goes to
// the daemons that rank first for it by rendezvous hashing, so that when one
// of n daemons leaves only its own part of the work moves.
package roster

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"headcourse/core/catalog"
)

// KeyPrefix begins the key of every daemon's row.
const KeyPrefix = catalog.Prefix + "daemon/"

// Key returns the key of a daemon's row.
func Key(id string) string {
	return KeyPrefix + id
}

// Daemon is the value of a daemon's row. Peer is the IP:port that other
// daemons reach it at.
type Daemon struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Peer string `json:"peer"`
}

// Roster is the daemons in the order of their ids.
type Roster []Daemon

// Of reads the roster out of a catalog. Rows that cannot be read are left out.
func Of(rows catalog.Catalog) Roster {
	var daemons Roster
	for _, row := range rows.Under(KeyPrefix) {
		var daemon Daemon
		if row.Decode(&daemon) == nil {
			daemons = append(daemons, daemon)
		}
	}
	return daemons
}

// IDs returns the daemons' ids.
func (r Roster) IDs() []string {
	ids := make([]string, len(r))
	for i, daemon := range r {
		ids[i] = daemon.ID
	}
	return ids
}

// Has tells whether a daemon is listed.
func (r Roster) Has(id string) bool {
	for _, daemon := range r {
		if daemon.ID == id {
			return true
		}
	}
	return false
}

// Rank returns the place of a daemon for a piece of work, 0 for the first, by
// rendezvous hashing. It is -1 for a daemon that is not listed.
func (r Roster) Rank(work, id string) int {
	if !r.Has(id) {
		return -1
	}
	own := score(work, id)
	rank := 0
	for _, daemon := range r {
		other := score(work, daemon.ID)
		if other > own || (other == own && daemon.ID < id) {
			rank++
		}
	}
	return rank
}

// InZone returns the daemons of one zone.
func (r Roster) InZone(zone string) Roster {
	var found Roster
	for _, daemon := range r {
		if daemon.Zone == zone {
			found = append(found, daemon)
		}
	}
	return found
}

// score is the rendezvous hash of work at a daemon.
func score(work, id string) uint64 {
	return xxhash.Sum64String(work + "\x00" + id)
}

// ----------------------------------------------------------------------------
// Who asks whom

// Bounds of the pull topology.
const (
	// FlatSize is the number of daemons up to which everyone pulls from all.
	FlatSize = 12
	// Relays is the number of daemons of each zone that pull from all of their
	// zone and from the relays of other zones.
	Relays = 2
)

// Source is a daemon to pull from. Full tells to ask for all that it has heard.
type Source struct {
	Daemon Daemon
	Full   bool
}

// Sources returns the daemons that one daemon pulls from. In a small roster
// these are all others, each asked for what it has observed itself. In a large
// one a relay asks every daemon of its zone for that, and the relays of the
// other zones for all they have heard; everyone else asks the relays of its own
// zone for all they have heard.
func (r Roster) Sources(self Daemon) []Source {
	isSmall := len(r) <= FlatSize
	relays := r.relays()
	isRelay := relays.Has(self.ID)
	var sources []Source
	for _, daemon := range r.without(self.ID) {
		fromRelay := relays.Has(daemon.ID)
		sameZone := daemon.Zone == self.Zone
		if isSmall || (isRelay && (sameZone || fromRelay)) || (sameZone && fromRelay) {
			sources = append(sources, Source{
				Daemon: daemon,
				Full:   !isSmall && fromRelay,
			})
		}
	}
	return sources
}

// relays returns the relays of every zone.
func (r Roster) relays() Roster {
	zones := map[string]Roster{}
	for _, daemon := range r {
		zones[daemon.Zone] = append(zones[daemon.Zone], daemon)
	}
	var relays Roster
	for zone, members := range zones {
		for _, daemon := range members {
			if members.Rank("relay/"+zone, daemon.ID) < Relays {
				relays = append(relays, daemon)
			}
		}
	}
	sort.Slice(relays, func(i, j int) bool {
		return relays[i].ID < relays[j].ID
	})
	return relays
}

// without returns the roster but one daemon.
func (r Roster) without(id string) Roster {
	var others Roster
	for _, daemon := range r {
		if daemon.ID != id {
			others = append(others, daemon)
		}
	}
	return others
}
