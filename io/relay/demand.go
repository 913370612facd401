package relay

import (
	"math"

	"github.com/pkg/errors"

	"headcourse/core/demand"
	"headcourse/core/rowstore"
	"headcourse/core/usage"
)

// demandEntry is the demand for a kind of request in a zone, as it is sent.
type demandEntry struct {
	Service string  `json:"service"`
	Model   string  `json:"model,omitempty"`
	Zone    string  `json:"zone"`
	Rate    float64 `json:"rate"`
	// FastRate is the rate over a shorter time.
	FastRate float64 `json:"fast,omitempty"`
	// Requests is in requests per second, Prompt and Answer in tokens per second. Squares sums
	// the squared prompt lengths, in tokens, per second. Goals sums the goals for the start of
	// answers, in seconds, once per prompt token and per second.
	Requests float64 `json:"requests,omitempty"`
	Prompt   float64 `json:"prompt,omitempty"`
	Answer   float64 `json:"answer,omitempty"`
	Squares  float64 `json:"squares,omitempty"`
	Goals    float64 `json:"goals,omitempty"`
	// InTime and Late are in answers per second.
	InTime float64 `json:"in_time,omitempty"`
	Late   float64 `json:"late,omitempty"`
}

// encodeDemand converts demand to the form in which it is sent.
func encodeDemand(entries []demand.Demand) []demandEntry {
	var encoded []demandEntry
	for _, entry := range entries {
		encoded = append(encoded, demandEntry{
			Service:  entry.Kind.Service,
			Model:    entry.Kind.Model,
			Zone:     entry.Zone,
			Rate:     rounded(entry.WorkRate),
			FastRate: rounded(entry.FastWorkRate),
			Requests: rounded(entry.TokenRates.Requests),
			Prompt:   rounded(entry.TokenRates.Prompt),
			Answer:   rounded(entry.TokenRates.Answer),
			Squares:  rounded(entry.TokenRates.PromptSquares),
			Goals:    rounded(entry.TokenRates.GoalPromptSeconds),
			InTime:   rounded(entry.InTimeRate),
			Late:     rounded(entry.LateRate),
		})
	}
	return encoded
}

// rounded returns a rate with four significant digits, which is more precise than any measured one and
// takes a third of the bytes.
func rounded(rate float64) float64 {
	if rate == 0 || math.IsInf(rate, 0) || math.IsNaN(rate) {
		return rate
	}
	const digits = 4
	scale := math.Pow(10, digits-math.Ceil(math.Log10(math.Abs(rate))))
	return math.Round(rate*scale) / scale
}

// decodeDemand converts demand from the form in which it is sent.
func decodeDemand(encoded []demandEntry) []demand.Demand {
	var entries []demand.Demand
	for _, entry := range encoded {
		entries = append(entries, demand.Demand{
			Kind: demand.Kind{
				Service: entry.Service,
				Model:   entry.Model,
			},
			Zone:         entry.Zone,
			WorkRate:     entry.Rate,
			FastWorkRate: entry.FastRate,
			TokenRates: usage.Rate{
				Requests:          entry.Requests,
				Prompt:            entry.Prompt,
				Answer:            entry.Answer,
				PromptSquares:     entry.Squares,
				GoalPromptSeconds: entry.Goals,
			},
			InTimeRate: entry.InTime,
			LateRate:   entry.Late,
		})
	}
	return entries
}

// decodeSections returns the sections of a report or of totals, which are in one of two forms.
func decodeSections(load []byte, asked []demandEntry) (demand.Totals, error) {
	if len(load) > 0 {
		return decodeLoad(load)
	}
	return demand.Totals{
		Demand: decodeDemand(asked),
	}, nil
}

// recordReport records the report that a daemon sends with a call, and returns the totals of all daemons
// in the form of the report. An invalid report is logged and not recorded, and the call is still
// answered.
func (s *Server) recordReport(params callParams) loadResult {
	if s.aggregator == nil || params.From == "" {
		return loadResult{}
	}
	result, err := s.exchangeReport(params)
	if err != nil {
		s.reportInvalidDemand(params.From, err)
	}
	return result
}

// exchangeReport records a report and returns the totals in the same form.
func (s *Server) exchangeReport(params callParams) (loadResult, error) {
	sections, err := decodeSections(params.Load, params.Asked)
	if err != nil {
		return loadResult{}, err
	}
	totals, err := s.aggregator.ReceiveReport(params.From, demand.Report{
		Demand:        sections.Demand,
		Organisations: sections.Organisations,
		Paces:         sections.Paces,
		HasDetails:    sections.HasDetails,
		Depth:         params.Depth,
	})
	if err != nil {
		return loadResult{}, err
	}
	if len(params.Load) == 0 {
		return loadResult{
			Asked: encodeDemand(totals.Demand),
		}, nil
	}
	load, err := encodeLoad(totals)
	return loadResult{
		Load: load,
	}, err
}

// retractDemand removes the demand that a daemon reported with a call that failed because this
// one has no copy of the table. Without this, when no relay could reach the store, each
// daemon's requests counted both at its relay and at a standby, and the leader overestimated
// the demand by half.
func (s *Server) retractDemand(params callParams, err error) {
	if s.aggregator != nil && params.From != "" && errors.Is(err, rowstore.ErrNoCopy) {
		s.aggregator.DropReport(params.From)
	}
}

// reportInvalidDemand reports a daemon whose demand is invalid.
func (s *Server) reportInvalidDemand(from string, err error) {
	if s.onInvalidDemand != nil {
		s.onInvalidDemand(from, err)
	}
}
