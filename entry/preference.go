package entry

import (
	"go.uber.org/zap"

	"headcourse/core/balancer"
	"headcourse/core/demand"
	"headcourse/core/neighbours"
	"headcourse/core/subset"
	"headcourse/io/logline"
)

// place is where this daemon stands among the others, worked out once a list.
type place struct {
	daemon subset.Daemon
	// daemons counts the daemons by zone, by which requests are divided until it is
	// known what is asked.
	daemons map[string]float64
}

// notePlace works out this daemon's place in a list.
func (d *Daemon) notePlace(list neighbours.List) {
	rank, of := list.InZone(d.settings.Name, d.settings.Zone)
	next := place{
		daemon: subset.Daemon{
			Rank: rank,
			Of:   of,
		},
		daemons: map[string]float64{},
	}
	for _, zone := range list.Zones() {
		_, there := list.InZone("", zone)
		next.daemons[zone] = float64(there)
	}
	d.place.Store(&next)
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

// refuseDemand notes that another daemon told nonsense of what is asked of it.
func (d *Daemon) refuseDemand(peer string, err error) {
	d.log.Warn("daemons: what is asked of another was not taken", zap.String("peer", peer), logline.Err(err))
}
