package command

import (
	"io"

	"github.com/pkg/errors"

	"headcourse/io/operator"
)

// ApplyCommand makes declaration files the next revision.
type ApplyCommand struct {
	Connection `embed:""`
	From       uint64   `name:"from" help:"Revision that the change was reviewed against; another one in force refuses it."`
	Files      []string `arg:"" help:"Declaration files; - is standard input."`
}

// Run applies the files and waits until a majority of the daemons hold them.
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
		row(table, "REVISION", "ACCEPTED", "HELD BY")
		row(table, reply.Revision, reply.Accepted, heldBy(reply.Holders, reply.Daemons))
	})
	if err == nil && !reply.Accepted {
		return errors.Wrapf(ErrNotAccepted, "apply: revision %d is stored, held by %s", reply.Revision, heldBy(reply.Holders, reply.Daemons))
	}
	return err
}
