// Package vm describes the VMs of backend servers as the platform lists them, and the row
// by which a serving group claims a VM.
package vm

import "headcourse/core/catalog"

// State is the state of a VM in the platform's list.
type State string

// States of a listed VM. A VM that is not listed no longer exists.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is the VM of one backend server. Address is the IP:port of the backend server. Domain
// is empty for VMs of plain services, and Service is empty for VMs of model engines.
type VM struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Domain       string `json:"domain,omitempty"`
	Address      string `json:"address"`
	Accelerators int    `json:"accelerators,omitempty"`
	Service      string `json:"service,omitempty"`
	State        State  `json:"state"`
	// ChecksOrders means that the backend server rejects orders whose generation and
	// sequence are older than those of the last order that it accepted.
	ChecksOrders bool `json:"checks_orders,omitempty"`
}

// Claim is the value of a VM's row in the table. Group is empty if no group has the VM.
// Generation is kept when the VM is freed, so that it never decreases.
type Claim struct {
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	// Plan is the confirmed plan for which the VM is reserved.
	Plan string `json:"plan,omitempty"`
	// Retired means that an operator's plan took the VM out of use.
	Retired bool `json:"retired,omitempty"`
}

// IsFree reports whether a new group may claim the VM.
func (c Claim) IsFree() bool {
	return c.Group == "" && c.Plan == "" && !c.Retired
}

// KeyPrefix is the prefix of the keys of claim rows.
const KeyPrefix = catalog.Prefix + "vm/"

// Key returns the key of a VM's claim row.
func Key(id string) string {
	return KeyPrefix + id
}
