// Package plan turns an operator's intent into steps that the operator reviews.
//
// An operator states an intent, such as "drain site quito". Build returns a plan: the
// steps, their stages, what they need, and the predicted downtime and stranded accelerator
// time. Nothing changes before the plan is confirmed. The preconditions of a plan are the
// versions of the rows from which it was built. Confirm is one transaction that is
// conditional on all of them, so at most one of two plans that change the same group or VM
// is ever confirmed.
package plan

import (
	"fmt"
	"strings"

	"headcourse/core/catalog"
	"headcourse/core/group"
	"headcourse/core/table"
)

// KeyPrefix is the prefix of the keys of plan rows.
const KeyPrefix = catalog.Prefix + "plan/"

// Key returns the key of a plan's row.
func Key(id string) string {
	return KeyPrefix + id
}

// ZoneKeyPrefix is the prefix of the keys of zone rows.
const ZoneKeyPrefix = catalog.Prefix + "zone/"

// ZoneKey returns the key of a zone's row.
func ZoneKey(zone string) string {
	return ZoneKeyPrefix + zone
}

// Zone is the value of a zone's row. No groups are placed in a closed zone.
type Zone struct {
	Closed bool `json:"closed"`
	// Plan is the confirmed plan that opens or closes the zone.
	Plan string `json:"plan,omitempty"`
}

// Intent is an operator's request. Kind determines which fields are used.
type Intent struct {
	Kind  Kind   `json:"kind"`
	Site  string `json:"site,omitempty"`
	Zone  string `json:"zone,omitempty"`
	To    string `json:"to,omitempty"`
	VM    string `json:"vm,omitempty"`
	Model string `json:"model,omitempty"`
	Group string `json:"group,omitempty"`
	// AllowFewer allows groups for which there are not enough free VMs to be drained
	// without replacement.
	AllowFewer bool `json:"allow_fewer,omitempty"`
}

// String returns the intent in the notation of the command line.
func (i Intent) String() string {
	parts := []string{string(i.Kind)}
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("site", i.Site)
	add("zone", i.Zone)
	add("to", i.To)
	add("vm", i.VM)
	add("model", i.Model)
	add("group", i.Group)
	if i.AllowFewer {
		parts = append(parts, "allow-fewer")
	}
	return strings.Join(parts, " ")
}

// State is the state of a plan.
type State string

// States of a plan. Done, Abandoned and Failed are final.
const (
	Proposed  State = "proposed"
	Confirmed State = "confirmed"
	Paused    State = "paused"
	Done      State = "done"
	Abandoned State = "abandoned"
	Failed    State = "failed"
)

// IsFinal reports whether the state never changes again.
func (s State) IsFinal() bool {
	return s == Done || s == Abandoned || s == Failed
}

// Action is what a step does.
type Action string

// Actions of steps.
const (
	// CloseZone stops placing groups in the zone.
	CloseZone Action = "close_zone"
	// OpenZone allows groups in the zone again.
	OpenZone Action = "open_zone"
	// RetireVM takes the VM out of use.
	RetireVM Action = "retire_vm"
	// Form creates a group on free VMs.
	Form Action = "form"
	// Drain drains a group and dissolves it.
	Drain Action = "drain"
	// Reform drains a group and forms it again, on its own VMs or on some of them and
	// spares. The group cannot serve meanwhile.
	Reform Action = "reform"
)

// Step is one step of a plan. Steps of a stage run together; a stage starts when all steps
// of earlier stages are done.
type Step struct {
	Stage  int    `json:"stage"`
	Action Action `json:"verb"`
	Zone   string `json:"zone,omitempty"`
	VM     string `json:"vm,omitempty"`
	Group  string `json:"group,omitempty"`
	// Record is the group that Form creates or that Reform results in. For Reform its
	// generation is the group's generation when the plan was built.
	Record *group.Record `json:"record,omitempty"`
	// Needs describes the resources that the step needs.
	Needs string `json:"needs,omitempty"`
	// DowntimeSeconds is the predicted time for which the group cannot serve.
	// StrandedSeconds is the predicted time for which accelerators do not serve, in
	// accelerator seconds.
	DowntimeSeconds float64 `json:"downtime_seconds"`
	StrandedSeconds float64 `json:"stranded_seconds"`
}

// String returns the step in one line.
func (s Step) String() string {
	object := s.Group + s.Zone
	if s.Action == RetireVM {
		object = s.VM
	}
	text := fmt.Sprintf("%s %s", s.Action, object)
	if s.Record != nil {
		text += fmt.Sprintf(" (%s %s, %d VMs of %s in %s)", s.Record.Model, s.Record.Version, len(s.Record.Members), s.Record.Domain, s.Record.Zone)
	}
	return text
}

// Plan is the value of a plan's row.
type Plan struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Intent   Intent `json:"intent"`
	State    State  `json:"state"`
	// Reason explains the state, for example why a plan failed.
	Reason string `json:"reason,omitempty"`
	// Revision is the revision of the configuration for which the plan was built.
	Revision uint64 `json:"revision"`
	// Stage is the current stage.
	Stage int    `json:"stage"`
	Steps []Step `json:"steps"`
	// Notes are remarks for the reviewer.
	Notes []string `json:"notes,omitempty"`
	// Preconditions holds the versions of the rows from which the plan was built.
	Preconditions []table.Condition `json:"ground"`
	// ReservedVMs are the free VMs that the plan reserves.
	ReservedVMs []string `json:"reserves,omitempty"`
}

// WithState returns the plan in another state, with a reason.
func (p Plan) WithState(state State, reason string) Plan {
	p.State = state
	p.Reason = reason
	return p
}

// WithStage returns the plan at another stage.
func (p Plan) WithStage(stage int) Plan {
	p.Stage = stage
	return p
}

// StageSteps returns the steps of a stage.
func (p Plan) StageSteps(stage int) []Step {
	var steps []Step
	for _, step := range p.Steps {
		if step.Stage == stage {
			steps = append(steps, step)
		}
	}
	return steps
}

// LastStage returns the number of the last stage, or -1 for a plan without steps.
func (p Plan) LastStage() int {
	last := -1
	for _, step := range p.Steps {
		last = max(last, step.Stage)
	}
	return last
}

// PredictedTotals returns the total downtime and stranded accelerator time of all steps.
func (p Plan) PredictedTotals() (downtimeSeconds, strandedSeconds float64) {
	for _, step := range p.Steps {
		downtimeSeconds += step.DowntimeSeconds
		strandedSeconds += step.StrandedSeconds
	}
	return downtimeSeconds, strandedSeconds
}
