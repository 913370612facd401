// Package operator is the HTTP API for operators: the server in each daemon, and the
// client that the command line uses. Any daemon answers for the whole fleet.
package operator

import (
	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/plan"
)

// Paths of the API.
const (
	pathApply    = "/operator/apply"
	pathDiff     = "/operator/diff"
	pathPlans    = "/operator/plans"
	pathStatus   = "/operator/status"
	pathGroups   = "/operator/groups"
	pathCounters = "/operator/counters"
)

// ApplyRequest contains the files of a declaration. If From is not 0, it is the
// revision that the operator has reviewed the change against.
type ApplyRequest struct {
	Files []declaration.File `json:"files"`
	From  uint64             `json:"from"`
}

// ApplyReply contains the revision of the applied declaration. Accepted is set if a
// majority of the daemons hold it; an accepted revision is never reverted. Holders is
// the number of daemons that hold it, out of Daemons.
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

// PlanReply is a plan with its predicted costs.
type PlanReply struct {
	Plan            plan.Plan `json:"plan"`
	DowntimeSeconds float64   `json:"downtime_seconds"`
	StrandedSeconds float64   `json:"stranded_seconds"`
}

// Status is the state of the fleet as one daemon sees it. StoreAgeSeconds is the time
// since the last answer of the store, in seconds.
type Status struct {
	Daemon          string         `json:"daemon"`
	Revision        uint64         `json:"revision"`
	Accepted        bool           `json:"accepted"`
	Serving         bool           `json:"serving"`
	StoreAgeSeconds float64        `json:"store_age_seconds"`
	Daemons         []DaemonStatus `json:"daemons"`
	Leases          []LeaseStatus  `json:"leases"`
	Zones           []ZoneStatus   `json:"zones"`
}

// DaemonStatus is the state of one daemon. ReportAgeSeconds is the age of its last report in
// seconds. HoldsRevision is set if it holds the revision in force at the daemon that
// answers.
type DaemonStatus struct {
	ID               string  `json:"id"`
	Zone             string  `json:"zone"`
	ReportAgeSeconds float64 `json:"heard_age_seconds"`
	HoldsRevision    bool    `json:"holds_revision"`
}

// LeaseStatus is the lease of one control shard.
type LeaseStatus struct {
	Shard  int    `json:"shard"`
	Holder string `json:"holder"`
}

// ZoneStatus is a summary of one zone.
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

// GroupStatus is the state of one group. Serveable is set if it may get requests now.
// EvidenceAgeSeconds is the age of the evidence in seconds.
type GroupStatus struct {
	Record             group.Record `json:"record"`
	Serveable          bool         `json:"serveable"`
	InFlight           int          `json:"in_flight"`
	EvidenceAgeSeconds float64      `json:"evidence_age_seconds"`
}

// Counters are the counters of one daemon, by name.
type Counters map[string]int64

// errorReply is the body of an answer with an error.
type errorReply struct {
	Error string `json:"error"`
	// Unknown is set if the change may have been made, or may be made later.
	Unknown bool `json:"unknown,omitempty"`
}
