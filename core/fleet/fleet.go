// Package fleet holds the backend servers as one entry VM sees them: their
// addresses, what they serve and their groups.
//
// Each server writes its own entry into the platform's table. A View is an
// immutable state of that table; its With methods return the next state.
package fleet

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// MemberState is the state of a server in its group.
type MemberState int

// The states of a member, in the order in which a group is formed and dissolved.
const (
	NoGroup MemberState = iota
	Joining
	Ready
	Open
	Closing
	Broken
)

// String returns the name of the state, for logs.
func (m MemberState) String() string {
	return [...]string{"none", "joining", "ready", "open", "closing", "broken"}[m]
}

// Membership is the membership of a server in a group, as the server reports it.
type Membership struct {
	Group string
	Epoch int64
	// Rank is the index in the member list; rank 0, the head, receives the requests.
	Rank  int
	State MemberState
}

// Matches reports whether this is a membership in the given group and epoch.
func (m Membership) Matches(group string, epoch int64) bool {
	return m.Group == group && m.Epoch == epoch && m.State != NoGroup
}

// Server is one start of a backend server. A restarted server usually has a new ID. If it
// has the ID of the start before, StartedAtMs differs, and nothing known about the earlier start
// applies to it.
type Server struct {
	ID string
	// StartedAtMs is the Unix time of the start in milliseconds, by the server's own clock;
	// 0: unknown.
	StartedAtMs int64
	Service     string
	Address     string
	Zone        string
	Capacity    int
	// Release identifies the versions of the server's program and of its loaded weights.
	Release string
	// Draining servers finish their requests in flight and then leave.
	Draining bool
	// ColdFor is how long the server stays cold after it wrote its entry.
	ColdFor time.Duration
	// Models are the loaded models; Staged are those whose weights are kept on the
	// host, which load faster.
	Models []string
	Staged []string
	// LastModel is the model of the last group that this daemon saw the server in since
	// its start. The entry names no model after the server has left its group, but
	// the server joins another group of that model much faster than one of a staged
	// model.
	LastModel string
	// Domain is the fabric domain. The members of a group should have the same.
	Domain     string
	Membership Membership
	// IsEngine is set if the server can be a member of groups.
	IsEngine bool
}

// StartID returns an identifier of the start: the ID, with the start time if it is known.
func (s Server) StartID() string {
	if s.StartedAtMs == 0 {
		return s.ID
	}
	return s.ID + "@" + strconv.FormatInt(s.StartedAtMs, 10)
}

// HasStaged reports whether a model's weights are kept on the host.
func (s Server) HasStaged(model string) bool {
	return slices.Contains(s.Staged, model)
}

// HasLoaded reports whether the model is loaded.
func (s Server) HasLoaded(model string) bool {
	return slices.Contains(s.Models, model)
}

// CanJoinWithoutLoading reports whether the server can join a group of a model without loading the
// model.
func (s Server) CanJoinWithoutLoading(model string) bool {
	return s.HasLoaded(model) || (model != "" && s.LastModel == model)
}

// withHistoryOf returns the server of a new entry with LastModel set: to the first model of
// the entry if it names one, else to that of the previous entry of the same start.
func (s Server) withHistoryOf(previous Server) Server {
	if len(s.Models) > 0 {
		s.LastModel = s.Models[0]
		return s
	}
	if s.StartedAtMs == previous.StartedAtMs {
		s.LastModel = previous.LastModel
	}
	return s
}

// View is one state of the server table. The zero value is empty.
type View struct {
	// Version is the version of the table.
	Version int64
	servers map[string]Server
	// removed holds the servers whose entry was removed recently, by ID.
	removed map[string]removedServer
	// index caches what every request looks up; nil in the zero View.
	index *index
}

// removedServer is a server whose entry was removed. It may receive requests until
// graceUntil, and stays known, with its address, until forgetAt.
type removedServer struct {
	server     Server
	graceUntil time.Time
	forgetAt   time.Time
}

// removedRetention is how long a server stays known after its entry was removed. It is
// longer than it takes to dissolve a group that lost its head.
const removedRetention = 30 * time.Second

// Change is one changed or removed entry. Server is set unless IsRemoved is. IsInvalid, with
// IsRemoved, means that the entry exists but describes no server any more, so that the server gets
// no grace.
type Change struct {
	ID        string
	Server    Server
	IsRemoved bool
	IsInvalid bool
}

// WithChanges returns the view after changes. Servers whose entry was removed may
// receive requests until graceUntil, since an entry can expire although its server
// is running.
func (v View) WithChanges(version int64, changes []Change, graceUntil time.Time) View {
	next := View{
		Version: version,
		servers: maps.Clone(v.servers),
		removed: maps.Clone(v.removed),
		index:   &index{},
	}
	if next.servers == nil {
		next.servers = map[string]Server{}
	}
	if next.removed == nil {
		next.removed = map[string]removedServer{}
	}
	for _, change := range changes {
		next.apply(change, graceUntil)
	}
	now := time.Now()
	maps.DeleteFunc(next.removed, func(_ string, removed removedServer) bool {
		return now.After(removed.forgetAt)
	})
	return next
}

