package logline

// Discard is a logger that discards the messages of an HTTP or JSON-RPC library about broken
// connections, which are logged per request or call already. The zero value is ready to use.
type Discard struct{}

// Printf discards a message.
func (Discard) Printf(string, ...any) {}
