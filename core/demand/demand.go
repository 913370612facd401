// Package demand tells all daemons what callers ask for in each availability zone.
//
// A daemon sees only its own requests, and how the balancer divides callers over
// daemons says little about how much each zone is asked. So each daemon measures its
// own requests (Meter) and tells them to the daemon through which it follows the
// store's tables, with calls that it makes anyway; that one adds up what it was told
// and passes the sums on in the same way; what comes back is what all are asked
// (Board). Sums of hundreds of requests change slowly, so that their age, about a
// second, does not matter. The store carries none of it. The division of requests over
// zones (core/locality) depends on it, and how many groups models need (core/assembly):
// since all daemons know it, one that has just begun to lead knows it too.
package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"

	"headcourse/core/usage"
)

// Kind is what is asked for: a service and, of model engines, a model.
type Kind struct {
	Service string
	Model   string
}

// Asked is how much of a kind is asked in a zone.
type Asked struct {
	Kind Kind
	Zone string
	// Rate is in work a second, Tokens in tokens a second.
	Rate   float64
	Tokens usage.Rate
}

// mostAsked bounds what one daemon may tell: zones times kinds, with room to spare.
const mostAsked = 1024

// Check returns what is wrong with what another daemon told, or nil.
func Check(told []Asked) error {
	if len(told) > mostAsked {
		return errors.Errorf("check demand: %d entries, more than %d", len(told), mostAsked)
	}
	for i, one := range told {
		switch {
		case one.Zone == "":
			return errors.Errorf("check demand: entry %d has no zone", i)
		case one.Kind.Service == "":
			return errors.Errorf("check demand: entry %d of zone %q has no service", i, one.Zone)
		}
		for _, rate := range []float64{one.Rate, one.Tokens.Requests, one.Tokens.Prompt, one.Tokens.Answer, one.Tokens.Squares, one.Tokens.Goals} {
			if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
				return errors.Errorf("check demand: entry %d of zone %q: rate %v is none", i, one.Zone, rate)
			}
		}
	}
	return nil
}

// sum adds up what was told, entry by entry, ordered.
func sum(all ...[]Asked) []Asked {
	type place struct {
		kind Kind
		zone string
	}
	sums := map[place]Asked{}
	for _, told := range all {
		for _, one := range told {
			at := place{
				kind: one.Kind,
				zone: one.Zone,
			}
			one.Rate += sums[at].Rate
			one.Tokens = one.Tokens.Plus(sums[at].Tokens)
			sums[at] = one
		}
	}
	added := slices.Collect(maps.Values(sums))
	slices.SortFunc(added, func(a, b Asked) int {
		return cmp.Or(
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Kind.Service, b.Kind.Service),
			cmp.Compare(a.Kind.Model, b.Kind.Model),
		)
	})
	return added
}
