package command

import (
	"fmt"
	"io"

	"headcourse/io/operator"
)

// DiffCommand compares declaration files with the revision in force.
type DiffCommand struct {
	Connection `embed:""`
	Files      []string `arg:"" help:"Declaration files; - is standard input."`
}

// Run prints a line for each field that differs.
func (d *DiffCommand) Run(streams *Streams) error {
	files, err := readFiles(d.Files, streams.In)
	if err != nil {
		return err
	}
	reply, err := d.client().Diff(operator.ApplyRequest{
		Files: files,
	})
	if err != nil {
		return err
	}
	return d.print(streams.Out, reply, func(table io.Writer) {
		writeRow(table, fmt.Sprintf("against revision %d: %d differences", reply.Revision, len(reply.Differences)))
		for _, difference := range reply.Differences {
			writeRow(table, "  "+difference)
		}
	})
}

// formatHolders returns how many daemons hold a revision, as in
// "3 of 9 daemons".
func formatHolders(holders, daemons int) string {
	return fmt.Sprintf("%d of %d daemons", holders, daemons)
}
