// Package ratelimit keeps the limits that backend servers name: how many requests a second
// one takes from all daemons together, for as long as its answers say so.
package ratelimit

import (
	"encoding/json"
	"math"

	"github.com/pkg/errors"
)

// MaxPerSecond bounds the limits that are kept: beyond it a limit limits nothing.
const MaxPerSecond = 1e6

// Limit is what one answer of a server says about its limit. The zero value names none.
type Limit struct {
	// PerSecond is how many requests a second the server takes, from 0 to MaxPerSecond;
	// it counts where IsNamed.
	PerSecond float64
	IsNamed   bool
	// IsUnclear tells that the answer names a limit that makes no sense: it is none, and
	// does not tell that the one before is over.
	IsUnclear bool
	// Excess is how many requests beyond the limit may come in a window, from all daemons; 0:
	// as many as beyond the limits that servers name.
	Excess float64
}

// Named returns the limit of a number of requests a second; one that is no number from 0 on
// is unclear.
func Named(perSecond float64) Limit {
	if math.IsNaN(perSecond) || perSecond < 0 {
		return Limit{
			IsUnclear: true,
		}
	}
	return Limit{
		PerSecond: min(perSecond, MaxPerSecond),
		IsNamed:   true,
	}
}

// coldPart is the part of what a cold server bears that daemons send it: it falls over at well
// above that, and who has not observed yet that it is cold sends more.
const coldPart = 0.9

// Cold returns the limit of a cold server that bears a number of requests a second. In any
// second it may get factor times as many and extra ones, from all daemons.
func Cold(perSecond, factor, extra float64) Limit {
	limit := Named(coldPart * perSecond)
	limit.Excess = max(1, factor*perSecond+extra-limit.PerSecond)
	return limit
}

// excess returns how many requests beyond the limit may come in a window.
func (l Limit) excess() float64 {
	if l.Excess > 0 {
		return l.Excess
	}
	rate := max(l.PerSecond, leastPerSecond)
	return (toleratedFactor-1)*rate*window.Seconds() + toleratedExtra
}

// Lowest returns the strictest of what several words of one answer say. A word that is
// unclear counts only where no other names a limit.
func Lowest(words ...Limit) Limit {
	var lowest Limit
	for _, one := range words {
		switch {
		case one.IsNamed && (!lowest.IsNamed || one.PerSecond < lowest.PerSecond):
			lowest = one
		case one.IsUnclear && !lowest.IsNamed:
			lowest = one
		}
	}
	return lowest
}

// word is a limit as daemons tell it each other. By is the daemon, for whoever looks.
type word struct {
	By        string   `json:"by"`
	PerSecond *float64 `json:"per_second"`
}

// Encode returns the limit as a daemon tells it to the others.
func (l Limit) Encode(by string) ([]byte, error) {
	value, err := json.Marshal(word{
		By:        by,
		PerSecond: &l.PerSecond,
	})
	return value, errors.Wrap(err, "encode limit")
}

// Decode returns the limit that a daemon told. It fails on what names none.
func Decode(value []byte) (Limit, error) {
	var told word
	if err := json.Unmarshal(value, &told); err != nil {
		return Limit{}, errors.Wrap(err, "decode limit")
	}
	if told.PerSecond == nil {
		return Limit{}, errors.New("decode limit: per_second is missing")
	}
	limit := Named(*told.PerSecond)
	if !limit.IsNamed {
		return Limit{}, errors.Errorf("decode limit: per_second %v is below 0", *told.PerSecond)
	}
	return limit, nil
}
