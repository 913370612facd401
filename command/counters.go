package command

import (
	"io"
	"sort"

	"headcourse/core/outcome"
)

// CountersCommand shows the counters of one daemon. It repeats the fields of
// Connection because --list needs no key.
type CountersCommand struct {
	Daemon string `name:"daemon" env:"HEADCOURSE_DAEMON" default:"127.0.0.1:8081" help:"IP:port for operators of the daemon."`
	Key    string `name:"key" env:"HEADCOURSE_KEY" help:"The operator's key; prefer the variable."`
	Output string `name:"output" env:"HEADCOURSE_OUTPUT" default:"table" enum:"table,json" help:"Output format: ${enum}."`
	List   bool   `name:"list" help:"List every counted reason with its meaning."`
}

// Run prints the daemon's counters, or with --list the reasons that are counted.
func (c *CountersCommand) Run(streams *Streams) error {
	connection := Connection{
		Daemon: c.Daemon,
		Key:    c.Key,
		Output: c.Output,
	}
	if c.List {
		return connection.print(streams.Out, outcome.Reasons, func(table io.Writer) {
			writeRow(table, "REASON", "MEANING")
			for _, entry := range outcome.Reasons {
				writeRow(table, entry.Reason, entry.Meaning)
			}
		})
	}
	counters, err := connection.client().Counters()
	if err != nil {
		return err
	}
	return connection.print(streams.Out, counters, func(table io.Writer) {
		names := make([]string, 0, len(counters))
		for name := range counters {
			names = append(names, name)
		}
		sort.Strings(names)
		writeRow(table, "COUNTER", "VALUE")
		for _, name := range names {
			writeRow(table, name, counters[name])
		}
	})
}
