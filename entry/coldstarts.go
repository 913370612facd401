package entry

import (
	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/core/ratelimit"
	"headcourse/io/gateway"
)

// A cold server accepts a reduced rate of requests from all daemons together. No answer names
// this limit: a server's entry or answer only marks it as cold, and the configuration defines
// the rate.

// coldLimit returns the request limit of a cold server of a service. ok is false if the
// configuration defines none.
func (d *Daemon) coldLimit(current *config.Config, service string) (limit ratelimit.Limit, ok bool) {
	if current == nil {
		return ratelimit.Limit{}, false
	}
	found := current.Service(service)
	if found == nil || found.ColdStart.RequestsPerSecond <= 0 {
		return ratelimit.Limit{}, false
	}
	return ratelimit.NewColdLimit(found.ColdStart.RequestsPerSecond, d.settings.ColdExcess, d.settings.ColdExtraRequests), true
}

// applyColdLimit limits a server whose entry or answer marks it as cold.
func (d *Daemon) applyColdLimit(current *config.Config, server fleet.Server) {
	if server.ColdFor <= 0 {
		return
	}
	if limit, ok := d.coldLimit(current, server.Service); ok {
		d.serverLimits.SetColdLimit(server.StartID(), limit, server.ColdFor)
	}
}

// applyColdLimits limits all servers of a view whose entries mark them as cold. Entries may be read before the
// configuration that defines the limit. Both are applied while the view is edited: so neither misses the
// other, and no request is sent by a view without its limits.
func (d *Daemon) applyColdLimits(view *gateway.View) {
	for _, server := range view.Fleet.Servers() {
		d.applyColdLimit(view.Config, server)
	}
}

// assumeZoneCold limits the servers of a zone as if they had just started.
func (d *Daemon) assumeZoneCold(zone string) {
	view := d.view.Load()
	for _, server := range view.Fleet.Servers() {
		if server.Zone != zone {
			continue
		}
		if limit, ok := d.coldLimit(view.Config, server.Service); ok {
			d.serverLimits.SetColdLimit(server.StartID(), limit, view.Config.Service(server.Service).ColdStart.Duration)
		}
	}
}

// ObserveColdServer applies the cold limit to a server whose answer marks it as cold.
func (d *Daemon) ObserveColdServer(server fleet.Server) {
	d.applyColdLimit(d.view.Load().Config, server)
}
