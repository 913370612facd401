package assembly

import (
	"time"

	"headcourse/core/fleet"
)

// Plan is the result of a step.
type Plan struct {
	NewRecords    []Record
	RemovedGroups []string
	Orders        []Order
	Probes        []fleet.Server
	// RecentModels is which models the servers of domains loaded last; it is written together
	// with the records.
	RecentModels []RecentModels
	// ClearedSuspicions are groups whose suspicion was cleared, so that daemons may report
	// them again.
	ClearedSuspicions []string
	// Events are the state changes of groups and models, for the log.
	Events []Event
}

// AddChanges appends the record changes of a later plan.
func (p *Plan) AddChanges(later Plan) {
	p.NewRecords = append(p.NewRecords, later.NewRecords...)
	p.RemovedGroups = append(p.RemovedGroups, later.RemovedGroups...)
	p.RecentModels = append(p.RecentModels, later.RecentModels...)
	p.ClearedSuspicions = append(p.ClearedSuspicions, later.ClearedSuspicions...)
}

// Split splits the plan's record changes into a part that fits a transaction of maxRows rows,
// and the rest. A removed group takes two rows: its record and the daemons' report about
// it.
func (p Plan) Split(maxRows int) (first, rest Plan) {
	const rowsOfRemoved = 2
	create := min(len(p.NewRecords), maxRows)
	maxRows -= create
	remove := min(len(p.RemovedGroups), maxRows/rowsOfRemoved)
	maxRows -= remove * rowsOfRemoved
	cleared := min(len(p.ClearedSuspicions), maxRows)
	maxRows -= cleared
	recent := min(len(p.RecentModels), maxRows)
	first = Plan{
		NewRecords:        p.NewRecords[:create],
		RemovedGroups:     p.RemovedGroups[:remove],
		ClearedSuspicions: p.ClearedSuspicions[:cleared],
		RecentModels:      p.RecentModels[:recent],
	}
	rest = Plan{
		NewRecords:        p.NewRecords[create:],
		RemovedGroups:     p.RemovedGroups[remove:],
		ClearedSuspicions: p.ClearedSuspicions[cleared:],
		RecentModels:      p.RecentModels[recent:],
	}
	return first, rest
}

// HasChanges reports whether the plan changes records.
func (p Plan) HasChanges() bool {
	return len(p.NewRecords)+len(p.RemovedGroups)+len(p.ClearedSuspicions)+len(p.RecentModels) > 0
}

// Event is a state change of a group or model.
type Event struct {
	Group   string
	Epoch   int64
	Model   string
	Message string
	Reason  string
	// Evidence is what showed that a member is lost; nil if the reason needs none.
	Evidence *Evidence
}

// Evidence is what the controller knows of a member that does not answer.
type Evidence struct {
	// Member is the server's ID, Status the result of the last probe.
	Member string
	Status ProbeStatus
	// Unanswered is the number of probes without an answer since the last answer, the one that a daemon
	// reported included. Since is the time since the first of them, SinceAnswer that since the last answer; 0: none
	// is known.
	Unanswered  int
	Since       time.Duration
	SinceAnswer time.Duration
	// Suspected is the time since daemons reported stalled requests.
	Suspected time.Duration
}
