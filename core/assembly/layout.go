package assembly

import (
	"math"
	"slices"
	"time"

	"headcourse/core/config"
	"headcourse/core/fleet"
)

// usedShare is the part of the servers that groups are made of; the others
// stay free, with weights on their hosts, to repair groups quickly.
const usedShare = 0.75

// layout is the state of one service that planning works on.
type layout struct {
	service *config.Service
	free    map[string][]fleet.Server
	domains []string
	// live counts the groups of each model, over all and by domain.
	live     map[string]int
	inDomain map[string]map[string]int
	total    int
}

// layout returns the state of a service.
func (c *Controller) layout(service *config.Service, world World, plan *Plan) *layout {
	at := &layout{
		service:  service,
		free:     map[string][]fleet.Server{},
		live:     map[string]int{},
		inDomain: map[string]map[string]int{},
	}
	taken := map[string]bool{}
	domainOf := map[string]string{}
	for _, server := range world.Fleet.Servers() {
		domainOf[server.ID] = server.Domain
	}
	note := func(record Record, counts bool) {
		for _, id := range record.Members {
			taken[id] = true
		}
		if record.Service == service.Name && counts {
			at.add(domainOf[record.Members[0]], record.Model)
		}
	}
	for _, g := range c.groups {
		note(g.record, g.ending == "")
	}
	for _, record := range c.creating {
		note(record, true)
	}
	for _, server := range world.Fleet.Servers() {
		if server.Service != service.Name || !server.IsEngine || server.Draining {
			continue
		}
		at.total++
		if !slices.Contains(at.domains, server.Domain) {
			at.domains = append(at.domains, server.Domain)
		}
		if !taken[server.ID] && c.isFree(server, plan) {
			at.free[server.Domain] = append(at.free[server.Domain], server)
		}
	}
	return at
}

// add counts a group.
func (l *layout) add(domain, model string) {
	l.live[model]++
	if l.inDomain[domain] == nil {
		l.inDomain[domain] = map[string]int{}
	}
	l.inDomain[domain][model]++
}

// isFree tells whether a server without a record may join a group: it is in no
// group that could still serve, and it did not fail to answer lately.
func (c *Controller) isFree(server fleet.Server, plan *Plan) bool {
	if known := c.signs[server.ID]; known.last != Alive && known.silences >= silences {
		if time.Since(known.asked) > probeDeadAgain {
			c.probe(server, plan)
		}
		return false
	}
	return server.Membership.State == fleet.NoGroup || c.isClosed(server.Membership)
}

// target returns how many groups a model should have.
func (l *layout) target(model config.Model) int {
	servers := model.Share * usedShare * float64(l.total)
	return max(1, int(math.Round(servers/float64(model.Size))))
}

// neediest returns the model that lacks the largest part of its groups.
func (l *layout) neediest() (config.Model, bool) {
	var best config.Model
	bestPart := 1.0
	for _, model := range l.service.Engine.Models {
		part := float64(l.live[model.Name]) / float64(l.target(model))
		if part < bestPart {
			best, bestPart = model, part
		}
	}
	return best, bestPart < 1
}
