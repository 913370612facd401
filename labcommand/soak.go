package labcommand

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/soak"
)

// SoakCommand injects random faults into daemons that soak/run starts.
type SoakCommand struct {
	Seed    uint64        `name:"seed" default:"1" help:"Seed of the random faults."`
	Length  time.Duration `name:"length" default:"20s" help:"How long faults are injected."`
	Daemons int           `name:"daemons" default:"4" help:"Number of daemons."`
	Faults  int           `name:"faults" default:"0" help:"Number of rows of the fault table to draw from; 0: all."`
	Dir     string        `name:"dir" required:"" help:"Folder for settings files and process ids, shared with the script that runs the daemons."`
}

// Run runs the soak test and prints the violated guarantees. It fails if there are
// any.
func (c *SoakCommand) Run(streams *Streams) error {
	violations, err := soak.RunSeed(soak.Options{
		Seed:    c.Seed,
		Length:  c.Length,
		Daemons: c.Daemons,
		Faults:  c.Faults,
		Dir:     c.Dir,
		Out:     streams.Out,
	})
	if err != nil {
		return err
	}
	for _, violation := range violations {
		if _, err = fmt.Fprintf(streams.Out, "BROKEN: %s\n", violation); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	if len(violations) > 0 {
		return errors.Errorf("seed %d: %d guarantees violated", c.Seed, len(violations))
	}
	return nil
}
