package command

import (
	"fmt"
	"io"

	"headcourse/core/plan"
	"headcourse/io/operator"
)

// PlanCommand proposes plans for intents, and shows and changes existing plans.
// The fields before List match the kinds of intent in plan.Kinds.
type PlanCommand struct {
	Reconcile     ReconcileCommand     `cmd:"" help:"Plan to create, change and dissolve groups so that the fleet matches the declaration."`
	DrainSite     DrainSiteCommand     `cmd:"" help:"Plan to move every group out of a site and close its zones."`
	DrainZone     DrainZoneCommand     `cmd:"" help:"Plan to move every group out of a zone and close it."`
	OpenZone      OpenZoneCommand      `cmd:"" help:"Plan to open a closed zone for groups again."`
	RetireVM      RetireVMCommand      `cmd:"" name:"retire-vm" help:"Plan to take a VM out of use."`
	MoveModel     MoveModelCommand     `cmd:"" help:"Plan to move a model's groups from one zone to another."`
	DissolveGroup DissolveGroupCommand `cmd:"" help:"Plan to dissolve a group and free its VMs."`

	List    PlanListCommand    `cmd:"" help:"List all plans."`
	Show    PlanShowCommand    `cmd:"" help:"Show a plan's steps."`
	Pause   PlanPauseCommand   `cmd:"" help:"Pause a confirmed plan after its steps in progress."`
	Resume  PlanResumeCommand  `cmd:"" help:"Resume a paused plan."`
	Abandon PlanAbandonCommand `cmd:"" help:"Abandon a plan; groups that it has not drained yet keep serving."`
}

// intentCommand holds the flags of the commands that propose a plan.
type intentCommand struct {
	Connection `embed:""`
	AllowFewer bool `name:"allow-fewer" help:"Drain groups without replacement if there are not enough free VMs."`
}

// propose asks the daemon to build a plan for an intent, and prints the plan.
func (i intentCommand) propose(streams *Streams, intent plan.Intent) error {
	intent.AllowFewer = i.AllowFewer
	reply, err := i.client().Propose(intent)
	if err != nil {
		return err
	}
	return i.printPlan(streams, reply)
}

// printPlan prints a plan with its steps and predicted costs.
func (c Connection) printPlan(streams *Streams, reply operator.PlanReply) error {
	return c.print(streams.Out, reply, func(table io.Writer) {
		p := reply.Plan
		_, _ = fmt.Fprintf(table, "plan %s: %s\nstate: %s %s\nbuilt for revision %d\n", p.ID, p.Intent, p.State, p.Reason, p.Revision)
		writeRow(table, "STAGE", "STEP", "NEEDS", "DOWNTIME S", "STRANDED S")
		for _, step := range p.Steps {
			writeRow(table, step.Stage, step, step.Needs, step.DowntimeSeconds, step.StrandedSeconds)
		}
		_, _ = fmt.Fprintf(table, "predicted: %.0f group seconds of downtime, %.0f stranded accelerator seconds\n", reply.DowntimeSeconds, reply.StrandedSeconds)
		for _, note := range p.Notes {
			_, _ = fmt.Fprintf(table, "note: %s\n", note)
		}
		if p.State == plan.Proposed {
			_, _ = fmt.Fprintf(table, "nothing has changed; to carry it out: headcourse confirm %s\n", p.ID)
		}
	})
}

// ReconcileCommand proposes a plan that makes the fleet match the declaration.
type ReconcileCommand struct {
	intentCommand `embed:""`
}

// Run proposes the plan and prints it.
func (r *ReconcileCommand) Run(streams *Streams) error {
	return r.propose(streams, plan.Intent{
		Kind: plan.Reconcile,
	})
}

// DrainSiteCommand proposes a plan that moves all groups out of a site and closes
// its zones.
type DrainSiteCommand struct {
	intentCommand `embed:""`
	Site          string `arg:"" help:"The site."`
}

// Run proposes the plan and prints it.
func (d *DrainSiteCommand) Run(streams *Streams) error {
	return d.propose(streams, plan.Intent{
		Kind: plan.DrainSite,
		Site: d.Site,
	})
}

// DrainZoneCommand proposes a plan that moves all groups out of a zone and closes
// it.
type DrainZoneCommand struct {
	intentCommand `embed:""`
	Zone          string `arg:"" help:"The zone."`
}

// Run proposes the plan and prints it.
func (d *DrainZoneCommand) Run(streams *Streams) error {
	return d.propose(streams, plan.Intent{
		Kind: plan.DrainZone,
		Zone: d.Zone,
	})
}

