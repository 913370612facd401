package labcommand

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/soak"
)

// SoakCommand plays random faults against daemons that soak/run starts.
type SoakCommand struct {
	Seed    uint64        `name:"seed" default:"1" help:"Seed of all choices."`
	Length  time.Duration `name:"length" default:"20s" help:"How long faults come."`
	Daemons int           `name:"daemons" default:"4" help:"How many daemons there are."`
	Faults  int           `name:"faults" default:"0" help:"How many rows of the table of faults are drawn from; 0: all."`
	Dir     string        `name:"dir" required:"" help:"Folder for settings files and process ids, shared with the script that runs the daemons."`
}

// Run plays the soak. It fails if something happened that never must.
func (c *SoakCommand) Run(streams *Streams) error {
	broken, err := soak.Play(soak.Options{
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
	for _, one := range broken {
		if _, err = fmt.Fprintf(streams.Out, "BROKEN: %s\n", one); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	if len(broken) > 0 {
		return errors.Errorf("seed %d: %d promises broken", c.Seed, len(broken))
	}
	return nil
}
