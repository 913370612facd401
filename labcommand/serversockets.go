package labcommand

import "headcourse/lab/serversockets"

// ServerSocketsCommand runs the sockets of backend servers of a soak in a process of its own, so that
// signals can stop and continue them.
type ServerSocketsCommand struct {
	Address string `name:"address" required:"" help:"Path of the file that the command writes its address to."`
}

// Run serves until a signal ends it.
func (c *ServerSocketsCommand) Run(*Streams) error {
	return serversockets.Serve(c.Address)
}
