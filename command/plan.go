package command

import (
	"fmt"
	"io"

	"headcourse/core/plan"
	"headcourse/io/operator"
)

// PlanCommand states intents and shows and changes plans. Its first part has
// one row for each kind of intent in plan.Kinds.
type PlanCommand struct {
	Reconcile     ReconcileIntent     `cmd:"" help:"Plan to create, change and dissolve groups until the fleet is as declared."`
	DrainSite     DrainSiteIntent     `cmd:"" help:"Plan to move every group out of a site and close its zones."`
	DrainZone     DrainZoneIntent     `cmd:"" help:"Plan to move every group out of a zone and close it."`
	OpenZone      OpenZoneIntent      `cmd:"" help:"Plan to let a closed zone have groups again."`
	RetireVM      RetireVMIntent      `cmd:"" name:"retire-vm" help:"Plan to take a VM out of use."`
	MoveModel     MoveModelIntent     `cmd:"" help:"Plan to move a model's groups from one zone to another."`
	DissolveGroup DissolveGroupIntent `cmd:"" help:"Plan to end one group and free its VMs."`

	List    PlanListCommand    `cmd:"" help:"List all plans."`
	Show    PlanShowCommand    `cmd:"" help:"Show a plan's steps."`
	Pause   PlanPauseCommand   `cmd:"" help:"Pause a confirmed plan after the steps under way."`
	Resume  PlanResumeCommand  `cmd:"" help:"Go on with a paused plan."`
	Abandon PlanAbandonCommand `cmd:"" help:"Give a plan up; the fleet stays whole."`
}

// intention is what all intents share.
type intention struct {
	Connection `embed:""`
	AllowFewer bool `name:"allow-fewer" help:"Let groups for which there is no room go without replacement."`
}

// propose plans an intent and prints the plan.
func (i intention) propose(streams *Streams, intent plan.Intent) error {
	intent.AllowFewer = i.AllowFewer
	reply, err := i.client().Propose(intent)
	if err != nil {
		return err
	}
	return i.printPlan(streams, reply)
}

// printPlan prints a plan with its steps and prediction.
func (c Connection) printPlan(streams *Streams, reply operator.PlanReply) error {
	return c.print(streams.Out, reply, func(table io.Writer) {
		made := reply.Plan
		_, _ = fmt.Fprintf(table, "plan %s: %s\nstate: %s %s\nstands on revision %d\n", made.ID, made.Intent, made.State, made.Reason, made.Revision)
		row(table, "STAGE", "STEP", "NEEDS", "DOWNTIME S", "STRANDED S")
		for _, step := range made.Steps {
			row(table, step.Stage, step, step.Needs, step.DowntimeSeconds, step.StrandedSeconds)
		}
		_, _ = fmt.Fprintf(table, "predicted: %.0f group seconds of downtime, %.0f stranded accelerator seconds\n", reply.DowntimeSeconds, reply.StrandedSeconds)
		for _, note := range made.Notes {
			_, _ = fmt.Fprintf(table, "note: %s\n", note)
		}
		if made.State == plan.Proposed {
			_, _ = fmt.Fprintf(table, "nothing has changed; to carry it out: headcourse confirm %s\n", made.ID)
		}
	})
}

// ReconcileIntent makes the fleet as declared.
type ReconcileIntent struct {
	intention `embed:""`
}

// Run plans it.
func (r *ReconcileIntent) Run(streams *Streams) error {
	return r.propose(streams, plan.Intent{
		Kind: plan.Reconcile,
	})
}

// DrainSiteIntent empties a site.
type DrainSiteIntent struct {
	intention `embed:""`
	Site      string `arg:"" help:"The site."`
}

// Run plans it.
func (d *DrainSiteIntent) Run(streams *Streams) error {
	return d.propose(streams, plan.Intent{
		Kind: plan.DrainSite,
		Site: d.Site,
	})
}

// DrainZoneIntent empties a zone.
type DrainZoneIntent struct {
	intention `embed:""`
	Zone      string `arg:"" help:"The zone."`
}

