// Package operator speaks to operators: the server side of the commands that
// change and show the fleet, and the client that the command line uses. Any
// daemon answers for the whole fleet.
package operator

import (
	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/plan"
)

// Paths of the operators' interface.
const (
	pathApply    = "/operator/apply"
	pathDiff     = "/operator/diff"
	pathPlans    = "/operator/plans"
	pathStatus   = "/operator/status"
	pathGroups   = "/operator/groups"
	pathCounters = "/operator/counters"
)

// ApplyRequest brings the files of a declaration. From, where not 0, is the
// revision that the operator has reviewed the change against.
type ApplyRequest struct {
	Files []declaration.File `json:"files"`
	From  uint64             `json:"from"`
}

// ApplyReply says which revision the declaration became. Accepted tells that a
// majority of the daemons hold it; from then on it never reverts.
type ApplyReply struct {
	Revision uint64 `json:"revision"`
	Accepted bool   `json:"accepted"`
	Holders  int    `json:"holders"`
	Daemons  int    `json:"daemons"`
}

// DiffReply lists the fields in which a declaration differs from the one in
// force, each as "field: old → new".
type DiffReply struct {
	Revision    uint64   `json:"revision"`
	Differences []string `json:"differences"`
}

// PlanReply is a plan with its prediction.
type PlanReply struct {
	Plan            plan.Plan `json:"plan"`
	DowntimeSeconds float64   `json:"downtime_seconds"`
	StrandedSeconds float64   `json:"stranded_seconds"`
}

// Status is what a daemon knows of the fleet.
type Status struct {
	Daemon   string         `json:"daemon"`
	Revision uint64         `json:"revision"`
	Accepted bool           `json:"accepted"`
	Serving  bool           `json:"serving"`
	StoreAge float64        `json:"store_age_seconds"`
	Daemons  []DaemonStatus `json:"daemons"`
	Leases   []LeaseStatus  `json:"leases"`
	Zones    []ZoneStatus   `json:"zones"`
}

// DaemonStatus is what is known of one daemon. HoldsRevision tells that it
// holds the revision in force here.
type DaemonStatus struct {
	ID            string  `json:"id"`
	Zone          string  `json:"zone"`
	HeardAge      float64 `json:"heard_age_seconds"`
	HoldsRevision bool    `json:"holds_revision"`
}

// LeaseStatus is one shard of control.
type LeaseStatus struct {
	Shard  int    `json:"shard"`
	Holder string `json:"holder"`
}

// ZoneStatus sums up one zone.
type ZoneStatus struct {
	Zone         string `json:"zone"`
	Closed       bool   `json:"closed"`
	VMs          int    `json:"vms"`
	Leaving      int    `json:"leaving"`
	Free         int    `json:"free"`
	Groups       int    `json:"groups"`
	Whole        int    `json:"whole"`
	Accelerators int    `json:"accelerators"`
	Stranded     int    `json:"stranded_accelerators"`
}

// GroupStatus is one group and whether it may be given requests now.
type GroupStatus struct {
	Record    group.Record `json:"record"`
	Serveable bool         `json:"serveable"`
	InFlight  int          `json:"in_flight"`
	Age       float64      `json:"evidence_age_seconds"`
}

// Counters are the counters of one daemon.
type Counters map[string]int64

// errorReply is the body of an error.
type errorReply struct {
	Error string `json:"error"`
	// Unknown tells that the change may have been made, or may be made later.
	Unknown bool `json:"unknown,omitempty"`
}
