// Package roster lists the daemons and distributes work among them by hash.
//
// Every daemon has a row in the table. Work that any daemon can do (watching a group, holding a
// shard of control, relaying reports within a zone) is assigned to the daemons that rank first for
// it by rendezvous hashing. So if one daemon leaves, only its own share of the work moves.
package roster

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"headcourse/core/catalog"
)

// KeyPrefix is the prefix of the keys of daemons' rows.
const KeyPrefix = catalog.Prefix + "daemon/"

// Key returns the key of a daemon's row.
func Key(id string) string {
	return KeyPrefix + id
}

// Daemon is the value of a daemon's row. PeerAddress is the IP:port at which other daemons reach
// it.
type Daemon struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peer"`
}

// Roster is a list of daemons, sorted by ID.
type Roster []Daemon

// FromCatalog returns the roster of a catalog. Rows that cannot be decoded are skipped.
func FromCatalog(rows catalog.Catalog) Roster {
	var daemons Roster
	for _, row := range rows.WithPrefix(KeyPrefix) {
		var daemon Daemon
		if row.Decode(&daemon) == nil {
			daemons = append(daemons, daemon)
		}
	}
	return daemons
}

// IDs returns the daemons' IDs.
func (r Roster) IDs() []string {
	ids := make([]string, len(r))
	for i, daemon := range r {
		ids[i] = daemon.ID
	}
	return ids
}

// Contains reports whether a daemon is listed.
func (r Roster) Contains(id string) bool {
	for _, daemon := range r {
		if daemon.ID == id {
			return true
		}
	}
	return false
}

// Rank returns the position of a daemon for a piece of work by rendezvous hashing, from 0. It
// returns -1 for a daemon that is not listed.
func (r Roster) Rank(work, id string) int {
	if !r.Contains(id) {
		return -1
	}
	ownScore := rendezvousScore(work, id)
	rank := 0
	for _, daemon := range r {
		score := rendezvousScore(work, daemon.ID)
		if score > ownScore || (score == ownScore && daemon.ID < id) {
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

// rendezvousScore is the rendezvous hash of a piece of work and a daemon.
func rendezvousScore(work, id string) uint64 {
	return xxhash.Sum64String(work + "\x00" + id)
}

// ----------------------------------------------------------------------------
// Pull topology

// Sizes of the pull topology.
const (
	// MaxFullMeshSize is the maximum number of daemons at which every daemon pulls from all others.
	MaxFullMeshSize = 12
	// RelaysPerZone is the number of daemons per zone that pull from all daemons of their zone and
	// from the relays of other zones.
	RelaysPerZone = 2
)

// Source is a daemon to pull from. If IncludesRelayed is set, the pull requests all reports that
// the source has received, otherwise only the source's own observations.
type Source struct {
	Daemon          Daemon
	IncludesRelayed bool
}

// Sources returns the daemons that one daemon pulls from. In a small roster these are all others,
// each for its own observations. In a large one a relay pulls all reports from the other relays of
// all zones, and the observations of each other daemon of its zone. A daemon that is no relay pulls
// all reports from the relays of its own zone.
func (r Roster) Sources(self Daemon) []Source {
	isSmall := len(r) <= MaxFullMeshSize
	relays := r.relays()
	isRelay := relays.Contains(self.ID)
	var sources []Source
	for _, daemon := range r.without(self.ID) {
		isSourceRelay := relays.Contains(daemon.ID)
		isSameZone := daemon.Zone == self.Zone
		if isSmall || (isRelay && (isSameZone || isSourceRelay)) || (isSameZone && isSourceRelay) {
			sources = append(sources, Source{
				Daemon:          daemon,
				IncludesRelayed: !isSmall && isSourceRelay,
			})
		}
	}
	return sources
}

// relays returns the relays of all zones.
func (r Roster) relays() Roster {
	zones := map[string]Roster{}
	for _, daemon := range r {
		zones[daemon.Zone] = append(zones[daemon.Zone], daemon)
	}
	var relays Roster
	for zone, members := range zones {
		for _, daemon := range members {
			if members.Rank("relay/"+zone, daemon.ID) < RelaysPerZone {
				relays = append(relays, daemon)
			}
		}
	}
	sort.Slice(relays, func(i, j int) bool {
		return relays[i].ID < relays[j].ID
	})
	return relays
}

// without returns the roster without one daemon.
func (r Roster) without(id string) Roster {
	var others Roster
	for _, daemon := range r {
		if daemon.ID != id {
			others = append(others, daemon)
		}
	}
	return others
}
