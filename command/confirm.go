package command

// ConfirmCommand confirms a proposed plan.
type ConfirmCommand struct {
	Connection `embed:""`
	Plan       string `arg:"" help:"The plan's id."`
}

// Run confirms the plan and prints it. The daemon refuses it, with the reason, if
// the state that the plan was built from has changed.
func (c *ConfirmCommand) Run(streams *Streams) error {
	reply, err := c.client().Confirm(c.Plan)
	if err != nil {
		return err
	}
	return c.printPlan(streams, reply)
}
