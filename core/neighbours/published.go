package neighbours

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RelaysKey is the key of a row of Table that names no daemon: it holds the relays, published by
// the leader. It is before all names, so that a daemon that reads the first rows of the list
// learns who has the whole of it.
const RelaysKey = "!relays"

// published is a relay as it is published.
type published struct {
	Name string `json:"name"`
	Daemon
}

// Relays returns the daemons that relay.
func (l List) Relays() []Daemon {
	return l.relays()
}

// EncodeRelays returns the row's value for some relays.
func EncodeRelays(relays []Daemon) ([]byte, error) {
	entries := make([]published, len(relays))
	for i, relay := range relays {
		entries[i] = published{
			Name:   relay.Name,
			Daemon: relay,
		}
	}
	value, err := json.Marshal(entries)
	return value, errors.Wrap(err, "encode relays")
}

// DecodeRelays returns the relays of a row's value. It fails on one that names no address.
func DecodeRelays(value []byte) ([]Daemon, error) {
	var entries []published
	if err := json.Unmarshal(value, &entries); err != nil {
		return nil, errors.Wrap(err, "decode relays")
	}
	relays := make([]Daemon, len(entries))
	for i, entry := range entries {
		entry.Daemon.Name = entry.Name
		if err := entry.check(); err != nil {
			return nil, errors.Wrap(err, "decode relays")
		}
		relays[i] = entry.Daemon
	}
	return relays, nil
}
