package labcommand

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/examples"
	"headcourse/lab/measures"
)

// MeasuresCommand compares headcourse's policy for repairs and moves with
// baselines, by group downtime and stranded accelerators.
type MeasuresCommand struct {
	Hours    float64       `name:"hours" default:"8" help:"Virtual time of each run."`
	Seeds    []uint64      `name:"seeds" default:"1,2,3" help:"Seeds of the failures."`
	LoadTime time.Duration `name:"load-time" default:"90s" help:"Time that a model loads."`
}

// Run prints a row for each combination of operator weights, policy and seed. It
// fails if the oracle saw a violated guarantee. measures.CompareAndExit ends the process,
// with exit code 1 on failure, so that Run does not return after it.
func (m *MeasuresCommand) Run(streams *Streams) error {
	var operators []measures.OperatorWeights
	for _, name := range examples.Names() {
		deployment, err := examples.Load(name)
		if err != nil {
			return err
		}
		operators = append(operators, measures.OperatorWeights{
			Operator: name,
			Weights:  deployment.Declaration.Weights,
		})
	}
	measures.CompareAndExit(measures.Settings{
		Hours:    m.Hours,
		Seeds:    m.Seeds,
		LoadTime: m.LoadTime,
	}, operators, func(results []measures.Result) error {
		return writeMeasures(streams.Out, results)
	})
	return nil
}

// writeMeasures writes a row for each run, and returns an error that lists the
// violated guarantees.
func writeMeasures(out io.Writer, results []measures.Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "WEIGHTS\tPOLICY\tSEED\tGROUP DOWNTIME S\tSTRANDED ACCELERATOR H\tCOST")
	var violations []string
	for _, result := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.0f\t%.1f\t%.0f\n", result.Weights.Operator, result.Policy.Name, result.Seed, result.GroupDowntimeSeconds, result.StrandedAcceleratorHours, result.Cost)
		violations = append(violations, result.Violations...)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(violations) > 0 {
		return errors.Errorf("guarantees violated: %v", violations)
	}
	return nil
}
