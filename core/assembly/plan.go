package assembly

import "headcourse/core/fleet"

// Plan is what to do next.
type Plan struct {
	Create []Record
	Remove []string
	Orders []Order
	Probes []fleet.Server
	// Recent is what servers of domains loaded last, to be written with the rest.
	Recent []Recent
	// Cleared are groups whose suspicion was dropped, so that daemons may tell
	// of them again.
	Cleared []string
	// Notes are changes of what the controller believes, for the log.
	Notes []Note
}

// AddChanges adds the changes of records of a later plan.
func (p *Plan) AddChanges(later Plan) {
	p.Create = append(p.Create, later.Create...)
	p.Remove = append(p.Remove, later.Remove...)
	p.Recent = append(p.Recent, later.Recent...)
	p.Cleared = append(p.Cleared, later.Cleared...)
}

// Cut returns the part of the plan's changes of records that fits a transaction of
// so many rows, and the rest. A removed group takes two rows: its record and what
// daemons told of it.
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

// HasChanges tells whether the plan changes records.
func (p Plan) HasChanges() bool {
	return len(p.Create)+len(p.Remove)+len(p.Cleared)+len(p.Recent) > 0
}

// Note is one change of belief about a group.
type Note struct {
	Group  string
	Epoch  int64
	Model  string
	What   string
	Reason string
}
