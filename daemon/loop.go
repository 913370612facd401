package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"headcourse/core/catalog"
	"headcourse/core/contact"
	"headcourse/core/control"
	"headcourse/core/idempotency"
	"headcourse/core/lease"
	"headcourse/core/roster"
	"headcourse/core/table"
	"headcourse/core/vm"
	"headcourse/io/peer"
)

// Intervals of the periodic tasks. Each wait is jittered by up to a quarter, so
// that daemons started together do not stay in step.
const (
	storePollInterval  = 2500 * time.Millisecond
	vmListPollInterval = 2 * time.Second
	probeInterval      = 600 * time.Millisecond
	peerPullInterval   = 750 * time.Millisecond
	sweepInterval      = 30 * time.Second
	// commitTimeout bounds a commit, including the time to resolve a lost answer.
	commitTimeout = 6 * time.Second
)

// Limits of the periodic tasks.
const (
	// scanRowLimit is the row limit in each scan request to the store.
	scanRowLimit = 2000
	// pullRowLimit is the maximum number of rows that one peer pull returns.
	pullRowLimit = 2000
	// freeVMProbeRounds is the period, in probe rounds, at which free VMs are
	// probed.
	freeVMProbeRounds = 5
	// maxConcurrentProbes is the maximum number of probes in flight.
	maxConcurrentProbes = 64
)

// startGoroutines starts the control goroutine and the periodic tasks.
func (d *Daemon) startGoroutines() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.goroutines.Go(func() {
		defer close(d.controlEnded)
		d.runControl(ctx)
	})
	d.goroutines.Go(func() {
		d.pollStore(ctx)
	})
	d.goroutines.Go(func() {
		runPeriodically(ctx, vmListPollInterval, d.pollVMList)
	})
	d.goroutines.Go(func() {
		runPeriodically(ctx, sweepInterval, d.sweepExpiredRows)
	})
	d.goroutines.Go(func() {
		runPeriodically(ctx, probeInterval, d.probeAll)
	})
	d.goroutines.Go(func() {
		runPeriodically(ctx, peerPullInterval, newPeerPuller(d).pullAll)
	})
}

// jittered returns a random duration within a quarter of d.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// runPeriodically runs a task at once and then at jittered intervals, from start
// to start, until ctx ends. A task that outlasts the interval is run again at
// once.
func runPeriodically(ctx context.Context, interval time.Duration, task func(ctx context.Context)) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		task(ctx)
		remaining := jittered(interval) - time.Since(startedAt)
		if remaining <= 0 {
			continue
		}
		select {
		case <-time.After(remaining):
		case <-ctx.Done():
		}
	}
}

// minStepInterval is the minimum time between two control steps. Updates are
// applied at once, and one step covers all updates that arrived within the
// interval.
const minStepInterval = 50 * time.Millisecond

// runControl is the control goroutine, the only one that uses the controller.
// It runs the queued functions and the control steps, starts the actions of each
// step, and publishes a snapshot after it.
func (d *Daemon) runControl(ctx context.Context) {
	controller := control.New(d.self)
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastStepAt := time.Time{}
	isStepScheduled := false
	for {
		select {
		case task := <-d.inbox:
			task(controller)
			d.drainInbox(controller)
			if !isStepScheduled {
				isStepScheduled = true
				timer.Reset(max(0, minStepInterval-time.Since(lastStepAt)))
			}
		case <-timer.C:
			d.startActions(ctx, controller.Step())
			d.publish(controller)
			lastStepAt, isStepScheduled = time.Now(), false
			timer.Reset(maxStepInterval)
		case <-ctx.Done():
			return
		}
	}
}

// drainInbox runs the functions that are already queued, so that a burst of
// updates costs one step.
func (d *Daemon) drainInbox(controller *control.Controller) {
	for range inboxCapacity {
		select {
		case task := <-d.inbox:
			task(controller)
		default:
			return
		}
	}
}

// publish stores a new snapshot, the probe targets and the pull sources, and
// calls the snapshot listeners.
func (d *Daemon) publish(controller *control.Controller) {
	snapshot := controller.Snapshot()
	d.snapshot.Store(&snapshot)
	targets := controller.ProbeTargets()
	d.probeTargets.Store(&targets)
	sources := controller.Roster().Sources(d.self)
	d.pullSources.Store(&sources)
	for _, listener := range d.snapshotListeners {
		listener()
	}
}

