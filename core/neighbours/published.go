package neighbours

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RelaysKey is the key of the row of Table that holds the relays instead of a daemon. The leader
// publishes it. It sorts before all names, so that a daemon that reads the first rows of the table
// learns which daemons have all of it.
const RelaysKey = "!relays"

// publishedRelay is a relay as encoded in the row.
type publishedRelay struct {
	Name string `json:"name"`
	Daemon
}

// Relays returns the relays.
func (l List) Relays() []Daemon {
	return l.relays()
}

// EncodeRelays returns the value of the row for the given relays.
func EncodeRelays(relays []Daemon) ([]byte, error) {
	entries := make([]publishedRelay, len(relays))
	for i, relay := range relays {
		entries[i] = publishedRelay{
			Name:   relay.Name,
			Daemon: relay,
		}
	}
	value, err := json.Marshal(entries)
	return value, errors.Wrap(err, "encode relays")
}

// DecodeRelays returns the relays of the row's value. It fails if one of them is invalid.
func DecodeRelays(value []byte) ([]Daemon, error) {
	var entries []publishedRelay
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
