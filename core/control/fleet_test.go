package control_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/catalog"
	"headcourse/core/contact"
	"headcourse/core/control"
	"headcourse/core/declaration"
	"headcourse/core/group"
	"headcourse/core/lease"
	"headcourse/core/order"
	"headcourse/core/plan"
	"headcourse/core/presence"
	"headcourse/core/roster"
	"headcourse/core/table"
	"headcourse/core/vm"
	"headcourse/lab/tablestore"
)

// The fleet of the stateful tests: controllers, a table and backend servers,
// all in one goroutine on the paused clock. Only the I/O is faked; decisions
// are those of package control.

const (
	tick       = 250 * time.Millisecond
	loadTime   = 2 * time.Second
	maxTravel  = 2 * time.Second
	zonesCount = 3
)

// server is a fake backend server.
type server struct {
	vm      vm.VM
	dead    bool
	paused  bool
	fence   order.Fence
	state   order.State
	loading time.Time
	// goodAt is when it was last present and loaded, by group and generation.
	goodAt map[string]time.Time
	// ends holds when the requests in flight will be finished.
	ends []time.Time
	// troubledAt is when it last was dead, paused or out of the list.
	troubledAt time.Time
	members    []string
}

// partKey names a part that a server plays.
func partKey(name string, generation uint64) string {
	return fmt.Sprintf("%s/%d", name, generation)
}

// answers tells whether a probe is answered now.
func (s *server) answers() bool {
	return !s.dead && !s.paused
}

// advance finishes a load whose time has come, and notes presence.
func (s *server) advance(now time.Time) {
	if !s.answers() {
		s.troubledAt = now
		return
	}
	var left []time.Time
	for _, end := range s.ends {
		if now.Before(end) {
			left = append(left, end)
		}
	}
	s.ends = left
	s.state.InFlight = len(left)
	if !s.loading.IsZero() && !now.Before(s.loading) {
		s.state.Loaded = true
		s.loading = time.Time{}
	}
	if s.state.Loaded {
		s.goodAt[partKey(s.state.Group, s.state.Generation)] = now
	}
}

// obey carries out an order like the stand-in engine does.
func (s *server) obey(o order.Order) {
	if s.vm.ChecksOrders && !s.fence.Admits(o) {
		return
	}
	s.fence = order.Fence{
		Generation: o.Generation,
		Sequence:   o.Sequence,
	}
	if o.Verb == order.Load && s.state.Group == o.Group && s.state.Generation == o.Generation {
		return
	}
	s.state = order.State{
		VM:    s.vm.ID,
		Slots: 8,
	}
	s.ends = nil
	s.loading = time.Time{}
	if o.Verb == order.Load {
		s.members = o.Members
		s.state.Group = o.Group
		s.state.Generation = o.Generation
		s.loading = time.Now().Add(loadTime)
	}
}

// die loses all state.
func (s *server) die() {
	s.dead = true
	s.paused = false
	s.troubledAt = time.Now()
	s.ends = nil
	s.fence = order.Fence{}
	s.loading = time.Time{}
	s.state = order.State{
		VM:    s.vm.ID,
		Slots: 8,
	}
}

// storeFault is what is wrong with the store, as one daemon sees it.
type storeFault int

const (
	storeFine storeFault = iota
	storeDown
	storeLosesAnswers
	storeDelays
)

// host is one daemon of the fleet.
type host struct {
	controller *control.Controller
	fault      storeFault
	paused     bool
	cutOff     bool
	after      uint64
	polledAt   time.Time
	positions  map[string]int
	pending    []pendingCommit
	sends      []control.Send
	config     uint64
}

// pendingCommit is a commit whose outcome the daemon does not know yet.
type pendingCommit struct {
	commit control.Commit
	marker string
	tries  int
}

// travelling is an order on its way.
type travelling struct {
	send    control.Send
	arrives time.Time
}

// delayed is a transaction that reaches the store late.
type delayed struct {
	transaction table.Transaction
	arrives     time.Time
}

