package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/demand"
	"headcourse/io/relay"
)

const (
	// loadTimeout bounds the call to the daemon.
	loadTimeout = 5 * time.Second
	// largestOrganisations is how many organisations are shown besides those that are cut.
	largestOrganisations = 10
)

// LoadCommand shows the load of all daemons as one daemon knows it. It needs no key: it calls the port at
// which daemons call each other.
type LoadCommand struct {
	Daemon string `name:"daemon" required:"" placeholder:"IP:PORT" help:"IP:port of an entry daemon for other daemons, the first of its PortRange."`
	JSON   bool   `name:"json" help:"Print JSON: rates per second, times in milliseconds."`
}

// Run prints the load: the demand by zone, the decisions by kind, the organisations by their share of the
// work, and the servers that daemons find slow.
func (l *LoadCommand) Run(streams *Streams) error {
	client := relay.NewClient(l.Daemon)
	// Operators may be further away than other daemons are.
	client.ConnectTimeout = loadTimeout
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	totals, err := client.Totals(ctx)
	if err != nil {
		return errors.Wrap(err, "show load")
	}
	view := newLoadView(totals)
	if l.JSON {
		encoder := json.NewEncoder(streams.Out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(view), "write output")
	}
	return view.writeTables(streams.Out)
}

// loadView is the load as it is printed. Rates are per second.
type loadView struct {
	Daemon string `json:"daemon"`
	// HasOtherDaemons is false if the figures are those of the called daemon only.
	HasOtherDaemons bool  `json:"has_other_daemons"`
	AgeMS           int64 `json:"age_ms"`
	// HasDetails is false if the organisations and the votes on servers are unknown.
	HasDetails    bool               `json:"has_details"`
	Demand        []loadDemand       `json:"demand"`
	Kinds         []loadKind         `json:"kinds"`
	Organisations []loadOrganisation `json:"organisations"`
	SlowServers   []loadServer       `json:"slow_servers"`
}

// loadDemand is the demand for a kind in a zone.
type loadDemand struct {
	Service      string  `json:"service"`
	Model        string  `json:"model"`
	Zone         string  `json:"zone"`
	Requests     float64 `json:"requests"`
	PromptTokens float64 `json:"prompt_tokens"`
	AnswerTokens float64 `json:"answer_tokens"`
	// InTime and Late count answers to requests with priority.
	InTime float64 `json:"in_time"`
	Late   float64 `json:"late"`
	// Work and FastWork are in units of work, over 2 s and over 0.6 s.
	Work     float64 `json:"work"`
	FastWork float64 `json:"fast_work"`
}

// loadKind is what the daemon has decided for a kind.
type loadKind struct {
	Service          string  `json:"service"`
	Model            string  `json:"model"`
	Overloaded       bool    `json:"overloaded"`
	Heads            float64 `json:"heads"`
	PriorityFraction float64 `json:"priority_fraction"`
	// DeferredRate is in requests; nil means no limit.
	DeferredRate *float64 `json:"deferred_rate"`
	BacklogMS    int64    `json:"backlog_ms"`
	// Held is the number of requests of the kind that wait at the called daemon.
	Held int `json:"held"`
}

// loadOrganisation is an organisation's part of the work of a kind.
type loadOrganisation struct {
	Service      string `json:"service"`
	Model        string `json:"model"`
	Organisation string `json:"organisation"`
	// WorkShare is its part of the work of all organisations, over all kinds, from 0 to 1.
	WorkShare float64 `json:"work_share"`
	Work      float64 `json:"work"`
	// PriorityFraction is the fraction of its requests that have priority; nil if it is not cut.
	PriorityFraction *float64 `json:"priority_fraction"`
}

// loadServer counts the daemons by the pace that they observed of a server, relative to the median of its
// model.
type loadServer struct {
	Server   string `json:"server"`
	Below2_5 uint32 `json:"votes_below_2_5"`
	Below3   uint32 `json:"votes_below_3"`
	Below6   uint32 `json:"votes_below_6"`
	From6    uint32 `json:"votes_from_6"`
}

// slowVotes returns the number of daemons that find the server slow.
func (s loadServer) slowVotes() uint32 {
	return s.Below3 + s.Below6 + s.From6
}

