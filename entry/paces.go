package entry

import (
	"headcourse/core/demand"
	"headcourse/core/fleet"
	"headcourse/core/pace"
)

// paceVotes returns this daemon's votes on the pace of servers for its load report.
func (d *Daemon) paceVotes() []demand.PaceVotes {
	votes := d.paceRecorder.Votes()
	reported := make([]demand.PaceVotes, len(votes))
	for i, vote := range votes {
		reported[i].Server = vote.Server
		reported[i].Votes[vote.Bucket] = 1
	}
	return reported
}

// updatePaces applies the votes of all daemons.
func (d *Daemon) updatePaces() {
	votes := d.demandTotals.PaceVotes()
	tallies := make([]pace.Tally, len(votes))
	for i, one := range votes {
		tallies[i] = pace.Tally{
			Server: one.Server,
			Votes:  one.Votes,
		}
	}
	verdicts := pace.Verdicts(tallies)
	d.slowdowns.Store(&verdicts)
}

// Slowdown returns how many times as slow as others all daemons found a server; 0 if there is no verdict.
func (d *Daemon) Slowdown(server fleet.Server) float64 {
	verdicts := d.slowdowns.Load()
	if verdicts == nil {
		return 0
	}
	return (*verdicts)[server.ID]
}