// heard is what one daemon once said to another, which may hear it again later.
type heard struct {
	by       *host
	rows     []table.Row
	reports  []contact.Report
	evidence []presence.Evidence
}

// fleet is everything.
type fleet struct {
	memory   *tablestore.Memory
	storeOut bool
	servers  map[string]*server
	ids      []string
	list     map[string]vm.VM
	hosts    []*host
	orders   []travelling
	late     []delayed
	heard    []heard
	born     int
	numbered int
	// delay draws how long an order or a delayed transaction travels.
	delay func(limit time.Duration) time.Duration
	// accepted holds when each configuration was first seen accepted.
	accepted map[uint64]time.Time
	broken   []string
}

// fault is the store as one daemon reaches it.
type faultyStore struct {
	fleet *fleet
	host  *host
}

// Commit commits as the daemon's fault lets it.
func (f faultyStore) Commit(ctx context.Context, transaction table.Transaction) (uint64, error) {
	switch {
	case f.fleet.storeOut || f.host.fault == storeDown:
		return 0, table.ErrUnavailable
	case f.host.fault == storeLosesAnswers:
		_, _ = f.fleet.memory.Commit(ctx, transaction)
		return 0, table.ErrUnknown
	case f.host.fault == storeDelays:
		f.fleet.late = append(f.fleet.late, delayed{
			transaction: transaction,
			arrives:     time.Now().Add(f.fleet.delay(20 * time.Second)),
		})
		return 0, table.ErrUnknown
	default:
		return f.fleet.memory.Commit(ctx, transaction)
	}
}

// Read reads unless the store cannot be reached.
func (f faultyStore) Read(ctx context.Context, key string) (table.Row, error) {
	if f.fleet.storeOut || f.host.fault == storeDown {
		return table.Row{}, table.ErrUnavailable
	}
	return f.fleet.memory.Read(ctx, key)
}

// Scan scans unless the store cannot be reached.
func (f faultyStore) Scan(ctx context.Context, request table.ScanRequest) (table.ScanResult, error) {
	if f.fleet.storeOut || f.host.fault == storeDown {
		return table.ScanResult{}, table.ErrUnavailable
	}
	return f.fleet.memory.Scan(ctx, request)
}

// newFleet returns a fleet of daemons before zones with two domains each.
func newFleet(daemons, vmsPerDomain int, checksOrders bool) *fleet {
	made := &fleet{
		memory:   &tablestore.Memory{},
		servers:  map[string]*server{},
		list:     map[string]vm.VM{},
		accepted: map[uint64]time.Time{},
		delay: func(time.Duration) time.Duration {
			return tick
		},
	}
	for zone := range zonesCount {
		for domain := range 2 {
			for number := range vmsPerDomain {
				listed := vm.VM{
					ID:           fmt.Sprintf("z%d-d%d-%d", zone, domain, number),
					Zone:         fmt.Sprintf("z%d", zone),
					Domain:       fmt.Sprintf("z%d-d%d", zone, domain),
					Address:      fmt.Sprintf("10.0.%d.%d:1", zone, domain*100+number),
					Accelerators: 8,
					State:        vm.Live,
					ChecksOrders: checksOrders,
				}
				made.ids = append(made.ids, listed.ID)
				made.list[listed.ID] = listed
				made.servers[listed.ID] = &server{
					vm:     listed,
					goodAt: map[string]time.Time{},
				}
			}
		}
	}
	made.memory.OnCommit = made.checkCommit
	for range daemons {
		made.addDaemon()
	}
	return made
}

// addDaemon starts a daemon.
func (f *fleet) addDaemon() {
	f.born++
	f.hosts = append(f.hosts, &host{
		controller: control.New(roster.Daemon{
			ID:   fmt.Sprintf("daemon-%02d", f.born),
			Zone: fmt.Sprintf("z%d", f.born%zonesCount),
			Peer: fmt.Sprintf("10.1.0.%d:1", f.born),
		}),
		positions: map[string]int{},
	})
}

