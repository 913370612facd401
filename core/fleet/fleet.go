// Package fleet holds what an entry VM knows of the backend servers: where
// they are, what they serve and which group each belongs to.
//
// The servers describe themselves in the platform's table. A View is one state
// of that table and is never changed; With methods return the next state.
package fleet

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// MemberState is how far a server has got in its group.
type MemberState int

// The states of a member, in the order in which a group forms and ends.
const (
	NoGroup MemberState = iota
	Joining
	Ready
	Open
	Closing
	Broken
)

// String returns the state as it stands in logs.
func (m MemberState) String() string {
	return [...]string{"none", "joining", "ready", "open", "closing", "broken"}[m]
}

// Membership is a server's place in a group, as the server tells it.
type Membership struct {
	Group string
	Epoch int64
	// Rank is the place in the member list; rank 0, the head, takes requests.
	Rank  int
	State MemberState
}

// In tells whether the membership is of that group and epoch.
func (m Membership) In(group string, epoch int64) bool {
	return m.Group == group && m.Epoch == epoch && m.State != NoGroup
}

// Server is one start of a backend server. A start mostly has a new ID, but may have that
// of the one before: then Born differs, and all that was known of the former is void.
type Server struct {
	ID string
	// Born is when the server started, in milliseconds, by its own clock; 0: not told.
	Born     int64
	Service  string
	Address  string
	Zone     string
	Capacity int
	// Draining servers finish what they have and then leave.
	Draining bool
	// ColdFor is for how long the server stays cold from when it wrote its entry.
	ColdFor time.Duration
	// Models are loaded; Staged are kept on the host, quick to load.
	Models []string
	Staged []string
	// Recent is the model of its last group since its start, as far as this daemon
	// saw: its entry tells no model once it has left, but it joins a group of that
	// one again much sooner than of one that its host keeps.
	Recent string
	// Domain is the fabric domain; members of a group should share it.
	Domain     string
	Membership Membership
	// IsEngine tells that the server can be a member of groups.
	IsEngine bool
}

// Start names the start: the ID, and when it was born, where that is told.
func (s Server) Start() string {
	if s.Born == 0 {
		return s.ID
	}
	return s.ID + "@" + strconv.FormatInt(s.Born, 10)
}

// HasStaged tells whether the host keeps a model's weights.
func (s Server) HasStaged(model string) bool {
	return slices.Contains(s.Staged, model)
}

// HasLoaded tells whether the model is loaded.
func (s Server) HasLoaded(model string) bool {
	return slices.Contains(s.Models, model)
}

// CanRejoin tells whether the server can be a member of a group of a model without
// loading it.
func (s Server) CanRejoin(model string) bool {
	return s.HasLoaded(model) || (model != "" && s.Recent == model)
}

// after returns the server as its entry tells it now, with what its former entry told.
func (s Server) after(former Server) Server {
	if len(s.Models) > 0 {
		s.Recent = s.Models[0]
		return s
	}
	if s.Born == former.Born {
		s.Recent = former.Recent
	}
	return s
}

// View is one state of the server table. The zero value is empty.
type View struct {
	// Version is the table's version that the view shows.
	Version int64
	servers map[string]Server
	// lost holds servers whose entry is gone, with the time until which they
	// may still be sent requests.
	lost map[string]lostServer
	// index answers questions that are asked for every request; nil in the zero
	// View.
	index *index
}

// lostServer is a server whose entry is gone. It may be sent requests until
// until, and is remembered, with its address, until forget.
type lostServer struct {
	server Server
	until  time.Time
	forget time.Time
}

// rememberLost is how long a server is remembered after its entry went: longer
// than the end of a group whose head is lost takes.
const rememberLost = 30 * time.Second

// Change is one changed entry: a server, or the ID of one that is gone. IsVoid tells that
// the entry is there but names no server any more: that one gets no further request.
type Change struct {
	ID     string
	Server Server
	Gone   bool
	IsVoid bool
}

// WithChanges returns the view after changes. Servers whose entry goes may be
// sent requests until lostUntil: an entry can lapse although its server lives.
func (v View) WithChanges(version int64, changes []Change, lostUntil time.Time) View {
	next := View{
		Version: version,
		servers: maps.Clone(v.servers),
		lost:    maps.Clone(v.lost),
		index:   &index{},
	}
	if next.servers == nil {
		next.servers = map[string]Server{}
	}
	if next.lost == nil {
		next.lost = map[string]lostServer{}
	}
	for _, change := range changes {
		next.apply(change, lostUntil)
	}
	now := time.Now()
	maps.DeleteFunc(next.lost, func(_ string, one lostServer) bool {
		return now.After(one.forget)
	})
	return next
}