// OpenZoneCommand proposes a plan that opens a closed zone for groups again.
type OpenZoneCommand struct {
	intentCommand `embed:""`
	Zone          string `arg:"" help:"The zone."`
}

// Run proposes the plan and prints it.
func (o *OpenZoneCommand) Run(streams *Streams) error {
	return o.propose(streams, plan.Intent{
		Kind: plan.ReopenZone,
		Zone: o.Zone,
	})
}

// RetireVMCommand proposes a plan that takes a VM out of use.
type RetireVMCommand struct {
	intentCommand `embed:""`
	VM            string `arg:"" help:"The VM's id."`
}

// Run proposes the plan and prints it.
func (r *RetireVMCommand) Run(streams *Streams) error {
	return r.propose(streams, plan.Intent{
		Kind: plan.RetireVMIntent,
		VM:   r.VM,
	})
}

// MoveModelCommand proposes a plan that moves the groups of a model from one zone
// to another.
type MoveModelCommand struct {
	intentCommand `embed:""`
	Model         string `arg:"" help:"The model."`
	From          string `arg:"" help:"The zone to move the groups from."`
	To            string `arg:"" help:"The zone to move the groups to."`
}

// Run proposes the plan and prints it.
func (m *MoveModelCommand) Run(streams *Streams) error {
	return m.propose(streams, plan.Intent{
		Kind:  plan.MoveModel,
		Model: m.Model,
		Zone:  m.From,
		To:    m.To,
	})
}

// DissolveGroupCommand proposes a plan that dissolves a group and frees its VMs.
type DissolveGroupCommand struct {
	intentCommand `embed:""`
	Group         string `arg:"" help:"The group."`
}

// Run proposes the plan and prints it.
func (d *DissolveGroupCommand) Run(streams *Streams) error {
	return d.propose(streams, plan.Intent{
		Kind:  plan.DissolveGroup,
		Group: d.Group,
	})
}

// ----------------------------------------------------------------------------
// Existing plans

// PlanListCommand lists all plans.
type PlanListCommand struct {
	Connection `embed:""`
}

// Run prints a row for each plan.
func (p *PlanListCommand) Run(streams *Streams) error {
	plans, err := p.client().Plans()
	if err != nil {
		return err
	}
	return p.print(streams.Out, plans, func(table io.Writer) {
		writeRow(table, "PLAN", "INTENT", "STATE", "STAGE", "OPERATOR", "REASON")
		for _, item := range plans {
			writeRow(table, item.ID, item.Intent, item.State, fmt.Sprintf("%d of %d", item.Stage+1, item.LastStage()+1), item.Operator, item.Reason)
		}
	})
}

// PlanShowCommand shows one plan.
type PlanShowCommand struct {
	Connection `embed:""`
	Plan       string `arg:"" help:"The plan's id."`
}

// Run prints the plan.
func (p *PlanShowCommand) Run(streams *Streams) error {
	reply, err := p.client().Plan(p.Plan)
	if err != nil {
		return err
	}
	return p.printPlan(streams, reply)
}

// planChangeCommand holds the flags of the commands that change the state of a
// plan.
type planChangeCommand struct {
	Connection `embed:""`
	Plan       string `arg:"" help:"The plan's id."`
}

// applyChange changes the state of the plan and prints the plan.
func (p planChangeCommand) applyChange(streams *Streams, change plan.Change) error {
	reply, err := p.client().Change(p.Plan, change)
	if err != nil {
		return err
	}
	return p.printPlan(streams, reply)
}

// PlanPauseCommand pauses a confirmed plan.
type PlanPauseCommand struct {
	planChangeCommand `embed:""`
}

// Run pauses the plan and prints it.
func (p *PlanPauseCommand) Run(streams *Streams) error {
	return p.applyChange(streams, plan.ChangePause)
}

// PlanResumeCommand resumes a paused plan.
type PlanResumeCommand struct {
	planChangeCommand `embed:""`
}

// Run resumes the plan and prints it.
func (p *PlanResumeCommand) Run(streams *Streams) error {
	return p.applyChange(streams, plan.ChangeResume)
}

// PlanAbandonCommand abandons a plan.
type PlanAbandonCommand struct {
	planChangeCommand `embed:""`
}

// Run abandons the plan and prints it.
func (p *PlanAbandonCommand) Run(streams *Streams) error {
	return p.applyChange(streams, plan.ChangeAbandon)
}
