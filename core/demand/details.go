package demand

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxOrganisations limits the entries of organisations of one report. The ones with the most work
	// are kept.
	maxOrganisations = 512
	// maxPaces limits the servers with votes of one report. The ones with the most votes for slow are
	// kept, since a server without votes is healthy.
	maxPaces = 512
	// maxVotes limits the votes in one bucket, well above the number of daemons. Sums of valid reports
	// therefore don't overflow.
	maxVotes = 1 << 20
)

// OrganisationDemand is the demand of an organisation for a kind, over all zones. The usual rate isn't
// reported: each daemon derives it from the totals.
type OrganisationDemand struct {
	Kind         Kind
	Organisation string
	// WorkRate is in units of work per second.
	WorkRate float64
}

// organisationKey identifies an entry of an organisation.
type organisationKey struct {
	kind         Kind
	organisation string
}

// key returns the key of the entry.
func (d OrganisationDemand) key() organisationKey {
	return organisationKey{
		kind:         d.Kind,
		organisation: d.Organisation,
	}
}

// PaceVotes counts how many daemons observed each pace of a server.
type PaceVotes struct {
	Server string
	// Votes counts daemons by the server's time per event relative to the median of its model: less
	// than 2.5 times, 3 times, 6 times, or more (core/pace).
	Votes [4]uint32
}

// slowVotes returns the number of daemons that observed the server as slow.
func (v PaceVotes) slowVotes() uint32 {
	return v.Votes[1] + v.Votes[2] + v.Votes[3]
}

// CheckOrganisations returns an error if the organisations of another daemon's report are invalid.
func CheckOrganisations(entries []OrganisationDemand) error {
	if len(entries) > maxOrganisations {
		return errors.Errorf("check organisations: %d entries, more than %d", len(entries), maxOrganisations)
	}
	for i, entry := range entries {
		switch {
		case entry.Organisation == "":
			return errors.Errorf("check organisations: entry %d has no organisation", i)
		case entry.Kind.Service == "":
			return errors.Errorf("check organisations: entry %d of %q has no service", i, entry.Organisation)
		case !isValidRate(entry.WorkRate):
			return errors.Errorf("check organisations: entry %d of %q: rate %v is invalid", i, entry.Organisation, entry.WorkRate)
		}
	}
	return nil
}

// CheckPaces returns an error if the votes of another daemon's report are invalid.
func CheckPaces(entries []PaceVotes) error {
	if len(entries) > maxPaces {
		return errors.Errorf("check paces: %d entries, more than %d", len(entries), maxPaces)
	}
	for i, entry := range entries {
		if entry.Server == "" {
			return errors.Errorf("check paces: entry %d has no server", i)
		}
		for _, votes := range entry.Votes {
			if votes > maxVotes {
				return errors.Errorf("check paces: entry %d of %q: %d votes, more than %d", i, entry.Server, votes, maxVotes)
			}
		}
	}
	return nil
}

// sumOrganisations adds up entries of the same kind and organisation, and returns those with the most
// work. They are ordered by service, model and organisation.
func sumOrganisations(lists ...[]OrganisationDemand) []OrganisationDemand {
	sums := map[organisationKey]OrganisationDemand{}
	for _, entries := range lists {
		for _, entry := range entries {
			entry.WorkRate = min(maxRate, entry.WorkRate+sums[entry.key()].WorkRate)
			sums[entry.key()] = entry
		}
	}
	byName := func(a, b OrganisationDemand) int {
		return cmp.Or(
			cmp.Compare(a.Kind.Service, b.Kind.Service),
			cmp.Compare(a.Kind.Model, b.Kind.Model),
			cmp.Compare(a.Organisation, b.Organisation),
		)
	}
	sorted := slices.Collect(maps.Values(sums))
	if len(sorted) > maxOrganisations {
		slices.SortFunc(sorted, func(a, b OrganisationDemand) int {
			return cmp.Or(cmp.Compare(b.WorkRate, a.WorkRate), byName(a, b))
		})
		sorted = sorted[:maxOrganisations]
	}
	slices.SortFunc(sorted, byName)
	return sorted
}

// sumPaces adds up the votes for the same server, and returns the servers with the most votes for slow.
// They are ordered by name.
func sumPaces(lists ...[]PaceVotes) []PaceVotes {
	sums := map[string]PaceVotes{}
	for _, entries := range lists {
		for _, entry := range entries {
			for bucket, votes := range sums[entry.Server].Votes {
				entry.Votes[bucket] = min(maxVotes, entry.Votes[bucket]+votes)
			}
			sums[entry.Server] = entry
		}
	}
	byName := func(a, b PaceVotes) int {
		return cmp.Compare(a.Server, b.Server)
	}
	sorted := slices.Collect(maps.Values(sums))
	if len(sorted) > maxPaces {
		slices.SortFunc(sorted, func(a, b PaceVotes) int {
			return cmp.Or(cmp.Compare(b.slowVotes(), a.slowVotes()), byName(a, b))
		})
		sorted = sorted[:maxPaces]
	}
	slices.SortFunc(sorted, byName)
	return sorted
}

// details are the sections that only every fourth report contains.
type details struct {
	organisations []OrganisationDemand
	paces         []PaceVotes
	// receivedAt is when they were received or added up; zero means never.
	receivedAt time.Time
}

// isFresh reports whether the details still count.
func (d details) isFresh() bool {
	return !d.receivedAt.IsZero() && time.Since(d.receivedAt) < reportLifetime
}

// sumDetails adds up details, as of now.
func sumDetails(parts ...details) details {
	var organisations [][]OrganisationDemand
	var paces [][]PaceVotes
	for _, part := range parts {
		organisations = append(organisations, part.organisations)
		paces = append(paces, part.paces)
	}
	return details{
		organisations: sumOrganisations(organisations...),
		paces:         sumPaces(paces...),
		receivedAt:    time.Now(),
	}
}
