// Package vm describes the backend server VMs as the platform lists them, and
// the row by which one serving group claims one VM.
package vm

import "headcourse/core/catalog"

// State is the platform's word on a VM.
type State string

// The states of a VM. A VM that the list lacks is gone.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one backend server VM. Address is IP:port of its backend server.
// Domain is empty on VMs of plain services, and Service on VMs of engines.
type VM struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Domain       string `json:"domain,omitempty"`
	Address      string `json:"address"`
	Accelerators int    `json:"accelerators,omitempty"`
	Service      string `json:"service,omitempty"`
	State        State  `json:"state"`
	// ChecksOrders tells that the backend server refuses orders whose
	// generation and sequence are not newer than the last it obeyed.
	ChecksOrders bool `json:"checks_orders,omitempty"`
}

// Claim is the value of a VM's row in the table. An empty Group means free.
// Generation is kept when the VM is freed, so that it never goes back.
type Claim struct {
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	// Plan is the confirmed plan that the VM is reserved for.
	Plan string `json:"plan,omitempty"`
	// Retired tells that an operator's plan took the VM out of use.
	Retired bool `json:"retired,omitempty"`
}

// Free tells whether a new group may claim the VM.
func (c Claim) Free() bool {
	return c.Group == "" && c.Plan == "" && !c.Retired
}

// KeyPrefix begins the key of every claim row.
const KeyPrefix = catalog.Prefix + "vm/"

// Key returns the key of the claim row of a VM.
func Key(id string) string {
	return KeyPrefix + id
}
