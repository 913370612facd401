// Package demand holds how much work callers ask for, by model, as the daemon that
// leads has worked it out, and what it means for the groups that serve now.
//
// The leader writes it with its lease, which all daemons follow anyway, so that
// sharing it costs no call. A daemon knows at once when groups are lost, long before
// late answers show that the others are overloaded.
package demand

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Figures of shortage.
const (
	// fullPart is the part of their greatest rate at which groups serve those requests
	// in time that do not yield: above it the wait for a place grows without end.
	fullPart = 0.85
	// validFor is how long an estimate counts: callers ask for about the same for some
	// tens of seconds, also while the store is away and nobody leads.
	validFor = 30 * time.Second
)

// Demand is the work that is asked of a model, in groups at their greatest rate.
type Demand struct {
	Service string  `json:"service"`
	Model   string  `json:"model"`
	Groups  float64 `json:"groups"`
}

// Encode returns demands as they are written.
func Encode(all []Demand) (json.RawMessage, error) {
	encoded, err := json.Marshal(all)
	return encoded, errors.Wrap(err, "encode demands")
}

// key names a model of a service.
type key struct {
	service string
	model   string
}

// Board is what a daemon knows of demands. The zero value knows none; it is safe for
// concurrent use.
type Board struct {
	mutex sync.Mutex
	known map[key]float64
	at    time.Time
}

// Take takes demands as they were written; none are written by a leader that does not
// know them yet.
func (b *Board) Take(encoded json.RawMessage) error {
	if len(encoded) == 0 {
		return nil
	}
	var all []Demand
	if err := json.Unmarshal(encoded, &all); err != nil {
		return errors.Wrap(err, "decode demands")
	}
	if len(all) == 0 {
		return nil
	}
	known := map[key]float64{}
	for _, one := range all {
		known[key{
			service: one.Service,
			model:   one.Model,
		}] = one.Groups
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.known = known
	b.at = time.Now()
	return nil
}

// Of returns the demand for a model, in groups; 0 where it is not known.
func (b *Board) Of(service, model string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if time.Since(b.at) > validFor {
		return 0
	}
	return b.known[key{
		service: service,
		model:   model,
	}]
}

// Shortage returns the part of the requests that groups cannot serve in time: where
// three groups' work is asked of two, more than a third.
func Shortage(asked float64, serving int) float64 {
	if asked <= 0 {
		return 0
	}
	return max(0, 1-fullPart*float64(serving)/asked)
}
