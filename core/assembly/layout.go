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

// memberRisk is how many more groups a model gets for each of a group's members:
// each is one more whose loss takes the whole group away. By trial: without it, seven
// or eight of eleven groups of eight served on a day with losses, and 16 to 21 of 21
// groups of four; with twice as much, too few spares were left (docs/MEASURES.md).
const memberRisk = 0.015

// layout is the state of one service that planning works on.
type layout struct {
	service *config.Service
	free    map[string][]fleet.Server
	domains []string
	// live counts the groups of each model, over all and by domain.
	live     map[string]int
	inDomain map[string]map[string]int
	total    int
	// choices are kept by domain and model, since planning asks for the same ones
	// again and again; a domain's are forgotten when its free servers change.
	choices map[choiceKey]choice
}

// choiceKey names a domain and a model.
type choiceKey struct {
	domain string
	model  string
}

// layout returns the state of a service.
func (c *Controller) layout(service *config.Service, world World, plan *Plan) *layout {
	at := &layout{
		service:  service,
		free:     map[string][]fleet.Server{},
		live:     map[string]int{},
		inDomain: map[string]map[string]int{},
		choices:  map[choiceKey]choice{},
	}
	c.countGroups(at, world)
	c.listFree(at, world, plan)
	return at
}

// countGroups counts the groups of the service that are to serve.
func (c *Controller) countGroups(at *layout, world World) {
	note := func(record Record) {
		if record.Service == at.service.Name {
			head, _ := world.Fleet.Server(record.Members[0])
			at.add(head.Domain, record.Model)
		}
	}
	for _, g := range c.groups {
		if g.ending == "" {
			note(g.record)
		}
	}
	for _, record := range c.creating {
		note(record)
	}
}

// listFree counts the servers that the service's groups may be made of, and lists
// those that are free.
func (c *Controller) listFree(at *layout, world World, plan *Plan) {
	taken := c.taken()
	isListed := map[string]bool{}
	for _, server := range world.Fleet.Servers() {
		if !isMaterial(server, at.service.Name) {
			continue
		}
		at.total++
		if !isListed[server.Domain] {
			isListed[server.Domain] = true
			at.domains = append(at.domains, server.Domain)
		}
		if !taken[server.ID] && c.isFree(server, plan) {
			at.free[server.Domain] = append(at.free[server.Domain], server)
		}
	}
}

// isMaterial tells whether groups of a service may be made of a server, free or
// not.
func isMaterial(server fleet.Server, service string) bool {
	return server.Service == service && server.IsEngine && !server.Draining
}

// soonest returns the servers of a domain that form a group of a model soonest.
func (l *layout) soonest(domain string, model config.Model) choice {
	key := choiceKey{
		domain: domain,
		model:  model.Name,
	}
	known, ok := l.choices[key]
	if !ok {
		known = choose(l.free[domain], model)
		l.choices[key] = known
	}
	return known
}

// take makes servers of a domain members of a group.
func (l *layout) take(domain string, members []string) {
	l.free[domain] = slices.DeleteFunc(l.free[domain], func(server fleet.Server) bool {
		return slices.Contains(members, server.ID)
	})
	for _, model := range l.service.Engine.Models {
		delete(l.choices, choiceKey{
			domain: domain,
			model:  model.Name,
		})
	}
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
// group that could still serve, it did not fail to answer lately, and it is not
// slow.
func (c *Controller) isFree(server fleet.Server, plan *Plan) bool {
	known := c.signs[server.ID]
	isSilent := known.last != Alive && known.silences >= silences
	if isSilent || known.isSlow {
		if time.Since(known.asked) > probeUnfitAgain {
			c.probe(server, plan)
		}
		return false
	}
	return server.Membership.State == fleet.NoGroup || c.isClosed(server.Membership)
}

// target returns how many groups a model should have.
func (l *layout) target(model config.Model) int {
	servers := model.Share * usedShare * float64(l.total) * (1 + memberRisk*float64(model.Size))
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

// taken returns the servers that are members of a group that has a record, or is
// about to have one.
func (c *Controller) taken() map[string]bool {
	taken := map[string]bool{}
	for _, g := range c.groups {
		for _, id := range g.record.Members {
			taken[id] = true
		}
	}
	for _, record := range c.creating {
		for _, id := range record.Members {
			taken[id] = true
		}
	}
	return taken
}