// declared is the declaration of the tests.
func declared(replicas map[string]int, version string) declaration.Declaration {
	made := declaration.Declaration{
		Deployment: "test",
		Weights: declaration.Weights{
			GroupDowntime:        10,
			StrandedAccelerators: 1,
		},
		Limits: declaration.Limits{
			ParallelLoads: 2,
		},
		Models: []declaration.Model{{
			Name:          "m",
			Version:       version,
			VMsPerReplica: 2,
			LoadTime:      "2s",
			Replicas:      replicas,
		}},
	}
	for zone := range zonesCount {
		made.Zones = append(made.Zones, declaration.Zone{
			Name: fmt.Sprintf("z%d", zone),
			Site: fmt.Sprintf("s%d", zone),
		})
	}
	return made
}

// ----------------------------------------------------------------------------
// Time

// run lets d pass, a tick at a time.
func (f *fleet) run(d time.Duration) {
	for range d / tick {
		time.Sleep(tick)
		f.step()
	}
}

// step lets everything that runs do its work once.
func (f *fleet) step() {
	now := time.Now()
	for _, id := range f.ids {
		f.servers[id].advance(now)
	}
	f.deliver(now)
	for _, one := range f.hosts {
		if !one.paused {
			f.stepHost(one, now)
		}
	}
	f.checkServing(now)
	f.checkLeases()
	f.checkConfiguration(now)
}

// deliver lets orders and late transactions arrive.
func (f *fleet) deliver(now time.Time) {
	var onWay []travelling
	for _, one := range f.orders {
		if now.Before(one.arrives) {
			onWay = append(onWay, one)
			continue
		}
		if target := f.servers[one.send.VM]; target.answers() {
			f.checkOrder(target, one.send.Order)
			target.obey(one.send.Order)
		}
	}
	f.orders = onWay
	var late []delayed
	for _, one := range f.late {
		if now.Before(one.arrives) {
			late = append(late, one)
			continue
		}
		_, _ = f.memory.Commit(context.Background(), one.transaction)
	}
	f.late = late
}

// stepHost is one round of one daemon.
func (f *fleet) stepHost(one *host, now time.Time) {
	store := table.Settling{
		Store: faultyStore{
			fleet: f,
			host:  one,
		},
	}
	f.sendOrders(one)
	f.settlePending(one, store)
	f.poll(one, store, now)
	f.pull(one)
	f.probe(one, now)
	actions := one.controller.Step()
	if actions.Refresh {
		one.polledAt = time.Time{}
	}
	for _, commit := range actions.Commits {
		commit.Transaction.ID = fmt.Sprintf("%s/%d", one.controller.Self().ID, f.nextID())
		marked, marker := table.Mark(commit.Transaction)
		version, err := store.Store.Commit(context.Background(), marked)
		if table.IsCertain(err) {
			one.controller.Committed(commit, version, err)
			continue
		}
		one.pending = append(one.pending, pendingCommit{
			commit: commit,
			marker: marker,
		})
	}
	one.sends = append(one.sends, actions.Sends...)
}

// nextID numbers transactions.
func (f *fleet) nextID() int {
	f.numbered++
	return f.numbered
}

// maxSettles is how often a daemon tries to settle before it gives up.
const maxSettles = 24

// settlePending settles commits whose answers were lost.
func (f *fleet) settlePending(one *host, store table.Settling) {
	var left []pendingCommit
	for _, pending := range one.pending {
		version, err := store.SettleOnce(context.Background(), pending.marker)
		pending.tries++
		if !table.IsCertain(err) && pending.tries < maxSettles {
			left = append(left, pending)
			continue
		}
		one.controller.Committed(pending.commit, version, err)
	}
	one.pending = left
}

// sendOrders sends the orders decided in the round before, if the lease that
// each was decided under still holds: a daemon may have been paused between.
func (f *fleet) sendOrders(one *host) {
	for _, send := range one.sends {
		if send.Lease.Check(lease.OrderMargin) == nil {
			f.orders = append(f.orders, travelling{
				send:    send,
				arrives: time.Now().Add(f.delay(maxTravel)),
			})
		}
	}
	one.sends = nil
}

