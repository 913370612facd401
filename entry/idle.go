package entry

import "headcourse/core/config"

// Before the first client of a newly started system sends a request, no client waits for an
// answer. Model loads are not limited then, and changes are collected for longer.

// isIdle reports whether no client has sent a request since the first start of the whole system,
// neither to this daemon nor, by the reported demand, to another one. It is false before the
// configuration is read, and if this daemon was started later.
func (d *Daemon) isIdle() bool {
	current := d.view.Load().Config
	if !d.settings.IsFirstStart || d.hasTraffic.Load() || current == nil {
		return false
	}
	if d.gateway.HadRequests() || d.hasDemand(current) {
		d.hasTraffic.Store(true)
		return false
	}
	return true
}

// hasDemand reports whether any daemon reports requests for a model.
func (d *Daemon) hasDemand(current *config.Config) bool {
	for _, service := range current.Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			if demanded, isKnown := d.demandFor(service.Name, model.Name); isKnown && demanded.Requests > 0 {
				return true
			}
		}
	}
	return false
}
