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

// place is where this daemon stands among the others, worked out once a list.
type place struct {
	daemon subset.Daemon
	// daemons counts the daemons by zone, by which requests are divided until it is
	// known what is asked.
	daemons map[string]float64
	list    neighbours.List
	limits  limitPlaces
}

// limitPlaces are the daemon's places in the orders of servers that name limits, worked out
// once a list.
type limitPlaces struct {
	mutex   sync.Mutex
	byStart map[string]ratelimit.Place
}

// updatePlace works out this daemon's place in a list.
func (d *Daemon) updatePlace(list neighbours.List) {
	rank, of := list.InZone(d.settings.Name, d.settings.Zone)
	next := &place{
		daemon: subset.Daemon{
			Rank: rank,
			Of:   of,
		},
		daemons: map[string]float64{},
		list:    list,
	}
	for _, zone := range list.Zones() {
		_, there := list.InZone("", zone)
		next.daemons[zone] = float64(there)
	}
	d.place.Store(next)
}

// Preference returns what a request of a kind goes by when a server is chosen.
func (d *Daemon) Preference(kind demand.Kind) balancer.Preference {
	known := d.place.Load()
	asked := d.board.ByZone(kind)
	if len(asked) == 0 {
		asked = known.daemons
	}
	return balancer.Preference{
		Zone:   d.settings.Zone,
		Daemon: known.daemon,
		Asked:  asked,
	}
}

// LimitPlace returns this daemon's place among those that may share the limit of a server.
func (d *Daemon) LimitPlace(server fleet.Server) ratelimit.Place {
	known := d.place.Load()
	known.limits.mutex.Lock()
	defer known.limits.mutex.Unlock()
	start := server.Start()
	if place, ok := known.limits.byStart[start]; ok {
		return place
	}
	rank, near := known.list.OrderFor(start, server.Zone, d.settings.Name)
	place := ratelimit.Place{
		Rank: rank,
		Near: near,
		Of:   known.list.Len(),
	}
	if known.limits.byStart == nil {
		known.limits.byStart = map[string]ratelimit.Place{}
	}
	known.limits.byStart[start] = place
	return place
}

// refuseDemand notes that another daemon told nonsense of what is asked of it.
func (d *Daemon) refuseDemand(peer string, err error) {
	d.log.Warn("daemons: what is asked of another was not taken", zap.String("peer", peer), logline.Err(err))
}
