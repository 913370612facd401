package fleet

import (
	"cmp"
	"slices"
	"sync"
)

// index caches what requests look up in a View. Without it each request would
// iterate over all servers, of which there may be thousands. The zero value is not
// built yet.
type index struct {
	buildOnce sync.Once
	// sorted holds all servers with an entry, ordered by ID.
	sorted []Server
	// drainingGroups holds the groups that have a draining member.
	drainingGroups map[string]bool

	mutex sync.Mutex
	// serversByTarget holds the servers that may receive new requests.
	serversByTarget map[target][]Server
}

// target is the service and model of a request.
type target struct {
	service string
	model   string
}

// byID compares servers by ID.
func byID(a, b Server) int {
	return cmp.Compare(a.ID, b.ID)
}

// builtIndex returns the index of the view, and builds it on the first call.
func (v View) builtIndex() *index {
	built := v.index
	if built == nil {
		built = &index{}
	}
	built.buildOnce.Do(func() {
		built.build(v.servers)
	})
	return built
}

// build fills the index from the servers with an entry.
func (x *index) build(servers map[string]Server) {
	x.sorted = make([]Server, 0, len(servers))
	x.drainingGroups = map[string]bool{}
	x.serversByTarget = map[target][]Server{}
	for _, server := range servers {
		x.sorted = append(x.sorted, server)
		if server.Draining && server.Membership.State != NoGroup {
			x.drainingGroups[server.Membership.Group] = true
		}
	}
	slices.SortFunc(x.sorted, byID)
}

// serving returns the servers with an entry that may receive new requests of a
// service and model.
func (x *index) serving(service, model string) []Server {
	key := target{
		service: service,
		model:   model,
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if cached, ok := x.serversByTarget[key]; ok {
		return cached
	}
	var serving []Server
	for _, server := range x.sorted {
		if server.serves(service, model, x.drainingGroups) {
			serving = append(serving, server)
		}
	}
	if len(serving) > 0 {
		// Clients may send any model name. Caching only served models bounds the map.
		x.serversByTarget[key] = serving
	}
	return serving
}
