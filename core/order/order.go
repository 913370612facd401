// Package order defines the fenced orders that a group's controller sends to the backend
// servers of its members.
//
// An order carries the generation of the group and a sequence within the generation. A
// backend server that checks orders rejects every order that is older than the last one it
// accepted, so a delayed order of a former controller has no effect. VM.ChecksOrders is set
// for servers that check.
package order

// Action is what an order makes a member do.
type Action string

// The actions of orders.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Order is an order to one member. Members lists the VM identifiers of the whole group; the
// first one takes the requests. Addresses lists the members' addresses in the same order.
type Order struct {
	Action     Action   `json:"verb"`
	Group      string   `json:"group"`
	Generation uint64   `json:"generation"`
	Sequence   uint64   `json:"sequence"`
	Model      string   `json:"model,omitempty"`
	Version    string   `json:"version,omitempty"`
	Adapter    string   `json:"adapter,omitempty"`
	Role       string   `json:"role,omitempty"`
	Members    []string `json:"members,omitempty"`
	Addresses  []string `json:"addresses,omitempty"`
}

// Fence is the generation and sequence of the newest order that a backend server has
// accepted.
type Fence struct {
	Generation uint64 `json:"generation"`
	Sequence   uint64 `json:"sequence"`
}

// Accepts reports whether o is newer than the fence or has the same generation and sequence.
func (f Fence) Accepts(o Order) bool {
	if o.Generation != f.Generation {
		return o.Generation > f.Generation
	}
	return o.Sequence >= f.Sequence
}

// ServerState is the state that a backend server reports when probed.
type ServerState struct {
	VM         string `json:"vm"`
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	Loaded     bool   `json:"loaded"`
	InFlight   int    `json:"in_flight"`
	Slots      int    `json:"slots"`
	Leaving    bool   `json:"leaving,omitempty"`
}