// newLoadView returns the view of a daemon's totals. Its lists are not nil, so that JSON has empty lists.
func newLoadView(totals relay.Totals) loadView {
	return loadView{
		Daemon:          totals.Daemon,
		HasOtherDaemons: totals.IsKnown,
		AgeMS:           totals.Age.Milliseconds(),
		HasDetails:      totals.HasDetails,
		Demand:          demandRows(totals.Demand),
		Kinds:           kindRows(totals.Overview),
		Organisations:   organisationRows(totals.Organisations, totals.Overview),
		SlowServers:     slowServerRows(totals.Paces),
	}
}

// demandRows returns the demand by service, model and zone.
func demandRows(entries []demand.Demand) []loadDemand {
	rows := []loadDemand{}
	for _, entry := range entries {
		rows = append(rows, loadDemand{
			Service:      entry.Kind.Service,
			Model:        entry.Kind.Model,
			Zone:         entry.Zone,
			Requests:     entry.TokenRates.Requests,
			PromptTokens: entry.TokenRates.Prompt,
			AnswerTokens: entry.TokenRates.Answer,
			InTime:       entry.InTimeRate,
			Late:         entry.LateRate,
			Work:         entry.WorkRate,
			FastWork:     entry.FastWorkRate,
		})
	}
	slices.SortStableFunc(rows, func(a, b loadDemand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Zone, b.Zone))
	})
	return rows
}

// kindRows returns the decisions by service and model.
func kindRows(overview relay.Overview) []loadKind {
	rows := []loadKind{}
	for _, one := range overview.Kinds {
		row := loadKind{
			Service:          one.Kind.Service,
			Model:            one.Kind.Model,
			Overloaded:       one.IsOverloaded,
			Heads:            one.Heads,
			PriorityFraction: one.PriorityFraction,
			BacklogMS:        one.Backlog.Milliseconds(),
			Held:             one.HeldRequests,
		}
		if !math.IsInf(one.DeferredRate, 1) {
			row.DeferredRate = &one.DeferredRate
		}
		rows = append(rows, row)
	}
	slices.SortStableFunc(rows, func(a, b loadKind) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return rows
}

// organisationRows returns the organisations with the largest shares and all that are cut, the largest
// first. One that is cut and has no entry of its own has the work share 0.
func organisationRows(entries []demand.OrganisationDemand, overview relay.Overview) []loadOrganisation {
	rows := []loadOrganisation{}
	total := 0.0
	for _, entry := range entries {
		total += entry.WorkRate
		rows = append(rows, loadOrganisation{
			Service:      entry.Kind.Service,
			Model:        entry.Kind.Model,
			Organisation: entry.Organisation,
			Work:         entry.WorkRate,
		})
	}
	for _, one := range overview.Kinds {
		for _, cut := range one.CutOrganisations {
			rows = withFraction(rows, one.Kind, cut)
		}
	}
	for i := range rows {
		if total > 0 {
			rows[i].WorkShare = rows[i].Work / total
		}
	}
	slices.SortStableFunc(rows, func(a, b loadOrganisation) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Organisation, b.Organisation))
	})
	shown := rows[:min(largestOrganisations, len(rows))]
	for _, row := range rows[len(shown):] {
		if row.PriorityFraction != nil {
			shown = append(shown, row)
		}
	}
	return shown
}

// withFraction sets the fraction of an organisation that is cut, and adds a row if it has none.
func withFraction(rows []loadOrganisation, kind demand.Kind, cut relay.OrganisationFraction) []loadOrganisation {
	for i, row := range rows {
		if row.Service == kind.Service && row.Model == kind.Model && row.Organisation == cut.Organisation {
			rows[i].PriorityFraction = &cut.Fraction
			return rows
		}
	}
	return append(rows, loadOrganisation{
		Service:          kind.Service,
		Model:            kind.Model,
		Organisation:     cut.Organisation,
		PriorityFraction: &cut.Fraction,
	})
}

// slowServerRows returns the servers that at least one daemon finds slow, those with the most such votes
// first.
func slowServerRows(paces []demand.PaceVotes) []loadServer {
	rows := []loadServer{}
	for _, entry := range paces {
		row := loadServer{
			Server:   entry.Server,
			Below2_5: entry.Votes[0],
			Below3:   entry.Votes[1],
			Below6:   entry.Votes[2],
			From6:    entry.Votes[3],
		}
		if row.slowVotes() > 0 {
			rows = append(rows, row)
		}
	}
	slices.SortStableFunc(rows, func(a, b loadServer) int {
		return cmp.Or(cmp.Compare(b.slowVotes(), a.slowVotes()), cmp.Compare(a.Server, b.Server))
	})
	return rows
}

