package assembly

import (
	"maps"
	"slices"
	"time"

	"headcourse/core/fleet"
)

// Times of the controller.
const (
	// askAgain is when an order that has shown no effect is given again: an
	// order takes some milliseconds, its effect on the entry some more.
	askAgain = 700 * time.Millisecond
	// probeAgain is the time between two probes of one server.
	probeAgain = 120 * time.Millisecond
	// probeDeadAgain is the same for a free server that did not answer.
	probeDeadAgain = time.Second
	// probeSlowAgain is the time between two probes of a server that is slow, in a
	// group or free.
	probeSlowAgain = time.Second
	// probeValid is how long a sign of life counts.
	probeValid = time.Second
	// silences is how many probes in a row must be silent for a server to count
	// as dead.
	silences = 2
	// closeTime is how long a group whose members leave may finish its work.
	closeTime = 2500 * time.Millisecond
	// leaveTime is how long a leaving server that has stopped listening may still be
	// in its group, as the platform's pages say.
	leaveTime = 10 * time.Second
	// formSlack is how much longer than its load a group may take to form.
	formSlack = 12 * time.Second
	// stageAgain is when a server that did not take an order to load is asked
	// again: it is loading, perhaps by another daemon's order.
	stageAgain = 3 * time.Second
	// forgetTime is how long a group none of whose members is there is waited for:
	// three stall times and more, after which a head that lives is broken.
	forgetTime = 20 * time.Second
	// stallMargin is added to the time after which a silent head is broken.
	stallMargin = time.Second
)

// Controller decides for all groups. The zero value has none.
type Controller struct {
	groups map[string]*group
	// creating are records being written; their servers are not free.
	creating map[string]Record
	signs    map[string]sign
	// staged are the stage orders given, by server, and when.
	staged map[string]stageOrder
	loads  []time.Time
	// closed are ended groups whose head is known to be out of them: their
	// members may join others without leaving first.
	closed map[membershipKey]bool
	// orphans is when a server was last told to leave a group without record.
	orphans map[string]time.Time
	// counted is how many servers each service had when last looked at.
	counted map[string]count
	number  int
}

// membershipKey names a group of one epoch.
type membershipKey struct {
	group string
	epoch int64
}

// stageOrder is a stage order under way.
type stageOrder struct {
	model string
	until time.Time
}

// sign is the last signs of life of a server.
type sign struct {
	last     Sign
	isSlow   bool
	at       time.Time
	silences int
	asked    time.Time
}

// group is what the controller knows of a group beside its record.
type group struct {
	record Record
	since  time.Time
	asked  map[string]asked
	// ending is why the group ends; empty while it is to serve. A gentle end
	// lets it finish its work.
	ending      string
	isGentle    bool
	endingSince time.Time
	isSuspected bool
	// slow is a member that makes the group slow, as far as known.
	slow       string
	wasOpen    bool
	isRemoving bool
	// isHeadOut tells that the group ended because its head is known to be out.
	isHeadOut bool
	// hasHeadLeft tells that the head itself took the order to leave;
	// withoutMember since when it is surely without one of its members.
	hasHeadLeft   bool
	withoutMember time.Time
}

// count is how many servers there are, and since when.
type count struct {
	servers int
	since   time.Time
}

// asked is the last order given to a member.
type asked struct {
	kind Kind
	at   time.Time
}

// Load replaces the groups by the records in the store. What is known of
// servers is kept; what was ordered is found out from them again.
func (c *Controller) Load(records []Record) {
	known := map[string]*group{}
	for _, record := range records {
		former, ok := c.groups[record.Name]
		if ok && former.record.Epoch == record.Epoch {
			former.isRemoving = false
			known[record.Name] = former
			continue
		}
		known[record.Name] = newGroup(record)
	}
	c.groups = known
	c.creating = map[string]Record{}
}

// newGroup returns the group of a record.
func newGroup(record Record) *group {
	return &group{
		record: record,
		since:  time.Now(),
		asked:  map[string]asked{},
	}
}

// Created notes that records were written at a version.
func (c *Controller) Created(records []Record, epoch int64) {
	if c.groups == nil {
		c.groups = map[string]*group{}
	}
	for _, record := range records {
		delete(c.creating, record.Name)
		record.Epoch = epoch
		c.groups[record.Name] = newGroup(record)
	}
}

