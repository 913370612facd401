package relay

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"headcourse/core/demand"
	"headcourse/core/rowstore"
)

// ErrUnknownCall is returned if the called daemon does not know a call, since it is of an older release.
var ErrUnknownCall = errors.New("daemon does not know the call, it is of an older release")

// Overview is what a daemon has decided from the totals. The zero value has no kinds.
type Overview struct {
	Kinds []KindOverview
}

// KindOverview is what a daemon has decided for a kind of request.
type KindOverview struct {
	Kind demand.Kind
	// Heads is the number of the model's heads, weighted by pace.
	Heads float64
	// PriorityFraction is the fraction of the requests that can be in time, from 0 to 1.
	PriorityFraction float64
	// DeferredRate is how many requests without priority all daemons together may send, in requests per
	// second; +Inf means no limit.
	DeferredRate float64
	// Backlog is how long a request waits that is deferred now.
	Backlog      time.Duration
	IsOverloaded bool
	// HeldRequests is the number of requests of the kind that wait at this daemon.
	HeldRequests int
	// CutOrganisations are the organisations whose fraction is below PriorityFraction.
	CutOrganisations []OrganisationFraction
}

// OrganisationFraction is the fraction of an organisation's requests that have priority, from 0 to 1.
type OrganisationFraction struct {
	Organisation string  `json:"organisation"`
	Fraction     float64 `json:"fraction"`
}

// Totals are what a daemon knows of all daemons, and what it has decided from that.
type Totals struct {
	// Daemon is the name of the daemon that answered; empty if it has none.
	Daemon string
	demand.KnownTotals
	Overview Overview
}

// totalsResult is the result of the call for totals.
type totalsResult struct {
	Daemon string `json:"daemon,omitempty"`
	// Known is false if the totals are those of the called daemon only.
	Known bool `json:"known"`
	// AgeMS is the age of the totals, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Load are the sections of the totals (encodeLoad).
	Load  []byte      `json:"load"`
	Kinds []kindEntry `json:"kinds,omitempty"`
}

// kindEntry is a KindOverview, as it is sent.
type kindEntry struct {
	Service          string  `json:"service"`
	Model            string  `json:"model,omitempty"`
	Heads            float64 `json:"heads"`
	PriorityFraction float64 `json:"priority_fraction"`
	// DeferredRate is in requests per second. It is missing if there is no limit, which JSON has no number for.
	DeferredRate     *float64               `json:"deferred_rate,omitempty"`
	BacklogMS        int64                  `json:"backlog_ms"`
	Overloaded       bool                   `json:"overloaded"`
	Held             int                    `json:"held"`
	CutOrganisations []OrganisationFraction `json:"cut_organisations,omitempty"`
}

// encodeOverview converts an overview to the form in which it is sent.
func encodeOverview(overview Overview) []kindEntry {
	var entries []kindEntry
	for _, one := range overview.Kinds {
		entry := kindEntry{
			Service:          one.Kind.Service,
			Model:            one.Kind.Model,
			Heads:            one.Heads,
			PriorityFraction: one.PriorityFraction,
			DeferredRate:     &one.DeferredRate,
			BacklogMS:        one.Backlog.Milliseconds(),
			Overloaded:       one.IsOverloaded,
			Held:             one.HeldRequests,
			CutOrganisations: one.CutOrganisations,
		}
		if math.IsInf(one.DeferredRate, 1) {
			entry.DeferredRate = nil
		}
		entries = append(entries, entry)
	}
	return entries
}

// decodeOverview converts an overview from the form in which it is sent.
func decodeOverview(entries []kindEntry) Overview {
	var overview Overview
	for _, entry := range entries {
		one := KindOverview{
			Kind: demand.Kind{
				Service: entry.Service,
				Model:   entry.Model,
			},
			Heads:            entry.Heads,
			PriorityFraction: entry.PriorityFraction,
			DeferredRate:     math.Inf(1),
			Backlog:          time.Duration(entry.BacklogMS) * time.Millisecond,
			IsOverloaded:     entry.Overloaded,
			HeldRequests:     entry.Held,
			CutOrganisations: entry.CutOrganisations,
		}
		if entry.DeferredRate != nil {
			one.DeferredRate = *entry.DeferredRate
		}
		overview.Kinds = append(overview.Kinds, one)
	}
	return overview
}

// handleTotals returns what this daemon knows of all daemons. It records nothing about the caller.
func (s *Server) handleTotals() (any, error) {
	var known demand.KnownTotals
	if s.aggregator != nil {
		known = s.aggregator.KnownTotals()
	}
	load, err := encodeLoad(known.Totals)
	if err != nil {
		return nil, encodeError(err)
	}
	result := totalsResult{
		Daemon: s.name,
		Known:  known.IsKnown,
		AgeMS:  known.Age.Milliseconds(),
		Load:   load,
	}
	if s.overview != nil {
		result.Kinds = encodeOverview(s.overview())
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		return nil, encodeError(errors.Wrap(err, "encode totals"))
	}
	return json.RawMessage(encoded), nil
}

// Totals returns what the called daemon knows of all daemons. It neither reports demand nor records the
// answer in the Aggregator. The error wraps ErrUnknownCall if the daemon is of an older release.
func (c *Client) Totals(ctx context.Context) (Totals, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return Totals{}, errors.Wrapf(err, "connect to daemon %s", c.address)
	}
	var result totalsResult
	if err = conn.Call(ctx, callTotals, callParams{}, &result); err != nil {
		var rpcErr *jsonrpc2.Error
		switch {
		case !errors.As(err, &rpcErr):
			c.discard(conn)
			return Totals{}, errors.Wrapf(rowstore.ErrOutcomeUnknown, "call %s of daemon %s: %s", callTotals, c.address, err)
		case rpcErr.Code == jsonrpc2.CodeMethodNotFound:
			return Totals{}, errors.Wrapf(ErrUnknownCall, "call %s of daemon %s", callTotals, c.address)
		}
		return Totals{}, errors.Errorf("call %s of daemon %s: %s", callTotals, c.address, rpcErr.Message)
	}
	totals, err := result.decode()
	return totals, errors.Wrapf(err, "call %s of daemon %s", callTotals, c.address)
}

// decode converts the totals from the form in which they are sent. It fails if they are invalid.
func (r totalsResult) decode() (Totals, error) {
	load, err := decodeLoad(r.Load)
	if err != nil {
		return Totals{}, err
	}
	if err = demand.CheckDemand(load.Demand); err != nil {
		return Totals{}, err
	}
	if err = demand.CheckOrganisations(load.Organisations); err != nil {
		return Totals{}, err
	}
	if err = demand.CheckPaces(load.Paces); err != nil {
		return Totals{}, err
	}
	return Totals{
		Daemon: r.Daemon,
		KnownTotals: demand.KnownTotals{
			Totals:  load,
			IsKnown: r.Known,
			Age:     time.Duration(r.AgeMS) * time.Millisecond,
		},
		Overview: decodeOverview(r.Kinds),
	}, nil
}
