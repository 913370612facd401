package entry

import (
	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/core/ratelimit"
)

// A server that is cold bears few requests, from all daemons together: a limit that no answer
// names, but its entry and the configuration do.

// coldLimit returns what a cold server of a service may get; ok is false where none is told.
func (d *Daemon) coldLimit(known *config.Config, service string) (limit ratelimit.Limit, ok bool) {
	if known == nil {
		return ratelimit.Limit{}, false
	}
	described := known.Service(service)
	if described == nil || described.Cold.PerSecond <= 0 {
		return ratelimit.Limit{}, false
	}
	return ratelimit.Cold(described.Cold.PerSecond, d.settings.ColdExcess, d.settings.ColdSlack), true
}

// limitCold limits a server that its entry says is cold.
func (d *Daemon) limitCold(known *config.Config, server fleet.Server) {
	if server.ColdFor <= 0 {
		return
	}
	if limit, ok := d.coldLimit(known, server.Service); ok {
		d.limits.LimitCold(server.Start(), limit, server.ColdFor)
	}
}

// limitAllCold limits the servers that were cold when their entries were read, which may have
// been before the configuration told what they bear.
func (d *Daemon) limitAllCold(known *config.Config) {
	for _, server := range d.view.Load().Fleet.Servers() {
		d.limitCold(known, server)
	}
}

// assumeCold limits the servers of a zone as if they had just started.
func (d *Daemon) assumeCold(zone string) {
	view := d.view.Load()
	for _, server := range view.Fleet.Servers() {
		if server.Zone != zone {
			continue
		}
		if limit, ok := d.coldLimit(view.Config, server.Service); ok {
			d.limits.LimitCold(server.Start(), limit, view.Config.Service(server.Service).Cold.Start)
		}
	}
}

// ServerCold takes from an answer that a server is cold.
func (d *Daemon) ServerCold(server fleet.Server) {
	d.limitCold(d.view.Load().Config, server)
}