// Removed notes that records were removed.
func (c *Controller) Removed(names []string) {
	if c.closed == nil {
		c.closed = map[membershipKey]bool{}
	}
	for _, name := range names {
		if g, ok := c.groups[name]; ok && g.isHeadOut {
			c.closed[membershipKey{
				group: name,
				epoch: g.record.Epoch,
			}] = true
		}
		delete(c.groups, name)
	}
}

// Suspect notes that a daemon's requests stand still at a group, or are slow there,
// and the member that did not answer that daemon (empty: none). That silence counts
// as one: a probe of the controller's own decides.
func (c *Controller) Suspect(name string, epoch int64, silent string) {
	g, ok := c.groups[name]
	if !ok || g.record.Epoch != epoch || g.ending != "" {
		return
	}
	g.isSuspected = true
	if silent != "" && c.signs[silent].silences == 0 {
		c.Probed(silent, Found{
			Sign: Silent,
		})
	}
}

// Probed notes what a probe of a server found.
func (c *Controller) Probed(id string, found Found) {
	if c.signs == nil {
		c.signs = map[string]sign{}
	}
	former := c.signs[id]
	next := sign{
		last:   found.Sign,
		isSlow: found.IsSlow(),
		at:     time.Now(),
		asked:  former.asked,
	}
	if found.Sign != Alive {
		next.silences = former.silences + 1
	}
	c.signs[id] = next
}

// Ordered notes what became of an order.
func (c *Controller) Ordered(order Order, result Result) {
	if order.Kind == Stage {
		if result == Unfit || result == NotKnown || result == OtherServer {
			c.staged[order.Server.ID] = stageOrder{
				until: time.Now().Add(stageAgain),
			}
		}
		return
	}
	g, ok := c.groups[order.Group]
	if !ok || g.record.Epoch != order.Epoch {
		return
	}
	if order.Kind == Leave && result == Taken && order.Server.ID == g.record.Members[0] {
		g.hasHeadLeft = true
	}
	if order.Kind == Join && (result == Fenced || result == OtherServer) && g.ending == "" {
		g.end("member refused to join: "+result.String(), false)
	}
}

// end makes a group end.
func (g *group) end(reason string, isGentle bool) {
	g.ending = reason
	g.isGentle = isGentle
	g.endingSince = time.Now()
}

// Step returns what to do now.
func (c *Controller) Step(world World) Plan {
	var plan Plan
	if world.Config == nil {
		return plan
	}
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		g := c.groups[name]
		if g.ending == "" {
			c.check(g, world, &plan)
		}
		if g.ending != "" {
			c.finish(g, world, &plan)
		}
	}
	c.endOrphans(world, &plan)
	c.form(world, &plan)
	return plan
}

// probe asks for a sign of life, not too often.
func (c *Controller) probe(server fleet.Server, plan *Plan) {
	if c.signs == nil {
		c.signs = map[string]sign{}
	}
	known := c.signs[server.ID]
	if time.Since(known.asked) < probeAgain {
		return
	}
	known.asked = time.Now()
	c.signs[server.ID] = known
	plan.Probes = append(plan.Probes, server)
}

// isDead tells whether a server's recent signs say that it is gone; isKnown
// whether there are recent signs.
func (c *Controller) isDead(id string) (isDead, isKnown bool) {
	known := c.signs[id]
	if known.at.IsZero() || time.Since(known.at) > probeValid {
		return false, false
	}
	switch known.last {
	case Alive:
		return false, true
	case Refused:
		return true, true
	default:
		return known.silences >= silences, known.silences >= silences
	}
}

// order gives an order to a member unless the same was given just now.
func (g *group) order(server fleet.Server, kind Kind, cutoff bool, reason string, plan *Plan) {
	last, ok := g.asked[server.ID]
	if ok && last.kind == kind && time.Since(last.at) < askAgain {
		return
	}
	g.asked[server.ID] = asked{
		kind: kind,
		at:   time.Now(),
	}
	order := Order{
		Server: server,
		Kind:   kind,
		Group:  g.record.Name,
		Epoch:  g.record.Epoch,
		Cutoff: cutoff,
		Reason: reason,
	}
	if kind == Join {
		order.Model = g.record.Model
		order.Members = g.record.Members
	}
	plan.Orders = append(plan.Orders, order)
}

// note adds a change of belief to the plan.
func (g *group) note(what, reason string, plan *Plan) {
	plan.Notes = append(plan.Notes, Note{
		Group:  g.record.Name,
		Epoch:  g.record.Epoch,
		Model:  g.record.Model,
		What:   what,
		Reason: reason,
	})
}
