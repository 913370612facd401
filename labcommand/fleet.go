package labcommand

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/pkg/errors"

	"headcourse/lab/fleetlog"
)

// FleetCommand reads daemons' logs.
type FleetCommand struct {
	Log string `arg:"" help:"File with lines of daemons: a time in seconds, the daemon's name, and what it wrote."`
}

// Run writes a table of what the logs tell.
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
	_, err = fmt.Fprint(streams.Out, fleetTable(summary))
	return errors.Wrap(err, "write table")
}

// fleetTable returns the tables of a summary, as text.
func fleetTable(summary fleetlog.Summary) string {
	text := "calls to the store\nstart role    daemons    calls call\n"
	for _, one := range summary.Calls {
		text += fmt.Sprintf("%5d %-7s %7d %8d %s\n", one.Start, one.Role, one.Daemons, one.Count, one.Call)
	}
	text += "\nconfiguration taken, s\nversion daemons    first   middle     last\n"
	for _, version := range slices.Sorted(maps.Keys(summary.Configurations)) {
		text += fmt.Sprintf("%7d %s\n", version, spreadText(summary.Configurations[version]))
	}
	text += "\nready, s\n  start daemons    first   middle     last\n"
	for _, start := range slices.Sorted(maps.Keys(summary.Ready)) {
		text += fmt.Sprintf("%7d %s\n", start, spreadText(summary.Ready[start]))
	}
	return text
}

// spreadText returns a spread as a part of a line.
func spreadText(one fleetlog.Spread) string {
	return fmt.Sprintf("%7d %8.3f %8.3f %8.3f", one.Daemons, one.First, one.Middle, one.Last)
}