// poll reads the store when it is time.
func (f *fleet) poll(one *host, store table.Settling, now time.Time) {
	if now.Sub(one.polledAt) < 2500*time.Millisecond {
		return
	}
	one.polledAt = now
	result, err := store.Scan(context.Background(), table.ScanRequest{
		Prefix: catalog.Prefix,
		After:  one.after,
	})
	if err != nil {
		return
	}
	one.after = result.Version
	one.controller.LearnStore(result.Rows, result.Version, now)
	listed := make([]vm.VM, 0, len(f.list))
	for _, id := range f.ids {
		if entry, ok := f.list[id]; ok {
			listed = append(listed, entry)
		}
	}
	one.controller.LearnVMs(listed)
}

// pull learns from the other daemons that can be reached.
func (f *fleet) pull(one *host) {
	if one.cutOff {
		return
	}
	for _, other := range f.hosts {
		if other == one || other.paused || other.cutOff {
			continue
		}
		id := other.controller.Self().ID
		rows, next, _ := other.controller.Changes(one.positions[id], 10000)
		one.positions[id] = next
		one.controller.LearnRows(rows)
		said := heard{
			by:       one,
			rows:     rows,
			reports:  append(other.controller.Contact().Reports(), other.controller.OwnReport()),
			evidence: other.controller.Book().All(),
		}
		one.controller.LearnReports(said.reports, said.evidence)
		if f.heard = append(f.heard, said); len(f.heard) > 400 {
			f.heard = f.heard[200:]
		}
	}
}

// hearAgain lets a daemon hear once more what was said before.
func (f *fleet) hearAgain(one *host, index int) {
	said := f.heard[index%len(f.heard)]
	if said.by != one {
		return
	}
	one.controller.LearnRows(said.rows)
	one.controller.LearnReports(said.reports, said.evidence)
}

// request lets a caller's request begin at a group that a daemon would route
// to, if the group's first member takes it.
func (f *fleet) request(one *host, index int, takes time.Duration) {
	snapshot := one.controller.Snapshot()
	groups := snapshot.Serveable("m", time.Now())
	if len(groups) == 0 {
		return
	}
	record := groups[index%len(groups)]
	leader := f.servers[record.Members[0].VM]
	isPart := leader.state.Group == record.Name && leader.state.Generation == record.Generation
	if leader.answers() && (isPart || !leader.vm.ChecksOrders) && leader.state.Loaded {
		leader.ends = append(leader.ends, time.Now().Add(takes))
		leader.state.InFlight = len(leader.ends)
	}
}

// probe probes the daemon's targets.
func (f *fleet) probe(one *host, now time.Time) {
	for _, target := range one.controller.Targets() {
		found := f.servers[target.ID]
		if found.answers() {
			one.controller.LearnProbe(target.ID, now, found.state)
		} else {
			one.controller.LearnSilence(target.ID, now, found.dead)
		}
	}
}

// ----------------------------------------------------------------------------
// Operators

// apply commits a declaration as the operators' side does.
func (f *fleet) apply(one *host, next declaration.Declaration) error {
	world := one.controller.World()
	change := table.Transaction{}
	change = change.WithCondition(plan.ConfigKey, world.Catalog.Row(plan.ConfigKey).Version)
	change = change.WithWrite(table.Put(plan.ConfigKey, plan.Configuration{
		Revision:    world.Configuration.Revision + 1,
		Declaration: next,
	}))
	_, err := f.memory.Commit(context.Background(), change)
	return err
}

// propose stores the plan that one daemon makes of an intent.
func (f *fleet) propose(one *host, id string, intent plan.Intent) (plan.Plan, error) {
	made, err := plan.Build(id, "operator", intent, one.controller.World())
	if err != nil {
		return made, err
	}
	change := table.Transaction{}
	change = change.WithCondition(plan.Key(id), 0)
	change = change.WithWrite(table.Put(plan.Key(id), made))
	_, err = f.memory.Commit(context.Background(), change)
	return made, err
}

