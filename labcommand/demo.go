package labcommand

import (
	"context"
	"time"

	"headcourse/lab/demo"
	"headcourse/lab/examples"
)

// DemoCommand runs the demo.
type DemoCommand struct {
	Deployment []string      `name:"deployment" help:"Deployments to play; all by default."`
	Rate       float64       `name:"rate" default:"60" help:"Callers' requests a second."`
	Duration   time.Duration `name:"duration" default:"55s" help:"How long callers send."`
	Seed       uint64        `name:"seed" default:"1" help:"Seed of the load."`
	LogLevel   string        `name:"log-level" default:"error" help:"Minimum log level of daemons: debug, info, warn, error."`
}

// Run runs the demo of each deployment, one after the other, and stops at the
// first error.
func (d *DemoCommand) Run(streams *Streams) error {
	log, err := newLogger(d.LogLevel, streams.Err)
	if err != nil {
		return err
	}
	names := d.Deployment
	if len(names) == 0 {
		names = examples.Names()
	}
	for _, name := range names {
		err = demo.RunDemo(context.Background(), name, demo.Settings{
			Rate:     d.Rate,
			Duration: d.Duration,
			Seed:     d.Seed,
			Log:      log,
		}, streams.Out)
		if err != nil {
			return err
		}
	}
	return nil
}
