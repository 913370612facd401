package command

import (
	"io"

	"github.com/pkg/errors"

	"headcourse/io/operator"
)

// ApplyCommand stores declaration files as the next revision of the
// configuration.
type ApplyCommand struct {
	Connection `embed:""`
	From       uint64   `name:"from" help:"Revision that the change was reviewed against; the change is refused if another one is in force."`
	Files      []string `arg:"" help:"Declaration files; - is standard input."`
}

// Run applies the files and waits until a majority of the daemons hold the new
// revision. It returns ErrNotAccepted if they do not in time.
func (a *ApplyCommand) Run(streams *Streams) error {
	files, err := readFiles(a.Files, streams.In)
	if err != nil {
		return err
	}
	reply, err := a.client().Apply(operator.ApplyRequest{
		Files: files,
		From:  a.From,
	})
	if err != nil {
		return err
	}
	err = a.print(streams.Out, reply, func(table io.Writer) {
		writeRow(table, "REVISION", "ACCEPTED", "HELD BY")
		writeRow(table, reply.Revision, reply.Accepted, formatHolders(reply.Holders, reply.Daemons))
	})
	if err == nil && !reply.Accepted {
		return errors.Wrapf(ErrNotAccepted, "apply: revision %d is stored, held by %s", reply.Revision, formatHolders(reply.Holders, reply.Daemons))
	}
	return err
}