// confirm confirms a plan with the world as one daemon sees it.
func (f *fleet) confirm(one *host, id string) error {
	found, err := f.plan(id)
	if err != nil {
		return err
	}
	change, err := plan.Confirm(found, one.controller.World())
	if err != nil {
		return err
	}
	_, err = f.memory.Commit(context.Background(), change)
	return err
}

// plan reads a plan from the table.
func (f *fleet) plan(id string) (plan.Plan, error) {
	var found plan.Plan
	row, err := f.memory.Read(context.Background(), plan.Key(id))
	if err != nil || row.Version == 0 {
		return found, errors.Errorf("no plan %q", id)
	}
	return found, row.Decode(&found)
}

// change pauses, resumes or abandons a plan.
func (f *fleet) change(id string, change plan.Change) error {
	row, err := f.memory.Read(context.Background(), plan.Key(id))
	if err != nil {
		return err
	}
	found, err := f.plan(id)
	if err != nil {
		return err
	}
	next, err := found.Apply(change)
	if err != nil {
		return err
	}
	write := table.Transaction{}
	write = write.WithCondition(row.Key, row.Version)
	write = write.WithWrite(table.Put(row.Key, next))
	_, err = f.memory.Commit(context.Background(), write)
	return err
}

// ----------------------------------------------------------------------------
// The oracle

// fail notes a broken promise.
func (f *fleet) fail(format string, arguments ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, arguments...))
}

// groupsIn returns the groups in a table.
func groupsIn(rows map[string]table.Row) []group.Record {
	var found []group.Record
	for key, row := range rows {
		if len(key) < len(group.KeyPrefix) || key[:len(group.KeyPrefix)] != group.KeyPrefix || row.Deleted {
			continue
		}
		var record group.Record
		if row.Decode(&record) == nil {
			found = append(found, record)
		}
	}
	return found
}

// checkCommit checks, after every commit, that no VM is in two groups, that
// claims and members agree, that a daemon changed groups and plans only while
// it held their shard, and that no two plans under way change one group.
func (f *fleet) checkCommit(transaction table.Transaction, rows map[string]table.Row) {
	owner := map[string]string{}
	for _, record := range groupsIn(rows) {
		for _, member := range record.Members {
			if first, ok := owner[member.VM]; ok {
				f.fail("VM %s is in %s and in %s", member.VM, first, record.Name)
			}
			owner[member.VM] = record.Name
			var claim vm.Claim
			row := rows[vm.Key(member.VM)]
			if row.Version == 0 || row.Decode(&claim) != nil || claim.Group != record.Name {
				f.fail("VM %s is a member of %s but claimed by %q", member.VM, record.Name, claim.Group)
			}
		}
	}
	f.checkAuthor(transaction, rows)
	f.checkPlans(rows)
}

// checkAuthor checks that a daemon that changed a group or a plan held a lease
// that the change was conditional on.
func (f *fleet) checkAuthor(transaction table.Transaction, rows map[string]table.Row) {
	author, _, isDaemon := strings.Cut(transaction.ID, "/")
	if !isDaemon {
		return
	}
	isHolder := false
	for _, held := range transaction.Conditions {
		var grant lease.Grant
		row := rows[held.Key]
		isLease := strings.HasPrefix(held.Key, lease.KeyPrefix)
		isHolder = isHolder || (isLease && row.Decode(&grant) == nil && grant.Holder == author)
	}
	for _, write := range transaction.Writes {
		isGroup := strings.HasPrefix(write.Key, group.KeyPrefix)
		isPlan := strings.HasPrefix(write.Key, plan.KeyPrefix)
		if (isGroup || isPlan) && !isHolder {
			f.fail("%s wrote %s without holding a lease", author, write.Key)
		}
	}
}

