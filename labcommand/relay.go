package labcommand

import (
	"fmt"
	"text/tabwriter"
	"time"

	"headcourse/lab/relaybench"
)

// RelayCommand measures the latency and processor time that a daemon adds to
// streams.
type RelayCommand struct {
	Rate      float64       `name:"rate" default:"40" help:"Streams started a second."`
	Tokens    int           `name:"tokens" default:"100" help:"Events of each stream."`
	EachToken time.Duration `name:"each-token" default:"10ms" help:"Time between two events."`
	Duration  time.Duration `name:"duration" default:"8s" help:"Time of each turn."`
	Turns     int           `name:"turns" default:"3" help:"Turns of each path, alternating."`
}

// Run prints three rows for each turn: the direct path, the path through a daemon,
// and the difference, which is the daemon's own cost.
func (r *RelayCommand) Run(streams *Streams) error {
	bench, err := relaybench.Start(r.EachToken)
	if err != nil {
		return err
	}
	defer bench.Stop()
	table := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TURN\tPATH\tEVENTS/S\tBROKEN\tCPU US/EVENT\tFIRST 50% MS\tFIRST 99% MS\tGAP 50% MS\tGAP 99% MS")
	for turn := range r.Turns {
		settings := relaybench.Settings{
			Rate:          r.Rate,
			Tokens:        r.Tokens,
			TokenInterval: r.EachToken,
			Duration:      r.Duration,
			Seed:          uint64(turn + 1), //nolint:gosec // small and not negative
		}
		direct := bench.MeasureDirect(settings)
		throughDaemon := bench.MeasureThroughDaemon(settings)
		for _, path := range []struct {
			name        string
			measurement relaybench.Measurement
		}{{
			name:        "direct",
			measurement: direct,
		}, {
			name:        "through a daemon",
			measurement: throughDaemon,
		}} {
			m := path.measurement
			_, _ = fmt.Fprintf(table, "%d\t%s\t%.0f\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\n", turn+1, path.name, float64(m.Events)/m.ElapsedSeconds, m.IncompleteStreams, cpuMicrosecondsPerEvent(m), toMilliseconds(m.FirstEvent.ValueAtQuantile(50)), toMilliseconds(m.FirstEvent.ValueAtQuantile(99)), toMilliseconds(m.EventGap.ValueAtQuantile(50)), toMilliseconds(m.EventGap.ValueAtQuantile(99)))
		}
		addedCPU := cpuMicrosecondsPerEvent(throughDaemon) - cpuMicrosecondsPerEvent(direct)
		_, _ = fmt.Fprintf(table, "%d\tthe daemon alone\t\t\t%.1f\t\t%.2f\t\t%.2f\n", turn+1, addedCPU, toMilliseconds(throughDaemon.FirstEvent.ValueAtQuantile(99)-direct.FirstEvent.ValueAtQuantile(99)), toMilliseconds(throughDaemon.EventGap.ValueAtQuantile(99)-direct.EventGap.ValueAtQuantile(99)))
	}
	return table.Flush()
}

// cpuMicrosecondsPerEvent returns the mean processor time per event in
// microseconds.
func cpuMicrosecondsPerEvent(measurement relaybench.Measurement) float64 {
	return measurement.CPUSeconds / float64(max(1, measurement.Events)) * 1e6
}
