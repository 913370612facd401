// Package group describes serving groups and decides the next step of each.
//
// A group is one replica of a model on several VMs of one fabric domain. Its record in the
// table holds the members and a generation, which increases whenever the group is formed
// again. Phases:
//
//	waiting → loading → serving → draining → (row deleted)
//
// A waiting group is declared but has no VMs. A loading group has claimed its VMs, and its
// members are ordered to load. A serving group takes requests, but only while fresh
// evidence shows that all members of this generation are present. A draining group takes no
// new requests and completes those in flight. If a member is lost, the group returns to
// loading with a new generation, or to waiting.
package group

import (
	"time"

	"headcourse/core/catalog"
	"headcourse/core/order"
	"headcourse/core/presence"
)

// KeyPrefix is the prefix of the keys of group rows.
const KeyPrefix = catalog.Prefix + "group/"

// Key returns the key of a group's row.
func Key(name string) string {
	return KeyPrefix + name
}

// Phase is a phase in the life cycle of a group.
type Phase string

// Phases of a group. A dissolved group has no row.
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
	// Next is what a draining group becomes instead of being dissolved. It may use some of
	// the same VMs.
	Next *Record `json:"next,omitempty"`
}

// HeadAddress returns the address of the first member, which takes the group's requests.
func (r Record) HeadAddress() string {
	if len(r.Members) == 0 {
		return ""
	}
	return r.Members[0].Address
}

// Accelerators returns the number of accelerators of all members.
func (r Record) Accelerators() int {
	total := 0
	for _, member := range r.Members {
		total += member.Accelerators
	}
	return total
}

// HasMember reports whether a VM is a member.
func (r Record) HasMember(vm string) bool {
	for _, member := range r.Members {
		if member.VM == vm {
			return true
		}
	}
	return false
}

// ChecksOrders reports whether every member rejects orders that are older than the last one
// that it accepted.
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

// WithMembers returns the record in phase loading with other members. Its generation is
// above both its current one and floor.
func (r Record) WithMembers(members []Member, zone, domain string, floor uint64) Record {
	r.Members = members
	r.Zone = zone
	r.Domain = domain
	r.Generation = max(r.Generation, floor) + 1
	r.Phase = Loading
	r.Next = nil
	return r
}

// WithDraining returns the record in phase draining. The group becomes next afterwards, or
// is dissolved if next is nil.
func (r Record) WithDraining(next *Record) Record {
	r.Phase = Draining
	r.Next = next
	return r
}

// WithoutMembers returns the record in phase waiting.
func (r Record) WithoutMembers() Record {
	r.Members = nil
	r.Domain = ""
	r.Phase = Waiting
	return r
}

// WithPlan returns the record marked as changed by a plan; an empty plan removes the mark.
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

// LoadOrder returns the order that makes a member part of this generation.
func (r Record) LoadOrder(sequence uint64) order.Order {
	members := make([]string, len(r.Members))
	addresses := make([]string, len(r.Members))
	for i, member := range r.Members {
		members[i] = member.VM
		addresses[i] = member.Address
	}
	return order.Order{
		Action:     order.Load,
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

// UnloadOrder returns the order that makes a member leave the group.
func (r Record) UnloadOrder(sequence uint64) order.Order {
	return order.Order{
		Action:     order.Unload,
		Group:      r.Name,
		Generation: r.Generation,
		Sequence:   sequence,
	}
}

// CanServe reports whether the group may be given a new request now: it is serving, no
// member is leaving, and fresh evidence shows that it is whole.
func (r Record) CanServe(evidence presence.Evidence, isLeaving func(vm string) bool, now time.Time) bool {
	if r.Phase != Serving || len(r.Members) == 0 || evidence.Group != r.Name {
		return false
	}
	for _, member := range r.Members {
		if isLeaving(member.VM) {
			return false
		}
	}
	return evidence.IsFresh(r.Generation, now)
}