// checkPlans checks that no group is changed by two plans under way.
func (f *fleet) checkPlans(rows map[string]table.Row) {
	changedBy := map[string]string{}
	for key, row := range rows {
		var one plan.Plan
		if !strings.HasPrefix(key, plan.KeyPrefix) || row.Decode(&one) != nil {
			continue
		}
		if one.State != plan.Confirmed && one.State != plan.Paused {
			continue
		}
		for _, step := range one.Steps {
			if step.Verb != plan.Drain && step.Verb != plan.Reform {
				continue
			}
			if first, ok := changedBy[step.Group]; ok && first != one.ID {
				f.fail("group %s is changed by plans %s and %s", step.Group, first, one.ID)
			}
			changedBy[step.Group] = one.ID
		}
	}
}

// checkServing checks that whatever a daemon would route to was whole within
// the bound on evidence.
func (f *fleet) checkServing(now time.Time) {
	for _, one := range f.hosts {
		snapshot := one.controller.Snapshot()
		for _, record := range snapshot.Serveable("m", now) {
			for _, member := range record.Members {
				good := f.servers[member.VM].goodAt[partKey(record.Name, record.Generation)]
				if now.Sub(good) > presence.MaxAge {
					f.fail("%s routes to %s generation %d though %s was last part of it %s ago", one.controller.Self().ID, record.Name, record.Generation, member.VM, now.Sub(good))
				}
			}
		}
	}
}

// checkLeases checks that no two daemons may send orders for one shard.
func (f *fleet) checkLeases() {
	holder := map[int]string{}
	for _, one := range f.hosts {
		for _, held := range one.controller.Usable() {
			if first, ok := holder[held.Shard]; ok {
				f.fail("shard %d is held by %s and %s", held.Shard, first, one.controller.Self().ID)
			}
			holder[held.Shard] = one.controller.Self().ID
		}
	}
}

// checkOrder checks that an order that arrives is not older than what the
// server has obeyed, where the server does not check this itself, and that it
// cuts off no request of a group whose members have all been well.
func (f *fleet) checkOrder(target *server, o order.Order) {
	if !target.vm.ChecksOrders && !target.fence.Admits(o) {
		f.fail("server %s gets order %s %s generation %d sequence %d after %v", target.vm.ID, o.Verb, o.Group, o.Generation, o.Sequence, target.fence)
	}
	isSame := o.Verb == order.Load && target.state.Group == o.Group && target.state.Generation == o.Generation
	if len(target.ends) == 0 || isSame || (target.vm.ChecksOrders && !target.fence.Admits(o)) {
		return
	}
	for _, id := range target.members {
		_, isListed := f.list[id]
		if time.Since(f.servers[id].troubledAt) < time.Minute || !isListed {
			return
		}
	}
	f.fail("order %s %s generation %d cuts off %d requests of %s at %s", o.Verb, o.Group, o.Generation, len(target.ends), target.state.Group, target.vm.ID)
}

// checkConfiguration checks that no daemon's configuration goes back, and that
// whoever may serve holds all that was accepted longer than the bound ago.
func (f *fleet) checkConfiguration(now time.Time) {
	for _, one := range f.hosts {
		if one.paused {
			continue
		}
		own := one.controller.ConfigVersion()
		if own < one.config {
			f.fail("%s went back from configuration %d to %d", one.controller.Self().ID, one.config, own)
		}
		one.config = own
		ids := one.controller.Roster().IDs()
		if _, ok := f.accepted[own]; !ok && own > 0 && one.controller.Contact().Accepted(one.controller.Self().ID, own, ids, own) {
			f.accepted[own] = now
		}
	}
	for _, one := range f.hosts {
		if !now.Before(one.controller.Snapshot().ServeUntil) {
			continue
		}
		for version, since := range f.accepted {
			if one.controller.ConfigVersion() < version && now.Sub(since) > contact.Bound {
				f.fail("%s serves under configuration %d though %d was accepted %s ago", one.controller.Self().ID, one.controller.ConfigVersion(), version, now.Sub(since))
			}
		}
	}
}
