package command

import (
	"fmt"

	"github.com/pkg/errors"

	"headcourse/core/declaration"
)

// CheckCommand checks declaration files without a daemon.
type CheckCommand struct {
	Files []string `arg:"" help:"Declaration files; - is standard input."`
}

// Run returns an error that lists every problem with its file, line and field, or
// prints how many zones, organisations, models and services are declared.
func (c *CheckCommand) Run(streams *Streams) error {
	files, err := readFiles(c.Files, streams.In)
	if err != nil {
		return err
	}
	declared, err := declaration.Parse(files)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(streams.Out, "%s: %d zones, %d organisations, %d models, %d services\n", declared.Deployment, len(declared.Zones), len(declared.Organisations), len(declared.Models), len(declared.Services))
	return errors.Wrap(err, "write output")
}