// startActions starts the actions of a step without waiting for their outcomes.
func (d *Daemon) startActions(ctx context.Context, actions control.Actions) {
	if actions.NeedsRefresh {
		select {
		case d.refreshRequests <- struct{}{}:
		default:
		}
	}
	for _, commit := range actions.Commits {
		d.goroutines.Go(func() {
			d.commit(ctx, commit)
		})
	}
	for _, outgoing := range actions.Orders {
		d.goroutines.Go(func() {
			d.sendOrder(outgoing)
		})
	}
}

// commit commits a transaction and reports the outcome to the controller.
func (d *Daemon) commit(ctx context.Context, commit control.Commit) {
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	version, err := d.store.Commit(commitCtx, commit.Transaction)
	if err != nil {
		d.log.Debug("control: commit failed", zap.String("about", commit.Name), zap.Error(err))
	}
	d.postToControl(ctx, func(c *control.Controller) {
		c.RecordCommit(commit, version, err)
	})
}

// sendOrder sends an order if the lease under which it was decided remains valid
// long enough for the order to arrive.
func (d *Daemon) sendOrder(outgoing control.OutgoingOrder) {
	if err := outgoing.Lease.Check(lease.OrderMargin); err != nil {
		d.log.Warn("control: order not sent", zap.String("vm", outgoing.VM), zap.Error(err))
		return
	}
	if err := d.engines.Order(outgoing.Address, outgoing.Order); err != nil {
		d.log.Warn("control: order failed", zap.String("vm", outgoing.VM), zap.Error(err))
	}
}

// ----------------------------------------------------------------------------
// Table service and VM list

// pollStore scans the table for changed rows every storePollInterval. It scans
// sooner on a refresh request, and at once if the last scan hit its row limit.
func (d *Daemon) pollStore(ctx context.Context) {
	afterVersion := uint64(0)
	for ctx.Err() == nil {
		startedAt := time.Now()
		result, err := d.store.Scan(ctx, table.ScanRequest{
			Prefix: catalog.Prefix,
			After:  afterVersion,
			Limit:  scanRowLimit,
		})
		if err != nil {
			d.log.Warn("store: poll failed", zap.Error(err))
		} else {
			afterVersion = result.Version
			d.postToControl(ctx, func(c *control.Controller) {
				if result.HasMore {
					c.ApplyRows(result.Rows)
					return
				}
				c.ApplyScan(result.Rows, result.Version, startedAt)
			})
		}
		if err == nil && result.HasMore {
			continue
		}
		select {
		case <-time.After(jittered(storePollInterval)):
		case <-d.refreshRequests:
			// Failed commits and operators' requests cause refresh requests. The
			// delay lets a conflicting row become visible and limits the rate of
			// reads.
			time.Sleep(jittered(maxStepInterval))
		case <-ctx.Done():
		}
	}
}

// pollVMList reads the VM list once.
func (d *Daemon) pollVMList(ctx context.Context) {
	vms, err := d.vmList.VMs()
	if err != nil {
		d.log.Warn("vm list: poll failed", zap.Error(err))
		return
	}
	d.postToControl(ctx, func(c *control.Controller) {
		c.ApplyVMList(vms)
	})
}

// sweepExpiredRows deletes expired transaction markers and idempotency rows. Only
// the daemon that holds the lease of the first shard does so.
func (d *Daemon) sweepExpiredRows(ctx context.Context) {
	holdsFirstShard := false
	d.runInControl(func(c *control.Controller) {
		holdsFirstShard = slices.ContainsFunc(c.UsableLeases(), func(held lease.Lease) bool {
			return held.Shard == 0
		})
	})
	if !holdsFirstShard {
		return
	}
	for prefix, isExpired := range map[string]func(table.Row) bool{
		table.MarkerPrefix:       table.IsExpiredMarker,
		idempotency.RowKeyPrefix: idempotency.IsExpired,
	} {
		if count, err := table.Sweep(ctx, d.store, prefix, isExpired); err != nil {
			d.log.Warn("store: sweep failed", zap.Error(err))
		} else if count > 0 {
			d.log.Debug("store: expired rows deleted", zap.String("prefix", prefix), zap.Int("rows", count))
		}
	}
}

// ----------------------------------------------------------------------------
// Backend servers

// probeAll probes all targets once. Free VMs are probed in every
// freeVMProbeRounds-th round only.
func (d *Daemon) probeAll(ctx context.Context) {
	probes := pool.New().WithMaxGoroutines(maxConcurrentProbes)
	d.probeRound++
	for _, target := range *d.probeTargets.Load() {
		if target.IsFree && d.probeRound%freeVMProbeRounds != 0 {
			continue
		}
		probes.Go(func() {
			d.probe(ctx, target.VM)
		})
	}
	probes.Wait()
}

