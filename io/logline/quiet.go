package logline

// Quiet drops what a library for HTTP or JSON-RPC says of broken connections:
// each request's or call's own line tells it. The zero value works.
type Quiet struct{}

// Printf drops a line.
func (Quiet) Printf(string, ...any) {}
