package labcommand

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/pkg/errors"

	"headcourse/lab/fleetlog"
)

// FleetCommand summarises the logs of a fleet's daemons.
type FleetCommand struct {
	Log string `arg:"" help:"File with log lines of daemons: a time in seconds, the daemon's name, and the line."`
}

// Run reads the logs and writes the tables of their summary.
func (f *FleetCommand) Run(streams *Streams) error {
	file, err := os.Open(f.Log)
	if err != nil {
		return errors.Wrap(err, "LOG")
	}
	defer func() { _ = file.Close() }()
	summary, err := fleetlog.Read(file)
	if err != nil {
		return errors.Wrapf(err, "LOG %s", f.Log)
	}
	_, err = fmt.Fprint(streams.Out, formatSummary(summary))
	return errors.Wrap(err, "write table")
}

// formatSummary returns the tables of a summary: calls to the store, and the times
// at which daemons applied configurations and became ready.
func formatSummary(summary fleetlog.Summary) string {
	text := "calls to the store\nstart role    daemons    calls call\n"
	for _, call := range summary.Calls {
		text += fmt.Sprintf("%5d %-7s %7d %8d %s\n", call.Start, call.Role, call.Daemons, call.Count, call.Call)
	}
	text += "\nconfiguration taken, s\nversion daemons    first   middle     last\n"
	for _, version := range slices.Sorted(maps.Keys(summary.Configurations)) {
		text += fmt.Sprintf("%7d %s\n", version, formatSpread(summary.Configurations[version]))
	}
	text += "\nready, s\n  start daemons    first   middle     last\n"
	for _, start := range slices.Sorted(maps.Keys(summary.Ready)) {
		text += fmt.Sprintf("%7d %s\n", start, formatSpread(summary.Ready[start]))
	}
	return text
}

// formatSpread returns the table cells of a spread: the number of daemons, and the
// times of the first, the median and the last one in seconds.
func formatSpread(spread fleetlog.Spread) string {
	return fmt.Sprintf("%7d %8.3f %8.3f %8.3f", spread.Daemons, spread.First, spread.Median, spread.Last)
}