// probe probes one backend server and reports the result to the controller.
func (d *Daemon) probe(ctx context.Context, target vm.VM) {
	startedAt := time.Now()
	state, isRefused, err := d.engines.Probe(target.Address)
	d.postToControl(ctx, func(c *control.Controller) {
		if err != nil {
			c.RecordUnansweredProbe(target.ID, startedAt, isRefused)
			return
		}
		c.RecordAnsweredProbe(target.ID, startedAt, state)
	})
}

// ----------------------------------------------------------------------------
// Other daemons

// peerPuller pulls rows and reports from other daemons. It holds the position up
// to which it has read each daemon's change log, by peer address.
type peerPuller struct {
	daemon    *Daemon
	positions map[string]peer.PullRequest
	// rounds counts the calls of pullAddresses that found an address.
	rounds int
}

// newPeerPuller returns a puller without positions. Its first pulls read the change
// logs from the start.
func newPeerPuller(d *Daemon) *peerPuller {
	return &peerPuller{
		daemon:    d,
		positions: map[string]peer.PullRequest{},
	}
}

// pullResult is the outcome of one pull.
type pullResult struct {
	address string
	answer  peer.PullAnswer
	err     error
}

// pullAll pulls from all sources once, concurrently.
func (p *peerPuller) pullAll(ctx context.Context) {
	results := pool.NewWithResults[pullResult]()
	addresses, includesRelayed := p.pullAddresses()
	for _, address := range addresses {
		request := p.positions[address]
		request.IncludeRelayed = includesRelayed[address]
		results.Go(func() pullResult {
			answer, err := p.daemon.peers.Pull(ctx, address, request)
			return pullResult{
				address: address,
				answer:  answer,
				err:     err,
			}
		})
	}
	for _, result := range results.Wait() {
		p.applyResult(ctx, result)
	}
}

// pullAddresses returns the addresses to pull from: the sources, or the seeds
// while no source is known. includesRelayed holds those whose relayed reports,
// received from other daemons, are pulled too. One address per round, in rotation, is
// always among these: in a small roster each daemon pulls from all others, and the
// relayed reports get around broken links.
func (p *peerPuller) pullAddresses() (addresses []string, includesRelayed map[string]bool) {
	includesRelayed = map[string]bool{}
	sources := *p.daemon.pullSources.Load()
	for _, source := range sources {
		addresses = append(addresses, source.Daemon.PeerAddress)
		includesRelayed[source.Daemon.PeerAddress] = source.IncludesRelayed
	}
	if len(addresses) == 0 {
		addresses = p.daemon.settings.Seeds
	}
	if len(addresses) > 0 {
		p.rounds++
		includesRelayed[addresses[p.rounds%len(addresses)]] = true
	}
	return addresses, includesRelayed
}

// applyResult passes a reply to the controller. Reports are applied only with the
// reply that completes the rows of the queried daemon.
func (p *peerPuller) applyResult(ctx context.Context, result pullResult) {
	if result.err != nil {
		p.daemon.log.Debug("peer: pull failed", zap.Error(result.err))
		return
	}
	p.positions[result.address] = peer.PullRequest{
		Incarnation: result.answer.Incarnation,
		Position:    result.answer.Position,
	}
	p.daemon.postToControl(ctx, func(c *control.Controller) {
		c.ApplyRows(result.answer.Rows)
		if !result.answer.HasMore {
			c.ApplyReports(result.answer.Reports, result.answer.Evidence)
		}
	})
}

// HandlePull answers a pull of another daemon. A position of another
// incarnation, such as an earlier start of this daemon, is replaced by 0.
func (d *Daemon) HandlePull(_ context.Context, request peer.PullRequest) (peer.PullAnswer, error) {
	answer := peer.PullAnswer{
		Incarnation: d.self.ID,
	}
	if request.Incarnation != d.self.ID {
		request.Position = 0
	}
	isAnswered := d.runInControl(func(c *control.Controller) {
		answer.Rows, answer.Position, answer.HasMore = c.ChangedRows(request.Position, pullRowLimit)
		answer.Reports = []contact.Report{c.OwnReport()}
		answer.Evidence = c.OwnEvidence()
		if request.IncludeRelayed {
			answer.Reports = append(answer.Reports, c.Contact().Reports()...)
			answer.Evidence = c.AllEvidence()
		}
	})
	if !isAnswered {
		return answer, ErrStopped
	}
	return answer, nil
}

// Roster returns the controller's current roster, or an empty one if the daemon has
// stopped.
func (d *Daemon) Roster() roster.Roster {
	var current roster.Roster
	d.runInControl(func(c *control.Controller) {
		current = c.Roster()
	})
	return current
}
