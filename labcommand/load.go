package labcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/examples"
	"headcourse/lab/load"
)

// LoadCommand sends generated requests of callers to daemons.
type LoadCommand struct {
	Deployment string        `name:"deployment" default:"caudal-andino" help:"Deployment whose organisations send."`
	Daemons    []string      `name:"daemons" default:"127.0.0.1:8080" help:"IP:port for callers of the daemons."`
	Rate       float64       `name:"rate" default:"50" help:"Requests a second, independent of the answers."`
	Duration   time.Duration `name:"duration" default:"10s" help:"How long to send."`
	Seed       uint64        `name:"seed" default:"1" help:"Seed of the load."`
	Tokens     int           `name:"tokens" default:"24" help:"Tokens of each answer."`
	Deadline   time.Duration `name:"deadline" default:"20s" help:"Deadline of each request."`
	Plain      float64       `name:"plain" default:"0.2" help:"Fraction of the requests that read from the plain service."`
	Charges    float64       `name:"charges" default:"0.1" help:"Fraction of the requests that may not be repeated."`
}

// Run sends the load and prints counts of outcomes and reasons, and latencies. It
// fails if an answer was meant for another request or was cut without an error.
func (l *LoadCommand) Run(streams *Streams) error {
	deployment, err := examples.Load(l.Deployment)
	if err != nil {
		return errors.Wrap(err, "--deployment")
	}
	declared := deployment.Declaration
	keys := make([]string, len(declared.Organisations))
	for i, organisation := range declared.Organisations {
		keys[i] = examples.Key(organisation.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	report := load.Run(ctx, load.Settings{
		Rate:               l.Rate,
		Duration:           l.Duration,
		Seed:               l.Seed,
		Model:              declared.Models[0].Name,
		ServicePrefix:      declared.Services[0].Prefix,
		NonRepeatablePath:  declared.Services[0].NotRepeatable[0].Path,
		APIKeys:            keys,
		Tokens:             l.Tokens,
		Deadline:           l.Deadline,
		PlainReadShare:     l.Plain,
		NonRepeatableShare: l.Charges,
	}, load.NewBalancer(ctx, l.Daemons))
	_, err = fmt.Fprintf(streams.Out, "requests %d: whole %d, not run %d, unknown %d, broken %d, unreached %d, foreign %d, cut %d\n", len(report.Outcomes), report.Count(load.Complete), report.Count(load.NotRun), report.Count(load.Unknown), report.Count(load.Disconnected), report.Count(load.Unreachable), report.Count(load.Mismatched), report.Count(load.Truncated))
	if err != nil {
		return err
	}
	for _, percentile := range []float64{50, 95, 99} {
		_, err = fmt.Fprintf(streams.Out, "%2.0f%%: first token %.1f ms, whole answer %.1f ms, between tokens %.1f ms\n", percentile, toMilliseconds(report.FirstEvent.ValueAtQuantile(percentile)), toMilliseconds(report.CompleteAnswer.ValueAtQuantile(percentile)), toMilliseconds(report.EventGap.ValueAtQuantile(percentile)))
		if err != nil {
			return err
		}
	}
	for _, reason := range report.Reasons() {
		if _, err = fmt.Fprintf(streams.Out, "%-40s %d\n", reason.Name, reason.Count); err != nil {
			return err
		}
	}
	if report.Count(load.Mismatched)+report.Count(load.Truncated) > 0 {
		return errors.New("answers were foreign or cut")
	}
	return nil
}

// toMilliseconds converts microseconds to milliseconds.
func toMilliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}
