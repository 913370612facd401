package fleet

import (
	"cmp"
	"slices"
	"sync"
)

// index holds what is worked out once for a View and asked often: with thousands
// of servers, each request would otherwise look at all of them. The zero value
// is not filled yet.
type index struct {
	fill sync.Once
	// sorted are all servers with an entry, ordered by ID.
	sorted []Server
	// leaving are the groups of which a member is leaving.
	leaving map[string]bool

	mutex sync.Mutex
	// served are the servers that take requests, by what they serve.
	served map[servedKey][]Server
}

// servedKey is what a request asks for.
type servedKey struct {
	service string
	model   string
}

// byID orders servers.
func byID(a, b Server) int {
	return cmp.Compare(a.ID, b.ID)
}

// indexed returns the view's index, filled.
func (v View) indexed() *index {
	known := v.index
	if known == nil {
		known = &index{}
	}
	known.fill.Do(func() {
		known.fillFrom(v.servers)
	})
	return known
}

// fillFrom fills the index.
func (x *index) fillFrom(servers map[string]Server) {
	x.sorted = make([]Server, 0, len(servers))
	x.leaving = map[string]bool{}
	x.served = map[servedKey][]Server{}
	for _, server := range servers {
		x.sorted = append(x.sorted, server)
		if server.Draining && server.Membership.State != NoGroup {
			x.leaving[server.Membership.Group] = true
		}
	}
	slices.SortFunc(x.sorted, byID)
}

// serving returns the servers with an entry that take requests of a service and
// model. Only as many pairs are kept as there are services and models.
func (x *index) serving(service, model string) []Server {
	key := servedKey{
		service: service,
		model:   model,
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if known, ok := x.served[key]; ok {
		return known
	}
	var serving []Server
	for _, server := range x.sorted {
		if server.serves(service, model, x.leaving) {
			serving = append(serving, server)
		}
	}
	if len(serving) > 0 {
		// Clients name models freely; those that nobody serves are not kept.
		x.served[key] = serving
	}
	return serving
}
