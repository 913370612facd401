// Package group describes serving groups and decides each one's next step.
//
// A group is one replica of a model on several VMs of one fabric domain. Its
// record in the table holds the members and a generation, which rises whenever
// the group is formed anew. Its life:
//
//	waiting → loading → serving → draining → (row deleted)
//
// A waiting group is declared but has no VMs. A loading group has claimed its
// VMs and its members are ordered to load. A serving group takes requests, but
// only on fresh evidence that all members of this generation are present. A
// draining group takes none and ends what it has. When a member is lost, the
// group goes back to loading with a new generation, or to waiting.
package group

import (
	"time"

	"headcourse/core/catalog"
	"headcourse/core/order"
	"headcourse/core/presence"
)

// KeyPrefix begins the key of every group's row.
const KeyPrefix = catalog.Prefix + "group/"

// Key returns the key of a group's row.
func Key(name string) string {
	return KeyPrefix + name
}

// Phase is where a group is in its life.
type Phase string

// The phases. A dissolved group has no row.
const (
	Waiting  Phase = "waiting"
	Loading  Phase = "loading"
	Serving  Phase = "serving"
	Draining Phase = "draining"
)

// Member is one VM of a group.
type Member struct {
	VM           string `json:"vm"`
	Address      string `json:"address"`
	Accelerators int    `json:"accelerators"`
	ChecksOrders bool   `json:"checks_orders"`
}

// Record is the value of a group's row.
type Record struct {
	Name       string   `json:"name"`
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapter    string   `json:"adapter,omitempty"`
	Role       string   `json:"role,omitempty"`
	Zone       string   `json:"zone"`
	Domain     string   `json:"domain,omitempty"`
	Members    []Member `json:"members,omitempty"`
	Generation uint64   `json:"generation"`
	Phase      Phase    `json:"phase"`
	// Plan is the confirmed plan that is changing the group.
	Plan string `json:"plan,omitempty"`
	// Next is what a draining group becomes instead of being dissolved. Its
	// members may be partly the same VMs.
	Next *Record `json:"next,omitempty"`
}

// Leader returns the address of the member that takes requests.
func (r Record) Leader() string {
	if len(r.Members) == 0 {
		return ""
	}
	return r.Members[0].Address
}

// Accelerators returns the accelerators of all members.
func (r Record) Accelerators() int {
	total := 0
	for _, member := range r.Members {
		total += member.Accelerators
	}
	return total
}

// Has tells whether a VM is a member.
func (r Record) Has(vm string) bool {
	for _, member := range r.Members {
		if member.VM == vm {
			return true
		}
	}
	return false
}

// ChecksOrders tells whether every member refuses orders that are not newer.
func (r Record) ChecksOrders() bool {
	for _, member := range r.Members {
		if !member.ChecksOrders {
			return false
		}
	}
	return true
}

// WithPhase returns the record in another phase.
func (r Record) WithPhase(phase Phase) Record {
	r.Phase = phase
	return r
}

// WithMembers returns the record formed anew of other members, loading, at a
// generation above its own and above floor.
func (r Record) WithMembers(members []Member, zone, domain string, floor uint64) Record {
	r.Members = members
	r.Zone = zone
	r.Domain = domain
	r.Generation = max(r.Generation, floor) + 1
	r.Phase = Loading
	r.Next = nil
	return r
}

// WithDraining returns the record draining, to become next afterwards, or to
// be dissolved where next is nil.
func (r Record) WithDraining(next *Record) Record {
	r.Phase = Draining
	r.Next = next
	return r
}

// WithoutMembers returns the record waiting for VMs.
func (r Record) WithoutMembers() Record {
	r.Members = nil
	r.Domain = ""
	r.Phase = Waiting
	return r
}

// WithPlan returns the record as a plan is changing it; empty for none.
func (r Record) WithPlan(plan string) Record {
	r.Plan = plan
	return r
}

// WithModel returns the record with another version, adapter and role.
func (r Record) WithModel(version, adapter, role string) Record {
	r.Version = version
	r.Adapter = adapter
	r.Role = role
	return r
}

// Load returns the order that makes a member part of this generation.
func (r Record) Load(sequence uint64) order.Order {
	members := make([]string, len(r.Members))
	addresses := make([]string, len(r.Members))
	for i, member := range r.Members {
		members[i] = member.VM
		addresses[i] = member.Address
	}
	return order.Order{
		Verb:       order.Load,
		Group:      r.Name,
		Generation: r.Generation,
		Sequence:   sequence,
		Model:      r.Model,
		Version:    r.Version,
		Adapter:    r.Adapter,
		Role:       r.Role,
		Members:    members,
		Addresses:  addresses,
	}
}

// Unload returns the order that makes a member leave the group.
func (r Record) Unload(sequence uint64) order.Order {
	return order.Order{
		Verb:       order.Unload,
		Group:      r.Name,
		Generation: r.Generation,
		Sequence:   sequence,
	}
}

// Serveable tells whether the group may be given a new request now: it is
// serving, no member is leaving, and fresh evidence says that it is whole.
func (r Record) Serveable(evidence presence.Evidence, isLeaving func(vm string) bool, now time.Time) bool {
	if r.Phase != Serving || len(r.Members) == 0 || evidence.Group != r.Name {
		return false
	}
	for _, member := range r.Members {
		if isLeaving(member.VM) {
			return false
		}
	}
	return evidence.Fresh(r.Generation, now)
}
