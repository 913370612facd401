package entry

import "headcourse/core/config"

// Until the first client of a system that has just been started comes, nobody waits for
// anything: loads are quick, and changes may come together for longer.

// isIdle tells whether no client of any daemon has sent a request since the whole system was
// started, as far as this daemon knows.
func (d *Daemon) isIdle() bool {
	known := d.view.Load().Config
	if !d.settings.IsFirstStart || d.hasTraffic.Load() || known == nil {
		return false
	}
	if d.gateway.HadRequests() || d.isAsked(known) {
		d.hasTraffic.Store(true)
		return false
	}
	return true
}

// isAsked tells whether callers of any daemon ask for a model.
func (d *Daemon) isAsked(known *config.Config) bool {
	for _, service := range known.Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			if asked, isKnown := d.asked(service.Name, model.Name); isKnown && asked.Requests > 0 {
				return true
			}
		}
	}
	return false
}
