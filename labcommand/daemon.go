package labcommand

import (
	"context"

	"headcourse/command"
	"headcourse/lab/link"
)

// DaemonCommand runs a daemon as `headcourse entry` does, with links to backend servers that can be
// broken from outside.
type DaemonCommand struct {
	Settings string `name:"settings" required:"" help:"Path of the settings file."`
	Link     string `name:"link" required:"" help:"Path of the file that names the fault of the links: none, hung, one_way, reset, refused or hung_new. A missing file means none."`
}

// Run runs the daemon until a signal ends it.
func (c *DaemonCommand) Run(streams *Streams) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	links := &link.Link{}
	go links.Follow(ctx, c.Link)
	daemon := command.EntryCommand{
		Settings: c.Settings,
		LogLevel: "info",
		Dialer:   links,
	}
	return daemon.Run(&command.Streams{
		Out: streams.Out,
		Err: streams.Err,
	})
}
