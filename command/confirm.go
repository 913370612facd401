package command

// ConfirmCommand confirms a plan.
type ConfirmCommand struct {
	Connection `embed:""`
	Plan       string `arg:"" help:"The plan's id."`
}

// Run confirms it. A plan whose ground has moved is refused with the reason.
func (c *ConfirmCommand) Run(streams *Streams) error {
	reply, err := c.client().Confirm(c.Plan)
	if err != nil {
		return err
	}
	return c.printPlan(streams, reply)
}
