package control

import (
	"time"

	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/plan"
	"headcourse/core/presence"
	"headcourse/core/vm"
)

// Snapshot returns an immutable view for serving requests.
func (c *Controller) Snapshot() Snapshot {
	c.rebuild()
	c.deriveEvidence()
	now := time.Now()
	leaving := map[string]bool{}
	for id, listed := range c.vms {
		if listed.State != vm.Live {
			leaving[id] = true
		}
	}
	return Snapshot{
		Configuration: c.fleet.Configuration,
		Groups:        c.fleet.Groups,
		VMs:           c.fleet.VMs,
		Evidence:      c.evidence,
		Leaving:       leaving,
		ServeUntil:    c.contact.ServeUntil(c.self.ID, c.roster.IDs(), now),
		Daemons:       max(1, len(c.roster)),
		IsWarm:        c.isWarm(now),
	}
}

// warmUpTimeout is how long after its start a daemon counts as warm in any case.
const warmUpTimeout = 10 * time.Second

// isWarm reports whether the daemon has recent evidence of every serving group and server.
// Until then it would reject requests that other daemons can serve.
func (c *Controller) isWarm(now time.Time) bool {
	if now.Sub(c.startedAt) > warmUpTimeout {
		return true
	}
	for _, record := range c.fleet.Groups {
		evidence, ok := c.evidence.Newest(record.Name)
		isKnown := ok && evidence.Generation == record.Generation && now.Sub(evidence.ObservedAt) <= presence.MaxAge
		if record.Phase == group.Serving && !isKnown {
			return false
		}
	}
	for _, listed := range c.fleet.VMs {
		evidence, ok := c.evidence.Newest(ServerEvidenceName(listed.ID))
		if listed.Service != "" && (!ok || now.Sub(evidence.ObservedAt) > presence.MaxAge) {
			return false
		}
	}
	return len(c.fleet.VMs) > 0
}

// Snapshot is an immutable view for serving requests.
type Snapshot struct {
	Configuration plan.Configuration
	Groups        []group.Record
	VMs           []vm.VM
	Evidence      presence.EvidenceSet
	Leaving       map[string]bool
	// ServeUntil is when the daemon must stop serving unless contact is renewed.
	ServeUntil time.Time
	// Daemons is the number of daemons that share the organisations' limits.
	Daemons int
	// IsWarm is set once the daemon has enough evidence to serve requests.
	IsWarm bool
}

// IsLeaving reports whether the VM list has a VM as leaving.
func (s Snapshot) IsLeaving(id string) bool {
	return s.Leaving[id]
}

// ServingGroups returns the groups of a model that may take a request now.
func (s Snapshot) ServingGroups(model string, now time.Time) []group.Record {
	var groups []group.Record
	for _, record := range s.Groups {
		if record.Model != model {
			continue
		}
		evidence, _ := s.Evidence.Newest(record.Name)
		if record.CanServe(evidence, s.IsLeaving, now) {
			groups = append(groups, record)
		}
	}
	return groups
}

// LiveServers returns the VMs of a plain service that are live and have fresh evidence.
func (s Snapshot) LiveServers(service string, now time.Time) []vm.VM {
	var servers []vm.VM
	for _, listed := range s.VMs {
		if listed.Service != service || listed.State != vm.Live {
			continue
		}
		evidence, _ := s.Evidence.Newest(ServerEvidenceName(listed.ID))
		if evidence.IsFresh(0, now) {
			servers = append(servers, listed)
		}
	}
	return servers
}

// Declaration returns the declaration in force.
func (s Snapshot) Declaration() declaration.Declaration {
	return s.Configuration.Declaration
}

// ServerEvidenceName returns the evidence name of a VM that belongs to no group: a server of a
// plain service, or a free VM.
func ServerEvidenceName(id string) string {
	return serverEvidencePrefix + id
}

// serverEvidencePrefix is the prefix of the names that ServerEvidenceName returns.
const serverEvidencePrefix = "server/"