// WithRecent returns the view with the models that servers loaded last, by their starts,
// for those of which this daemon saw none.
func (v View) WithRecent(models map[string]string) View {
	next := v
	next.servers = maps.Clone(v.servers)
	next.index = &index{}
	for id, server := range next.servers {
		if model, ok := models[server.Start()]; ok && server.Recent == "" {
			server.Recent = model
			next.servers[id] = server
		}
	}
	return next
}

// apply makes one change in a view that nobody else sees yet.
func (v *View) apply(change Change, lostUntil time.Time) {
	if !change.Gone {
		former := v.servers[change.ID]
		if lost, ok := v.lost[change.ID]; ok {
			former = lost.server
		}
		v.servers[change.ID] = change.Server.after(former)
		delete(v.lost, change.ID)
		return
	}
	former, wasThere := v.servers[change.ID]
	delete(v.servers, change.ID)
	if !wasThere {
		return
	}
	if change.IsVoid {
		lostUntil = time.Time{}
	}
	v.lost[change.ID] = lostServer{
		server: former,
		until:  lostUntil,
		forget: time.Now().Add(rememberLost),
	}
}

// WithAll returns the view that shows exactly the servers given, read whole at
// a version. Servers that were there and are not any more count as lost; those whose
// entries are void get no further request.
func (v View) WithAll(version int64, servers []Server, lostUntil time.Time, void ...string) View {
	present := map[string]bool{}
	changes := make([]Change, 0, len(servers))
	for _, server := range servers {
		present[server.ID] = true
		changes = append(changes, Change{
			ID:     server.ID,
			Server: server,
		})
	}
	for id := range v.servers {
		if !present[id] {
			changes = append(changes, Change{
				ID:     id,
				Gone:   true,
				IsVoid: slices.Contains(void, id),
			})
		}
	}
	return v.WithChanges(version, changes, lostUntil)
}

// Reconciled returns the servers that a table tells of which was restored from an older copy,
// but for what this view knows to be later: a start that was gone stays so, one that leaves
// goes on leaving, and a newer group or start replaces an older one. This holds until the
// servers have written again.
func (v View) Reconciled(read []Server) []Server {
	reconciled := make([]Server, 0, len(read))
	for _, server := range read {
		if lost, isLost := v.lost[server.ID]; isLost && lost.server.Born >= server.Born {
			continue
		}
		if known, isKnown := v.servers[server.ID]; isKnown {
			server = server.reconciled(known)
		}
		reconciled = append(reconciled, server)
	}
	return reconciled
}

// reconciled returns the server with what is known to be later than its entry.
func (s Server) reconciled(known Server) Server {
	switch {
	case known.Born > s.Born:
		return known
	case known.Born < s.Born:
		return s
	}
	s.Draining = s.Draining || known.Draining
	if s.Membership.State != NoGroup && known.Membership.Epoch > s.Membership.Epoch {
		s.Membership = known.Membership
		s.Models = known.Models
	}
	return s
}

// Server returns a server whose entry is in the table.
func (v View) Server(id string) (Server, bool) {
	server, ok := v.servers[id]
	return server, ok
}

// Servers returns all servers with an entry, ordered by ID. The caller must not
// change what it is given.
func (v View) Servers() []Server {
	return v.indexed().sorted
}

// Serving returns the servers of a service that take requests now, ordered by
// ID. For a model engine these are the heads of open groups of the model none of
// whose members is leaving; for other services all servers that are not leaving.
// The caller must not change what it is given.
func (v View) Serving(service, model string) []Server {
	known := v.indexed()
	serving := known.serving(service, model)
	if len(v.lost) == 0 {
		return serving
	}
	now := time.Now()
	var lost []Server
	for _, one := range v.lost {
		if now.Before(one.until) && one.server.serves(service, model, known.leaving) {
			lost = append(lost, one.server)
		}
	}
	if len(lost) == 0 {
		return serving
	}
	lost = append(lost, serving...)
	slices.SortFunc(lost, byID)
	return lost
}

// serves tells whether the server takes requests of a service and model.
func (s Server) serves(service, model string, leaving map[string]bool) bool {
	if s.Service != service || s.Draining {
		return false
	}
	if !s.IsEngine {
		return true
	}
	m := s.Membership
	return m.State == Open && m.Rank == 0 && !leaving[m.Group] && (model == "" || s.HasLoaded(model))
}

// IsUsable tells whether a server is known, or its entry went only lately.
func (v View) IsUsable(id string) bool {
	if _, ok := v.servers[id]; ok {
		return true
	}
	_, ok := v.lost[id]
	return ok
}

// Known returns a server that is known or whose entry went only lately.
func (v View) Known(id string) (Server, bool) {
	if server, ok := v.servers[id]; ok {
		return server, true
	}
	one, ok := v.lost[id]
	return one.server, ok
}

// Members returns the servers that say they are in a group.
func (v View) Members(m Membership) []Server {
	var members []Server
	for _, server := range v.Servers() {
		if server.Membership.In(m.Group, m.Epoch) {
			members = append(members, server)
		}
	}
	return members
}