// Run plans it.
func (d *DrainZoneIntent) Run(streams *Streams) error {
	return d.propose(streams, plan.Intent{
		Kind: plan.DrainZone,
		Zone: d.Zone,
	})
}

// OpenZoneIntent opens a zone.
type OpenZoneIntent struct {
	intention `embed:""`
	Zone      string `arg:"" help:"The zone."`
}

// Run plans it.
func (o *OpenZoneIntent) Run(streams *Streams) error {
	return o.propose(streams, plan.Intent{
		Kind: plan.OpenZoneAgain,
		Zone: o.Zone,
	})
}

// RetireVMIntent takes a VM out of use.
type RetireVMIntent struct {
	intention `embed:""`
	VM        string `arg:"" help:"The VM's id."`
}

// Run plans it.
func (r *RetireVMIntent) Run(streams *Streams) error {
	return r.propose(streams, plan.Intent{
		Kind: plan.RetireOneVM,
		VM:   r.VM,
	})
}

// MoveModelIntent moves a model between zones.
type MoveModelIntent struct {
	intention `embed:""`
	Model     string `arg:"" help:"The model."`
	From      string `arg:"" help:"The zone to leave."`
	To        string `arg:"" help:"The zone to go to."`
}

// Run plans it.
func (m *MoveModelIntent) Run(streams *Streams) error {
	return m.propose(streams, plan.Intent{
		Kind:  plan.MoveModel,
		Model: m.Model,
		Zone:  m.From,
		To:    m.To,
	})
}

// DissolveGroupIntent ends a group.
type DissolveGroupIntent struct {
	intention `embed:""`
	Group     string `arg:"" help:"The group."`
}

// Run plans it.
func (d *DissolveGroupIntent) Run(streams *Streams) error {
	return d.propose(streams, plan.Intent{
		Kind:  plan.DissolveGroup,
		Group: d.Group,
	})
}

// ----------------------------------------------------------------------------
// Plans that were made

// PlanListCommand lists plans.
type PlanListCommand struct {
	Connection `embed:""`
}

// Run lists them.
func (p *PlanListCommand) Run(streams *Streams) error {
	plans, err := p.client().Plans()
	if err != nil {
		return err
	}
	return p.print(streams.Out, plans, func(table io.Writer) {
		row(table, "PLAN", "INTENT", "STATE", "STAGE", "OPERATOR", "REASON")
		for _, one := range plans {
			row(table, one.ID, one.Intent, one.State, fmt.Sprintf("%d of %d", one.Stage+1, one.LastStage()+1), one.Operator, one.Reason)
		}
	})
}

// PlanShowCommand shows a plan.
type PlanShowCommand struct {
	Connection `embed:""`
	Plan       string `arg:"" help:"The plan's id."`
}

// Run shows it.
func (p *PlanShowCommand) Run(streams *Streams) error {
	reply, err := p.client().Plan(p.Plan)
	if err != nil {
		return err
	}
	return p.printPlan(streams, reply)
}

// planChange is what the commands that change a plan share.
type planChange struct {
	Connection `embed:""`
	Plan       string `arg:"" help:"The plan's id."`
}

// change changes the plan and prints it.
func (p planChange) change(streams *Streams, change plan.Change) error {
	reply, err := p.client().Change(p.Plan, change)
	if err != nil {
		return err
	}
	return p.printPlan(streams, reply)
}

// PlanPauseCommand pauses a plan.
type PlanPauseCommand struct {
	planChange `embed:""`
}

// Run pauses it.
func (p *PlanPauseCommand) Run(streams *Streams) error {
	return p.change(streams, plan.ChangePause)
}

// PlanResumeCommand resumes a plan.
type PlanResumeCommand struct {
	planChange `embed:""`
}

// Run resumes it.
func (p *PlanResumeCommand) Run(streams *Streams) error {
	return p.change(streams, plan.ChangeResume)
}

// PlanAbandonCommand abandons a plan.
type PlanAbandonCommand struct {
	planChange `embed:""`
}

// Run abandons it.
func (p *PlanAbandonCommand) Run(streams *Streams) error {
	return p.change(streams, plan.ChangeAbandon)
}
