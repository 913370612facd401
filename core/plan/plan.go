// Package plan turns an operator's intent into reviewed steps.
//
// An operator states an intent, such as "drain site quito". Build answers with
// a plan: what will be done, in which stages, what it needs, and the downtime
// and stranded accelerators it is predicted to cost. Nothing changes before
// the plan is confirmed. A plan stands on its ground: the versions of the rows
// that it was made from. Confirm is one transaction conditional on all of
// them, so of two plans that touch the same group or VM at most one is ever
// confirmed.
package plan

import (
	"fmt"
	"strings"

	"headcourse/core/catalog"
	"headcourse/core/group"
	"headcourse/core/table"
)

// KeyPrefix begins the key of every plan's row.
const KeyPrefix = catalog.Prefix + "plan/"

// Key returns the key of a plan's row.
func Key(id string) string {
	return KeyPrefix + id
}

// ZoneKeyPrefix begins the key of every zone's row.
const ZoneKeyPrefix = catalog.Prefix + "zone/"

// ZoneKey returns the key of a zone's row.
func ZoneKey(zone string) string {
	return ZoneKeyPrefix + zone
}

// Zone is the value of a zone's row. A closed zone is given no groups.
type Zone struct {
	Closed bool `json:"closed"`
	// Plan is the confirmed plan that opens or closes the zone.
	Plan string `json:"plan,omitempty"`
}

// Intent is what an operator wants. Kind selects the fields that count.
type Intent struct {
	Kind  Kind   `json:"kind"`
	Site  string `json:"site,omitempty"`
	Zone  string `json:"zone,omitempty"`
	To    string `json:"to,omitempty"`
	VM    string `json:"vm,omitempty"`
	Model string `json:"model,omitempty"`
	Group string `json:"group,omitempty"`
	// AllowFewer lets groups for which there is no room go without
	// replacement.
	AllowFewer bool `json:"allow_fewer,omitempty"`
}

// String returns the intent in the words of the command line.
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

// State is where a plan is in its life.
type State string

// The states. Done, Abandoned and Failed are final.
const (
	Proposed  State = "proposed"
	Confirmed State = "confirmed"
	Paused    State = "paused"
	Done      State = "done"
	Abandoned State = "abandoned"
	Failed    State = "failed"
)

// IsFinal tells whether the state never changes again.
func (s State) IsFinal() bool {
	return s == Done || s == Abandoned || s == Failed
}

// Verb is what a step does.
type Verb string

// The verbs of steps.
const (
	// CloseZone gives the zone no further groups.
	CloseZone Verb = "close_zone"
	// OpenZone lets the zone have groups again.
	OpenZone Verb = "open_zone"
	// RetireVM takes the VM out of use.
	RetireVM Verb = "retire_vm"
	// Form creates a group on free VMs.
	Form Verb = "form"
	// Drain ends a group's work and dissolves it.
	Drain Verb = "drain"
	// Reform drains a group and forms it anew, on VMs some of which are its
	// own; it cannot serve meanwhile.
	Reform Verb = "reform"
)

// Step is one step. Steps of a stage run together; a stage begins when all
// steps before it are done.
type Step struct {
	Stage int    `json:"stage"`
	Verb  Verb   `json:"verb"`
	Zone  string `json:"zone,omitempty"`
	VM    string `json:"vm,omitempty"`
	Group string `json:"group,omitempty"`
	// Record is what Form creates or Reform ends in. For Reform its generation
	// is the one that the group had when the plan was made.
	Record *group.Record `json:"record,omitempty"`
	// Needs says what the step takes.
	Needs string `json:"needs,omitempty"`
	// DowntimeSeconds is the predicted time the group cannot serve;
	// StrandedSeconds counts accelerators times seconds without serving.
	DowntimeSeconds float64 `json:"downtime_seconds"`
	StrandedSeconds float64 `json:"stranded_seconds"`
}

// String returns the step in one line.
func (s Step) String() string {
	object := s.Group + s.Zone
	if s.Verb == RetireVM {
		object = s.VM
	}
	text := fmt.Sprintf("%s %s", s.Verb, object)
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
	// Reason says why a plan failed.
	Reason string `json:"reason,omitempty"`
	// Revision is the configuration that the plan stands on.
	Revision uint64 `json:"revision"`
	// Stage is the stage being run.
	Stage int    `json:"stage"`
	Steps []Step `json:"steps"`
	// Notes are remarks for the reviewer.
	Notes []string `json:"notes,omitempty"`
	// Ground are the rows that the plan stands on.
	Ground []table.Condition `json:"ground"`
	// Reserves are the VMs that the plan takes from the free ones.
	Reserves []string `json:"reserves,omitempty"`
}

// WithState returns the plan in another state for a reason.
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

// StepsOf returns the steps of a stage.
func (p Plan) StepsOf(stage int) []Step {
	var steps []Step
	for _, step := range p.Steps {
		if step.Stage == stage {
			steps = append(steps, step)
		}
	}
	return steps
}

// LastStage returns the number of the last stage, or -1 without steps.
func (p Plan) LastStage() int {
	last := -1
	for _, step := range p.Steps {
		last = max(last, step.Stage)
	}
	return last
}

// Predicted returns the sums of downtime and stranded accelerator seconds.
func (p Plan) Predicted() (downtimeSeconds, strandedSeconds float64) {
	for _, step := range p.Steps {
		downtimeSeconds += step.DowntimeSeconds
		strandedSeconds += step.StrandedSeconds
	}
	return downtimeSeconds, strandedSeconds
}