// writeTables writes the view as tables.
func (v loadView) writeTables(out io.Writer) error {
	name := cmp.Or(v.Daemon, "without a name")
	if v.HasOtherDaemons {
		_, _ = fmt.Fprintf(out, "daemon %s; totals of all daemons, %d ms old\n", name, v.AgeMS)
	} else {
		_, _ = fmt.Fprintf(out, "daemon %s; it knows of no other daemon: the figures are its own\n", name)
	}
	for _, section := range v.sections() {
		switch {
		case !section.isKnown:
			_, _ = fmt.Fprintf(out, "\n%s: unknown\n", section.title)
			continue
		case section.count == 0:
			_, _ = fmt.Fprintf(out, "\n%s: none\n", section.title)
			continue
		}
		_, _ = fmt.Fprintf(out, "\n%s:\n", section.title)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		section.write(table)
		if err := table.Flush(); err != nil {
			return errors.Wrap(err, "write output")
		}
	}
	return nil
}

// loadSection is one table of the view.
type loadSection struct {
	title string
	// isKnown is false if the daemon lacks the figures, and count is the number of rows.
	isKnown bool
	count   int
	write   func(table io.Writer)
}

// sections returns the tables of the view.
func (v loadView) sections() []loadSection {
	return []loadSection{
		{
			title:   "Demand, per second",
			isKnown: true,
			count:   len(v.Demand),
			write:   v.writeDemand,
		},
		{
			title:   "Decisions",
			isKnown: true,
			count:   len(v.Kinds),
			write:   v.writeKinds,
		},
		{
			title:   "Organisations by share of the work",
			isKnown: v.HasDetails,
			count:   len(v.Organisations),
			write:   v.writeOrganisations,
		},
		{
			title:   "Slow servers, daemons by time per event relative to the median of the model",
			isKnown: v.HasDetails,
			count:   len(v.SlowServers),
			write:   v.writeServers,
		},
	}
}

// writeDemand writes a row for each kind and zone.
func (v loadView) writeDemand(table io.Writer) {
	writeRow(table, "SERVICE", "MODEL", "ZONE", "REQUESTS", "PROMPT TOKENS", "ANSWER TOKENS", "IN TIME", "LATE")
	for _, row := range v.Demand {
		writeRow(table, row.Service, orDash(row.Model), row.Zone, fmt.Sprintf("%.1f", row.Requests), fmt.Sprintf("%.0f", row.PromptTokens), fmt.Sprintf("%.0f", row.AnswerTokens), fmt.Sprintf("%.1f", row.InTime), fmt.Sprintf("%.1f", row.Late))
	}
}

// writeKinds writes a row for each kind.
func (v loadView) writeKinds(table io.Writer) {
	writeRow(table, "SERVICE", "MODEL", "OVERLOADED", "HEADS", "PRIORITY FRACTION", "DEFERRED/S", "BACKLOG MS", "HELD HERE")
	for _, row := range v.Kinds {
		deferred := "no limit"
		if row.DeferredRate != nil {
			deferred = fmt.Sprintf("%.1f", *row.DeferredRate)
		}
		writeRow(table, row.Service, orDash(row.Model), row.Overloaded, fmt.Sprintf("%.1f", row.Heads), fmt.Sprintf("%.3f", row.PriorityFraction), deferred, row.BacklogMS, row.Held)
	}
}

// writeOrganisations writes a row for each organisation and kind.
func (v loadView) writeOrganisations(table io.Writer) {
	writeRow(table, "ORGANISATION", "SERVICE", "MODEL", "WORK SHARE", "WORK/S", "PRIORITY FRACTION")
	for _, row := range v.Organisations {
		fraction := "not cut"
		if row.PriorityFraction != nil {
			fraction = fmt.Sprintf("%.3f", *row.PriorityFraction)
		}
		writeRow(table, row.Organisation, row.Service, orDash(row.Model), fmt.Sprintf("%.3f", row.WorkShare), fmt.Sprintf("%.0f", row.Work), fraction)
	}
}

// writeServers writes a row for each server that daemons find slow.
func (v loadView) writeServers(table io.Writer) {
	writeRow(table, "SERVER", "BELOW 2.5", "BELOW 3", "BELOW 6", "FROM 6")
	for _, row := range v.SlowServers {
		writeRow(table, row.Server, row.Below2_5, row.Below3, row.Below6, row.From6)
	}
}

// orDash returns a text, or a dash if it is empty, so that a table has no empty cell.
func orDash(text string) string {
	return cmp.Or(text, "-")
}
