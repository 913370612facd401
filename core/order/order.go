// Package order defines the fenced orders that a group's controller sends to
// the backend servers of its members.
//
// An order carries the generation of the group and a sequence within it. A
// backend server that checks refuses whatever is not newer than the last order
// it obeyed, so an order delayed on its way from a former controller does no
// harm. VM.ChecksOrders tells which servers check.
package order

// Verb is what an order asks for.
type Verb string

// The verbs.
const (
	Load   Verb = "load"
	Unload Verb = "unload"
)

// Order is one order to one member. Members lists the VM identifiers of the
// whole group; the first of them takes the requests. Addresses are theirs.
type Order struct {
	Verb       Verb     `json:"verb"`
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

// Fence is the newest order that a backend server has obeyed.
type Fence struct {
	Generation uint64 `json:"generation"`
	Sequence   uint64 `json:"sequence"`
}

// Admits tells whether o is newer than the fence, or the same order again.
func (f Fence) Admits(o Order) bool {
	if o.Generation != f.Generation {
		return o.Generation > f.Generation
	}
	return o.Sequence >= f.Sequence
}

// State is what a backend server says of itself when probed.
type State struct {
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
