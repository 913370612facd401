package entry

import (
	"sync"

	"go.uber.org/zap"

	"headcourse/core/balancer"
	"headcourse/core/demand"
	"headcourse/core/fleet"
	"headcourse/core/neighbours"
	"headcourse/core/ratelimit"
	"headcourse/core/subset"
	"headcourse/io/logline"
)

// daemonPosition is this daemon's position among the others, computed once for each list.
type daemonPosition struct {
	subset subset.Position
	// daemonsByZone counts the daemons of each zone. Requests are distributed by these counts
	// until the demand is known.
	daemonsByZone  map[string]float64
	list           neighbours.List
	limitPositions limitPositions
}

// limitPositions caches the daemon's position in the order in which daemons share the limit of
// each server.
type limitPositions struct {
	mutex   sync.Mutex
	byStart map[string]ratelimit.Position
}

// updatePosition computes this daemon's position in a list.
func (d *Daemon) updatePosition(list neighbours.List) {
	rank, count := list.PositionInZone(d.settings.Name, d.settings.Zone)
	next := &daemonPosition{
		subset: subset.Position{
			Rank:  rank,
			Total: count,
		},
		daemonsByZone: map[string]float64{},
		list:          list,
	}
	for _, zone := range list.Zones() {
		_, daemons := list.PositionInZone("", zone)
		next.daemonsByZone[zone] = float64(daemons)
	}
	d.position.Store(next)
}

// Preference returns the inputs to server selection for a kind of request.
func (d *Daemon) Preference(kind demand.Kind) balancer.Preference {
	current := d.position.Load()
	demandByZone := d.demandTotals.WorkRateByZone(kind)
	if len(demandByZone) == 0 {
		demandByZone = current.daemonsByZone
	}
	return balancer.Preference{
		Zone:     d.settings.Zone,
		Position: current.subset,
		Demand:   demandByZone,
	}
}

// LimitPosition returns this daemon's position among those that may share the limit of a server.
func (d *Daemon) LimitPosition(server fleet.Server) ratelimit.Position {
	current := d.position.Load()
	current.limitPositions.mutex.Lock()
	defer current.limitPositions.mutex.Unlock()
	start := server.StartID()
	if position, ok := current.limitPositions.byStart[start]; ok {
		return position
	}
	rank, nearCount := current.list.PositionForKey(start, server.Zone, d.settings.Name)
	position := ratelimit.Position{
		Rank:     rank,
		SameZone: nearCount,
		Total:    current.list.Len(),
	}
	if current.limitPositions.byStart == nil {
		current.limitPositions.byStart = map[string]ratelimit.Position{}
	}
	current.limitPositions.byStart[start] = position
	return position
}

// logRejectedDemand logs that another daemon reported invalid demand.
func (d *Daemon) logRejectedDemand(peer string, err error) {
	d.log.Warn("daemons: what is asked of another was not taken", zap.String("peer", peer), logline.ErrorField(err))
}
