package assembly

import "headcourse/core/fleet"

// Plan is the result of a step.
type Plan struct {
	Create []Record
	Remove []string
	Orders []Order
	Probes []fleet.Server
	// Recent is which models the servers of domains loaded last; it is written together
	// with the records.
	Recent []Recent
	// Cleared are groups whose suspicion was cleared, so that daemons may report them
	// again.
	Cleared []string
	// Notes are the state changes of groups and models, for the log.
	Notes []Note
}

// AddChanges appends the record changes of a later plan.
func (p *Plan) AddChanges(later Plan) {
	p.Create = append(p.Create, later.Create...)
	p.Remove = append(p.Remove, later.Remove...)
	p.Recent = append(p.Recent, later.Recent...)
	p.Cleared = append(p.Cleared, later.Cleared...)
}

// Cut splits the plan's record changes into a part that fits a transaction of maxRows rows,
// and the rest. A removed group takes two rows: its record and the daemons' report about
// it.
func (p Plan) Cut(maxRows int) (first, rest Plan) {
	const rowsOfRemoved = 2
	create := min(len(p.Create), maxRows)
	maxRows -= create
	remove := min(len(p.Remove), maxRows/rowsOfRemoved)
	maxRows -= remove * rowsOfRemoved
	cleared := min(len(p.Cleared), maxRows)
	maxRows -= cleared
	recent := min(len(p.Recent), maxRows)
	first = Plan{
		Create:  p.Create[:create],
		Remove:  p.Remove[:remove],
		Cleared: p.Cleared[:cleared],
		Recent:  p.Recent[:recent],
	}
	rest = Plan{
		Create:  p.Create[create:],
		Remove:  p.Remove[remove:],
		Cleared: p.Cleared[cleared:],
		Recent:  p.Recent[recent:],
	}
	return first, rest
}

// HasChanges reports whether the plan changes records.
func (p Plan) HasChanges() bool {
	return len(p.Create)+len(p.Remove)+len(p.Cleared)+len(p.Recent) > 0
}

// Note is a state change of a group or model.
type Note struct {
	Group  string
	Epoch  int64
	Model  string
	What   string
	Reason string
}
