package labcommand

import (
	"fmt"
	"text/tabwriter"
	"time"

	"headcourse/lab/routebench"
)

// RoutesCommand compares routing policies on the same load in virtual time.
type RoutesCommand struct {
	Daemons  int           `name:"daemons" default:"9" help:"Daemons that route independently."`
	Groups   int           `name:"groups" default:"12" help:"Serving groups."`
	Rates    []float64     `name:"rates" default:"20,35,50" help:"Requests a second."`
	Seeds    []uint64      `name:"seeds" default:"1,2,3" help:"Seeds of the load."`
	Duration time.Duration `name:"duration" default:"10m" help:"Virtual time."`
	Topics   int           `name:"topics" default:"60" help:"Different prompt prefixes."`
	Skew     float64       `name:"skew" default:"1.0" help:"Exponent of the Zipf distribution of prefixes."`
	Lag      time.Duration `name:"lag" default:"1s" help:"Maximum age of reported loads."`
	Deadline time.Duration `name:"deadline" default:"1100ms" help:"Deadline of the first token."`
}

// Run prints a row for each combination of rate, seed and policy.
func (r *RoutesCommand) Run(streams *Streams) error {
	table := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "RATE\tSEED\tPOLICY\tFIRST 50% MS\t95% MS\t99% MS\tIN TIME %\tCACHED %\tREFUSED %")
	for _, rate := range r.Rates {
		for _, seed := range r.Seeds {
			for _, result := range routebench.Compare(routebench.Settings{
				Daemons:  r.Daemons,
				Groups:   r.Groups,
				Rate:     rate,
				Duration: r.Duration,
				Seed:     seed,
				Topics:   r.Topics,
				Skew:     r.Skew,
				Lag:      r.Lag,
				Deadline: r.Deadline,
			}) {
				onePercent := float64(result.Requests) / 100
				_, _ = fmt.Fprintf(table, "%.0f\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\n", rate, seed, result.Policy, toMilliseconds(result.FirstToken.ValueAtQuantile(50)), toMilliseconds(result.FirstToken.ValueAtQuantile(95)), toMilliseconds(result.FirstToken.ValueAtQuantile(99)), float64(result.WithinDeadline)/onePercent, float64(result.CacheHits)/onePercent, float64(result.Rejected)/onePercent)
			}
		}
	}
	return table.Flush()
}