// WithLastModels returns the view with LastModel set from models, which maps StartID to model.
// Servers whose LastModel is known already keep it.
func (v View) WithLastModels(models map[string]string) View {
	next := v
	next.servers = maps.Clone(v.servers)
	next.index = &index{}
	for id, server := range next.servers {
		if model, ok := models[server.StartID()]; ok && server.LastModel == "" {
			server.LastModel = model
			next.servers[id] = server
		}
	}
	return next
}

// apply makes one change. The view must not be shared yet.
func (v *View) apply(change Change, graceUntil time.Time) {
	if !change.IsRemoved {
		previous := v.servers[change.ID]
		if removed, ok := v.removed[change.ID]; ok {
			previous = removed.server
		}
		v.servers[change.ID] = change.Server.withHistoryOf(previous)
		delete(v.removed, change.ID)
		return
	}
	previous, wasPresent := v.servers[change.ID]
	delete(v.servers, change.ID)
	if !wasPresent {
		return
	}
	if change.IsInvalid {
		graceUntil = time.Time{}
	}
	v.removed[change.ID] = removedServer{
		server:     previous,
		graceUntil: graceUntil,
		forgetAt:   time.Now().Add(removedRetention),
	}
}

// WithSnapshot returns the view of a snapshot of the table at a version. Servers that the
// snapshot lacks count as removed; those whose IDs are in invalid get no grace.
func (v View) WithSnapshot(version int64, servers []Server, graceUntil time.Time, invalid ...string) View {
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
				ID:        id,
				IsRemoved: true,
				IsInvalid: slices.Contains(invalid, id),
			})
		}
	}
	return v.WithChanges(version, changes, graceUntil)
}

// ReconciledWithRestored merges the servers of a table that was restored from an older copy with
// this view. The newer state wins: a removed start stays removed, a draining server keeps draining,
// and a newer group or start replaces an older one. The caller needs this until all servers have
// rewritten their entries.
func (v View) ReconciledWithRestored(restored []Server) []Server {
	reconciled := make([]Server, 0, len(restored))
	for _, server := range restored {
		if removed, isRemoved := v.removed[server.ID]; isRemoved && removed.server.StartedAtMs >= server.StartedAtMs {
			continue
		}
		if current, isPresent := v.servers[server.ID]; isPresent {
			server = server.withNewerState(current)
		}
		reconciled = append(reconciled, server)
	}
	return reconciled
}

// withNewerState returns the server of a restored entry, with the parts of current that are
// newer.
func (s Server) withNewerState(current Server) Server {
	switch {
	case current.StartedAtMs > s.StartedAtMs:
		return current
	case current.StartedAtMs < s.StartedAtMs:
		return s
	}
	s.Draining = s.Draining || current.Draining
	if s.Membership.State != NoGroup && current.Membership.Epoch > s.Membership.Epoch {
		s.Membership = current.Membership
		s.Models = current.Models
	}
	return s
}

// Server returns the server with an entry of the ID, and whether there is one.
func (v View) Server(id string) (Server, bool) {
	server, ok := v.servers[id]
	return server, ok
}

// Servers returns all servers with an entry, ordered by ID. The caller must not
// modify the slice.
func (v View) Servers() []Server {
	return v.builtIndex().sorted
}

// Serving returns the servers of a service that may receive new requests now, ordered
// by ID. Of model engines these are the heads of the open groups of the model that
// have no draining member; of other services all servers that are not draining.
// The caller must not modify the slice.
func (v View) Serving(service, model string) []Server {
	built := v.builtIndex()
	serving := built.serving(service, model)
	if len(v.removed) == 0 {
		return serving
	}
	now := time.Now()
	var removed []Server
	for _, candidate := range v.removed {
		if now.Before(candidate.graceUntil) && candidate.server.serves(service, model, built.drainingGroups) {
			removed = append(removed, candidate.server)
		}
	}
	if len(removed) == 0 {
		return serving
	}
	removed = append(removed, serving...)
	slices.SortFunc(removed, byID)
	return removed
}

// serves reports whether the server may receive new requests of a service and model.
func (s Server) serves(service, model string, drainingGroups map[string]bool) bool {
	if s.Service != service || s.Draining {
		return false
	}
	if !s.IsEngine {
		return true
	}
	m := s.Membership
	return m.State == Open && m.Rank == 0 && !drainingGroups[m.Group] && (model == "" || s.HasLoaded(model))
}

// HasServerOrRemoved reports whether a server has an entry, or had one until recently.
func (v View) HasServerOrRemoved(id string) bool {
	if _, ok := v.servers[id]; ok {
		return true
	}
	_, ok := v.removed[id]
	return ok
}

// ServerOrRemoved returns a server that has an entry, or had one until recently.
func (v View) ServerOrRemoved(id string) (Server, bool) {
	if server, ok := v.servers[id]; ok {
		return server, true
	}
	removed, ok := v.removed[id]
	return removed.server, ok
}

// Members returns the servers whose entries name the group and epoch of m.
func (v View) Members(m Membership) []Server {
	var members []Server
	for _, server := range v.Servers() {
		if server.Membership.Matches(m.Group, m.Epoch) {
			members = append(members, server)
		}
	}
	return members
}
